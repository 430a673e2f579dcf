//! Moves of generations from engines whose answers can't be taken at their word.

mod support;

use std::net;
use std::sync;
use std::time;

use peargap_fake::runner;
use peargap_wire::fleet as wire;
use support::caller;
use support::raw;
use support::raw::event;
use support::raw::Step;
use support::raw::STREAM;
use support::wait_for;
use support::Fixture;

/// Events of a generation and the time between two.
const EVENTS: u64 = 60;
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time that an engine takes for an order.
const ORDER_TIME: time::Duration = time::Duration::from_millis(40);

/// Returns the steps that send the events of a generation after this one, up to its end.
fn events_after(last: u64) -> Vec<Step> {
    let events =
        (last + 1..=EVENTS).flat_map(|id| [raw::send(&event(id)), Step::Wait(EVENT_INTERVAL)]);
    events.chain([Step::Close]).collect()
}

/// Returns the steps of an engine that runs a generation, or resumes it.
fn run(request: raw::Request<'_>) -> Vec<Step> {
    let last = request.header("last-event-id").parse().unwrap_or(0);
    let mut steps = vec![raw::head(request.header("attempt-id"), STREAM)];
    steps.extend(events_after(last));
    steps
}

fn answer(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Announces an engine of the service `pool`.
async fn announce(fixture: &Fixture, name: &str, address: net::SocketAddr, state: wire::State) {
    let upstream = wire::Upstream {
        address: address.to_string(),
        name: name.to_owned(),
        sequence: match state {
            wire::State::Ready => 1,
            _ => 2,
        },
        service: "pool".to_owned(),
        state: state.into(),
        ..support::new_upstream()
    };
    fixture.control.announce_upstream(upstream).await;
}

/// Starts a generation with this attempt ID.
async fn generate(
    fixture: &Fixture,
    attempt: &'static str,
) -> tokio::task::JoinHandle<caller::Response> {
    fixture.start_call(caller::generation(), attempt).await
}

/// Guards against the late second copy of an answer to a copy order that is taken for the answer to the
/// next order on its connection, so that a generation goes on from the memory of another one.
#[tokio::test]
async fn a_second_answer_to_a_copy_order_is_never_taken_for_another_one() {
    const NAMES: [&str; 4] = ["one", "two", "three", "four"];
    let fixture = Fixture::start(&[]).await;
    // The first order for each but the first generation finds no room, so that it is sent again when
    // a connection has carried the answer to another one.
    let ordered = sync::Mutex::new(vec!["one".to_owned()]);
    let copied = sync::Mutex::new(None);
    let former = raw::start_engine(move |request| {
        if !request.is("POST /api/kv-move") {
            return run(request);
        }
        let id = request.field("id").to_owned();
        let mut ordered = ordered.lock().expect("names");
        if !ordered.contains(&id) {
            ordered.push(id);
            let full = answer("503 Service Unavailable", "{}");
            return vec![Step::Wait(ORDER_TIME / 2), raw::send(&full)];
        }
        let own = answer("200 OK", &format!(r#"{{"kvHandle":"h-{id}","made":1}}"#));
        let earlier = copied.lock().expect("an answer").replace(own.clone());
        // A connection that carries a second order gets the answer to an earlier one once more.
        match earlier.filter(|_answer| request.number > 0) {
            Some(earlier) => vec![raw::send(&earlier), Step::Close],
            None => vec![Step::Wait(ORDER_TIME), raw::send(&own)],
        }
    })
    .await;
    announce(&fixture, "old", former, wire::State::Ready).await;
    let mut calls = Vec::new();
    for name in NAMES {
        calls.push(generate(&fixture, name).await);
    }
    tokio::time::sleep(EVENT_INTERVAL * 10).await;
    let resumed = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let seen = resumed.clone();
    let next = raw::start_engine(move |request| {
        let from = request.header("kv-from");
        let handle = from.rsplit('/').next().unwrap_or_default().to_owned();
        let attempt = request.header("attempt-id").to_owned();
        seen.lock().expect("resumes").push((attempt, handle));
        run(request)
    })
    .await;
    announce(&fixture, "new", next, wire::State::Ready).await;
    announce(&fixture, "old", former, wire::State::Draining).await;
    for call in calls {
        let response = call.await.expect("a response");
        assert!(response.is_complete);
        assert_eq!(response.ids(), (1..=EVENTS).collect::<Vec<_>>());
    }
    let resumed = resumed.lock().expect("resumes");
    assert_eq!(resumed.len(), NAMES.len(), "{resumed:?}");
    for (attempt, handle) in resumed.iter() {
        assert_eq!(*handle, format!("h-{attempt}"), "{resumed:?}");
    }
}

/// Time for which a run may go on at an engine once its generation goes on at another one.
const OVERLAP: time::Duration = time::Duration::from_millis(400);

/// Starts a gateway with two engines, the first of which runs on after its connections have closed,
/// and a generation there.
async fn start_stubborn() -> (
    Fixture,
    tokio::task::JoinHandle<caller::Response>,
    runner::Runner,
) {
    let mut fixture = Fixture::start(&["p1"]).await;
    let stubborn = fixture.runner("p1").clone();
    stubborn.work_on();
    stubborn.set_events(EVENTS * 5, EVENT_INTERVAL / 2);
    let call = generate(&fixture, "9c41").await;
    fixture.wait_for_running().await;
    tokio::time::sleep(EVENT_INTERVAL * 5).await;
    fixture.start_runner("p2").await;
    let second = fixture.runner("p2");
    second.set_events(EVENTS * 5, EVENT_INTERVAL / 2);
    (fixture, call, stubborn)
}

/// Waits until a generation goes on at an engine, and asserts that the former run ends in time.
async fn assert_former_run_ends(former: &runner::Runner, next: &runner::Runner) {
    let next = next.clone();
    wait_for(move || !next.runs().is_empty()).await;
    tokio::time::sleep(OVERLAP).await;
    assert_eq!(former.count_running(), 0, "runs at the former engine");
}

/// Guards against a generation that moves and is worked on at both engines, as the former one does not
/// drop it with its connection.
#[tokio::test]
async fn a_generation_that_moved_ends_at_an_engine_that_drops_nothing() {
    let (fixture, call, former) = start_stubborn().await;
    fixture.drain("p1").await;
    assert_former_run_ends(&former, fixture.runner("p2")).await;
    let response = call.await.expect("a response");
    assert!(response.is_complete);
    assert_eq!(response.ids(), (1..=EVENTS * 5).collect::<Vec<_>>());
    // What the order to stop it has copied is freed.
    let freeing = former.clone();
    wait_for(move || !freeing.freed().is_empty()).await;
    assert_eq!(fixture.runner("p2").count_copies(), 0);
}

/// Guards against a generation whose stream broke in the network and that is worked on at its engine and
/// at the one with its backup.
#[tokio::test]
async fn a_generation_that_goes_on_at_its_backup_ends_at_an_engine_that_drops_nothing() {
    let fixture = Fixture::start(&["p1", "p2"]).await;
    for name in ["p1", "p2"] {
        fixture.runner(name).work_on();
        let interval = EVENT_INTERVAL / 2;
        fixture.runner(name).set_events(EVENTS * 5, interval);
    }
    let call = generate(&fixture, "9c41").await;
    let former = fixture.wait_for_running().await;
    tokio::time::sleep(EVENT_INTERVAL * 5).await;
    former.interrupt_streams();
    let mut others = fixture.runners.values();
    let next = others.find(|other| other.name != former.name);
    assert_former_run_ends(&former, next.expect("another engine")).await;
    assert!(call.await.expect("a response").is_complete);
}

/// Guards against an engine that works on a generation for nobody, as its caller has left.
#[tokio::test]
async fn a_generation_whose_caller_left_ends_at_an_engine_that_drops_nothing() {
    let (fixture, call, engine) = start_stubborn().await;
    call.abort();
    tokio::time::sleep(OVERLAP).await;
    assert_eq!(engine.count_running(), 0);
    drop(fixture);
}

/// Guards against a generation that is repeated at a second engine while the first one, whose answer was
/// lost, works on it.
#[tokio::test]
async fn a_generation_whose_answer_was_lost_is_ordered_to_stop() {
    let stopped = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let seen = stopped.clone();
    let loses_answers = raw::start_engine(move |request| {
        if request.is("POST /api/kv-move") && request.text.contains("\"isFinal\":true") {
            let id = request.field("id").to_owned();
            seen.lock().expect("a list").push(id);
        }
        vec![Step::Close]
    })
    .await;
    let fixture = Fixture::start(&["p2"]).await;
    announce(&fixture, "lost", loses_answers, wire::State::Ready).await;
    for _call in 0..10 {
        let response = fixture.call(caller::resumable_generation()).await;
        assert_eq!(response.status, 200);
    }
    let listed = stopped.clone();
    wait_for(move || !listed.lock().expect("a list").is_empty()).await;
    assert_eq!(stopped.lock().expect("a list")[0], "9c41");
}

/// Guards against the order to stop a former run that ends the generation once it has come back.
#[tokio::test]
async fn a_generation_that_comes_back_to_an_engine_is_not_stopped_there() {
    let fixture = Fixture::start(&["p1", "p2"]).await;
    for name in ["p1", "p2"] {
        let interval = EVENT_INTERVAL / 4;
        fixture.runner(name).set_events(EVENTS * 5, interval);
    }
    let call = generate(&fixture, "9c41").await;
    let first = fixture.wait_for_running().await;
    tokio::time::sleep(EVENT_INTERVAL).await;
    let mut others = fixture.runners.values();
    let second = others.find(|other| other.name != first.name);
    let second = second.expect("another engine").clone();
    first.interrupt_streams();
    let resumed = second.clone();
    wait_for(move || resumed.count_running() > 0).await;
    second.interrupt_streams();
    let response = call.await.expect("a response");
    assert!(response.is_complete);
    assert_eq!(response.ids(), (1..=EVENTS * 5).collect::<Vec<_>>());
    assert_eq!((first.runs().len(), second.runs().len()), (2, 1));
}

/// Guards against an odd status that is taken for the answer to a copy order or to a resume.
#[tokio::test]
async fn odd_statuses_of_orders_and_resumes_are_failures() {
    for status in ["101 Switching Protocols", "600 Odd", "999 Odd"] {
        let orders = sync::Arc::new(sync::Mutex::new(0));
        let counted = orders.clone();
        let former = raw::start_engine(move |request| {
            if !request.is("POST /api/kv-move") {
                return run(request);
            }
            let mut orders = counted.lock().expect("a count");
            *orders += 1;
            let id = request.field("id");
            let copied = format!(r#"{{"kvHandle":"h{orders}-{id}","made":1}}"#);
            match *orders {
                1 => vec![raw::send(&answer(status, &copied))],
                _ => vec![raw::send(&answer("200 OK", &copied))],
            }
        })
        .await;
        let fixture = Fixture::start(&[]).await;
        announce(&fixture, "old", former, wire::State::Ready).await;
        let call = generate(&fixture, "9c41").await;
        tokio::time::sleep(EVENT_INTERVAL * 5).await;
        let resumes = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let seen = resumes.clone();
        let next = raw::start_engine(move |request| {
            let from = request.header("kv-from").to_owned();
            seen.lock().expect("resumes").push(from);
            let attempt = request.header("attempt-id");
            let head = format!(
                "HTTP/1.1 {status}\r\nserver-signature: proof\r\nattempt-id: {attempt}\r\n{STREAM}\r\n"
            );
            vec![raw::send(&head), raw::send(&event(90)), Step::Close]
        })
        .await;
        announce(&fixture, "new", next, wire::State::Ready).await;
        announce(&fixture, "old", former, wire::State::Draining).await;
        let response = call.await.expect("a response");
        let resumes = resumes.lock().expect("resumes");
        // The handle in the odd answer is not used.
        assert!(resumes[0].ends_with("/h2-9c41"), "{status}: {resumes:?}");
        assert!(!response.ids().contains(&90), "{status}");
    }
}
