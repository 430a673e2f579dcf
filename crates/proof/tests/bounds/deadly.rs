//! Prompts that crash engines: they are soon refused by all gateways, and sound ones are served.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use peargap_fake::runner;

use crate::as_number;
use crate::deployment;
use crate::ledger;
use crate::operator;
use crate::GATEWAYS;

/// Part of prompts on which the engines crash, and time for which they are gone.
const DEADLY: &str = "dead";
const DOWN_TIME: time::Duration = time::Duration::from_millis(1500);
const ENGINES: usize = 8;
/// Time in which the gateways get their routes and engines.
const START_TIME: time::Duration = time::Duration::from_secs(3);
/// Time for which generations are sent, and the time between two of each sort.
const RUN_TIME: time::Duration = time::Duration::from_secs(12);
const DEADLY_INTERVAL: time::Duration = time::Duration::from_millis(200);
const SOUND_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Crash from which on deadly generations count, the time after it, and how many may arrive.
const COUNTED_CRASH: usize = 5;
const CONTACT: time::Duration = time::Duration::from_secs(3);
const MAX_LATE: usize = 3;
/// Part of the sound generations of the second half that is to be served.
const MIN_SERVED: f64 = 0.95;

/// A generation that was sent.
#[derive(Debug)]
struct Sent {
    at: time::Instant,
    /// Whether it was served to its end.
    served: tokio::task::JoinHandle<bool>,
}

/// Sends a generation to a gateway; returns whether it was served to its end.
async fn send_generation(port: u16, attempt: String, parts: String) -> bool {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
    let Ok(stream) = tokio::net::TcpStream::connect(address).await else {
        return false;
    };
    let io = hyper_util::rt::TokioIo::new(stream);
    let Ok((mut sender, connection)) = hyper::client::conn::http1::handshake(io).await else {
        return false;
    };
    // Its errors fail the request, too.
    tokio::spawn(async move { drop(connection.await) });
    let request = http::Request::post("/stream/x")
        .header("host", "h")
        .header("attempt-id", attempt)
        .header("deadline-ms", 4000)
        .header("token-usage", "900,400")
        .header("model", "m")
        .header("prefix-hash", parts);
    let body = http_body_util::Full::new(bytes::Bytes::from_static(b"prompt"));
    let request = request.body(body).expect("a request");
    let Ok(response) = sender.send_request(request).await else {
        return false;
    };
    let is_success = response.status().is_success();
    is_success && response.into_body().collect().await.is_ok()
}

/// Sends generations to the gateways in turn until the end of the run. All share their first part;
/// `second` returns the second one.
async fn send_all(
    ports: Vec<u16>,
    name: &'static str,
    interval: time::Duration,
    second: fn(usize) -> String,
) -> Vec<Sent> {
    let end = time::Instant::now() + RUN_TIME;
    let mut sent = Vec::new();
    for number in 0.. {
        let at = time::Instant::now();
        if at >= end {
            break;
        }
        let parts = format!("aa:40,{}:30,{number:x}:800", second(number));
        let port = ports[number % ports.len()];
        let sending = send_generation(port, format!("{name}-{number}"), parts);
        let served = tokio::spawn(sending);
        sent.push(Sent { at, served });
        tokio::time::sleep(interval).await;
    }
    sent
}

/// Starts engines that crash on the deadly part, and no others.
async fn start_engines(deployment: &mut deployment::Deployment) -> Vec<runner::Runner> {
    for _engine in 0..ENGINES {
        deployment.add_direct_upstream("pool").await;
    }
    let engines = deployment
        .upstreams
        .iter()
        .filter(|one| one.service == "pool");
    let (direct, relayed): (Vec<_>, Vec<_>) =
        engines.partition(|one| one.address == one.runner.address);
    // Relays accept connections for an engine that has crashed.
    for engine in relayed {
        *engine.state.lock().expect("a state") = Some("draining");
    }
    let runners: Vec<_> = direct.iter().map(|engine| engine.runner.clone()).collect();
    for runner in &runners {
        runner.set_events(6, time::Duration::from_millis(10));
        runner.crash_on(Some(runner::Trigger::Part(DEADLY)), DOWN_TIME);
    }
    runners
}

fn count_crashes(runners: &[runner::Runner]) -> usize {
    runners.iter().map(runner::Runner::count_crashes).sum()
}

/// Returns when deadly generations begin to count, or never if too few engines crash until `end`.
async fn watch_crashes(runners: &[runner::Runner], end: time::Instant) -> Option<time::Instant> {
    while time::Instant::now() < end {
        if count_crashes(runners) >= COUNTED_CRASH {
            return Some(time::Instant::now() + CONTACT);
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    None
}

/// Returns how many deadly generations arrived at engines after `counted_from`.
fn count_late(runners: &[runner::Runner], counted_from: Option<time::Instant>) -> usize {
    let Some(from) = counted_from else {
        return 0;
    };
    let arrivals = runners.iter().flat_map(runner::Runner::arrivals);
    let late = arrivals.filter(|one| one.attempt.starts_with(DEADLY) && one.at > from);
    late.count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompts_that_crash_engines_are_refused_by_all_gateways_and_sound_ones_are_served() {
    let mut deployment = deployment::Deployment::start(GATEWAYS).await;
    let runners = start_engines(&mut deployment).await;
    let ledger = ledger::Ledger::default();
    let operator = operator::Operator::start(&deployment, ledger.clone()).await;
    tokio::time::sleep(START_TIME).await;
    let begun = time::Instant::now();
    let ports = deployment.gateway_ports.clone();
    let (deadly, sound, counted_from) = tokio::join!(
        send_all(ports.clone(), DEADLY, DEADLY_INTERVAL, |_number| {
            DEADLY.to_owned()
        }),
        send_all(ports, "sound", SOUND_INTERVAL, |number| {
            format!("{:x}", number % 5)
        }),
        watch_crashes(&runners, begun + RUN_TIME),
    );
    let mut served = 0;
    let mut settled = 0;
    for one in sound {
        let is_served = one.served.await.expect("a generation");
        if one.at >= begun + RUN_TIME / 2 {
            settled += 1;
            served += usize::from(is_served);
        }
    }
    for one in deadly {
        assert!(!one.served.await.expect("a generation"));
    }
    drop(operator);
    let crashes = count_crashes(&runners);
    let late = count_late(&runners, counted_from);
    println!("{crashes} crashes, {late} late, {served} of {settled} sound generations served");
    assert!(crashes > 0, "no engine crashed");
    assert!(late <= MAX_LATE, "{late} deadly generations arrived");
    assert!(as_number(served) >= MIN_SERVED * as_number(settled));
}
