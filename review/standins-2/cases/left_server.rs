//! A server leaves without draining first. The machine whose control host acknowledged that is killed
//! and starts again. Its gateway must not use the server again.

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{CONTACT_MS, DRAIN_MS};
use crate::deploy::{self, Deployment};
use crate::http::{self, Message};
use crate::record::Record;
use crate::runner::{self, Runner};
use crate::Verdict;

/// Machine whose control host acknowledges the leave, and that is killed.
const KILLED: usize = 0;
/// Machine whose control host got the last heartbeat.
const HEARD: usize = 1;
/// Time for which the server goes on after the acknowledgement.
const STAYS: Duration = Duration::from_millis(5500);
/// Time after which a killed process is started again.
const DOWN: Duration = Duration::from_millis(300);
/// Added to the bounds of the rule, for the times that pass between a measurement and the event.
const MARGIN: Duration = Duration::from_millis(200);

/// A request that reached the leaving server.
struct Arrival {
    at: Instant,
    attempt: String,
}

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record, &deploy::document(7))?;
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let noted = arrivals.clone();
    let leaving = Runner::start(
        record,
        "i-leaving",
        "desk",
        "osu",
        deployment.controls(),
        Arc::new(
            move |runner: &Runner, request: &Message, stream: &mut TcpStream| {
                let attempt = request.header("attempt-id").unwrap_or("").to_owned();
                noted.lock().expect("unpoisoned").push(Arrival {
                    at: Instant::now(),
                    attempt: attempt.clone(),
                });
                runner.note(&format!("runs {attempt}"));
                work(runner, request, stream)
            },
        ),
    );
    let _staying = Runner::start(
        record,
        "i-staying",
        "desk",
        "tema",
        deployment.controls(),
        Arc::new(work),
    );
    // The core has been stable for `contactMs`, all machines are in touch.
    thread::sleep(Duration::from_millis(CONTACT_MS + 500));
    leaving.stop_heartbeats();
    thread::sleep(runner::HEARTBEAT + MARGIN);
    if !leaving.beat(deployment.control(HEARD)) {
        return Err("the last heartbeat was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(50));
    if !leaving.leave(deployment.control(KILLED)) {
        return Err("the leave was not acknowledged".to_owned());
    }
    let acknowledged = Instant::now();
    record.line(&format!(
        "control host {KILLED} acknowledged that i-leaving leaves"
    ));
    let mut started = acknowledged;
    if has_trouble {
        thread::sleep(Duration::from_millis(150));
        deployment.kill_machine(KILLED);
        thread::sleep(DOWN);
        deployment.start_machine(KILLED, false)?;
        started = Instant::now();
    }
    // From here on all machines are in touch again.
    let in_touch = started + Duration::from_millis(CONTACT_MS) + MARGIN;
    let judged = in_touch.max(acknowledged + Duration::from_millis(DRAIN_MS) + MARGIN);
    thread::sleep(judged.saturating_duration_since(Instant::now()));
    record.line("all machines are in touch, drainMs is over: requests are sent to each gateway");
    let lost = Arc::new(AtomicUsize::new(0));
    let exits = leaving.clone();
    let exit_at = acknowledged + STAYS;
    let exiting = thread::spawn(move || {
        thread::sleep(exit_at.saturating_duration_since(Instant::now()));
        exits.note("exits");
        exits.exit();
    });
    let mut calls = Vec::new();
    let mut number = 0;
    while Instant::now() < exit_at {
        for machine in 0..deployment.machines.len() {
            number += 1;
            let address = deployment.callers(machine);
            let record = record.clone();
            let lost = lost.clone();
            calls.push(thread::spawn(move || {
                reserve(&record, machine, number, address, &lost)
            }));
        }
        thread::sleep(Duration::from_millis(50));
    }
    for call in calls {
        let _ = call.join();
    }
    let _ = exiting.join();
    let arrivals = arrivals.lock().expect("unpoisoned");
    let late: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at > judged)
        .collect();
    for arrival in &late {
        let after = arrival.at.duration_since(acknowledged).as_millis();
        record.line(&format!(
            "{} reached i-leaving {after} ms after the acknowledgement",
            arrival.attempt
        ));
    }
    let lost = lost.load(Ordering::SeqCst);
    let text = format!(
        "{} requests reached the server later than drainMs after its leave was acknowledged, {lost} of {number} had no good answer",
        late.len()
    );
    Ok(match late.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    })
}

/// Works on a request for 200 ms and answers it.
fn work(_runner: &Runner, request: &Message, stream: &mut TcpStream) -> bool {
    thread::sleep(Duration::from_millis(200));
    let is_sent = runner::answer(stream, request, "200 OK", "", b"done");
    is_sent && stream.flush().is_ok()
}

/// Sends an order that may run once to a gateway.
fn reserve(
    record: &Record,
    machine: usize,
    number: usize,
    address: std::net::SocketAddr,
    lost: &AtomicUsize,
) {
    let attempt = format!("a{machine}-{number}");
    let headers = [
        ("Attempt-Id", attempt.as_str()),
        ("Deadline-Ms", "2500"),
        ("X-Api-Key", deploy::KEY),
    ];
    let request = http::format_request("POST", "/reserve/gown", deploy::HOST, &headers, b"order");
    record.line(&format!("client sends {attempt} to gateway {machine}"));
    let text = match http::call(address, &request, Duration::from_millis(2500)) {
        Ok(answer) if answer.status() == 200 => "200".to_owned(),
        Ok(answer) => {
            lost.fetch_add(1, Ordering::SeqCst);
            answer.status().to_string()
        }
        Err(error) => {
            lost.fetch_add(1, Ordering::SeqCst);
            error.to_string()
        }
    };
    record.line(&format!("client: {attempt} ends with {text}"));
}
