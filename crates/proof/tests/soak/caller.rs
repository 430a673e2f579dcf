//! Callers, each of which sends one request at a time and reuses its connections.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::deployment;
use crate::ledger;

/// Events of a complete generation.
const EVENTS: u64 = 60;
/// Time beyond its route's timeout that a caller waits for a response.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(1500);
/// Pause after a request that was not served.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Part of prompts on which runners crash now and then.
pub(crate) const DEADLY_PART: &str = "dead";
/// Body of the plain calls on which runners crash now and then; all of them are the same request.
pub(crate) const DEADLY_BODY: &str = "deadly body";
/// Requests for each one that is deadly.
const DEADLY_INTERVAL: u32 = 9;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection to a gateway.
#[derive(Debug)]
struct Connection {
    gateway: usize,
    sender: Sender,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// A complete response with this status arrived.
    Responded(u16),
    /// No response arrived, or only part of one.
    Broken,
}

/// Callers that have been started.
pub(crate) type Callers = tokio::task::JoinSet<()>;

/// Starts callers that send requests until the ledger is stopped.
pub(crate) fn spawn_all(
    count: u64,
    seed: u64,
    deployment: &deployment::Deployment,
    ledger: &ledger::Ledger,
) -> Callers {
    let callers = (0..count).map(|number| call(number, seed, deployment, ledger.clone()));
    callers.collect()
}

/// Stops the ledger and waits for the callers to end.
pub(crate) async fn stop(callers: Callers, ledger: &ledger::Ledger) {
    ledger.stop();
    callers.join_all().await;
}

