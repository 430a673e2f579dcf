//! Upstreams that read the bodies of requests slowly or not at all: the gateway's memory is bounded,
//! those that read get theirs whole, and other requests are answered as before.

mod support;

use std::time;

use support::slow;
use support::Fixture;

/// Time between two reads of a slow upstream: longer than a connection may stay unacknowledged.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(1700);
/// Requests that their upstream reads slowly, in four pieces.
const SLOW_REQUESTS: usize = 40;
const SLOW_BYTES: usize = 256 << 10;
/// Requests of which their upstream reads nothing; together they are more than the memory for
/// them.
const STALLED_REQUESTS: usize = 50;
const STALLED_BYTES: usize = 1 << 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_upstreams_take_neither_the_memory_nor_the_time_of_others() {
    let mut fixture = Fixture::start_program().await;
    let upstream = slow::start_upstream(READ_INTERVAL).await;
    fixture.announce_at(upstream, "desk").await;
    let alone = slow::Times::measure(&fixture, 100).await;
    let address = fixture.address;
    let mut slow_requests = Vec::new();
    for _request in 0..SLOW_REQUESTS {
        let request = slow::post(address, "/once/slow", SLOW_BYTES);
        slow_requests.push(tokio::spawn(request));
    }
    // The slow ones are read for the first time, before another upstream shares the work.
    tokio::time::sleep(READ_INTERVAL + time::Duration::from_millis(300)).await;
    let mut stalled = Vec::new();
    for _request in 0..STALLED_REQUESTS {
        let request = slow::post(address, "/once/stalled", STALLED_BYTES);
        stalled.push(tokio::spawn(request));
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    fixture.start_runner("d1").await;
    let beside = slow::Times::measure(&fixture, 100).await;
    for request in slow_requests {
        assert_eq!(request.await.expect("a caller"), "200");
    }
    fixture.program.as_ref().expect("a program").assert_peak();
    beside.assert_unchanged(alone);
    for request in stalled {
        request.abort();
    }
}
