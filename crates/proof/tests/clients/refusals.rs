//! Clients are refused with an answer that holds, and let go.

use std::collections;
use std::net;
use std::sync;
use std::time;

use rustix::process as unix;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::crowd;
use crate::fleet;
use crate::gateway;

/// Clients that send whole bodies at once, more than the gateway has memory for.
const CLIENTS: usize = 100;
/// Bytes of a body far over the limit.
const LONG_BYTES: usize = 4 * gateway::BODY_BYTES;
/// Time limit of one step.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Sends a request with a body of this size as a whole, and only then reads the answer to its end;
/// returns its status.
async fn post(stack: &gateway::Stack, attempt: &str, bytes: usize) -> Option<u16> {
    let stream = tokio::net::TcpStream::connect(stack.addresses.callers).await;
    let mut stream = stream.ok()?;
    let head = format!(
        "POST /r/x HTTP/1.1\r\nhost: h\r\nattempt-id: {attempt}\r\ndeadline-ms: 9000\r\n\
         connection: close\r\ncontent-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(&vec![b'x'; bytes]).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let answer = String::from_utf8_lossy(&answer);
    answer.split(' ').nth(1)?.parse().ok()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_over_the_limit_is_refused_with_an_answer() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    for attempt in 0..20 {
        let attempt = format!("long-{attempt}");
        let posted = post(&stack, &attempt, LONG_BYTES);
        let status = tokio::time::timeout(TIMEOUT, posted).await;
        assert_eq!(status.expect("an answer"), Some(413), "{attempt}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_are_refused_for_memory_have_not_run() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = sync::Arc::new(gateway::Stack::start(None).await);
    stack
        .upstream
        .set_answer_delay(time::Duration::from_secs(1));
    let mut posted = Vec::new();
    for client in 0..CLIENTS {
        let stack = stack.clone();
        posted.push(tokio::spawn(async move {
            let attempt = format!("client-{client}");
            let status = post(&stack, &attempt, gateway::BODY_BYTES - 1000).await;
            (attempt, status)
        }));
    }
    let mut statuses = collections::BTreeMap::new();
    for one in posted {
        let (attempt, status) = one.await.expect("a client");
        statuses.insert(attempt, status);
    }
    let runs = stack.upstream.runs();
    let ran = |attempt: &str| runs.iter().any(|run| run.attempt == attempt);
    for (attempt, status) in &statuses {
        match status {
            Some(200) => assert!(ran(attempt), "{attempt} has not run"),
            Some(503) => assert!(!ran(attempt), "{attempt} has run"),
            _promises_nothing => {}
        }
    }
    let count = |wanted| {
        statuses
            .values()
            .filter(|status| **status == wanted)
            .count()
    };
    println!(
        "served={} refused={} of {CLIENTS}",
        count(Some(200)),
        count(Some(503))
    );
    assert!(count(Some(200)) > 0);
    crate::assert_memory(stack.gateway.id(), gateway::HOST_MB * 1_000_000);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_does_not_end_in_its_time_is_closed() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let stream = tokio::net::TcpStream::connect(stack.addresses.callers).await;
    let mut stream = stream.expect("a connection");
    stream
        .write_all(b"GET /r/x HTTP/1.1\r\n")
        .await
        .expect("a connection");
    // The document allows 3 s for a head, and 60 s between requests.
    let closed = tokio::time::timeout(TIMEOUT, stream.read(&mut [0])).await;
    assert!(matches!(closed, Ok(Ok(0) | Err(_))), "{closed:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_between_requests_outlives_the_time_of_a_head() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let stack = gateway::Stack::start(None).await;
    let stream = tokio::net::TcpStream::connect(stack.addresses.callers).await;
    let mut stream = stream.expect("a connection");
    for _request in 0..2 {
        let request = b"GET /nowhere/ HTTP/1.1\r\nhost: h\r\nattempt-id: 7\r\n\r\n";
        stream.write_all(request).await.expect("a connection");
        let mut answer = [0; 512];
        let read = stream.read(&mut answer).await.expect("an answer");
        assert!(answer[..read].starts_with(b"HTTP/1.1 404"));
        // The document allows 3 s for a head.
        tokio::time::sleep(time::Duration::from_secs(4)).await;
    }
}

/// Stops a process beside clients that never send the rest of their requests.
async fn check_stop(
    name: &str,
    body: crowd::Body,
    find: impl Fn(&fleet::Fleet) -> net::SocketAddr,
) {
    let plan = fleet::Plan {
        controls: 1,
        engines: 1,
        entries: 1,
        ..fleet::Plan::default()
    };
    let mut fleet = fleet::Fleet::start(plan).await;
    let path = "POST /services/lookups/x";
    let crowd = crowd::Crowd::start(find(&fleet), path, 20, body).await;
    fleet.signal(name, unix::Signal::TERM);
    assert!(fleet.wait_exit(name).await, "{name} failed");
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_never_come_whole_do_not_keep_a_stopping_entry() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    let body = crowd::Body::Announced {
        announced: 1000,
        sent: 10,
    };
    check_stop("entry-0", body, |fleet| fleet.callers(0)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_do_not_keep_a_stopping_agent() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    check_stop("agent-desk-0", crowd::Body::HalfHead, |fleet| {
        fleet.health("agent-desk-0")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_heads_do_not_keep_a_stopping_control_host() {
    let _one = crate::ONE_AT_A_TIME.lock().await;
    check_stop("control-0", crowd::Body::HalfHead, |fleet| {
        fleet.health("control-0")
    })
    .await;
}
