//! Generations through an agent process.

mod support;

use core::time;

use peargap_fake::endless;
use peargap_wire::agent as wire;
use support::control;
use support::engine;
use support::process;
use support::relay;

/// Bytes of an event that the agent accepts.
const MAX_EVENT_BYTES: u64 = 1 << 20;
/// Bytes that a peer can send into buffers of the system on one connection after the last read.
const SOCKET_BUFFER_BYTES: u64 = 8 << 20;

/// An agent process between fake peers.
struct Fixture {
    agent: process::Agent,
    engine: engine::Engine,
    /// Relay between the entry and the agent.
    entry_relay: relay::Relay,
    /// Relay between the agent and the engine.
    engine_relay: relay::Relay,
}

async fn start_fixture(extra_settings: &str) -> Fixture {
    let (_, control) = control::Control::start().await;
    let (engine, address) = engine::Engine::start().await;
    let engine_relay = relay::Relay::start(address).await;
    let agent =
        process::Agent::start("engine", control, engine_relay.address, extra_settings).await;
    let entry_relay = relay::Relay::start(agent.address).await;
    Fixture {
        agent,
        engine,
        entry_relay,
        engine_relay,
    }
}

#[tokio::test]
async fn complete_generation_arrives_once_and_in_order() {
    let fixture = start_fixture("").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 40),
    )
    .await;
    let mut received = support::Received::default();
    link.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(40));
    let finished = received.finished.expect("no end");
    assert_eq!(
        (finished.output_tokens, finished.reason.as_str()),
        (40, "stop")
    );
}

#[tokio::test]
async fn second_start_with_the_same_id_is_refused() {
    let fixture = start_fixture("").await;
    let mut first =
        support::open(fixture.entry_relay.address, support::start_request("r1", 5)).await;
    let mut received = support::Received::default();
    first.read_all(&mut received).await;
    let mut second =
        support::open(fixture.entry_relay.address, support::start_request("r1", 5)).await;
    let mut refused = support::Received::default();
    second.read_all(&mut refused).await;
    let failed = refused.failed.expect("not refused");
    assert_eq!(failed.ran(), wire::Ran::Unknown);
    assert_eq!(failed.reason(), wire::Reason::Repeated);
    assert_eq!(fixture.engine.inspect(|state| state.starts), 1);
}

#[tokio::test]
async fn cut_entry_link_resumes_without_duplicate_or_lost_tokens() {
    let fixture = start_fixture("").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 120),
    )
    .await;
    let mut received = support::Received::default();
    link.read(&mut received, 30).await;
    fixture.entry_relay.close();
    let first = support::resume_request(&received.generation, received.next);
    let mut link = support::open(fixture.entry_relay.address, first).await;
    link.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(120));
    assert!(received.finished.is_some());
    assert_eq!(fixture.engine.inspect(|state| state.starts), 1);
}

#[tokio::test]
async fn older_link_is_superseded_by_a_newer_one() {
    let fixture = start_fixture("").await;
    let mut older = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 100),
    )
    .await;
    let mut received = support::Received::default();
    older.read(&mut received, 10).await;
    let read_by_older = received.next;
    let first = support::resume_request(&received.generation, received.next);
    let mut newer = support::open(fixture.entry_relay.address, first).await;
    newer.read(&mut received, 11).await;
    // A late cancel from the superseded link must not cancel the resumed generation.
    let _ = older
        .up
        .send(wire::Up {
            kind: Some(wire::up::Kind::Cancel(wire::Cancel {})),
        })
        .await;
    let mut lost = support::Received {
        next: read_by_older,
        ..support::Received::default()
    };
    older.read_all(&mut lost).await;
    assert_eq!(
        lost.failed.map(|failed| failed.reason()),
        Some(wire::Reason::Superseded)
    );
    newer.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(100));
    assert_eq!(fixture.engine.inspect(|state| state.cancelled), 0);
}

