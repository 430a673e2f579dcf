//! Questions to a gateway where a request would go.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::process;
use std::thread;

use peargap_cli::question;

#[test]
fn a_question_is_read_from_the_command_line() {
    let question = question::parse("10.0.0.5:87", "http://h.example/stream/x?y=1", &["a:b"]);
    let question = question.expect("a question");
    assert_eq!(
        (question.host.as_str(), question.path.as_str()),
        ("h.example", "/stream/x?y=1")
    );
    for (gateway, url, header) in [
        ("10.0.0.5", "h/x", "a:b"),
        ("10.0.0.5:87", "h", "a:b"),
        ("10.0.0.5:87", "h/x y", "a:b"),
        ("10.0.0.5:87", "h/x", "a:b\r\nc:d"),
        ("10.0.0.5:87", "h/x", "a"),
    ] {
        question::parse(gateway, url, &[header]).expect_err("a finding");
    }
}

/// Runs the command against a gateway that answers with this status and two lines; returns the
/// output and the request.
fn run(status: &str, options: &[&str]) -> (process::Output, String) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let gateway = listener.local_addr().expect("an address").to_string();
    let answer = format!(
        "HTTP/1.0 {status}\r\n\r\nupstream=p1 chosen=100.0% verdict=candidate\nchoice=p1\n"
    );
    let answering = thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        let mut request = vec![0; 4096];
        let read = stream.read(&mut request).expect("a request");
        stream.write_all(answer.as_bytes()).expect("a connection");
        String::from_utf8_lossy(&request[..read]).into_owned()
    });
    let key =
        std::env::temp_dir().join(format!("peargap-caller-key-{}", gateway.replace(':', "-")));
    std::fs::write(&key, "secret\n").expect("a file");
    let header = format!("key:@{}", key.display());
    let output = process::Command::new(env!("CARGO_BIN_EXE_peargap"))
        .args(["explain", "at", &gateway, "h.example/x?y=1", &header])
        .args(options)
        .output();
    std::fs::remove_file(&key).expect("a file");
    let request = answering.join().expect("a request");
    (output.expect("a program"), request)
}

#[test]
fn the_answer_is_printed_and_the_request_is_asked_for_as_it_would_be_sent() {
    let (output, request) = run("200 OK", &[]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(
        text,
        "upstream=p1 chosen=100.0% verdict=candidate\nchoice=p1\n"
    );
    assert!(
        request.starts_with("GET /explain/x?y=1 HTTP/1.0\r\nhost: h.example\r\nkey: secret\r\n")
    );
}

#[test]
fn a_request_without_a_route_is_an_invalid_argument_and_json_is_offered() {
    let (output, _request) = run("404 Not Found", &["--json"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains(r#""verdict":"candidate""#), "{text}");
}
