//! Generations: every event once, in order, whatever becomes of the engine.

mod support;

use std::time;

use peargap_fake::runner;
use support::generation;
use support::wait_for;
use support::Answer;
use support::Site;

const PACE: time::Duration = time::Duration::from_millis(10);

async fn start_slow(names: &[&str], events: u64) -> Site {
    let site = Site::start(names).await;
    for name in names {
        site.runner(name).set_events(events, PACE);
    }
    site
}

/// Asks for a generation; returns the call and the runner that has begun it.
async fn begin(site: &Site) -> (tokio::task::JoinHandle<Answer>, runner::Runner) {
    let mut caller = site.connect().await;
    let calling = tokio::spawn(async move { caller.call(generation()).await });
    let first = site.find_running().await;
    (calling, first)
}

fn all(events: u64) -> Vec<u64> {
    (1..=events).collect()
}

#[tokio::test]
async fn events_arrive_whole_and_in_order() {
    let site = start_slow(&["p1", "p2"], 30).await;
    let answer = site.call(generation()).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole);
    assert_eq!(answer.ids(), all(30));
    assert_eq!(answer.headers["server-signature"], "proof");
}

#[tokio::test]
async fn a_notice_moves_the_generation_without_losing_an_event() {
    let site = start_slow(&["p1", "p2", "p3"], 150).await;
    let (calling, first) = begin(&site).await;
    tokio::time::sleep(PACE * 10).await;
    site.drain(&first.name).await;
    let answer = calling.await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.ids(), all(150));
    let elsewhere = site
        .runners
        .values()
        .filter(|runner| runner.name != first.name);
    let resumed: Vec<_> = elsewhere.flat_map(runner::Runner::runs).collect();
    assert_eq!(resumed.len(), 1);
    assert!(resumed[0].after_event.is_some_and(|event| event > 0));
    wait_for(|| first.count_running() == 0).await;
}

/// Events that both runs make when the second one takes its time: those of the time within which an
/// engine refuses, and those on their way.
const MADE_TWICE: u64 = 10;

#[tokio::test]
async fn a_slow_resume_makes_few_events_twice() {
    let names = ["p1", "p2", "p3"];
    let site = start_slow(&names, 150).await;
    for name in names {
        site.runner(name)
            .delay_resumes(time::Duration::from_millis(400));
    }
    let (calling, first) = begin(&site).await;
    tokio::time::sleep(PACE * 10).await;
    site.drain(&first.name).await;
    let answer = calling.await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.ids(), all(150));
    let made = site.runners.values().map(runner::Runner::count_made);
    let made: u64 = made.sum();
    assert!(made <= 150 + MADE_TWICE, "{made} events made for 150");
}

#[tokio::test]
async fn two_notices_in_a_row_move_it_twice() {
    let site = start_slow(&["p1", "p2", "p3", "p4"], 250).await;
    let (calling, first) = begin(&site).await;
    site.drain(&first.name).await;
    wait_for(|| first.count_running() == 0).await;
    let second = site.find_running().await;
    assert_ne!(first.name, second.name);
    site.drain(&second.name).await;
    let answer = calling.await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.ids(), all(250));
}

#[tokio::test]
async fn a_crash_goes_on_at_the_copy() {
    let site = start_slow(&["p1", "p2"], 100).await;
    let (calling, first) = begin(&site).await;
    tokio::time::sleep(PACE * 10).await;
    first.break_streams();
    let answer = calling.await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.ids(), all(100));
}

#[tokio::test]
async fn a_crash_without_a_copy_is_seen_as_incomplete() {
    let site = start_slow(&["p1"], 100).await;
    let (calling, first) = begin(&site).await;
    tokio::time::sleep(PACE * 10).await;
    first.break_streams();
    let answer = calling.await.expect("an answer");
    assert!(!answer.is_whole);
    let ids = answer.ids();
    assert_eq!(ids, all(u64::try_from(ids.len()).expect("few")));
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_run() {
    let site = start_slow(&["p1", "p2"], 10_000).await;
    let mut caller = site.connect().await;
    let asked = caller.sender.send_request(generation());
    let response = asked.await.expect("an answer");
    let running = site.find_running().await;
    drop(response);
    caller.task.abort();
    wait_for(|| running.count_running() == 0).await;
}

#[tokio::test]
async fn a_refused_generation_goes_to_another_engine_and_runs_once() {
    let site = start_slow(&["p1", "p2"], 5).await;
    site.runner("p1").behave(runner::Behaviour::Shed);
    let answer = site.call(generation()).await;
    assert_eq!(answer.ids(), all(5));
    assert_eq!(site.runner("p2").runs().len(), 1);
}

#[tokio::test]
async fn an_engine_s_failure_is_passed_on_and_not_run_again() {
    let site = start_slow(&["p1", "p2"], 5).await;
    site.runner("p1").behave(runner::Behaviour::Fail);
    site.runner("p2").behave(runner::Behaviour::Fail);
    let answer = site.call(generation()).await;
    assert_eq!(answer.status, 500);
    let runs = site.runners.values().map(|runner| runner.runs().len());
    assert_eq!(runs.sum::<usize>(), 1);
}

#[tokio::test]
async fn rank_and_copy_are_the_gateway_s_own() {
    let site = start_slow(&["p1", "p2"], 5).await;
    let mut request = generation();
    let forged = http::HeaderValue::from_static("10.9.9.9:1");
    request.headers_mut().insert("kv-backup", forged);
    site.call(request).await;
    let runs = site.runners.values().flat_map(runner::Runner::runs);
    let run = runs.last().expect("a run");
    assert_eq!(run.headers["request-priority"], "0");
    assert_ne!(run.headers["kv-backup"], "10.9.9.9:1");
}
