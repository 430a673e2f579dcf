//! An engine that is replaced sends a second, late copy of its answers to `POST /api/kv-move`. No request may
//! go on from the memory of another one.
//!
//! The engine that takes over names a `Server-Limit`, with and without the disruption.

use std::collections::HashMap;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deploy::{self, Deployment};
use crate::http::{self, Message};
use crate::record::Record;
use crate::runner::{self, Runner};
use crate::Verdict;

/// Generations that run when the engine begins to leave.
const GENERATIONS: usize = 22;
/// Events of a generation, and the time between two.
const EVENTS: u64 = 160;
const GAP: Duration = Duration::from_millis(50);
/// Time that the copy of a generation's memory takes.
const COPY_TIME: Duration = Duration::from_millis(100);
/// Time after which an engine says that the destination has no room.
const NO_ROOM_TIME: Duration = Duration::from_millis(60);
/// Short generations before, and how many of them run at a time.
const SHORT: usize = 480;
const AT_A_TIME: usize = 6;
/// One answer in so many comes a second time at most (`garble`: 3 in 100).
const SPOILED: usize = 34;
/// Requests a second that the second engine takes.
const LIMIT: &str = "Server-Limit: 100\r\n";

/// What both engines do.
#[derive(Default)]
struct Engines {
    /// Answers of the engine that is replaced, and how many of them it sent a second time.
    answered: AtomicUsize,
    sent_again: AtomicUsize,
    /// Last answer to a copy order on each connection.
    answers: Mutex<HashMap<SocketAddr, Vec<u8>>>,
    /// Handles of copies that have not been used, with the requests whose memory they hold.
    copies: Mutex<HashMap<String, String>>,
    /// Requests that went on from the memory of another one.
    mixed: Mutex<Vec<(String, String)>>,
    moves: AtomicUsize,
    /// Generations whose first copy order found no room.
    refused: Mutex<HashMap<String, usize>>,
    resumed: AtomicUsize,
}

