//! Processes that are killed or frozen, and connections that go silent, while requests run.

use core::time;

use rustix::process as unix;

use crate::caller;
use crate::fleet;

const TOKENS: u32 = 400;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_resumes_through_another_entry_after_its_entry_is_killed() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("entry dies", TOKENS);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(40).await, None);
    fleet.kill("entry-0");
    let _disconnected = stream.read_to_end().await;
    let resumed = caller::resume(&fleet.entry_urls[1], &prompt, stream).await;
    let mut stream = resumed.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_to_end().await, caller::StreamEnd::Complete);
    assert_eq!(stream.checker.count(), u64::from(TOKENS));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_death_after_tokens_ends_the_stream_at_once_with_an_error() {
    let mut fleet = fleet::Fleet::start(fleet::Plan {
        engines: 1,
        ..fleet::Plan::default()
    })
    .await;
    let prompt = caller::build_prompt("engine dies", TOKENS);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(40).await, None);
    fleet.kill("engine-0");
    let ended = tokio::time::timeout(time::Duration::from_secs(3), stream.read_to_end()).await;
    let end = ended.expect("the stream ends within 3 s");
    assert!(matches!(end, caller::StreamEnd::Failed(_)), "{end:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answer_is_run_again_when_its_engine_dies() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("rerun", TOKENS);
    let entry = fleet.entry_urls[0].clone();
    let asked = prompt.clone();
    let answer = tokio::spawn(async move { caller::request_completion(&entry, &asked).await });
    let engine = find_busy_engine(&fleet).await;
    fleet.kill(&engine);
    let answer = answer.await.expect("an answer");
    assert!(answer.status.is_success(), "{answer:?}");
    let text = peargap_load::client::read_completion(&answer.body).expect("text");
    let mut checker = peargap_load::token::Checker::new(&prompt);
    checker.check(&text).expect("one generation, in order");
    assert_eq!(checker.count(), u64::from(TOKENS));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_whose_agent_died_is_unknown_and_never_runs_again() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let entry = fleet.entry_urls[0].clone();
    let call = tokio::spawn(async move {
        caller::call_service(&entry, "loans/book?delay_ms=3000", "tape-1").await
    });
    let service = fleet.service_ports[0];
    fleet::wait_until("the service runs the call", async || {
        fleet.get_json(service, "/runs").await["tape-1"] == 1
    })
    .await;
    fleet.kill("agent-desk-0");
    let answer = call.await.expect("an answer");
    assert!(answer.status.is_server_error(), "{answer:?}");
    assert_eq!(caller::read_ran(&answer.body), "unknown", "{answer:?}");
    fleet.restart("agent-desk-0");
    fleet.wait_ready("agent-desk-0").await;
    let repeated =
        caller::call_service(&fleet.entry_urls[1], "loans/book?delay_ms=3000", "tape-1").await;
    assert_eq!(caller::read_ran(&repeated.body), "unknown", "{repeated:?}");
    assert_eq!(fleet.get_json(service, "/runs").await["tape-1"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_whose_entry_died_runs_at_most_once() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let entry = fleet.entry_urls[0].clone();
    let call = tokio::spawn(async move {
        let request = http::Request::post(format!("{entry}/services/loans/book?delay_ms=500"));
        let request = request.header("idempotency-key", "tape-2");
        let client = peargap_load::client::Client::new(crate::settings::TEAM_KEY);
        client.call(request, bytes::Bytes::from_static(b"{}")).await
    });
    let service = fleet.service_ports[0];
    fleet::wait_until("the service runs the call", async || {
        fleet.get_json(service, "/runs").await["tape-2"] == 1
    })
    .await;
    fleet.kill("entry-0");
    assert!(call.await.expect("an end").is_err());
    for _ in 0..5 {
        let answer =
            caller::call_service(&fleet.entry_urls[1], "loans/book?delay_ms=500", "tape-2").await;
        assert!(!answer.status.is_success() || answer.body.starts_with(b"{"));
    }
    assert_eq!(fleet.get_json(service, "/runs").await["tape-2"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_agent_gets_no_new_work() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    fleet.signal("agent-engine-0", unix::Signal::STOP);
    for index in 0..12 {
        let prompt = caller::build_prompt(&format!("frozen {index}"), 20);
        let answer = caller::request_completion(&fleet.entry_urls[index % 2], &prompt).await;
        let ran = caller::read_ran(&answer.body);
        assert!(answer.status.is_success() || ran != "ran", "{answer:?}");
    }
    let prompt = caller::build_prompt("frozen last", 20);
    let answer = caller::request_completion(&fleet.entry_urls[0], &prompt).await;
    assert!(answer.status.is_success(), "{answer:?}");
    fleet.signal("agent-engine-0", unix::Signal::CONT);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_engine_connection_is_replaced_and_the_stream_completes() {
    let fleet = fleet::Fleet::start(fleet::Plan {
        engines: 1,
        relays: true,
        ..fleet::Plan::default()
    })
    .await;
    let prompt = caller::build_prompt("silent link", TOKENS);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(40).await, None);
    fleet.relays[0].silence();
    assert_eq!(stream.read_to_end().await, caller::StreamEnd::Complete);
    assert_eq!(stream.checker.count(), u64::from(TOKENS));
}

/// Waits until an engine runs a request; returns its process name.
async fn find_busy_engine(fleet: &fleet::Fleet) -> String {
    let mut busy = None;
    fleet::wait_until("an engine runs the request", async || {
        for (index, port) in fleet.engine_ports.iter().enumerate() {
            if fleet.get_json(*port, "/load").await["running"] == 1 {
                busy = Some(format!("engine-{index}"));
            }
        }
        busy.is_some()
    })
    .await;
    busy.expect("a busy engine")
}
