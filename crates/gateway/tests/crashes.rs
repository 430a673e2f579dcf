//! Requests that crash what runs them, because of one part of their prompts or as a whole.

mod support;

use std::time;

use bytes::Bytes;
use http_body_util::Full;
use peargap_fake::runner;
use peargap_wire::fleet as wire;
use support::caller::generation;
use support::caller::request;
use support::caller::Response;
use support::Fixture;

/// Part on which engines crash.
const DEADLY: &str = "dead";
/// Time for which an engine is gone after a crash.
const DOWN_TIME: time::Duration = time::Duration::from_millis(300);
/// Pause between requests, in which a crashed engine is noticed.
const PAUSE: time::Duration = time::Duration::from_millis(150);
const UPSTREAMS: [&str; 8] = ["d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"];
const ENGINES: [&str; 8] = ["p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"];

async fn start() -> Fixture {
    let fixture = Fixture::start(&ENGINES).await;
    for runner in fixture.runners.values() {
        runner.set_events(4, time::Duration::from_millis(5));
        runner.crash_on(Some(runner::Trigger::Part(DEADLY)), DOWN_TIME);
    }
    fixture
}

async fn call(fixture: &Fixture, attempt: &str, parts: &str) -> Response {
    let mut request = generation();
    for (name, value) in [("attempt-id", attempt), ("prefix-hash", parts)] {
        let value = http::HeaderValue::from_str(value).expect("a value");
        request.headers_mut().insert(name, value);
    }
    fixture.call(request).await
}

fn count_crashes(fixture: &Fixture) -> usize {
    fixture
        .runners
        .values()
        .map(|runner| runner.count_crashes())
        .sum()
}

/// Waits until a crash is noticed, and announces the engines that have started again.
async fn wait_for_restarts(fixture: &Fixture) {
    tokio::time::sleep(PAUSE).await;
    for runner in fixture.runners.values() {
        let upstream = wire::Upstream {
            address: runner.address.to_string(),
            born_ms: 1 + u64::try_from(runner.count_crashes()).expect("few"),
            name: runner.name.clone(),
            service: support::service_name(&runner.name).to_owned(),
            ..support::new_upstream()
        };
        fixture.control.announce_upstream(upstream).await;
    }
}

/// Calls with the deadly body until its quarantine, and some more; a sound request follows each one.
async fn repeat_deadly_request(upstreams: &[&str], path: &str) -> Fixture {
    let fixture = Fixture::start(upstreams).await;
    for runner in fixture.runners.values() {
        runner.set_events(4, time::Duration::from_millis(5));
        runner.crash_on(Some(runner::Trigger::Body(DEADLY)), DOWN_TIME);
    }
    for number in 0..12 {
        fixture.call(new_request(path, DEADLY, "deadly")).await;
        wait_for_restarts(&fixture).await;
        let sound = fixture.call(new_request(path, "sound", "sound")).await;
        assert_eq!(sound.status, 200, "{number}");
        assert!(sound.is_complete, "{number}: {sound:?}");
    }
    fixture
}

fn new_request(
    path: &str,
    body: &'static str,
    attempt: &'static str,
) -> http::Request<Full<Bytes>> {
    let mut request = request(path, body);
    let attempt = http::HeaderValue::from_static(attempt);
    request.headers_mut().insert("attempt-id", attempt);
    if path.starts_with("/stream/") {
        let usage = http::HeaderValue::from_static("900,400");
        request.headers_mut().insert("token-usage", usage);
    }
    request
}

/// Checks that the deadly request reached upstreams at most three times more after the third crash, and
/// that it is refused.
async fn check_refused(fixture: &Fixture, path: &str) {
    let crashes = count_crashes(fixture);
    assert!(crashes <= 6, "{crashes} crashes");
    let refused = fixture.call(new_request(path, DEADLY, "last")).await;
    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(count_arrivals(fixture, "last"), 0);
}

#[tokio::test]
async fn an_idempotent_call_that_crashes_upstreams_is_soon_refused() {
    let fixture = repeat_deadly_request(&UPSTREAMS, "/patient/x").await;
    check_refused(&fixture, "/patient/x").await;
    // The same body at another path is another request.
    fixture
        .call(new_request("/patient/y", DEADLY, "other"))
        .await;
    assert!(count_arrivals(&fixture, "other") > 0);
}

#[tokio::test]
async fn a_call_that_runs_once_and_crashes_upstreams_is_soon_refused() {
    let fixture = repeat_deadly_request(&UPSTREAMS, "/once/x").await;
    check_refused(&fixture, "/once/x").await;
}

#[tokio::test]
async fn a_generation_without_parts_that_crashes_engines_is_soon_refused() {
    let fixture = repeat_deadly_request(&ENGINES, "/stream/x").await;
    check_refused(&fixture, "/stream/x").await;
}

fn count_arrivals(fixture: &Fixture, attempt: &str) -> usize {
    let arrivals = fixture.runners.values().flat_map(|one| one.arrivals());
    arrivals
        .filter(|one| one.attempt.starts_with(attempt))
        .count()
}

#[tokio::test]
async fn requests_that_crash_engines_are_soon_refused_and_sound_ones_served() {
    let fixture = start().await;
    for number in 0..12 {
        let parts = format!("aa:40,bb:30,{DEADLY}:20,{number:x}:800");
        call(&fixture, &format!("deadly-{number}"), &parts).await;
        wait_for_restarts(&fixture).await;
        let parts = format!("aa:40,{:x}:30,{number:x}:800", number % 3);
        let sound = call(&fixture, &format!("sound-{number}"), &parts).await;
        assert!(sound.is_complete, "{number}: {sound:?}");
    }
    let crashes = count_crashes(&fixture);
    assert!(crashes <= 5, "{crashes} crashes");
    // Nothing has told the second part and the deadly one apart so far.
    for number in 0..2 {
        let parts = format!("aa:40,cc:30,{DEADLY}:20,{number}:800");
        call(&fixture, "other", &parts).await;
        wait_for_restarts(&fixture).await;
    }
    let sound = call(&fixture, "sound-bb", "aa:40,bb:30,1:800").await;
    assert!(sound.is_complete, "{sound:?}");
    for parts in [
        format!("aa:40,cc:30,{DEADLY}:20,2:800"),
        format!("{DEADLY}:20,3:800"),
        format!("aa:40,bb:30,{DEADLY}:20,4:800"),
    ] {
        let refused = call(&fixture, "last", &parts).await;
        assert_eq!(refused.status, 503, "{parts}");
        assert!(refused.headers.contains_key("retry-after"), "{parts}");
    }
    let metrics = fixture.read_metrics().await;
    let is_one =
        |line: &str| line.starts_with("peargap_gateway_quarantined") && line.ends_with(" 1");
    assert!(metrics.lines().any(is_one), "{metrics}");
    assert_eq!(count_arrivals(&fixture, "last"), 0);
    let crashes = count_crashes(&fixture);
    assert!(crashes <= 5, "{crashes} crashes");
}

#[tokio::test]
async fn a_call_that_two_upstreams_broke_off_is_not_sent_to_a_third() {
    let fixture = Fixture::start(&["d1", "d2", "d3", "d4"]).await;
    for runner in fixture.runners.values() {
        runner.set_behaviour(runner::Behaviour::Reset);
    }
    let response = fixture.call(request("/patient/", "")).await;
    assert_eq!(response.status, 502);
    assert_eq!(count_arrivals(&fixture, "9c41"), 2);
}
