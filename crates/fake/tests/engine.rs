//! The stand-in engine behaves as decisions depend on.

use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::process;

struct Engine {
    address: String,
    child: process::Child,
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(arguments: &[&str]) -> Engine {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_peargap-fake"))
        .arg("engine")
        .args(arguments)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("a pipe");
    io::BufReader::new(stdout)
        .read_line(&mut line)
        .expect("the address");
    let address = line.trim().trim_start_matches("listening ").to_owned();
    Engine { address, child }
}

/// Sends one request and returns status line, headers and body.
fn send(engine: &Engine, method: &str, path: &str, body: &str) -> String {
    let mut answer = String::new();
    let mut stream = open(engine, method, path, body);
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Sends one request and leaves its answer to be read.
fn open(engine: &Engine, method: &str, path: &str, body: &str) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(&engine.address).expect("a connection");
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: fake\r\nconnection: close\r\n\
         x-request-id: {path}{length}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}",
        length = body.len(),
    )
    .expect("the request is sent");
    stream
}

fn complete(engine: &Engine, prompt: &str) -> String {
    let body = format!("{{\"model\":\"transcript\",\"prompt\":\"{prompt}\"}}");
    send(engine, "POST", "/v1/completions", &body)
}

#[test]
fn completion_streams_every_token_once() {
    let engine = start(&[]);
    let answer = complete(&engine, "a [[length=7]]");
    for offset in 0..7 {
        assert!(answer.contains(&format!("id: {offset}\n")), "{answer}");
    }
    assert!(!answer.contains("id: 7\n"), "{answer}");
    assert!(answer.contains("\"completion_tokens\":7"), "{answer}");
    assert!(answer.contains("[DONE]"), "{answer}");
}

#[test]
fn full_memory_preempts_in_mid_decode_and_finishes() {
    let engine = start(&["--memory-tokens", "128", "--step-us", "500"]);
    let answers: Vec<String> = std::thread::scope(|scope| {
        let engine = &engine;
        let threads: Vec<_> = (0..3)
            .map(|index| {
                let prompt = format!("{}[[length=90]]", "x".repeat(index));
                scope.spawn(move || complete(engine, &prompt))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("an answer"))
            .collect()
    });
    for answer in answers {
        assert!(answer.contains("\"completion_tokens\":90"), "{answer}");
    }
    // The report lags; a run that never shows a preemption ends by the test runner's limit.
    while send(&engine, "GET", "/load", "").contains("\"preemptions\":0,") {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

#[test]
fn old_fence_is_refused_only_when_fences_are_checked() {
    for (arguments, status) in [(&["--checks-fences"][..], "409"), (&[][..], "200")] {
        let engine = start(arguments);
        let first = send(&engine, "POST", "/orders", "{\"fence\":5}");
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        let second = send(&engine, "POST", "/orders", "{\"fence\":4}");
        assert!(
            second.starts_with(&format!("HTTP/1.1 {status}")),
            "{second}"
        );
    }
}

#[test]
fn cold_engine_falls_over_above_its_limit() {
    let engine = start(&["--cold-ms", "60000", "--cold-limit", "1"]);
    let body = "{\"model\":\"transcript\",\"prompt\":\"[[length=50000]]\"}";
    let mut long = open(&engine, "POST", "/v1/completions", body);
    let mut first = [0];
    long.read_exact(&mut first).expect("the first stream runs");
    let second = complete(&engine, "more");
    assert!(second.starts_with("HTTP/1.1 500"), "{second}");
    let mut rest = String::new();
    long.read_to_string(&mut rest)
        .expect("the first stream ends");
    assert!(!rest.contains("[DONE]"), "{rest}");
}

#[test]
fn replaced_reader_does_not_end_the_stream() {
    let engine = start(&["--step-us", "20000"]);
    let body = "{\"model\":\"transcript\",\"prompt\":\"[[length=900]]\"}";
    let id = format!("/v1/completions{}", body.len()).replace('/', "%2F");
    let mut old = open(&engine, "POST", "/v1/completions", body);
    let mut first = [0];
    old.read_exact(&mut first).expect("the stream runs");
    let path = format!("/v1/streams/{id}?offset=0");
    let mut new = open(&engine, "GET", &path, "");
    new.read_exact(&mut first).expect("the stream is resumed");
    drop(old);
    let mut rest = String::new();
    new.read_to_string(&mut rest).expect("the stream ends");
    assert!(rest.contains("[DONE]"), "{}", &rest[rest.len() - 200..]);
}