#[tokio::test]
async fn silent_engine_link_is_replaced_within_a_second() {
    let fixture = start_fixture("").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 300),
    )
    .await;
    let mut received = support::Received::default();
    link.read(&mut received, 30).await;
    let started_at = tokio::time::Instant::now();
    fixture.engine_relay.stall();
    // Tokens in flight may still arrive; later ones need a new connection.
    let in_flight = received.next + 20;
    link.read(&mut received, in_flight).await;
    assert!(started_at.elapsed() < time::Duration::from_millis(1_500));
    link.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(300));
    assert_eq!(fixture.engine.inspect(|state| state.starts), 1);
}

#[tokio::test]
async fn dead_engine_is_reported_at_once() {
    let mut fixture = start_fixture("").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 300),
    )
    .await;
    let mut received = support::Received::default();
    link.read(&mut received, 30).await;
    fixture.engine_relay.kill().await;
    let started_at = tokio::time::Instant::now();
    link.read_all(&mut received).await;
    assert!(started_at.elapsed() < time::Duration::from_secs(1));
    let failed = received.failed.expect("no failure received");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::Yes, wire::Reason::Upstream)
    );
}

#[tokio::test]
async fn request_to_a_dead_engine_fails_as_not_run() {
    let mut fixture = start_fixture("").await;
    fixture.engine_relay.kill().await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 300),
    )
    .await;
    let mut received = support::Received::default();
    link.read_all(&mut received).await;
    let failed = received.failed.expect("no failure received");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Upstream)
    );
    assert!(failed.retry_after_ms > 0);
    assert_eq!(fixture.engine.inspect(|state| state.starts), 0);
}

#[tokio::test]
async fn engine_that_sends_without_end_is_cut_off() {
    for part in [endless::Part::Event, endless::Part::Informational] {
        let fixture = start_fixture("").await;
        let engine = endless::Upstream::start(part).await.expect("an engine");
        fixture.engine_relay.redirect(engine.address);
        let start = support::start_request("r1", 5);
        let mut link = support::open(fixture.entry_relay.address, start).await;
        let mut received = support::Received::default();
        link.read_all(&mut received).await;
        assert!(received.failed.is_some(), "{part:?}");
        support::wait_until("closed", || engine.count_closed() > 0).await;
        // One event, and what fits into buffers of the system on both connections of the relay.
        let sent = engine.sent_bytes();
        let bound = MAX_EVENT_BYTES + 2 * SOCKET_BUFFER_BYTES;
        assert!(sent < bound, "{part:?}: {sent} bytes");
    }
}

#[tokio::test]
async fn cancelled_generation_frees_the_engine_at_once() {
    let fixture = start_fixture("").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 3_000),
    )
    .await;
    let mut received = support::Received::default();
    link.read(&mut received, 5).await;
    link.send(wire::up::Kind::Cancel(wire::Cancel {})).await;
    link.read_all(&mut received).await;
    let failed = received.failed.expect("no failure received");
    assert_eq!(failed.reason(), wire::Reason::Cancelled);
    assert_eq!(fixture.engine.inspect(|state| state.streams.len()), 0);
}

#[tokio::test]
async fn abandoned_generation_is_cancelled_after_the_grace_period() {
    let fixture = start_fixture("[stream]\ngrace_ms=300\n").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 3_000),
    )
    .await;
    let mut received = support::Received::default();
    link.read(&mut received, 5).await;
    link.send(wire::up::Kind::Ping(wire::Ping { number: 1 }))
        .await;
    // The agent enforces the ping timeout only after the first ping.
    link.read_pong(&mut received).await;
    // The connection stays open but carries no more data, not even pings.
    fixture.entry_relay.stall();
    let engine = &fixture.engine;
    support::wait_until("cancelled", || {
        engine.inspect(|state| state.streams.is_empty())
    })
    .await;
    assert_eq!(fixture.engine.inspect(|state| state.cancelled), 1);
}

