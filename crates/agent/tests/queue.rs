//! Queueing and refusal of requests by an agent process.

mod support;

use core::time;

use peargap_wire::agent as wire;
use support::control;
use support::engine;
use support::process;

struct Fixture {
    agent: process::Agent,
    control: control::Control,
    engine: engine::Engine,
}

/// Starts an agent whose upstream is cold, which limits it to two concurrent requests.
async fn start_fixture(extra_settings: &str) -> Fixture {
    let (control, control_address) = control::Control::start().await;
    let (engine, address) = engine::Engine::start().await;
    let agent = process::Agent::start("engine", control_address, address, extra_settings).await;
    Fixture {
        agent,
        control,
        engine,
    }
}

fn start_with_deadline(request: &str, length: u64, deadline_ms: u32) -> wire::up::Kind {
    let wire::up::Kind::Start(mut start) = support::start_request(request, length) else {
        unreachable!("a start");
    };
    start.deadline_ms = deadline_ms;
    start.max_tokens = 100;
    wire::up::Kind::Start(start)
}

async fn fill(fixture: &Fixture, length: u64) -> [support::Link; 2] {
    let first = support::open(fixture.agent.address, support::start_request("f1", length)).await;
    let second = support::open(fixture.agent.address, support::start_request("f2", length)).await;
    let engine = &fixture.engine;
    support::wait_until("both run", || engine.inspect(|state| state.starts == 2)).await;
    [first, second]
}

#[tokio::test]
async fn queued_request_runs_when_capacity_is_available() {
    let fixture = start_fixture("").await;
    let _running = fill(&fixture, 60).await;
    let mut third = support::open(fixture.agent.address, support::start_request("r3", 10)).await;
    let accepted = third.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    assert_eq!(fixture.engine.inspect(|state| state.starts), 2);
    let mut received = support::Received::default();
    third.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(10));
}

#[tokio::test]
async fn request_that_cannot_meet_its_deadline_is_refused_early() {
    let fixture = start_fixture("").await;
    let _running = fill(&fixture, 900).await;
    let started_at = tokio::time::Instant::now();
    let first = start_with_deadline("r3", 10, 4_000);
    let mut third = support::open(fixture.agent.address, first).await;
    let mut received = support::Received::default();
    third.read_all(&mut received).await;
    assert!(started_at.elapsed() < time::Duration::from_millis(4_000));
    let failed = received.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Deadline)
    );
    assert!(failed.retry_after_ms > 0);
    assert_eq!(fixture.engine.inspect(|state| state.starts), 2);
}

#[tokio::test]
async fn full_queue_refuses_with_a_retry_delay() {
    let fixture = start_fixture("[queue]\nmax_queued=1\n").await;
    let _running = fill(&fixture, 900).await;
    let mut queued = support::open(fixture.agent.address, support::start_request("r3", 10)).await;
    let accepted = queued.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    let mut refused = support::open(fixture.agent.address, support::start_request("r4", 10)).await;
    let mut received = support::Received::default();
    refused.read_all(&mut received).await;
    let failed = received.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Busy)
    );
    assert!(failed.retry_after_ms > 0);
}

#[tokio::test]
async fn request_cancelled_in_the_queue_never_reaches_the_engine() {
    let fixture = start_fixture("").await;
    let mut running = fill(&fixture, 60).await;
    let mut third = support::open(fixture.agent.address, support::start_request("r3", 10)).await;
    let accepted = third.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    third.send(wire::up::Kind::Cancel(wire::Cancel {})).await;
    let mut received = support::Received::default();
    third.read_all(&mut received).await;
    let failed = received.failed.expect("no failure received");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Cancelled)
    );
    for link in &mut running {
        link.read_all(&mut support::Received::default()).await;
    }
    assert_eq!(fixture.engine.inspect(|state| state.starts), 2);
}

#[tokio::test]
async fn cold_upstream_is_limited_to_two_requests() {
    let fixture = start_fixture("").await;
    let mut links = Vec::new();
    for number in 0..12 {
        let length = if number < 2 { 200 } else { 5 };
        let first = support::start_request(&format!("r{number}"), length);
        links.push(support::open(fixture.agent.address, first).await);
    }
    for link in &mut links {
        let answer = link.down.message().await.unwrap().unwrap().kind;
        assert!(answer.is_some(), "no answer");
    }
    assert_eq!(fixture.engine.inspect(|state| state.starts), 2);
    for link in &mut links {
        link.read_all(&mut support::Received::default()).await;
    }
    let (_, metrics) = fixture.agent.read("/metrics").await.unwrap();
    let limit = metrics
        .lines()
        .find(|line| line.starts_with("peargap_agent_limit{"));
    assert!(limit.is_some_and(|line| !line.ends_with(" 2")), "{limit:?}");
}

#[tokio::test]
async fn queued_request_is_refused_when_its_domain_is_taken_out() {
    let fixture = start_fixture("").await;
    let mut running = fill(&fixture, 150).await;
    let mut third = support::open(fixture.agent.address, support::start_request("r3", 10)).await;
    let accepted = third.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    fixture
        .control
        .change(|config| config.domains_out.push("a".to_owned()));
    let mut received = support::Received::default();
    third.read_all(&mut received).await;
    let failed = received.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Draining)
    );
    assert!(failed.retry_after_ms > 0);
    for link in &mut running {
        let mut whole = support::Received::default();
        link.read_all(&mut whole).await;
        assert_eq!(whole.text, support::full_text(150));
    }
    assert_eq!(fixture.engine.inspect(|state| state.starts), 2);
}
