//! Generations through an agent process.

mod support;

use core::time;

use peargap_wire::agent as wire;
use support::control;
use support::engine;
use support::process;
use support::relay;

/// An agent process between fake peers.
struct Rig {
    agent: process::Agent,
    engine: engine::Engine,
    /// Relay between the entry and the agent.
    front: relay::Relay,
    /// Relay between the agent and the engine.
    back: relay::Relay,
}

async fn build_rig(more: &str) -> Rig {
    let (_, control) = control::Control::start().await;
    let (engine, address) = engine::Engine::start().await;
    let back = relay::Relay::start(address).await;
    let agent = process::Agent::start("engine", control, back.address, more).await;
    let front = relay::Relay::start(agent.address).await;
    Rig {
        agent,
        engine,
        front,
        back,
    }
}

#[tokio::test]
async fn whole_generation_arrives_once_and_in_order() {
    let rig = build_rig("").await;
    let mut link = support::open(rig.front.address, support::start("r1", 40)).await;
    let mut heard = support::Heard::default();
    link.read_all(&mut heard).await;
    assert_eq!(heard.text, support::whole_text(40));
    let finished = heard.finished.expect("no end");
    assert_eq!(
        (finished.output_tokens, finished.reason.as_str()),
        (40, "stop")
    );
}

#[tokio::test]
async fn second_start_with_one_id_is_refused() {
    let rig = build_rig("").await;
    let mut first = support::open(rig.front.address, support::start("r1", 5)).await;
    let mut heard = support::Heard::default();
    first.read_all(&mut heard).await;
    let mut second = support::open(rig.front.address, support::start("r1", 5)).await;
    let mut refused = support::Heard::default();
    second.read_all(&mut refused).await;
    let failed = refused.failed.expect("not refused");
    assert_eq!(failed.ran(), wire::Ran::Unknown);
    assert_eq!(failed.reason(), wire::Reason::Repeated);
    assert_eq!(rig.engine.look(|state| state.starts), 1);
}

#[tokio::test]
async fn cut_entry_link_is_resumed_with_no_token_twice_or_lost() {
    let rig = build_rig("").await;
    let mut link = support::open(rig.front.address, support::start("r1", 120)).await;
    let mut heard = support::Heard::default();
    link.read(&mut heard, 30).await;
    rig.front.cut();
    let first = support::resume(&heard.generation, heard.next);
    let mut link = support::open(rig.front.address, first).await;
    link.read_all(&mut heard).await;
    assert_eq!(heard.text, support::whole_text(120));
    assert!(heard.finished.is_some());
    assert_eq!(rig.engine.look(|state| state.starts), 1);
}

#[tokio::test]
async fn older_link_is_told_of_a_newer_one() {
    let rig = build_rig("").await;
    let mut older = support::open(rig.front.address, support::start("r1", 100)).await;
    let mut heard = support::Heard::default();
    older.read(&mut heard, 10).await;
    let read_by_older = heard.next;
    let first = support::resume(&heard.generation, heard.next);
    let mut newer = support::open(rig.front.address, first).await;
    newer.read(&mut heard, 11).await;
    // A late cancel from the superseded link must not cancel the resumed generation.
    let _ = older
        .up
        .send(wire::Up {
            kind: Some(wire::up::Kind::Cancel(wire::Cancel {})),
        })
        .await;
    let mut lost = support::Heard {
        next: read_by_older,
        ..support::Heard::default()
    };
    older.read_all(&mut lost).await;
    assert_eq!(
        lost.failed.map(|failed| failed.reason()),
        Some(wire::Reason::Superseded)
    );
    newer.read_all(&mut heard).await;
    assert_eq!(heard.text, support::whole_text(100));
    assert_eq!(rig.engine.look(|state| state.cancelled), 0);
}

#[tokio::test]
async fn silent_engine_link_is_replaced_within_a_second() {
    let rig = build_rig("").await;
    let mut link = support::open(rig.front.address, support::start("r1", 300)).await;
    let mut heard = support::Heard::default();
    link.read(&mut heard, 30).await;
    let begun = tokio::time::Instant::now();
    rig.back.silence();
    // Tokens in flight may still arrive; later ones need a new connection.
    let on_their_way = heard.next + 20;
    link.read(&mut heard, on_their_way).await;
    assert!(begun.elapsed() < time::Duration::from_millis(1_500));
    link.read_all(&mut heard).await;
    assert_eq!(heard.text, support::whole_text(300));
    assert_eq!(rig.engine.look(|state| state.starts), 1);
}

#[tokio::test]
async fn dead_engine_is_told_at_once() {
    let mut rig = build_rig("").await;
    let mut link = support::open(rig.front.address, support::start("r1", 300)).await;
    let mut heard = support::Heard::default();
    link.read(&mut heard, 30).await;
    rig.back.kill().await;
    let begun = tokio::time::Instant::now();
    link.read_all(&mut heard).await;
    assert!(begun.elapsed() < time::Duration::from_secs(1));
    let failed = heard.failed.expect("not told");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::Yes, wire::Reason::Upstream)
    );
}

#[tokio::test]
async fn request_to_a_dead_engine_is_told_not_run() {
    let mut rig = build_rig("").await;
    rig.back.kill().await;
    let mut link = support::open(rig.front.address, support::start("r1", 300)).await;
    let mut heard = support::Heard::default();
    link.read_all(&mut heard).await;
    let failed = heard.failed.expect("not told");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Upstream)
    );
    assert!(failed.retry_after_ms > 0);
    assert_eq!(rig.engine.look(|state| state.starts), 0);
}

