//! A streaming route leads to a service without engines, as in the example of a desired state. A server
//! sends its stream without a length or chunks and crashes in the middle of an event. The client must not
//! get an answer that looks complete.

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deploy::{self, Deployment};
use crate::http::{self, Message};
use crate::record::Record;
use crate::runner::Runner;
use crate::Verdict;

/// Events of a whole stream.
const EVENTS: u64 = 8;
/// Events after which the server crashes.
const BEFORE_CRASH: u64 = 4;
/// Streams that are asked for.
const STREAMS: usize = 5;

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let document = deploy::document(7).replace(r#""service":"pool""#, r#""service":"desk""#);
    let deployment = Deployment::start(record, &document)?;
    let _server = Runner::start(
        record,
        "i-desk",
        "desk",
        "osu",
        deployment.controls(),
        Arc::new(
            move |runner: &Runner, request: &Message, stream: &mut TcpStream| {
                let attempt = request.header("attempt-id").unwrap_or("").to_owned();
                runner.note(&format!("runs {attempt}"));
                send_stream(runner, &attempt, stream, has_trouble);
                // The connection ends with the stream.
                false
            },
        ),
    );
    thread::sleep(Duration::from_secs(4));
    let mut broken = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("stream-{number}");
        let answer = receive(record, &deployment, &attempt)?;
        let ends = answer.text().matches("\n\n").count() as u64;
        record.line(&format!(
            "client: {attempt} has status {}, {ends} whole events, framed by {:?}, looks complete: {}; it ends with {:?}",
            answer.status(),
            answer.header("content-length").map(|length| format!("length {length}")).unwrap_or("chunks".to_owned()),
            answer.is_whole,
            answer.text().chars().rev().take(24).collect::<Vec<_>>().into_iter().rev().collect::<String>()
        ));
        if answer.status() == 200 && answer.is_whole && ends < EVENTS {
            broken.push(attempt);
        }
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held(format!(
            "{STREAMS} streams, none looks complete that is not"
        )),
        false => Verdict::Broken(format!(
            "{} of {STREAMS} streams ended inside an event and look complete to the client",
            broken.len()
        )),
    })
}

fn send_stream(runner: &Runner, attempt: &str, stream: &mut TcpStream, has_trouble: bool) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {attempt}.1\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    for id in 1..=EVENTS {
        if has_trouble && id > BEFORE_CRASH {
            let _ = stream.write_all(format!("id: {id}\ndata: {attempt} ha").as_bytes());
            runner.note(&format!("crashes inside event {id} of {attempt}"));
            return;
        }
        let _ = stream.write_all(format!("id: {id}\ndata: {attempt} half {id}\n\n").as_bytes());
        thread::sleep(Duration::from_millis(20));
    }
    runner.note(&format!("ends the stream {attempt}"));
}

fn receive(record: &Record, deployment: &Deployment, attempt: &str) -> Result<Message, String> {
    let headers = [
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "39000"),
        ("X-Api-Key", deploy::KEY),
        ("Model", "m"),
        ("Token-Usage", "1460,80"),
        ("Prefix-Hash", "5c1e07a2:800,e4402b7d:660"),
    ];
    let request = http::format_request("POST", "/guide/2f", deploy::HOST, &headers, b"prompt");
    record.line(&format!("client sends {attempt}"));
    let timeout = Duration::from_secs(10);
    let stream =
        http::connect(deployment.callers(0), timeout).map_err(|error| error.to_string())?;
    let mut writer = stream.try_clone().map_err(|error| error.to_string())?;
    writer
        .write_all(&request)
        .map_err(|error| error.to_string())?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader).map_err(|error| error.to_string())?;
    let mut message = head.ok_or("no answer")?;
    // An answer that breaks off stays incomplete.
    let _ = http::read_body(&mut reader, &mut message, |_| {});
    Ok(message)
}
