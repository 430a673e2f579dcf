//! Changes of a large routing document, a second apart, to a gateway behind a thin link that also
//! carries traffic.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use peargap_load::client;

use crate::deployment;
use crate::operator;
use crate::relay;

const ROUTES: u64 = 2_000;
const CHANGES: u32 = 20;
const CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// 7.5 Mbit/s.
const LINK_BYTES_PER_S: f64 = 7.5e6 / 8.0;
/// Time from the answer to a change until the gateway routes by it.
const IN_FORCE_TIME: time::Duration = time::Duration::from_millis(500);
/// Time that a change may add to an answer.
const ADDED_TIME: time::Duration = time::Duration::from_millis(10);
const CALLERS: usize = 4;
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(40);
const ANSWER_BYTES: usize = 800;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Name of the relays to control hosts on the link.
const CONTROL: &str = "control";
/// Name of the relays to upstreams on the link.
const UPSTREAM: &str = "upstream";

/// Returns a document of which one route has a prefix by the version.
fn format_document(version: u64) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|number| {
            let prefix = match number == version {
                true => format!("/changed/{version}/"),
                false => format!("/r/{:x}/", number * 7_919),
            };
            format!(
                r#"{{"name":"r-{number}","host":"h","pathPrefix":"{prefix}","routeType":"idempotent",
                "timeoutMs":2500,"latencySloMs":300,"maxAttempts":2,"service":"desk","public":true}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk"}},{{"name":"pool",
        "engine":{{"slots":24,"kvCapacity":34471,"moves":true,"backups":true,"stride":4}}}}]}}"#,
        routes.join(",")
    )
}

async fn get(client: &client::Client, port: u16, path: &str) -> Option<u16> {
    let request = http::Request::get(format!("http://127.0.0.1:{port}{path}")).header("host", "h");
    let answer = client.call(request, Bytes::new()).await.ok()?;
    Some(answer.status.as_u16())
}

/// A change of the document.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// When the control host has accepted it.
    accepted: time::Instant,
    /// When the gateway routes by it.
    in_force: time::Instant,
    sent: time::Instant,
}

/// An answer to a caller.
#[derive(Clone, Copy, Debug)]
struct Answer {
    sent: time::Instant,
    time: time::Duration,
}

impl Change {
    /// Returns whether an answer was on its way while the change came into force.
    fn is_beside(&self, answer: &Answer) -> bool {
        answer.sent <= self.in_force && answer.sent + answer.time >= self.sent
    }
}

/// Publishes a version and waits until the gateway routes by it.
async fn change(deployment: &deployment::Deployment, version: u64, document: String) -> Change {
    let sent = time::Instant::now();
    let address = net::SocketAddr::from((deployment::control_ip(0), deployment.platform_port));
    let path = "/api/config";
    let deadline = time::Instant::now() + deployment::WAIT_TIMEOUT;
    loop {
        let answer = operator::call(address, "PUT", path, document.clone()).await;
        if answer.is_some_and(|(status, _body)| status == 200) {
            break;
        }
        assert!(
            time::Instant::now() < deadline,
            "version {version} is not accepted"
        );
    }
    let accepted = time::Instant::now();
    let client = client::Client::new("");
    let path = format!("/changed/{version}/x");
    while get(&client, deployment.gateway_ports[0], &path).await != Some(200) {
        assert!(
            time::Instant::now() < deadline,
            "version {version} is not in force"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Change {
        accepted,
        in_force: time::Instant::now(),
        sent,
    }
}

/// Sends requests until `end`; returns their answers.
async fn call_until(port: u16, end: time::Instant) -> Vec<Answer> {
    let client = client::Client::new("");
    let mut answers = Vec::new();
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    while time::Instant::now() < end {
        ticks.tick().await;
        let sent = time::Instant::now();
        let status = get(&client, port, "/r/0/x").await;
        assert_eq!(status, Some(200));
        answers.push(Answer {
            sent,
            time: sent.elapsed(),
        });
    }
    answers
}

/// Calls for a time; returns the answers.
async fn call_for(port: u16, duration: time::Duration) -> Vec<Answer> {
    let end = time::Instant::now() + duration;
    let callers = (0..CALLERS).map(|_caller| tokio::spawn(call_until(port, end)));
    let callers: Vec<_> = callers.collect();
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await.expect("a caller"));
    }
    answers
}

