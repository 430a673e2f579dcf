//! A runner becomes cold again while its zone is empty, and the zone is taken back.
//!
//! The runner goes on under the same id and start, and its heartbeats name `coldLeftMs`. While it is
//! cold, it may get `coldPerS` x `coldFactor` + `coldBurst` requests in a second; it crashes at a rate
//! well above that.

#[path = "kit.rs"]
mod kit;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Requests a second that a cold runner tolerates (`coldPerS` of the desired state below).
const COLD_PER_S: f64 = 8.0;
/// `coldStartS` of the desired state below.
const COLD_START: Duration = Duration::from_millis(4000);
const COLD_FACTOR: f64 = 1.5;
const COLD_BURST: f64 = 5.0;
/// Requests in a second at which a cold runner crashes: three times what it tolerates.
const CRASH_PER_S: usize = 24;
const SECOND: Duration = Duration::from_secs(1);

#[derive(Clone)]
struct Server {
    arrivals: Arc<Mutex<Vec<Instant>>>,
    cold_until: Arc<Mutex<Option<Instant>>>,
    crashed: Arc<AtomicBool>,
    id: &'static str,
    record: kit::Record,
}

impl Server {
    fn is_cold(&self) -> bool {
        self.cold_until
            .lock()
            .unwrap()
            .is_some_and(|end| Instant::now() < end)
    }

    /// Counts a request; returns whether the runner crashes on it.
    fn arrives(&self) -> bool {
        let now = Instant::now();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push(now);
        let last = arrivals
            .iter()
            .rev()
            .take_while(|at| now - **at < SECOND)
            .count();
        self.is_cold() && last > CRASH_PER_S
    }
}

fn main() {
    let record = kit::Record::create();
    let mut deployment = kit::Deployment::prepare(3, 0, 2);
    deployment.start_all();
    let state = kit::plain_state(7, "non_idempotent");
    let cold = format!(
        "\"coldStartS\":{}.0,\"coldPerS\":{COLD_PER_S:.1}",
        COLD_START.as_secs()
    );
    deployment.publish(
        &record,
        &state.replace("\"coldStartS\":0.0,\"coldPerS\":0.0", &cold),
    );
    deployment.wait_ready();
    let hosts: Vec<_> = (0..3).map(|n| deployment.control_address(n)).collect();
    let mut runners = Vec::new();
    let mut servers = Vec::new();
    for (number, (id, zone)) in [("i-osu", "osu"), ("i-tema", "tema")]
        .into_iter()
        .enumerate()
    {
        let server = Server {
            arrivals: Arc::default(),
            cold_until: Arc::default(),
            crashed: Arc::default(),
            id,
            record: record.clone(),
        };
        let serving = server.clone();
        let address = kit::listen(
            &kit::runner_ip(number),
            server.crashed.clone(),
            move |mut stream| {
                serve(&mut stream, &serving);
            },
        );
        let runner = Arc::new(kit::Runner {
            id: id.to_owned(),
            address,
            service: "desk".to_owned(),
            zone: zone.to_owned(),
            born: kit::unix_ms(),
            arrivals: Arc::default(),
            gone: server.crashed.clone(),
            hosts: hosts.clone(),
            sequence: Arc::default(),
            host: Arc::default(),
            beating: Arc::new(AtomicBool::new(true)),
            cold_until: server.cold_until.clone(),
            record: record.clone(),
        });
        runner.beat();
        runners.push(runner);
        servers.push(server);
    }
    let gateways = vec![deployment.frontend(0), deployment.frontend(1)];
    let consumers = kit::Consumers::start(&record, gateways, "/desk/book", "POST", 60, 2500);
    kit::sleep_ms(6000);
    let other = deployment.control_address(0);
    order(&deployment, &record, "POST", other);
    kit::sleep_ms(8000);
    let tema = &servers[1];
    if kit::has_trouble() {
        *tema.cold_until.lock().unwrap() =
            Some(Instant::now() + COLD_START + Duration::from_millis(1500));
        record.say("i-tema becomes cold again, under the same id and start; its heartbeats say so");
    }
    // It says so in the next heartbeat, which is acknowledged before the zone is taken back.
    kit::sleep_ms(1500);
    order(&deployment, &record, "DELETE", other);
    let back = Instant::now();
    kit::sleep_ms(4000);
    let cold_ends = tema.cold_until.lock().unwrap().unwrap_or(back + COLD_START);
    consumers.stop();
    kit::sleep_ms(2700);
    let arrivals = tema.arrivals.lock().unwrap().clone();
    let while_cold: Vec<_> = arrivals
        .iter()
        .filter(|at| **at >= back && **at < cold_ends)
        .copied()
        .collect();
    let in_second = |from: &Instant| {
        while_cold
            .iter()
            .filter(|at| **at >= *from && **at - *from < SECOND)
            .count()
    };
    let most = while_cold.iter().map(in_second).max().unwrap_or(0);
    let bound = COLD_PER_S * COLD_FACTOR + COLD_BURST;
    record.say(&format!(
        "most requests in a second at i-tema after the zone was taken back: {most}, bound while cold {bound}"
    ));
    record.say(&format!(
        "i-tema crashed: {}",
        tema.crashed.load(Ordering::SeqCst)
    ));
    let counts = consumers.count(back, back + Duration::from_millis(4000));
    record.say(&format!(
        "answers to requests sent after that, by status (0: none): {counts:?}"
    ));
    runners.iter().for_each(|runner| runner.exit());
    let broken = kit::has_trouble() && most as f64 > bound;
    deployment.finish(&record, broken);
}

fn order(
    deployment: &kit::Deployment,
    record: &kit::Record,
    method: &str,
    to: std::net::SocketAddr,
) {
    let reply = kit::call(
        to,
        method,
        "/api/evacuations/tema",
        &[],
        b"",
        kit::CALL_TIMEOUT,
    );
    match reply {
        Ok(reply) if reply.status / 100 == 2 => {
            record.say(&format!(
                "operator: {method} evacuation of tema acknowledged"
            ));
        }
        _ => deployment.give_up("an order was not acknowledged"),
    }
}

fn serve(stream: &mut TcpStream, server: &Server) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = kit::read_message(stream, &mut buffer) {
        if server.crashed.load(Ordering::SeqCst) {
            return;
        }
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("target-instance") != Some(server.id) {
            let _ = kit::write_response(stream, 421, &[("Attempt-Id", &attempt)], b"");
            continue;
        }
        server.record.line(&format!(
            "{} runs {attempt}, cold: {}",
            server.id,
            server.is_cold()
        ));
        if server.arrives() {
            server.record.say(&format!(
                "{} crashes: too many requests while it is cold",
                server.id
            ));
            server.crashed.store(true, Ordering::SeqCst);
            return;
        }
        std::thread::sleep(Duration::from_millis(30));
        if server.crashed.load(Ordering::SeqCst) {
            return;
        }
        let signature = format!("sig-{}-{attempt}", server.id);
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Signature", &signature),
        ];
        if kit::write_response(stream, 200, &headers, b"booked").is_err() {
            return;
        }
    }
}
