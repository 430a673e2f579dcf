//! Requests that crash upstreams, by a part of their prompts or as a whole: they are soon refused by all
//! gateways, and sound ones are served.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use peargap_fake::runner;

use crate::as_number;
use crate::deployment;
use crate::ledger;
use crate::operator;
use crate::GATEWAYS;

/// Part of prompts, or body of calls, on which the upstreams crash, and time for which they are gone.
const DEADLY: &str = "dead";
const DOWN_TIME: time::Duration = time::Duration::from_millis(1500);
const UPSTREAMS: usize = 8;
/// Time in which the gateways get their routes and engines.
const START_TIME: time::Duration = time::Duration::from_secs(3);
/// Time for which requests are sent, and the time between two of each sort.
const RUN_TIME: time::Duration = time::Duration::from_secs(12);
const DEADLY_INTERVAL: time::Duration = time::Duration::from_millis(200);
const SOUND_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Crash from which on deadly requests count, the time after it, and how many may arrive.
const COUNTED_GENERATION_CRASH: usize = 5;
const COUNTED_CALL_CRASH: usize = 3;
const CONTACT: time::Duration = time::Duration::from_secs(3);
const MAX_LATE: usize = 3;
/// Part of the sound requests of the second half that is to be served.
const MIN_SERVED: f64 = 0.95;

/// What is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Plain calls, all of whose deadly ones are the same request.
    Call,
    /// Generations whose deadly ones have a part of their prompts in common.
    Generation,
}

impl Kind {
    fn service(self) -> &'static str {
        match self {
            Kind::Call => "desk",
            Kind::Generation => "pool",
        }
    }

    fn trigger(self) -> runner::Trigger {
        match self {
            Kind::Call => runner::Trigger::Body(DEADLY),
            Kind::Generation => runner::Trigger::Part(DEADLY),
        }
    }

    fn counted_crash(self) -> usize {
        match self {
            Kind::Call => COUNTED_CALL_CRASH,
            Kind::Generation => COUNTED_GENERATION_CRASH,
        }
    }

    /// Returns a request; deadly ones differ from each other only if they are generations.
    fn new_request(self, name: &str, number: usize) -> http::Request<Full<Bytes>> {
        let path = match self {
            Kind::Call => "/plain/x",
            Kind::Generation => "/stream/x",
        };
        let request = http::Request::post(path)
            .header("host", "h")
            .header("attempt-id", format!("{name}-{number}"))
            .header("deadline-ms", 4000);
        let is_deadly = name == DEADLY;
        let request = match self {
            Kind::Call => {
                let body = match is_deadly {
                    true => DEADLY.to_owned(),
                    false => format!("{name} {number}"),
                };
                request.body(Full::new(Bytes::from(body)))
            }
            Kind::Generation => {
                let second = match is_deadly {
                    true => DEADLY.to_owned(),
                    false => format!("{:x}", number % 5),
                };
                request
                    .header("token-usage", "900,400")
                    .header("model", "m")
                    .header("prefix-hash", format!("aa:40,{second}:30,{number:x}:800"))
                    .body(Full::new(Bytes::from_static(b"prompt")))
            }
        };
        request.expect("a request")
    }
}

/// A request that was sent.
#[derive(Debug)]
struct Sent {
    at: time::Instant,
    /// Whether it was served to its end.
    served: tokio::task::JoinHandle<bool>,
}

/// Sends a request to a gateway; returns whether it was served to its end.
async fn send(port: u16, request: http::Request<Full<Bytes>>) -> bool {
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
    let Ok(response) = sender.send_request(request).await else {
        return false;
    };
    let is_success = response.status().is_success();
    is_success && response.into_body().collect().await.is_ok()
}

/// Sends requests to the gateways in turn until the end of the run.
async fn send_all(
    ports: Vec<u16>,
    kind: Kind,
    name: &'static str,
    interval: time::Duration,
) -> Vec<Sent> {
    let end = time::Instant::now() + RUN_TIME;
    let mut sent = Vec::new();
    for number in 0.. {
        let at = time::Instant::now();
        if at >= end {
            break;
        }
        let port = ports[number % ports.len()];
        let served = tokio::spawn(send(port, kind.new_request(name, number)));
        sent.push(Sent { at, served });
        tokio::time::sleep(interval).await;
    }
    sent
}

