//! A model server that is replaced does not drop a request when its connection closes, as some don't. No
//! generation may go on at another server while the former one still works on it.

use std::collections::HashMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::second_copy::{field, generate};
use crate::deploy::{self, Deployment};
use crate::http::Message;
use crate::record::Record;
use crate::runner::{self, Runner};
use crate::Verdict;

/// Generations that run when the server begins to leave.
const GENERATIONS: usize = 8;
/// Events of a generation, and the time between two.
const EVENTS: u64 = 120;
const GAP: Duration = Duration::from_millis(50);
/// Time that the copy of a generation's memory takes.
const COPY_TIME: Duration = Duration::from_millis(100);
/// Time for which the former server may still work on a request that goes on elsewhere (TWICE).
const ALLOWED: Duration = Duration::from_millis(400);
/// Added to it, for the times that pass between a measurement and the event.
const MARGIN: Duration = Duration::from_millis(100);

/// What both servers saw.
#[derive(Default)]
struct Seen {
    /// Handles of copies that have not been used, with the requests whose memory they hold.
    copies: Mutex<HashMap<String, String>>,
    /// When the former server was ordered to stop a run, or dropped it, or was done with it.
    ended: Mutex<HashMap<String, Instant>>,
    /// Whether an order to copy a run was the last one, after which it stops.
    stopped: Mutex<Vec<String>>,
    /// When a request went on at the other server.
    resumed: Mutex<HashMap<String, Instant>>,
}

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let document = deploy::document(7).replace(r#""backups":false"#, r#""backups":true"#);
    let deployment = Arc::new(Deployment::start(record, &document)?);
    let seen: Arc<Seen> = Arc::default();
    let former = start_server(record, &deployment, &seen, "i-old", has_trouble);
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    for number in 0..GENERATIONS {
        let attempt = format!("gen-{number}");
        let usage = format!("1000,{}", EVENTS * 4);
        let record = record.clone();
        let deployment = deployment.clone();
        clients.push(thread::spawn(move || {
            generate(&record, &deployment, &attempt, &usage)
        }));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(500));
    let _next = start_server(record, &deployment, &seen, "i-new", false);
    thread::sleep(Duration::from_millis(1000));
    record.line("i-old begins to leave");
    former.set_state("draining");
    if !former.beat(deployment.control(0)) {
        return Err("the heartbeat was not acknowledged".to_owned());
    }
    let mut whole = 0;
    for client in clients {
        let (is_whole, _foreign) = client.join().map_err(|_| "a client failed")??;
        whole += usize::from(is_whole);
    }
    thread::sleep(Duration::from_secs(1));
    let ended = seen.ended.lock().expect("unpoisoned");
    let resumed = seen.resumed.lock().expect("unpoisoned");
    if resumed.is_empty() {
        return Err("no generation went on elsewhere".to_owned());
    }
    let mut broken = 0;
    for (attempt, begun) in resumed.iter() {
        let end = ended.get(attempt).ok_or("a run has no end")?;
        let both = end.saturating_duration_since(*begun);
        record.line(&format!(
            "{attempt}: both servers worked on it for {} ms",
            both.as_millis()
        ));
        broken += usize::from(both > ALLOWED + MARGIN);
    }
    let text = format!(
        "{broken} of {} generations that went on at i-new were still worked on at i-old over 400 ms later; \
         {whole} of {GENERATIONS} streams whole",
        resumed.len()
    );
    Ok(match broken {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}

fn start_server(
    record: &Record,
    deployment: &Deployment,
    seen: &Arc<Seen>,
    name: &str,
    works_on: bool,
) -> Runner {
    let seen = seen.clone();
    Runner::start(
        record,
        name,
        "pool",
        "osu",
        deployment.controls(),
        Arc::new(
            move |runner: &Runner, request: &Message, stream: &mut TcpStream| match request.path() {
                "/api/kv-move" => copy(&seen, runner, request, stream),
                _ => run(&seen, runner, request, stream, works_on),
            },
        ),
    )
}

/// Copies a generation's memory. If the order is the last one for it, the run stops first.
fn copy(seen: &Seen, runner: &Runner, request: &Message, stream: &mut TcpStream) -> bool {
    let text = request.text();
    let attempt = field(&text, "id");
    let is_last = text.contains("\"isFinal\":true");
    if is_last {
        seen.stopped
            .lock()
            .expect("unpoisoned")
            .push(attempt.clone());
    }
    thread::sleep(COPY_TIME);
    let handle = format!("h-{attempt}");
    seen.copies
        .lock()
        .expect("unpoisoned")
        .insert(handle.clone(), attempt.clone());
    runner.note(&format!(
        "copies the memory of {attempt}, isFinal: {is_last}"
    ));
    let body = format!(r#"{{"kvHandle":"{handle}","made":1}}"#);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes()).is_ok()
}

/// Runs a generation, or goes on with one from a copy. With `works_on` it works on after its connection was
/// closed, until it is done or ordered to stop.
fn run(
    seen: &Seen,
    runner: &Runner,
    request: &Message,
    stream: &mut TcpStream,
    works_on: bool,
) -> bool {
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    let mut next = 1;
    if let Some(from) = request.header("kv-from") {
        let handle = from.rsplit('/').next().unwrap_or("").to_owned();
        if seen
            .copies
            .lock()
            .expect("unpoisoned")
            .remove(&handle)
            .is_none()
        {
            runner.note(&format!(
                "{attempt} can't go on from {handle}: no such copy, or it was used"
            ));
            return runner::answer(
                stream,
                request,
                "503 Service Unavailable",
                "Not-Executed: 1\r\n",
                b"",
            );
        }
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse::<u64>().ok());
        next = last.unwrap_or(0) + 1;
        runner.note(&format!("{attempt} goes on after event {}", next - 1));
        seen.resumed
            .lock()
            .expect("unpoisoned")
            .insert(attempt.clone(), Instant::now());
    } else {
        runner.note(&format!("runs {attempt}"));
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {attempt}.1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    for id in next..=EVENTS {
        let event = format!("id: {id}\ndata: tokens of {attempt}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
        let is_stopped = seen.stopped.lock().expect("unpoisoned").contains(&attempt) && next == 1;
        if is_stopped || !is_open && !works_on {
            break;
        }
        thread::sleep(GAP);
    }
    if next == 1 {
        seen.ended
            .lock()
            .expect("unpoisoned")
            .insert(attempt.clone(), Instant::now());
        runner.note(&format!(
            "ends its work on {attempt}, its connection is open: {is_open}"
        ));
    }
    is_open && stream.write_all(b"0\r\n\r\n").is_ok()
}