impl Engines {
    /// Returns whether one more answer may come a second time, and counts it if so.
    fn may_send_again(&self) -> bool {
        let most = self.answered.load(Ordering::SeqCst) / SPOILED;
        let counted = self
            .sent_again
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
                (count < most).then_some(count + 1)
            });
        counted.is_ok()
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let document = deploy::document(7).replace(r#""backups":false"#, r#""backups":true"#);
    let deployment = Arc::new(Deployment::start(record, &document)?);
    let engines: Arc<Engines> = Arc::default();
    let first = start_engine(record, &deployment, &engines, "i-old", "", has_trouble);
    thread::sleep(Duration::from_secs(4));
    let short: Vec<_> = (0..AT_A_TIME)
        .map(|client| {
            let record = record.clone();
            let deployment = deployment.clone();
            thread::spawn(move || {
                for number in 0..SHORT / AT_A_TIME {
                    let _ = generate(
                        &record,
                        &deployment,
                        &format!("short-{client}-{number}"),
                        "100,4",
                    );
                }
            })
        })
        .collect();
    for client in short {
        client.join().map_err(|_| "a client failed")?;
    }
    let mut clients = Vec::new();
    for number in 0..GENERATIONS {
        let attempt = format!("gen-{number}");
        let record = record.clone();
        let deployment = deployment.clone();
        clients.push(thread::spawn(move || {
            generate(&record, &deployment, &attempt, "1000,640")
        }));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(500));
    let _second = start_engine(record, &deployment, &engines, "i-new", LIMIT, false);
    thread::sleep(Duration::from_millis(500));
    let before = engines.answered.load(Ordering::SeqCst);
    record.line(&format!(
        "i-old has answered {before} requests; i-new has started"
    ));
    // The answer of a short generation tells the gateway of the limit.
    for number in 0..20 {
        generate(record, &deployment, &format!("short-new-{number}"), "100,4")?;
    }
    record.line("i-old begins to leave");
    first.set_state("draining");
    if !first.beat(deployment.control(0)) {
        return Err("the heartbeat was not acknowledged".to_owned());
    }
    let mut foreign = 0;
    let mut whole = 0;
    for client in clients {
        let (is_whole, foreign_events) = client.join().map_err(|_| "a client failed")??;
        whole += usize::from(is_whole);
        foreign += usize::from(foreign_events > 0);
    }
    let mixed = engines.mixed.lock().expect("unpoisoned").len();
    let moves = engines.moves.load(Ordering::SeqCst);
    let resumed = engines.resumed.load(Ordering::SeqCst);
    if moves == 0 || resumed == 0 {
        return Err(format!(
            "{moves} copies were ordered, {resumed} requests went on elsewhere"
        ));
    }
    let answered = engines.answered.load(Ordering::SeqCst);
    let again = engines.sent_again.load(Ordering::SeqCst);
    record.line(&format!(
        "i-old has answered {answered} requests, {again} answers came a second time"
    ));
    let text = format!(
        "{mixed} requests went on from the memory of another one, {foreign} clients got events of another's \
         generation; {moves} copies, {resumed} resumes, {whole} of {GENERATIONS} streams whole"
    );
    Ok(match mixed + foreign {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}

fn start_engine(
    record: &Record,
    deployment: &Deployment,
    engines: &Arc<Engines>,
    name: &str,
    notice: &'static str,
    sends_copies: bool,
) -> Runner {
    let engines = engines.clone();
    Runner::start(
        record,
        name,
        "pool",
        "osu",
        deployment.controls(),
        Arc::new(
            move |runner: &Runner, request: &Message, stream: &mut TcpStream| match request.path() {
                "/api/kv-move" => copy(&engines, runner, request, stream, sends_copies),
                _ => run(&engines, runner, request, stream, notice),
            },
        ),
    )
}

/// Copies a generation's memory. Each second generation finds no room at its first order.
fn copy(
    engines: &Engines,
    runner: &Runner,
    request: &Message,
    stream: &mut TcpStream,
    sends_copies: bool,
) -> bool {
    let Ok(peer) = stream.peer_addr() else {
        return false;
    };
    let text = request.text();
    let attempt = field(&text, "id");
    let former = engines
        .answers
        .lock()
        .expect("unpoisoned")
        .get(&peer)
        .cloned();
    let is_copy = former
        .as_ref()
        .is_some_and(|answer| answer.starts_with(b"HTTP/1.1 200"));
    if sends_copies && is_copy && engines.may_send_again() {
        let former = former.unwrap_or_default();
        let answer = String::from_utf8_lossy(&former);
        let body = answer.rsplit("\r\n").next().unwrap_or("");
        runner.note(&format!(
            "order for {attempt}: sends the last answer of this connection once more: {body:?}"
        ));
        let _ = stream.write_all(&former);
        // What follows on the connection belongs to no request any more.
        return false;
    }
    let is_odd = attempt.bytes().last().is_some_and(|byte| byte % 2 == 1);
    let count = {
        let mut refused = engines.refused.lock().expect("unpoisoned");
        let count = refused.entry(attempt.clone()).or_default();
        *count += 1;
        *count
    };
    let (status, body) = match is_odd && count == 1 {
        true => {
            thread::sleep(NO_ROOM_TIME);
            ("503 Service Unavailable", "{}".to_owned())
        }
        false => {
            thread::sleep(COPY_TIME);
            let number = engines.moves.fetch_add(1, Ordering::SeqCst);
            let handle = format!("h{number}");
            engines
                .copies
                .lock()
                .expect("unpoisoned")
                .insert(handle.clone(), attempt.clone());
            ("200 OK", format!(r#"{{"kvHandle":"{handle}","made":1}}"#))
        }
    };
    runner.note(&format!("order for {attempt}: answers {status} {body}"));
    engines.answered.fetch_add(1, Ordering::SeqCst);
    let answer = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    engines
        .answers
        .lock()
        .expect("unpoisoned")
        .insert(peer, answer.clone().into_bytes());
    stream.write_all(answer.as_bytes()).is_ok()
}

/// Runs a generation, or goes on with one from a copy.
fn run(
    engines: &Engines,
    runner: &Runner,
    request: &Message,
    stream: &mut TcpStream,
    notice: &str,
) -> bool {
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    let mut owner = attempt.clone();
    let mut next = 1;
    if let Some(from) = request.header("kv-from") {
        let handle = from.rsplit('/').next().unwrap_or("").to_owned();
        let Some(held) = engines.copies.lock().expect("unpoisoned").remove(&handle) else {
            runner.note(&format!(
                "{attempt} can't go on from {handle}: no such copy, or it was used"
            ));
            let headers = format!("Not-Executed: 1\r\n{notice}");
            return runner::answer(stream, request, "503 Service Unavailable", &headers, b"");
        };
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse::<u64>().ok());
        next = last.unwrap_or(0) + 1;
        engines.resumed.fetch_add(1, Ordering::SeqCst);
        runner.note(&format!(
            "{attempt} goes on after event {} from {handle}, the memory of {held}",
            next - 1
        ));
        if held != attempt {
            engines
                .mixed
                .lock()
                .expect("unpoisoned")
                .push((attempt.clone(), held.clone()));
        }
        owner = held;
    } else {
        if notice.is_empty() {
            engines.answered.fetch_add(1, Ordering::SeqCst);
        }
        runner.note(&format!("runs {attempt}"));
    }
    let usage = request
        .header("token-usage")
        .and_then(|usage| usage.split(',').nth(1));
    let events = usage
        .and_then(|tokens| tokens.parse::<u64>().ok())
        .map_or(EVENTS, |tokens| tokens / 4);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {attempt}.1\r\n{notice}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for id in next..=events {
        let event = format!("id: {id}\ndata: tokens of {owner}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(GAP);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Returns the text of a field of a flat JSON object.
pub fn field(text: &str, name: &str) -> String {
    let key = format!("\"{name}\":\"");
    let rest = text.split(&key).nth(1).unwrap_or("");
    rest.split('"').next().unwrap_or("").to_owned()
}

/// Asks for a generation. Returns whether it came whole, and how many events belong to another one.
pub fn generate(
    record: &Record,
    deployment: &Deployment,
    attempt: &str,
    usage: &str,
) -> Result<(bool, usize), String> {
    let headers = [
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "39000"),
        ("X-Api-Key", deploy::KEY),
        ("Model", "m"),
        ("Token-Usage", usage),
        ("Prefix-Hash", "5c1e07a2:80,e4402b7d:20"),
    ];
    let request = http::format_request(
        "POST",
        "/guide/2f",
        deploy::HOST,
        &headers,
        attempt.as_bytes(),
    );
    let stream = http::connect(deployment.callers(0), Duration::from_secs(20));
    let stream = stream.map_err(|error| error.to_string())?;
    let mut writer = stream.try_clone().map_err(|error| error.to_string())?;
    writer
        .write_all(&request)
        .map_err(|error| error.to_string())?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader).map_err(|error| error.to_string())?;
    let mut message = head.ok_or("no answer")?;
    // An answer that breaks off stays incomplete.
    let _ = http::read_body(&mut reader, &mut message, |_| {});
    let text = message.text();
    let own = format!("data: tokens of {attempt}");
    let foreign = text
        .lines()
        .filter(|line| line.starts_with("data:") && *line != own)
        .count();
    if !attempt.starts_with("short") {
        record.line(&format!(
            "client: {attempt} has status {}, whole: {}, {} events, {foreign} of another generation",
            message.status(),
            message.is_whole,
            text.matches("\n\n").count()
        ));
    }
    Ok((message.is_whole, foreign))
}