#[tokio::test]
async fn terminated_agent_finishes_running_work_and_refuses_new_work() {
    let mut fixture = start_fixture("").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 150),
    )
    .await;
    let mut received = support::Received::default();
    link.read(&mut received, 10).await;
    fixture.agent.terminate();
    fixture.agent.wait_ready(false).await;
    let mut late =
        support::open(fixture.entry_relay.address, support::start_request("r2", 5)).await;
    let mut refused = support::Received::default();
    late.read_all(&mut refused).await;
    let failed = refused.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Draining)
    );
    assert!(failed.retry_after_ms > 0);
    // A draining agent still accepts resumes of its generations.
    fixture.entry_relay.close();
    let first = support::resume_request(&received.generation, received.next);
    let mut link = support::open(fixture.entry_relay.address, first).await;
    link.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(150));
    assert!(fixture.agent.wait_exit().await);
}

#[tokio::test]
async fn unacknowledged_tokens_are_bounded_by_the_buffer() {
    let fixture = start_fixture("[stream]\nreplay_bytes=1024\n").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 60),
    )
    .await;
    let mut received = support::Received::default();
    while received.next < 10 {
        let message = link.down.message().await.unwrap().unwrap();
        if let Some(wire::down::Kind::Chunk(chunk)) = message.kind {
            received.next = chunk.offset + chunk.tokens.len() as u64;
        }
    }
    // Without acknowledgements, about 1024 bytes arrive and then nothing.
    let quiet = time::Duration::from_millis(400);
    while let Ok(Ok(Some(message))) = tokio::time::timeout(quiet, link.down.message()).await {
        if let Some(wire::down::Kind::Chunk(chunk)) = message.kind {
            received.next = chunk.offset + chunk.tokens.len() as u64;
        }
    }
    assert!(received.next < 30, "{} tokens", received.next);
    link.send(wire::up::Kind::Ack(wire::Ack {
        offset: received.next,
    }))
    .await;
    link.read_all(&mut received).await;
    assert_eq!(received.next, 60);
    assert!(received.finished.is_some());
}

#[tokio::test]
async fn past_the_budget_the_generation_whose_reader_reads_nothing_is_ended() {
    let fixture = start_fixture("[stream]\nunread_bytes=4096\n").await;
    let address = fixture.entry_relay.address;
    let mut stalled = support::open(address, support::start_request("r1", 400)).await;
    let mut reading = support::open(address, support::start_request("r2", 400)).await;
    let mut received = support::Received::default();
    reading.read_all(&mut received).await;
    assert_eq!(received.text, support::full_text(400));
    assert!(received.finished.is_some());
    // Nothing was acknowledged until here.
    let mut ended = support::Received::default();
    stalled.read_all(&mut ended).await;
    let failed = ended.failed.expect("not ended");
    assert_eq!(failed.detail, "too many tokens unread");
    assert_eq!(fixture.engine.inspect(|state| state.cancelled), 1);
}

#[tokio::test]
async fn finished_generation_is_kept_for_its_retention_and_its_team() {
    let fixture = start_fixture("[stream]\nretention_ms=1500\n").await;
    let mut link = support::open(
        fixture.entry_relay.address,
        support::start_request("r1", 20),
    )
    .await;
    let mut received = support::Received::default();
    link.read_all(&mut received).await;
    let first = support::resume_request(&received.generation, 15);
    let mut again = support::open(fixture.entry_relay.address, first).await;
    let mut rest = support::Received {
        next: 15,
        ..support::Received::default()
    };
    again.read_all(&mut rest).await;
    assert_eq!(rest.next, 20);
    assert_eq!(rest.finished, received.finished);
    let wire::up::Kind::Resume(mut other) = support::resume_request(&received.generation, 0) else {
        unreachable!("a resume");
    };
    other.team = "lending".to_owned();
    let gone = read_failure(&fixture, wire::up::Kind::Resume(other)).await;
    assert_eq!(gone.reason(), wire::Reason::Gone);
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    let gone = read_failure(&fixture, support::resume_request(&received.generation, 15)).await;
    assert_eq!(
        (gone.ran(), gone.reason()),
        (wire::Ran::Unknown, wire::Reason::Gone)
    );
}

async fn read_failure(fixture: &Fixture, first: wire::up::Kind) -> wire::Failed {
    let mut link = support::open(fixture.entry_relay.address, first).await;
    let mut received = support::Received::default();
    link.read_all(&mut received).await;
    received.failed.expect("not refused")
}
