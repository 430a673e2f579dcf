//! Processes that are stopped with SIGTERM interrupt no stream.

use rustix::process as unix;

use crate::caller;
use crate::fleet;

const TOKENS: u32 = 200;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_entry_finishes_its_streams() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    stop_during_stream(&mut fleet, "entry-0").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_agent_finishes_its_streams() {
    let mut fleet = fleet::Fleet::start(fleet::Plan {
        engines: 1,
        ..fleet::Plan::default()
    })
    .await;
    stop_during_stream(&mut fleet, "agent-engine-0").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_control_hosts_interrupt_no_stream() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("controls stop", TOKENS);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(10).await, None);
    for index in 0..3 {
        fleet.signal(&format!("control-{index}"), unix::Signal::TERM);
    }
    assert_eq!(stream.read_to_end().await, caller::StreamEnd::Complete);
    for index in 0..3 {
        assert!(fleet.wait_exit(&format!("control-{index}")).await);
    }
}

async fn stop_during_stream(fleet: &mut fleet::Fleet, name: &str) {
    let prompt = caller::build_prompt(name, TOKENS);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(10).await, None);
    fleet.signal(name, unix::Signal::TERM);
    assert_eq!(stream.read_to_end().await, caller::StreamEnd::Complete);
    assert_eq!(stream.checker.count(), u64::from(TOKENS));
    assert!(fleet.wait_exit(name).await, "{name} exits 0");
}