#[tokio::test]
async fn cancelled_generation_frees_the_engine_at_once() {
    let rig = build_rig("").await;
    let mut link = support::open(rig.front.address, support::start("r1", 3_000)).await;
    let mut heard = support::Heard::default();
    link.read(&mut heard, 5).await;
    link.say(wire::up::Kind::Cancel(wire::Cancel {})).await;
    link.read_all(&mut heard).await;
    let failed = heard.failed.expect("not told");
    assert_eq!(failed.reason(), wire::Reason::Cancelled);
    assert_eq!(rig.engine.look(|state| state.streams.len()), 0);
}

#[tokio::test]
async fn abandoned_generation_is_cancelled_after_the_grace() {
    let rig = build_rig("[stream]\ngrace_ms=300\n").await;
    let mut link = support::open(rig.front.address, support::start("r1", 3_000)).await;
    let mut heard = support::Heard::default();
    link.read(&mut heard, 5).await;
    link.say(wire::up::Kind::Ping(wire::Ping { number: 1 }))
        .await;
    // The agent enforces the ping timeout only after the first ping.
    link.read_pong(&mut heard).await;
    // The connection stays open but carries no more data, not even pings.
    rig.front.silence();
    let engine = &rig.engine;
    support::wait_until("cancelled", || {
        engine.look(|state| state.streams.is_empty())
    })
    .await;
    assert_eq!(rig.engine.look(|state| state.cancelled), 1);
}

#[tokio::test]
async fn stopped_agent_finishes_what_runs_and_takes_nothing_new() {
    let mut rig = build_rig("").await;
    let mut link = support::open(rig.front.address, support::start("r1", 150)).await;
    let mut heard = support::Heard::default();
    link.read(&mut heard, 10).await;
    rig.agent.terminate();
    rig.agent.wait_ready(false).await;
    let mut late = support::open(rig.front.address, support::start("r2", 5)).await;
    let mut refused = support::Heard::default();
    late.read_all(&mut refused).await;
    let failed = refused.failed.expect("not refused");
    assert_eq!(
        (failed.ran(), failed.reason()),
        (wire::Ran::No, wire::Reason::Draining)
    );
    assert!(failed.retry_after_ms > 0);
    // A draining agent still accepts resumes of its generations.
    rig.front.cut();
    let first = support::resume(&heard.generation, heard.next);
    let mut link = support::open(rig.front.address, first).await;
    link.read_all(&mut heard).await;
    assert_eq!(heard.text, support::whole_text(150));
    assert!(rig.agent.wait_exit().await);
}

#[tokio::test]
async fn reader_that_does_not_acknowledge_bounds_the_buffer() {
    let rig = build_rig("[stream]\nreplay_bytes=1024\n").await;
    let mut link = support::open(rig.front.address, support::start("r1", 60)).await;
    let mut heard = support::Heard::default();
    while heard.next < 10 {
        let message = link.down.message().await.unwrap().unwrap();
        if let Some(wire::down::Kind::Chunk(chunk)) = message.kind {
            heard.next = chunk.offset + chunk.tokens.len() as u64;
        }
    }
    // Without acknowledgements, about 1024 bytes arrive and then nothing.
    let quiet = time::Duration::from_millis(400);
    while let Ok(Ok(Some(message))) = tokio::time::timeout(quiet, link.down.message()).await {
        if let Some(wire::down::Kind::Chunk(chunk)) = message.kind {
            heard.next = chunk.offset + chunk.tokens.len() as u64;
        }
    }
    assert!(heard.next < 30, "{} tokens", heard.next);
    link.say(wire::up::Kind::Ack(wire::Ack { offset: heard.next }))
        .await;
    link.read_all(&mut heard).await;
    assert_eq!(heard.next, 60);
    assert!(heard.finished.is_some());
}

#[tokio::test]
async fn finished_generation_is_kept_for_its_retention_and_its_team() {
    let rig = build_rig("[stream]\nretention_ms=1500\n").await;
    let mut link = support::open(rig.front.address, support::start("r1", 20)).await;
    let mut heard = support::Heard::default();
    link.read_all(&mut heard).await;
    let first = support::resume(&heard.generation, 15);
    let mut again = support::open(rig.front.address, first).await;
    let mut rest = support::Heard {
        next: 15,
        ..support::Heard::default()
    };
    again.read_all(&mut rest).await;
    assert_eq!(rest.next, 20);
    assert_eq!(rest.finished, heard.finished);
    let wire::up::Kind::Resume(mut other) = support::resume(&heard.generation, 0) else {
        unreachable!("a resume");
    };
    other.team = "lending".to_owned();
    let gone = read_failure(&rig, wire::up::Kind::Resume(other)).await;
    assert_eq!(gone.reason(), wire::Reason::Gone);
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    let gone = read_failure(&rig, support::resume(&heard.generation, 15)).await;
    assert_eq!(
        (gone.ran(), gone.reason()),
        (wire::Ran::Unknown, wire::Reason::Gone)
    );
}

async fn read_failure(rig: &Rig, first: wire::up::Kind) -> wire::Failed {
    let mut link = support::open(rig.front.address, first).await;
    let mut heard = support::Heard::default();
    link.read_all(&mut heard).await;
    heard.failed.expect("not refused")
}
