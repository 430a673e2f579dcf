//! Ends of runs whose generations go on elsewhere, at engines that drop no run by themselves.

mod support;

use std::collections;
use std::time;

use peargap_fake::runner;
use support::caller;
use support::wait_for;
use support::Fixture;

/// Events of a generation and the time between two.
const EVENTS: u64 = 300;
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Time for which a run may go on at an engine once its generation goes on at another one.
const OVERLAP: time::Duration = time::Duration::from_millis(400);
/// Orders that an engine may get in a pause that it asked for.
const ORDERS_IN_A_PAUSE: usize = 2;

/// Generations at most until one comes to an engine.
const MAX_CALLS: usize = 12;

type Call = tokio::task::JoinHandle<caller::Response>;

/// Starts a generation with this attempt ID.
async fn generate(fixture: &Fixture, attempt: &str) -> Call {
    let mut request = caller::generation();
    let value = http::HeaderValue::from_str(attempt).expect("an ID");
    request.headers_mut().insert("attempt-id", value);
    // Short, so that there is room for a backup copy of each.
    let usage = http::HeaderValue::from_static("100,400");
    request.headers_mut().insert("token-usage", usage);
    let mut caller = fixture.connect().await;
    tokio::spawn(async move { caller.call(request).await })
}

/// Generations at two engines that work on after a connection has closed. Each has a backup copy at the
/// other engine.
struct Scene {
    calls: Vec<Call>,
    fixture: Fixture,
    /// The engine that runs most of them.
    former: runner::Runner,
    next: runner::Runner,
}

impl Scene {
    /// Starts this many generations.
    async fn start(generations: usize) -> Scene {
        let fixture = Fixture::start(&["p1", "p2"]).await;
        for engine in fixture.runners.values() {
            engine.work_on();
            engine.set_events(EVENTS, EVENT_INTERVAL);
        }
        let mut calls = Vec::new();
        for number in 0..generations {
            calls.push(generate(&fixture, &format!("a{number}")).await);
        }
        let engines: Vec<_> = fixture.runners.values().cloned().collect();
        let begun = engines.clone();
        wait_for(move || begun.iter().map(|one| one.runs().len()).sum::<usize>() == generations)
            .await;
        tokio::time::sleep(EVENT_INTERVAL * 10).await;
        let most = |engine: &&runner::Runner| engine.count_running();
        let former = engines.iter().max_by_key(most).expect("an engine").clone();
        let mut others = engines.into_iter();
        let next = others.find(|other| other.name != former.name);
        let next = next.expect("another engine");
        Scene {
            calls,
            fixture,
            former,
            next,
        }
    }

    /// Has the former engine refuse a request and ask for a pause; returns when it last did.
    async fn pause(&self, seconds: &'static str) -> time::Instant {
        self.former.reject_with_retry_after(seconds);
        let is_refused = || {
            let arrivals = self.former.arrivals();
            let refused = |one: &runner::Arrival| one.retry_after.is_some();
            arrivals.iter().any(refused)
        };
        // Those that run meanwhile send the next one to the other engine.
        let mut others = Vec::new();
        while !is_refused() && others.len() < MAX_CALLS {
            others.push(generate(&self.fixture, &format!("b{}", others.len())).await);
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        assert!(is_refused(), "the engine got no request");
        for other in others {
            other.abort();
        }
        let arrivals = self.former.arrivals();
        let mut refused = arrivals.iter().filter(|one| one.retry_after.is_some());
        refused.next_back().expect("a refusal").at
    }

    /// Waits for the responses, each of which is whole; returns the longest time for which a generation
    /// ran at both engines.
    async fn finish(self) -> time::Duration {
        let mut resumed = collections::BTreeMap::new();
        let mut longest = time::Duration::ZERO;
        while !self.calls.iter().all(tokio::task::JoinHandle::is_finished) {
            for run in self.next.runs() {
                if !run.headers.contains_key("kv-from") {
                    continue;
                }
                let since = *resumed
                    .entry(run.attempt.clone())
                    .or_insert_with(time::Instant::now);
                if self.former.is_running(&run.attempt) {
                    longest = longest.max(since.elapsed());
                }
            }
            tokio::time::sleep(EVENT_INTERVAL / 2).await;
        }
        for call in self.calls {
            let response = call.await.expect("a response");
            assert!(response.is_complete);
            assert_eq!(response.ids(), (1..=EVENTS).collect::<Vec<_>>());
        }
        assert!(!resumed.is_empty(), "no generation moved");
        longest
    }
}

/// Returns how many orders an engine got in this time.
fn count_orders(engine: &runner::Runner, since: time::Instant, length: time::Duration) -> usize {
    let orders = engine.orders();
    let in_time = orders
        .iter()
        .filter(|at| **at >= since && **at < since + length);
    in_time.count()
}

/// Guards against a generation that moved and is worked on at the former engine as well, as that engine
/// asked for a pause.
#[tokio::test]
async fn a_generation_that_moved_ends_at_an_engine_in_a_pause() {
    let scene = Scene::start(1).await;
    let (former, paused) = (scene.former.clone(), scene.pause("2").await);
    scene.fixture.drain(&former.name).await;
    let longest = scene.finish().await;
    assert!(longest <= OVERLAP, "{longest:?}");
    let orders = count_orders(&former, paused, time::Duration::from_secs(2));
    assert!(orders <= ORDERS_IN_A_PAUSE, "{orders} orders");
}

/// Guards against generations that move together and are worked on at both engines, as a pause leaves no
/// order for most of them, and against more orders than a pause allows.
#[tokio::test]
async fn generations_that_leave_an_engine_in_a_pause_go_on_at_one_engine_each() {
    let scene = Scene::start(16).await;
    assert!(scene.former.count_running() >= 8);
    let (former, paused) = (scene.former.clone(), scene.pause("1").await);
    scene.fixture.drain(&former.name).await;
    let longest = scene.finish().await;
    assert!(longest <= OVERLAP, "{longest:?}");
    let orders = count_orders(&former, paused, time::Duration::from_secs(1));
    assert!(orders <= ORDERS_IN_A_PAUSE, "{orders} orders");
}

/// Guards against a generation that waits for the end of its engine's pause and is lost as the engine
/// ends first.
#[tokio::test]
async fn generations_go_on_if_their_engine_ends_in_its_pause() {
    let scene = Scene::start(16).await;
    let former = scene.former.clone();
    scene.pause("30").await;
    scene.fixture.drain(&former.name).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    former.crash();
    let longest = scene.finish().await;
    assert!(longest <= OVERLAP, "{longest:?}");
}
