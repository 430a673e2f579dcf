//! Planned stops: calls that the end of the process would cut off.

mod support;

use std::time;

use support::caller::request;
use support::Fixture;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time after the stop at which the gateway takes no new connections any longer.
const LATE: time::Duration = time::Duration::from_secs(4);
/// Grace period of the gateway.
const GRACE: time::Duration = time::Duration::from_secs(8);
/// Longer than any of the calls' deadlines.
const LONG_CALL: time::Duration = time::Duration::from_secs(20);

/// Starts a gateway and an upstream whose answers take longer than a stop.
async fn start() -> Fixture {
    let mut fixture = Fixture::start_generous().await;
    fixture.start_runner("d1").await;
    fixture.runner("d1").set_answer_delay(LONG_CALL);
    fixture
}

/// Sends the head and the first byte of a call whose body has two.
async fn begin_call(fixture: &Fixture) -> tokio::net::TcpStream {
    let connected = tokio::net::TcpStream::connect(fixture.address).await;
    let mut stream = connected.expect("a connection");
    let head = "POST /once/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: 77aa\r\n\
                deadline-ms: 9000\r\nx-api-key: k1\r\ncontent-length: 2\r\n\r\n1";
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("written");
    stream
}

async fn read_answer(stream: &mut tokio::net::TcpStream) -> String {
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

#[tokio::test]
async fn a_call_that_is_read_late_in_a_stop_and_may_outlast_it_is_refused_as_not_run() {
    let fixture = start().await;
    let mut stream = begin_call(&fixture).await;
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    fixture.stop.cancel();
    tokio::time::sleep(LATE).await;
    stream.write_all(b"2").await.expect("written");
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(fixture.runner("d1").runs().is_empty());
}

#[tokio::test]
async fn a_call_that_still_runs_when_a_stop_ends_is_answered() {
    let fixture = start().await;
    let mut caller = fixture.connect().await;
    let calling = tokio::spawn(async move {
        let mut long = request("/once/x", "body");
        let deadline = http::HeaderValue::from_static("9000");
        long.headers_mut().insert("deadline-ms", deadline);
        caller.call(long).await
    });
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    fixture.stop.cancel();
    let answered = tokio::time::timeout(GRACE, calling).await;
    let response = answered
        .expect("before the process ends")
        .expect("an answer");
    assert_eq!(response.status, 504);
    assert!(response.is_complete);
    assert_eq!(fixture.runner("d1").runs().len(), 1);
}

#[tokio::test]
async fn a_call_is_served_while_a_gateway_with_a_short_grace_still_takes_connections() {
    let mut fixture = Fixture::start_hasty().await;
    fixture.start_runner("d1").await;
    fixture.stop.cancel();
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert_eq!(fixture.call(request("/once/x", "body")).await.status, 200);
}
