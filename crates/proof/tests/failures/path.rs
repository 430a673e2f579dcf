//! Requests through all processes, without failures.

use crate::caller;
use crate::fleet;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_complete_and_in_order() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("path", 200);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_to_end().await, caller::StreamEnd::Complete);
    assert_eq!(stream.checker.count(), 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_call_runs_once_through_two_entries() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let first = caller::call_service(&fleet.entry_urls[0], "loans/book", "gown-7").await;
    let second = caller::call_service(&fleet.entry_urls[1], "loans/book", "gown-7").await;
    assert!(first.status.is_success(), "{first:?}");
    assert_eq!(second.status, first.status);
    assert_eq!(second.body, first.body);
    assert_eq!(
        fleet.get_json(fleet.service_ports[0], "/runs").await["gown-7"],
        1
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn same_key_with_another_request_is_refused() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let first = caller::call_service(&fleet.entry_urls[0], "loans/book", "gown-8").await;
    assert!(first.status.is_success(), "{first:?}");
    let second = caller::call_service(&fleet.entry_urls[1], "loans/release", "gown-8").await;
    assert_eq!(second.status.as_u16(), 422, "{second:?}");
}