/// Prints how long answers took; returns the longest time.
fn describe(name: &str, answers: &[Answer]) -> time::Duration {
    let mut times: Vec<_> = answers.iter().map(|answer| answer.time).collect();
    times.sort();
    println!(
        "{name}: {} answers, median {:?}, 99 in 100 {:?}, longest {:?}",
        times.len(),
        times[times.len() / 2],
        times[times.len() * 99 / 100],
        times[times.len() - 1]
    );
    times[times.len() - 1]
}

/// Passes all that the gateway receives over one link.
fn limit(deployment: &deployment::Deployment, link: &sync::Arc<relay::Link>) {
    for relay in &deployment.control_relays {
        relay.limit(link, CONTROL);
    }
    for upstream in &deployment.upstreams {
        upstream.relay.limit(link, UPSTREAM);
        upstream.runner.set_body_bytes(ANSWER_BYTES);
    }
}

/// What 20 changes, a second apart, have cost.
#[derive(Debug)]
struct Outcome {
    /// Time from the acceptance of each change until the gateway routed by it.
    in_force_after: Vec<time::Duration>,
    /// Longest answer beside a change.
    longest_beside: time::Duration,
    /// Longest of the other answers.
    longest_other: time::Duration,
    /// Longest time that an answer waited for the link.
    longest_wait: time::Duration,
}

/// Plays the changes beside traffic.
async fn play_changes() -> Outcome {
    let deployment = deployment::Deployment::start(1).await;
    let port = deployment.gateway_ports[0];
    let link = relay::Link::new(LINK_BYTES_PER_S);
    limit(&deployment, &link);
    change(&deployment, 1, format_document(1)).await;
    println!("the first document: {} bytes", link.count_passed(CONTROL));
    let versions = 2..2 + u64::from(CHANGES);
    let documents: Vec<_> = versions
        .map(|version| (version, format_document(version)))
        .collect();
    let _warm_up = call_for(port, time::Duration::from_millis(500)).await;
    link.take_longest_wait(UPSTREAM);
    let before = link.count_passed(CONTROL);
    let calls = tokio::spawn(call_for(port, CHANGE_INTERVAL * CHANGES));
    let mut ticks = tokio::time::interval(CHANGE_INTERVAL);
    let mut changes = Vec::new();
    for (version, document) in documents {
        ticks.tick().await;
        changes.push(change(&deployment, version, document).await);
    }
    let answers = calls.await.expect("callers");
    let bytes = link.count_passed(CONTROL) - before;
    let (beside, others): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|answer| changes.iter().any(|change| change.is_beside(answer)));
    let times = changes
        .iter()
        .map(|change| change.in_force - change.accepted);
    let outcome = Outcome {
        in_force_after: times.collect(),
        longest_beside: describe("beside changes", &beside),
        longest_other: describe("others", &others),
        longest_wait: link.take_longest_wait(UPSTREAM),
    };
    println!("{bytes} bytes from control hosts; {outcome:?}");
    outcome
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_a_second_apart_are_in_force_soon_and_hold_up_no_answer_on_a_thin_link() {
    let outcome = play_changes().await;
    let longest = outcome.in_force_after.iter().max().expect("changes");
    assert!(*longest <= IN_FORCE_TIME, "{outcome:?}");
    assert!(outcome.longest_wait <= ADDED_TIME, "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_of_a_large_document_lengthen_no_answer() {
    let outcome = play_changes().await;
    let allowed = outcome.longest_other + ADDED_TIME;
    assert!(outcome.longest_beside <= allowed, "{outcome:?}");
}
