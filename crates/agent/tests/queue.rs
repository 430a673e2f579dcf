//! Queueing and refusal of requests by an agent process.

mod support;

use core::time;

use peargap_wire::agent as wire;
use support::control;
use support::engine;
use support::process;

struct Rig {
    agent: process::Agent,
    control: control::Control,
    engine: engine::Engine,
}

/// Starts an agent whose upstream is cold, which limits it to two concurrent requests.
async fn build_rig(more: &str) -> Rig {
    let (control, control_address) = control::Control::start().await;
    let (engine, address) = engine::Engine::start().await;
    let agent = process::Agent::start("engine", control_address, address, more).await;
    Rig {
        agent,
        control,
        engine,
    }
}

fn start_with_deadline(request: &str, length: u64, deadline_ms: u32) -> wire::up::Kind {
    let wire::up::Kind::Start(mut start) = support::start(request, length) else {
        unreachable!("a start");
    };
    start.deadline_ms = deadline_ms;
    start.max_tokens = 100;
    wire::up::Kind::Start(start)
}

async fn fill(rig: &Rig, length: u64) -> [support::Link; 2] {
    let first = support::open(rig.agent.address, support::start("f1", length)).await;
    let second = support::open(rig.agent.address, support::start("f2", length)).await;
    let engine = &rig.engine;
    support::wait_until("both run", || engine.look(|state| state.starts == 2)).await;
    [first, second]
}

#[tokio::test]
async fn waiting_request_runs_when_there_is_room() {
    let rig = build_rig("").await;
    let _running = fill(&rig, 60).await;
    let mut third = support::open(rig.agent.address, support::start("r3", 10)).await;
    let accepted = third.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    assert_eq!(rig.engine.look(|state| state.starts), 2);
    let mut heard = support::Heard::default();
    third.read_all(&mut heard).await;
    assert_eq!(heard.text, support::whole_text(10));
}

#[tokio::test]
async fn request_that_cannot_make_it_is_refused_before_its_deadline() {
    let rig = build_rig("").await;
    let _running = fill(&rig, 900).await;
    let begun = tokio::time::Instant::now();
    let first = start_with_deadline("r3", 10, 4_000);
    let mut third = support::open(rig.agent.address, first).await;
    let mut heard = support::Heard::default();
    third.read_all(&mut heard).await;
    assert!(begun.elapsed() < time::Duration::from_millis(4_000));
    let failed = heard.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Deadline)
    );
    assert!(failed.retry_after_ms > 0);
    assert_eq!(rig.engine.look(|state| state.starts), 2);
}

#[tokio::test]
async fn full_queue_refuses_at_once_with_a_time_to_come_back() {
    let rig = build_rig("[queue]\nmax_queued=1\n").await;
    let _running = fill(&rig, 900).await;
    let mut queued = support::open(rig.agent.address, support::start("r3", 10)).await;
    let accepted = queued.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    let mut refused = support::open(rig.agent.address, support::start("r4", 10)).await;
    let mut heard = support::Heard::default();
    refused.read_all(&mut heard).await;
    let failed = heard.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Busy)
    );
    assert!(failed.retry_after_ms > 0);
}

#[tokio::test]
async fn caller_that_leaves_the_queue_never_reaches_the_engine() {
    let rig = build_rig("").await;
    let mut running = fill(&rig, 60).await;
    let mut third = support::open(rig.agent.address, support::start("r3", 10)).await;
    let accepted = third.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    third.say(wire::up::Kind::Cancel(wire::Cancel {})).await;
    let mut heard = support::Heard::default();
    third.read_all(&mut heard).await;
    let failed = heard.failed.expect("not told");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Cancelled)
    );
    for link in &mut running {
        link.read_all(&mut support::Heard::default()).await;
    }
    assert_eq!(rig.engine.look(|state| state.starts), 2);
}

#[tokio::test]
async fn upstream_that_has_proven_nothing_gets_two_whatever_the_number_of_callers() {
    let rig = build_rig("").await;
    let mut links = Vec::new();
    for number in 0..12 {
        let length = if number < 2 { 200 } else { 5 };
        let first = support::start(&format!("r{number}"), length);
        links.push(support::open(rig.agent.address, first).await);
    }
    for link in &mut links {
        let answer = link.down.message().await.unwrap().unwrap().kind;
        assert!(answer.is_some(), "no answer");
    }
    assert_eq!(rig.engine.look(|state| state.starts), 2);
    for link in &mut links {
        link.read_all(&mut support::Heard::default()).await;
    }
    let (_, metrics) = rig.agent.read("/metrics").await.unwrap();
    let limit = metrics
        .lines()
        .find(|line| line.starts_with("peargap_agent_limit{"));
    assert!(limit.is_some_and(|line| !line.ends_with(" 2")), "{limit:?}");
}

#[tokio::test]
async fn waiting_request_is_turned_away_when_its_domain_goes_out() {
    let rig = build_rig("").await;
    let mut running = fill(&rig, 150).await;
    let mut third = support::open(rig.agent.address, support::start("r3", 10)).await;
    let accepted = third.down.message().await.unwrap().unwrap().kind;
    assert!(
        matches!(accepted, Some(wire::down::Kind::Accepted(_))),
        "{accepted:?}"
    );
    rig.control
        .change(|config| config.domains_out.push("a".to_owned()));
    let mut heard = support::Heard::default();
    third.read_all(&mut heard).await;
    let failed = heard.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Draining)
    );
    assert!(failed.retry_after_ms > 0);
    for link in &mut running {
        let mut whole = support::Heard::default();
        link.read_all(&mut whole).await;
        assert_eq!(whole.text, support::whole_text(150));
    }
    assert_eq!(rig.engine.look(|state| state.starts), 2);
}