/// Sends requests until the ledger is stopped.
fn call(
    number: u64,
    seed: u64,
    deployment: &deployment::Deployment,
    ledger: ledger::Ledger,
) -> impl core::future::Future<Output = ()> + use<> {
    let ports = deployment.gateway_ports.clone();
    async move {
        let mut random = SmallRng::seed_from_u64(seed * 1000 + number);
        let mut reusable = None;
        let mut count = 0;
        while !ledger.is_stopped() {
            count += 1;
            let kind = match random.random_range(0..3) {
                0 => ledger::Kind::Idempotent,
                1 => ledger::Kind::Once,
                _ => ledger::Kind::Stream,
            };
            let gateway = random.random_range(0..ports.len());
            let attempt = format!("{number:x}{count:08x}");
            let connection = match reusable.take() {
                Some(connection) => Some(connection),
                None => connect(gateway, ports[gateway]).await,
            };
            let Some(connection) = connection else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let (end, connection) = send_request(connection, &attempt, kind, &ledger).await;
            reusable = connection.filter(|_connection| random.random_bool(0.8));
            if end != End::Responded(200) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Checks that every gateway serves each kind of request after the faults have ended.
pub(crate) async fn check_served(deployment: &deployment::Deployment, ledger: &ledger::Ledger) {
    let kinds = [
        ledger::Kind::Idempotent,
        ledger::Kind::Once,
        ledger::Kind::Stream,
    ];
    for (gateway, port) in deployment.gateway_ports.iter().enumerate() {
        for kind in kinds {
            let deadline = time::Instant::now() + deployment::WAIT_TIMEOUT;
            let mut tries = 0;
            loop {
                tries += 1;
                let attempt = format!("f{gateway}{kind:?}{tries}");
                let ended = match connect(gateway, *port).await {
                    Some(connection) => send_request(connection, &attempt, kind, ledger).await.0,
                    None => End::Broken,
                };
                if ended == End::Responded(200) {
                    break;
                }
                if time::Instant::now() > deadline {
                    ledger.record_violation(format!(
                        "gateway {gateway} does not serve {kind:?}: {ended:?}"
                    ));
                    break;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn connect(gateway: usize, port: u16) -> Option<Connection> {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // An error of the connection also fails the request, which reports it.
        let _ = connection.await;
    });
    Some(Connection { gateway, sender })
}

/// Sends one request and checks its response; returns the connection if it can be reused.
async fn send_request(
    mut connection: Connection,
    attempt: &str,
    kind: ledger::Kind,
    ledger: &ledger::Ledger,
) -> (End, Option<Connection>) {
    let (path, limit_ms) = match kind {
        ledger::Kind::Idempotent => ("/plain/x?y=1", 2000),
        ledger::Kind::Once => ("/once/x", 2000),
        ledger::Kind::Stream => ("/stream/x", 6000),
    };
    let limit = time::Duration::from_millis(limit_ms);
    let mut request = http::Request::post(path)
        .header("host", "h")
        .header("attempt-id", attempt)
        .header("deadline-ms", limit_ms);
    if kind == ledger::Kind::Stream {
        request = request
            .header("token-usage", "900,400")
            .header("model", "m")
            .header("prefix-hash", write_parts(attempt));
    }
    let body = match kind {
        ledger::Kind::Idempotent | ledger::Kind::Once if is_deadly(attempt) => {
            Bytes::from_static(DEADLY_BODY.as_bytes())
        }
        _ => Bytes::from(format!("body of {attempt}")),
    };
    let request = request.body(Full::new(body.clone())).expect("a request");
    ledger.record_request(attempt, kind, connection.gateway);
    let response = read_response(&mut connection.sender, request);
    let answered = tokio::time::timeout(limit + RESPONSE_MARGIN, response).await;
    let Ok(answered) = answered else {
        // A gateway that is stopped, paused or killed may not respond; the caller gives up.
        return (End::Broken, None);
    };
    let Some((head, bytes)) = answered else {
        return (End::Broken, None);
    };
    let status = head.status.as_u16();
    let outcome = match status {
        200 => ledger::Outcome::Complete,
        408 | 421 | 429 | 503 => ledger::Outcome::NotRun,
        _ => ledger::Outcome::Unknown,
    };
    ledger.record_outcome(attempt, outcome);
    if status == 200 && !is_expected(kind, attempt, &body, &head, &bytes) {
        ledger.record_violation(format!(
            "{attempt} ({kind:?}) got a wrong response: {bytes:?}"
        ));
    }
    if matches!(status, 400..=407 | 409..=420) {
        ledger.record_violation(format!("{attempt} ({kind:?}) was rejected with {status}"));
    }
    (End::Responded(status), Some(connection))
}

/// Returns the parts of a generation's prompt; some have the part on which runners may crash.
fn write_parts(attempt: &str) -> String {
    let number = sum_bytes(attempt);
    let shared = format!("aa:40,{:x}:30", number % 4);
    match is_deadly(attempt) {
        true => format!("{shared},{DEADLY_PART}:20,{number:x}:800"),
        false => format!("{shared},{number:x}:800"),
    }
}

/// Returns whether runners may crash on a request; never on those sent after the faults.
fn is_deadly(attempt: &str) -> bool {
    !attempt.starts_with('f') && sum_bytes(attempt).is_multiple_of(DEADLY_INTERVAL)
}

fn sum_bytes(attempt: &str) -> u32 {
    attempt.bytes().map(u32::from).sum()
}

async fn read_response(
    sender: &mut Sender,
    request: http::Request<Full<Bytes>>,
) -> Option<(http::response::Parts, Bytes)> {
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?;
    Some((head, body.to_bytes()))
}

fn is_expected(
    kind: ledger::Kind,
    attempt: &str,
    sent: &Bytes,
    head: &http::response::Parts,
    bytes: &Bytes,
) -> bool {
    let is_own = head
        .headers
        .get("attempt-id")
        .is_some_and(|id| id == attempt);
    let is_signed = head.headers.contains_key("server-signature");
    let is_whole = match kind {
        ledger::Kind::Idempotent | ledger::Kind::Once => bytes == sent,
        ledger::Kind::Stream => {
            let text = String::from_utf8_lossy(bytes);
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
            ids == (1..=EVENTS).collect::<Vec<u64>>()
        }
    };
    is_own && is_signed && is_whole
}
