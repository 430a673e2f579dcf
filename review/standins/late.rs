//! A runner sends an extra answer late, where the answer to the next request is expected.
//!
//! The extra answer is a 421 that bears the id of an earlier request on the connection. The request
//! that is waiting there may not be repeated, and the runner runs it.

#[path = "kit.rs"]
mod kit;

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One answer in this many is followed by an extra one (0.02 of the answers).
const ANSWERS_PER_EXTRA: u64 = 50;

/// What the runners have run: attempts, each with the runners that ran it.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

fn main() {
    let record = kit::Record::create();
    let mut deployment = kit::Deployment::prepare(3, 0, 1);
    deployment.start_all();
    deployment.publish(&record, &kit::plain_state(7, "non_idempotent"));
    deployment.wait_ready();
    let runs: Runs = Arc::default();
    let answers = Arc::new(AtomicU64::new(0));
    let extras = Arc::new(AtomicU64::new(0));
    let gone = Arc::new(AtomicBool::new(false));
    let hosts: Vec<_> = (0..3).map(|n| deployment.control_address(n)).collect();
    let mut runners = Vec::new();
    for (number, id) in ["i-faulty", "i-sound"].into_iter().enumerate() {
        let is_faulty = number == 0 && kit::has_trouble();
        let (runs, answers, extras, log) = (
            runs.clone(),
            answers.clone(),
            extras.clone(),
            record.clone(),
        );
        let address = kit::listen(&kit::runner_ip(number), gone.clone(), move |mut stream| {
            serve(&mut stream, id, is_faulty, &runs, &answers, &extras, &log);
        });
        let runner = Arc::new(kit::Runner {
            id: id.to_owned(),
            address,
            service: "desk".to_owned(),
            zone: "osu".to_owned(),
            born: kit::unix_ms(),
            arrivals: Arc::default(),
            gone: gone.clone(),
            hosts: hosts.clone(),
            sequence: Arc::default(),
            host: Arc::default(),
            beating: Arc::new(AtomicBool::new(true)),
            cold_until: Arc::default(),
            record: record.clone(),
        });
        runner.beat();
        runners.push(runner);
    }
    let gateways = vec![deployment.frontend(0)];
    let consumers = kit::Consumers::start(&record, gateways, "/desk/book", "POST", 30, 2500);
    kit::sleep_ms(30_000);
    consumers.stop();
    kit::sleep_ms(3000);
    runners.iter().for_each(|runner| runner.exit());
    let runs = runs.lock().unwrap();
    let twice = runs.iter().filter(|(_, by)| by.len() > 1);
    let twice: Vec<_> = twice.collect();
    for (attempt, by) in &twice {
        record.line(&format!("{attempt} was run by {by:?}"));
    }
    record.say(&format!(
        "{} requests ran, {} late answers were sent, {} requests ran more than once",
        runs.len(),
        extras.load(Ordering::SeqCst),
        twice.len()
    ));
    if runs.len() < 300 {
        deployment.give_up("too few requests ran");
    }
    let broken = !twice.is_empty();
    drop(twice);
    deployment.finish(&record, broken);
}

#[allow(clippy::too_many_arguments)]
fn serve(
    stream: &mut TcpStream,
    id: &str,
    is_faulty: bool,
    runs: &Runs,
    answers: &AtomicU64,
    extras: &AtomicU64,
    record: &kit::Record,
) {
    let mut buffer = Vec::new();
    let mut previous: Option<String> = None;
    let mut owes_extra = false;
    while let Ok(Some(request)) = kit::read_message(stream, &mut buffer) {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("target-instance") != Some(id) {
            let _ = kit::write_response(stream, 421, &[("Attempt-Id", &attempt)], b"");
            continue;
        }
        if let (true, Some(previous)) = (owes_extra, &previous) {
            extras.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "{id} sends a late answer of {previous} while {attempt} waits"
            ));
            let _ = kit::write_response(stream, 421, &[("Attempt-Id", previous)], b"");
        }
        record.line(&format!("{id} runs {attempt}"));
        runs.lock()
            .unwrap()
            .entry(attempt.clone())
            .or_default()
            .push(id.to_owned());
        std::thread::sleep(Duration::from_millis(30));
        let signature = format!("sig-{id}-{attempt}");
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Signature", &signature),
        ];
        if kit::write_response(stream, 200, &headers, b"booked").is_err() {
            return;
        }
        let number = answers.fetch_add(1, Ordering::SeqCst);
        owes_extra = is_faulty && number % ANSWERS_PER_EXTRA == 0;
        previous = Some(attempt);
    }
}
