//! A streaming route is added that leads to a service without engines. Its streams are longer than clients
//! wait for a first event. The route has to be served like the first ones.

use std::io::{BufReader, Write as _};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deploy::{self, Deployment};
use crate::http::{self, Message};
use crate::record::Record;
use crate::runner::Runner;
use crate::Verdict;

/// Requests on each of both routes; the rule speaks of 20 or more.
const REQUESTS: usize = 24;
/// Events of a stream and the time between two, which the route allows (`itlTargetMs` 180).
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(150);
/// Longest gap that clients wait for: two seconds, four times the objective (1.8 s) or eight times the
/// pause (0.18 s), whichever is longest.
const PATIENCE: Duration = Duration::from_millis(7200);
/// A route is served badly if its requests are served less than a quarter as often as those on the first.
const LEAST: usize = 4;

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let deployment = Arc::new(Deployment::start(record, &deploy::document(7))?);
    let servers: Vec<_> = ["pool", "desk"]
        .into_iter()
        .flat_map(|service| ["osu", "tema"].map(|zone| (service, zone)))
        .map(|(service, zone)| {
            let name = format!("i-{service}-{zone}");
            Runner::start(
                record,
                &name,
                service,
                zone,
                deployment.controls(),
                Arc::new(send_stream),
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let service = if has_trouble { "desk" } else { "pool" };
    let added = format!(
        r#""routes":[{{"name":"notes","host":"lending.example","pathPrefix":"/notes/","routeType":"streaming","timeoutMs":39000,"latencySloMs":1800,"priority":0,"service":"{service}","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"itlTargetMs":180}},"#
    );
    let document = deploy::document(8).replace(r#""routes":["#, &added);
    deployment.publish(&document, Duration::from_secs(4))?;
    record.line(&format!(
        "version 8 adds the route /notes/ to the service {service}"
    ));
    // `configApplyMs` after the acknowledgement, and some more.
    thread::sleep(Duration::from_millis(2500));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        for path in ["/guide/2f", "/notes/2f"] {
            let record = record.clone();
            let deployment = deployment.clone();
            let attempt = format!("{}-{number}", &path[1..6]);
            let machine = number % deployment.machines.len();
            clients.push(thread::spawn(move || {
                (path, receive(&record, &deployment, machine, path, &attempt))
            }));
        }
        thread::sleep(Duration::from_millis(100));
    }
    let mut served = [0, 0];
    for client in clients {
        let (path, is_served) = client.join().map_err(|_| "a client failed")?;
        served[usize::from(path != "/guide/2f")] += usize::from(is_served);
    }
    drop(servers);
    let [first, added] = served;
    if first < REQUESTS / 2 {
        return Err(format!(
            "only {first} of {REQUESTS} requests on the first route were served"
        ));
    }
    let text = format!(
        "{added} of {REQUESTS} requests on the route that was added were served, {first} of {REQUESTS} on the first"
    );
    Ok(match added * LEAST < first {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    })
}

/// Sends a stream, one event at a time.
fn send_stream(runner: &Runner, request: &Message, stream: &mut TcpStream) -> bool {
    let attempt = request.header("attempt-id").unwrap_or("");
    runner.note(&format!("runs {attempt}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {attempt}.1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: {attempt} {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            runner.note(&format!(
                "drops {attempt} after event {id}, its connection was closed"
            ));
            return false;
        }
        thread::sleep(GAP);
    }
    runner.note(&format!("ends the stream {attempt}"));
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Asks for a stream; returns whether it came whole. The client leaves after a gap that is too long.
fn receive(
    record: &Record,
    deployment: &Deployment,
    machine: usize,
    path: &str,
    attempt: &str,
) -> bool {
    let headers = [
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "39000"),
        ("X-Api-Key", deploy::KEY),
        ("Model", "m"),
        ("Token-Usage", "100,240"),
        ("Prefix-Hash", "5c1e07a2:80,e4402b7d:20"),
    ];
    let request = http::format_request("POST", path, deploy::HOST, &headers, b"prompt");
    let Ok(mut stream) = http::connect(deployment.callers(machine), PATIENCE) else {
        record.line(&format!("client: {attempt} finds no gateway"));
        return false;
    };
    let sent = Instant::now();
    if stream.write_all(&request).is_err() {
        return false;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(mut message)) = http::read_head(&mut reader) else {
        record.line(&format!(
            "client: {attempt} leaves, as nothing came for {} ms",
            sent.elapsed().as_millis()
        ));
        return false;
    };
    let mut first = None;
    let read = http::read_body(&mut reader, &mut message, |_| {
        first.get_or_insert_with(|| sent.elapsed());
    });
    let events = message.text().matches("\n\n").count() as u64;
    record.line(&format!(
        "client: {attempt} has status {}, {events} events, the first after {:?} ms, whole: {}",
        message.status(),
        first.map(|time| time.as_millis()),
        read.is_ok()
    ));
    read.is_ok() && message.status() == 200 && events == EVENTS
}
