//! Streams across the loss of links, agents, entries and callers, and across a drain.

mod support;

use std::time;

use serde_json::json;
use support::agent::Step;
use support::caller;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

const PATH: &str = "/v1/completions";

fn stream() -> caller::Call {
    let body = json!({"model": "m", "prompt": "hello", "stream": true});
    caller::Call::post(PATH, body.to_string())
}

fn whole() -> caller::Call {
    let body = json!({"model": "m", "prompt": "hello"});
    caller::Call::post(PATH, body.to_string())
}

/// Checks that the events carry the consecutive tokens of one generation from `first`, with their
/// ids.
fn check_tokens(events: &[caller::Event], generation: &str, first: usize) {
    for (index, event) in events.iter().enumerate() {
        let offset = first + index;
        assert_eq!(event.token(), Some(format!("{generation}#{offset} ")));
        assert_eq!(event.id, Some(format!("{generation}.{}", offset + 1)));
    }
}

fn is_done(events: &[caller::Event]) -> bool {
    events.last().is_some_and(|event| event.data == "[DONE]")
}

/// Adds a retry to the budget, which gains a tenth of a retry with each request.
async fn add_retry(bench: &support::Bench) {
    for _ in 0..10 {
        assert_eq!(whole().send(bench.entry.callers).await.unwrap().status, 200);
    }
}

