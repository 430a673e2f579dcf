//! Requests that crash the engines that begin to write on one part of their prompts.

mod support;

use std::time;

use peargap_fake::runner;
use peargap_wire::fleet as wire;
use support::generation;
use support::request;
use support::Fixture;
use support::Response;

/// Part on which engines crash.
const DEADLY: &str = "dead";
/// Time for which an engine is gone after a crash.
const DOWN_TIME: time::Duration = time::Duration::from_millis(300);
/// Pause between requests, in which a crashed engine is noticed.
const PAUSE: time::Duration = time::Duration::from_millis(150);
const ENGINES: [&str; 8] = ["p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"];

async fn start() -> Fixture {
    let fixture = Fixture::start(&ENGINES).await;
    for runner in fixture.runners.values() {
        runner.set_events(4, time::Duration::from_millis(5));
        runner.crash_on_part(Some(DEADLY), DOWN_TIME);
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
            service: "pool".to_owned(),
            ..support::new_upstream()
        };
        fixture.control.announce_upstream(upstream).await;
    }
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
