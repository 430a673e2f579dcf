//! Ends of runs whose generations go on elsewhere, at engines that drop no run by themselves.

mod support;

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use peargap_fake::runner;
use peargap_wire::fleet as wire;
use support::caller;
use support::raw;
use support::raw::Step;
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
    // Short, so that there is room for a backup copy of each.
    let usage = http::HeaderValue::from_static("100,400");
    request.headers_mut().insert("token-usage", usage);
    fixture.start_call(request, attempt).await
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

/// Has the former engine leave in a pause of this many seconds, and asserts that its generations go on at
/// one engine each and that it gets no more orders than a pause allows.
async fn assert_left_in_a_pause(scene: Scene, seconds: &'static str) {
    let (former, paused) = (scene.former.clone(), scene.pause(seconds).await);
    scene.fixture.drain(&former.name).await;
    let longest = scene.finish().await;
    assert!(longest <= OVERLAP, "{longest:?}");
    let length = time::Duration::from_secs(seconds.parse().expect("a number"));
    let orders = count_orders(&former, paused, length);
    assert!(orders <= ORDERS_IN_A_PAUSE, "{orders} orders");
}

/// Guards against a generation that moved and is worked on at the former engine as well, as that engine
/// asked for a pause.
#[tokio::test]
async fn a_generation_that_moved_ends_at_an_engine_in_a_pause() {
    assert_left_in_a_pause(Scene::start(1).await, "2").await;
}

/// Guards against generations that move together and are worked on at both engines, as a pause leaves no
/// order for most of them, and against more orders than a pause allows.
#[tokio::test]
async fn generations_that_leave_an_engine_in_a_pause_go_on_at_one_engine_each() {
    let scene = Scene::start(16).await;
    assert!(scene.former.count_running() >= 8);
    assert_left_in_a_pause(scene, "1").await;
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

/// Calls at once that leave idle connections.
const IDLE_CONNECTIONS: usize = 8;

/// An engine that drops its idle connections without notice: what is sent next on one is reset.
#[derive(Clone, Default)]
struct DroppingEngine {
    /// Number of connections that were open when it dropped its idle ones.
    dropped: sync::Arc<atomic::AtomicUsize>,
    opened: sync::Arc<atomic::AtomicUsize>,
    /// When it got an order to stop a run.
    stops: sync::Arc<sync::Mutex<Vec<time::Instant>>>,
}

impl DroppingEngine {
    /// Starts the engine. The generation `long` has many events, others have one.
    async fn start(&self) -> std::net::SocketAddr {
        let engine = self.clone();
        raw::start_engine(move |request| engine.answer(request)).await
    }

    fn answer(&self, request: raw::Request<'_>) -> Vec<Step> {
        let opened = request.connection + 1;
        self.opened.fetch_max(opened, atomic::Ordering::SeqCst);
        if request.connection < self.dropped.load(atomic::Ordering::SeqCst) {
            return vec![Step::Reset];
        }
        if request.is("POST /api/kv-move") {
            let mut stops = self.stops.lock().expect("a list");
            stops.push(time::Instant::now());
            return vec![raw::send(
                "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            )];
        }
        let attempt = request.header("attempt-id");
        if attempt == "long" {
            let events = (1..=EVENTS)
                .flat_map(|id| [raw::send(&raw::event(id)), Step::Wait(EVENT_INTERVAL)]);
            return [raw::head(attempt, raw::STREAM)]
                .into_iter()
                .chain(events)
                .collect();
        }
        let event = raw::event(1);
        let headers = format!("{}content-length: {}\r\n", raw::STREAM, event.len());
        vec![
            raw::head(attempt, &headers),
            Step::Wait(EVENT_INTERVAL * 10),
            raw::send(&event),
        ]
    }

    /// Waits for calls at once, which leave as many idle connections, and drops these.
    async fn drop_idle(&self, calls: Vec<Call>) {
        assert_eq!(calls.len(), IDLE_CONNECTIONS);
        for call in calls {
            assert_eq!(call.await.expect("a response").status, 200);
        }
        let opened = self.opened.load(atomic::Ordering::SeqCst);
        self.dropped.store(opened, atomic::Ordering::SeqCst);
    }
}

/// Guards against orders that all go out on connections that the engine has dropped, so that it works on
/// at a generation that was given up.
#[tokio::test]
async fn an_order_to_stop_reaches_an_engine_that_has_dropped_its_idle_connections() {
    let fixture = Fixture::start(&[]).await;
    let former = DroppingEngine::default();
    let address = former.start().await;
    fixture.announce_at(address, "pool").await;
    let call = generate(&fixture, "long").await;
    let mut calls = Vec::new();
    for number in 0..IDLE_CONNECTIONS {
        calls.push(generate(&fixture, &format!("s{number}")).await);
    }
    former.drop_idle(calls).await;
    // The target that an order has to name.
    let other = fixture.rack.start("p2").await.expect("an engine");
    fixture
        .control
        .announce(&other, "pool", wire::State::Ready, 1)
        .await;
    tokio::time::sleep(EVENT_INTERVAL * 5).await;
    call.abort();
    let left = time::Instant::now();
    let ordered = former.stops.clone();
    wait_for(move || !ordered.lock().expect("a list").is_empty()).await;
    assert!(left.elapsed() < OVERLAP, "{:?}", left.elapsed());
}

/// Guards against calls that are lost one after the other on connections that their upstream dropped
/// together.
#[tokio::test]
async fn one_call_is_lost_on_connections_that_were_dropped_together() {
    let fixture = Fixture::start(&[]).await;
    let upstream = DroppingEngine::default();
    let address = upstream.start().await;
    fixture.announce_at(address, "desk").await;
    let mut calls = Vec::new();
    for number in 0..IDLE_CONNECTIONS {
        calls.push(call_once(&fixture, &format!("s{number}")).await);
    }
    upstream.drop_idle(calls).await;
    // It may have run, so it is not sent again.
    let lost = call_once(&fixture, "t").await;
    assert_eq!(lost.await.expect("a response").status, 502);
    let mut calls = Vec::new();
    for number in 1..IDLE_CONNECTIONS {
        calls.push(call_once(&fixture, &format!("u{number}")).await);
    }
    for call in calls {
        assert_eq!(call.await.expect("a response").status, 200);
    }
}

/// Starts a call that may run once.
async fn call_once(fixture: &Fixture, attempt: &str) -> Call {
    let request = caller::request("/once/", "");
    fixture.start_call(request, attempt).await
}