#[tokio::test]
async fn a_silent_link_is_replaced_within_a_second_without_lost_or_repeated_tokens() {
    let bench = support::start_bench(1, "").await;
    bench.agents[0].script(&[&[
        Step::Tokens(3),
        Step::Wait,
        Step::SilenceLinks,
        Step::Tokens(3),
        Step::Finish,
    ]]);
    let mut events = caller::Events::open(stream(), bench.entry.callers).await;
    check_tokens(&events.take_tokens(3).await, "e0~i1~0", 0);
    let started = time::Instant::now();
    bench.agents[0].release();
    let seen = bench.agents[0]
        .wait_for(|seen| !seen.resumes.is_empty())
        .await;
    // The target is detection within 1 s; the rest allows for opening the new connection.
    assert!(
        started.elapsed() < time::Duration::from_millis(1_250),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(seen.resumes[0].offset, 3);
    let rest = events.collect().await;
    check_tokens(&rest[..3], "e0~i1~0", 3);
    assert!(is_done(&rest));
    assert_eq!(bench.agents[0].seen().starts.len(), 1);
}

#[tokio::test]
async fn an_unresponsive_connection_is_replaced_and_the_stream_continues() {
    let (bench, proxy) = support::start_bench_behind_proxy("engine").await;
    bench.agents[0].script(&[&[Step::Tokens(3), Step::Wait, Step::Tokens(3), Step::Finish]]);
    let mut events = caller::Events::open(stream(), bench.entry.callers).await;
    check_tokens(&events.take_tokens(3).await, "e0~i1~0", 0);
    proxy.silence();
    let seen = bench.agents[0]
        .wait_for(|seen| !seen.resumes.is_empty())
        .await;
    assert_eq!(seen.resumes[0].offset, 3);
    bench.agents[0].release();
    let rest = events.collect().await;
    check_tokens(&rest[..3], "e0~i1~0", 3);
    assert!(is_done(&rest));
    // New requests use the new connection too.
    support::wait_until(|| async {
        whole().send(bench.entry.callers).await.unwrap().status == 200
    })
    .await;
}

#[tokio::test]
async fn a_caller_resumes_through_another_entry_after_the_first_died() {
    let bench = support::start_bench(2, "").await;
    let script = [Step::Tokens(4), Step::Wait, Step::Tokens(4), Step::Finish];
    bench
        .agents
        .iter()
        .for_each(|agent| agent.script(&[&script]));
    let other = support::Entry::start("entry-b", &bench.control, "").await;
    for agent in &bench.agents {
        agent.wait_observed("entry-b").await;
    }
    let mut events = caller::Events::open(stream(), bench.entry.callers).await;
    let received = events.take_tokens(4).await;
    let last = received[2].id.clone().unwrap();
    let generation = last.rsplit_once('.').unwrap().0.to_owned();
    check_tokens(&received, &generation, 0);
    drop(bench.entry);

    let call = stream().header("last-event-id", &last);
    let mut events = caller::Events::open(call, other.callers).await;
    check_tokens(&events.take_tokens(1).await, &generation, 3);
    bench.agents.iter().for_each(|agent| agent.release());
    let rest = events.collect().await;
    check_tokens(&rest[..4], &generation, 4);
    assert!(is_done(&rest));
    let resumes: Vec<_> = bench
        .agents
        .iter()
        .flat_map(|agent| agent.seen().resumes)
        .collect();
    assert_eq!((resumes.len(), resumes[0].team.as_str()), (1, "desk"));

    let gone = stream()
        .header("last-event-id", "e0~i1~999.4")
        .send(other.callers)
        .await
        .unwrap();
    assert_eq!(
        (gone.status, gone.error()["code"].as_str()),
        (410, Some("generation_gone"))
    );
    let wrong = stream()
        .header("last-event-id", "nonsense")
        .send(other.callers)
        .await
        .unwrap();
    assert_eq!(
        (wrong.status, wrong.error()["ran"].as_str()),
        (400, Some("not_run"))
    );
}

#[tokio::test]
async fn a_request_whose_agent_dies_before_the_first_token_is_retried_on_another() {
    let mut bench = support::start_bench(2, "").await;
    add_retry(&bench).await;
    let before: Vec<_> = bench
        .agents
        .iter()
        .map(|agent| agent.seen().starts.len())
        .collect();
    bench
        .agents
        .iter()
        .for_each(|agent| agent.script(&[&[Step::Wait, Step::Tokens(5), Step::Finish]]));
    let events = caller::Events::open(stream(), bench.entry.callers).await;
    let serving = (0..2)
        .find(|at| bench.agents[*at].seen().starts.len() > before[*at])
        .unwrap();
    bench.agents[serving].kill();
    bench.agents[1 - serving].release();
    let events = events.collect().await;
    check_tokens(
        &events[..5],
        &format!("e{}~i1~{}", 1 - serving, before[1 - serving]),
        0,
    );
    assert!(is_done(&events));
}

#[tokio::test]
async fn a_stream_whose_agent_dies_after_the_first_token_fails_at_once_as_ran() {
    let mut bench = support::start_bench(1, "").await;
    add_retry(&bench).await;
    bench.agents[0].script(&[&[Step::Tokens(2), Step::Die]]);
    let mut events = caller::Events::open(stream(), bench.entry.callers).await;
    check_tokens(&events.take_tokens(2).await, "e0~i1~10", 0);
    bench.agents[0].die_as_scripted().await;
    let started = time::Instant::now();
    let rest = events.collect().await;
    assert!(
        started.elapsed() < time::Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(rest.len(), 1, "expected one error event: {rest:?}");
    assert_eq!(rest[0].json()["error"]["code"], "upstream_failed");
    assert_eq!(rest[0].json()["error"]["ran"], "ran");
}

#[tokio::test]
async fn a_buffered_answer_is_retried_and_never_joins_two_generations() {
    let mut bench = support::start_bench(2, "").await;
    add_retry(&bench).await;
    let before: Vec<_> = bench
        .agents
        .iter()
        .map(|agent| agent.seen().starts.len())
        .collect();
    bench
        .agents
        .iter()
        .for_each(|agent| agent.script(&[&[Step::Tokens(2), Step::Wait, Step::Finish]]));
    let sent = tokio::spawn(whole().send(bench.entry.callers));
    let agents = &bench.agents;
    let produced = |at: usize| agents[at].seen().produced > before[at] as u64 * 5;
    support::wait_until(|| async { produced(0) || produced(1) }).await;
    let serving = if produced(0) { 0 } else { 1 };
    bench.agents[serving].kill();
    bench.agents[1 - serving].release();
    let answer = sent.await.unwrap().unwrap();
    let generation = format!("e{}~i1~{}", 1 - serving, before[1 - serving]);
    let text = format!("{generation}#0 {generation}#1 ");
    assert_eq!(answer.json()["choices"][0]["text"], text);
}

#[tokio::test]
async fn the_generation_of_a_disconnected_caller_is_cancelled() {
    let bench = support::start_bench(1, "").await;
    let script = [Step::Tokens(2), Step::Wait];
    bench.agents[0].script(&[&script, &script, &script]);
    let call = stream().header("x-on-disconnect", "cancel");
    let mut events = caller::Events::open(call, bench.entry.callers).await;
    events.take_tokens(2).await;
    drop(events);
    bench.agents[0].wait_for(|seen| seen.cancels == 1).await;
    let sent = tokio::spawn(whole().send(bench.entry.callers));
    bench.agents[0]
        .wait_for(|seen| seen.starts.len() == 2)
        .await;
    sent.abort();
    bench.agents[0].wait_for(|seen| seen.cancels == 2).await;
    // Without the header the caller may resume for 5 s before the generation is cancelled.
    let mut events = caller::Events::open(stream(), bench.entry.callers).await;
    events.take_tokens(2).await;
    let left = time::Instant::now();
    drop(events);
    bench.agents[0].wait_for(|seen| seen.cancels == 3).await;
    assert!(
        left.elapsed() >= time::Duration::from_secs(4),
        "{:?}",
        left.elapsed()
    );
}

#[tokio::test]
async fn a_slow_reader_throttles_the_agent_and_a_stalled_one_is_dropped() {
    let bench = support::start_bench(1, "[limits]\nstalled_reader_ms=1000").await;
    bench.agents[0].script(&[&[Step::Tokens(1_000_000), Step::Finish]]);
    let mut caller = tokio::net::TcpStream::connect(bench.entry.callers)
        .await
        .unwrap();
    let body = json!({"model": "m", "prompt": "hello", "stream": true}).to_string();
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n",
        support::KEY,
        body.len()
    );
    caller.write_all((head + &body).as_bytes()).await.unwrap();
    let mut first = [0; 16];
    caller.read_exact(&mut first).await.unwrap();
    // The caller stops reading here.
    let seen = bench.agents[0].wait_for(|seen| seen.cancels == 1).await;
    let ahead = seen.produced - seen.acked;
    assert!(ahead <= 1_000, "{ahead} tokens ahead of the caller");
    assert!(seen.produced < 1_000_000);
}

#[tokio::test]
async fn sigterm_lets_streams_finish_and_accepts_no_new_ones() {
    let mut bench = support::start_bench(1, "[drain]\nlinger_ms=300").await;
    bench.agents[0].script(&[&[Step::Tokens(2), Step::Wait, Step::Tokens(2), Step::Finish]]);
    let mut events = caller::Events::open(stream(), bench.entry.callers).await;
    check_tokens(&events.take_tokens(2).await, "e0~i1~0", 0);
    bench.entry.terminate();
    support::wait_until(|| async { !bench.entry.is_ready().await }).await;
    let callers = bench.entry.callers;
    // New connections are served during the linger time and then refused.
    let last = whole().send(callers).await.unwrap();
    assert_eq!(
        (last.status, last.headers["connection"].as_bytes()),
        (200, &b"close"[..])
    );
    support::wait_until(|| async { whole().send(callers).await.is_err() }).await;
    assert!(bench.entry.is_running());
    bench.agents[0].release();
    let rest = events.collect().await;
    check_tokens(&rest[..2], "e0~i1~0", 2);
    assert!(is_done(&rest));
    assert_eq!(bench.entry.wait().await, Some(0));
}

#[tokio::test]
async fn a_configured_drain_ends_streams_at_a_token_to_be_resumed_elsewhere() {
    let mut bench = support::start_bench(1, "[drain]\nlinger_ms=0\nstreams_ms=200").await;
    let other = support::Entry::start("entry-b", &bench.control, "").await;
    bench.agents[0].wait_observed("entry-b").await;
    bench.agents[0].script(&[&[Step::Tokens(2), Step::Wait, Step::Tokens(2), Step::Finish]]);
    let mut events = caller::Events::open(stream(), bench.entry.callers).await;
    let last = events.take_tokens(2).await[1].id.clone().unwrap();
    bench.entry.terminate();
    assert_eq!(
        events.collect().await,
        [],
        "neither an error nor a final event"
    );
    assert_eq!(bench.entry.wait().await, Some(0));
    assert_eq!(bench.agents[0].seen().cancels, 0);
    let call = stream().header("last-event-id", &last);
    let events = caller::Events::open(call, other.callers).await;
    bench.agents[0].release();
    let rest = events.collect().await;
    check_tokens(&rest[..2], "e0~i1~0", 2);
    assert!(is_done(&rest));
}

#[tokio::test]
async fn a_request_past_its_deadline_is_refused_and_cancelled() {
    let bench = support::start_bench(1, "").await;
    bench.agents[0].script(&[&[Step::Tokens(1), Step::Wait]]);
    let call = whole().header("x-request-timeout-ms", "300");
    let answer = call.send(bench.entry.callers).await.unwrap();
    assert_eq!(
        (answer.status, answer.error()["ran"].as_str()),
        (504, Some("ran"))
    );
    bench.agents[0].wait_for(|seen| seen.cancels == 1).await;
    assert!(bench.agents[0].seen().starts[0].deadline_ms <= 300);
}
