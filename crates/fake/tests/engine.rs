//! Behaviour of the simulated engine that clients rely on: token offsets, preemption, fences, overload
//! while cold, and resumed streams.

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

/// Sends a request and returns the whole response: status line, headers and body.
fn request(engine: &Engine, method: &str, path: &str, body: &str) -> String {
    let mut response = String::new();
    let mut stream = send_request(engine, method, path, body);
    stream.read_to_string(&mut response).expect("a response");
    response
}

/// Sends a request and returns the connection, from which the response can be read.
fn send_request(engine: &Engine, method: &str, path: &str, body: &str) -> net::TcpStream {
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
    request(engine, "POST", "/v1/completions", &body)
}

#[test]
fn a_completion_streams_each_token_once() {
    let engine = start(&[]);
    let response = complete(&engine, "a [[length=7]]");
    for offset in 0..7 {
        assert!(response.contains(&format!("id: {offset}\n")), "{response}");
    }
    assert!(!response.contains("id: 7\n"), "{response}");
    assert!(response.contains("\"completion_tokens\":7"), "{response}");
    assert!(response.contains("[DONE]"), "{response}");
}

#[test]
fn a_full_kv_cache_preempts_streams_which_finish_later() {
    let engine = start(&["--memory-tokens", "128", "--step-us", "500"]);
    let responses: Vec<String> = std::thread::scope(|scope| {
        let engine = &engine;
        let threads: Vec<_> = (0..3)
            .map(|index| {
                let prompt = format!("{}[[length=90]]", "x".repeat(index));
                scope.spawn(move || complete(engine, &prompt))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a response"))
            .collect()
    });
    for response in responses {
        assert!(response.contains("\"completion_tokens\":90"), "{response}");
    }
    // The load report is refreshed with a delay. Without a preemption the loop runs until the test
    // runner's time limit.
    while request(&engine, "GET", "/load", "").contains("\"preemptions\":0,") {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

#[test]
fn an_outdated_fence_is_rejected_only_when_fences_are_checked() {
    for (arguments, status) in [(&["--checks-fences"][..], "409"), (&[][..], "200")] {
        let engine = start(arguments);
        let first = request(&engine, "POST", "/orders", "{\"fence\":5}");
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        let second = request(&engine, "POST", "/orders", "{\"fence\":4}");
        assert!(
            second.starts_with(&format!("HTTP/1.1 {status}")),
            "{second}"
        );
    }
}

#[test]
fn a_cold_engine_over_its_limit_fails_all_streams() {
    let engine = start(&["--cold-ms", "60000", "--cold-limit", "1"]);
    let body = "{\"model\":\"transcript\",\"prompt\":\"[[length=50000]]\"}";
    let mut long = send_request(&engine, "POST", "/v1/completions", body);
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
fn dropping_a_replaced_reader_does_not_end_the_stream() {
    let engine = start(&["--step-us", "20000"]);
    let body = "{\"model\":\"transcript\",\"prompt\":\"[[length=900]]\"}";
    let id = format!("/v1/completions{}", body.len()).replace('/', "%2F");
    let mut old = send_request(&engine, "POST", "/v1/completions", body);
    let mut first = [0];
    old.read_exact(&mut first).expect("the stream runs");
    let path = format!("/v1/streams/{id}?offset=0");
    let mut new = send_request(&engine, "GET", &path, "");
    new.read_exact(&mut first).expect("the stream is resumed");
    drop(old);
    let mut rest = String::new();
    new.read_to_string(&mut rest).expect("the stream ends");
    assert!(rest.contains("[DONE]"), "{}", &rest[rest.len() - 200..]);
}