/// Starts upstreams that crash on deadly requests; no others take work of this kind.
async fn start_upstreams(
    deployment: &mut deployment::Deployment,
    kind: Kind,
) -> Vec<runner::Runner> {
    let service = kind.service();
    for _upstream in 0..UPSTREAMS {
        deployment.add_direct_upstream(service).await;
    }
    let upstreams = deployment
        .upstreams
        .iter()
        .filter(|one| one.service == service);
    let (direct, relayed): (Vec<_>, Vec<_>) =
        upstreams.partition(|one| one.address == one.runner.address);
    // Relays accept connections for an upstream that has crashed.
    for upstream in relayed {
        *upstream.state.lock().expect("a state") = Some("draining");
    }
    let runners: Vec<_> = direct.iter().map(|one| one.runner.clone()).collect();
    for runner in &runners {
        runner.set_events(6, time::Duration::from_millis(10));
        runner.set_answer_delay(time::Duration::from_millis(20));
        runner.crash_on(Some(kind.trigger()), DOWN_TIME);
    }
    runners
}

fn count_crashes(runners: &[runner::Runner]) -> usize {
    runners.iter().map(runner::Runner::count_crashes).sum()
}

/// Returns when deadly requests begin to count, or never if too few upstreams crash until `end`.
async fn watch_crashes(
    runners: &[runner::Runner],
    counted_crash: usize,
    end: time::Instant,
) -> Option<time::Instant> {
    while time::Instant::now() < end {
        if count_crashes(runners) >= counted_crash {
            return Some(time::Instant::now() + CONTACT);
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    None
}

/// Returns how many deadly requests arrived at upstreams after `counted_from`.
fn count_late(runners: &[runner::Runner], counted_from: Option<time::Instant>) -> usize {
    let Some(from) = counted_from else {
        return 0;
    };
    let arrivals = runners.iter().flat_map(runner::Runner::arrivals);
    let late = arrivals.filter(|one| one.attempt.starts_with(DEADLY) && one.at > from);
    late.count()
}

/// Sends deadly and sound requests of a kind, and checks what reaches the upstreams and the callers.
/// Deadly ones must have crashed upstreams, and sound ones of the second half are served.
async fn check_kind(kind: Kind) {
    let mut deployment = deployment::Deployment::start(GATEWAYS).await;
    let runners = start_upstreams(&mut deployment, kind).await;
    let ledger = ledger::Ledger::default();
    let operator = operator::Operator::start(&deployment, ledger.clone()).await;
    tokio::time::sleep(START_TIME).await;
    let begun = time::Instant::now();
    let ports = deployment.gateway_ports.clone();
    let (deadly, sound, counted_from) = tokio::join!(
        send_all(ports.clone(), kind, DEADLY, DEADLY_INTERVAL),
        send_all(ports, kind, "sound", SOUND_INTERVAL),
        watch_crashes(&runners, kind.counted_crash(), begun + RUN_TIME),
    );
    let mut served = 0;
    let mut settled = 0;
    for one in sound {
        let is_served = one.served.await.expect("a request");
        if one.at >= begun + RUN_TIME / 2 {
            settled += 1;
            served += usize::from(is_served);
        }
    }
    for one in deadly {
        assert!(!one.served.await.expect("a request"));
    }
    drop(operator);
    let crashes = count_crashes(&runners);
    let late = count_late(&runners, counted_from);
    println!("{kind:?}: {crashes} crashes, {late} late, {served} of {settled} sound served");
    assert!(crashes > 0, "no upstream crashed");
    assert!(late <= MAX_LATE, "{late} deadly requests arrived");
    assert!(as_number(served) >= MIN_SERVED * as_number(settled));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompts_that_crash_engines_are_refused_by_all_gateways_and_sound_ones_are_served() {
    check_kind(Kind::Generation).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_crash_upstreams_are_refused_by_all_gateways_and_sound_ones_are_served() {
    check_kind(Kind::Call).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_in_quarantine_stays_there_when_all_processes_are_killed_at_once() {
    let mut deployment = deployment::Deployment::start(GATEWAYS).await;
    let runners = start_upstreams(&mut deployment, Kind::Call).await;
    let operator = operator::Operator::start(&deployment, ledger::Ledger::default()).await;
    tokio::time::sleep(START_TIME).await;
    let ports = deployment.gateway_ports.clone();
    send_deadly(&ports).await;
    let crashes = count_crashes(&runners);
    assert!(crashes >= COUNTED_CALL_CRASH, "{crashes} crashes");
    for process in deployment
        .controls
        .iter_mut()
        .chain(&mut deployment.gateways)
    {
        process.kill();
    }
    for process in deployment
        .controls
        .iter_mut()
        .chain(&mut deployment.gateways)
    {
        process.start();
    }
    tokio::time::sleep(START_TIME).await;
    send_deadly(&ports).await;
    assert_eq!(count_crashes(&runners), crashes);
    drop(operator);
}

/// Sends the deadly call to the gateways in turn, some time longer than a quarantine needs.
async fn send_deadly(ports: &[u16]) {
    for number in 0..15 {
        let request = Kind::Call.new_request(DEADLY, number);
        assert!(!send(ports[number % ports.len()], request).await);
        tokio::time::sleep(DEADLY_INTERVAL).await;
    }
}
