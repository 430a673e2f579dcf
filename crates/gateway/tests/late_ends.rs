//! Responses that begin and do not end.

mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use support::caller;
use support::raw;
use support::raw::Step;
use support::Fixture;

/// Time between two pieces of a body without end.
const PIECE_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Pieces of a body, far beyond the deadline of its request.
const PIECES: usize = 400;
/// Time in which a failure is answered whose body does not end.
const FAILURE_TIME: time::Duration = time::Duration::from_millis(1500);
/// Time after its deadline in which a request is answered.
const SLACK: time::Duration = time::Duration::from_millis(500);

/// Returns the head and the first bytes of a chunked body.
fn begin(attempt: &str, status: &str, first_bytes: usize) -> Step {
    let piece = "x".repeat(first_bytes);
    raw::send(&format!(
        "HTTP/1.1 {status}\r\nserver-signature: proof\r\nattempt-id: {attempt}\r\n\
         content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n\
         {first_bytes:x}\r\n{piece}\r\n"
    ))
}

/// Returns the steps that send the rest of the body, a byte at a time, until the connection is closed.
fn drip(closed: &sync::Arc<atomic::AtomicUsize>) -> impl Iterator<Item = Step> {
    let pieces = (0..PIECES).flat_map(|_| [Step::Wait(PIECE_INTERVAL), raw::send("1\r\n \r\n")]);
    [Step::OnClose(closed.clone())].into_iter().chain(pieces)
}

/// Starts an upstream whose responses have this status and no end; counts the connections that are closed
/// meanwhile.
async fn start_endless(status: &'static str) -> (net::SocketAddr, sync::Arc<atomic::AtomicUsize>) {
    let closed = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = closed.clone();
    let address = raw::start(move |_number, attempt| {
        let mut steps = vec![begin(attempt, status, 1)];
        steps.extend(drip(&counted));
        steps
    })
    .await;
    (address, closed)
}

/// Returns a request that may run once, for one of the two services.
fn request_to(service: &str) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    match service {
        "pool" => caller::generation(),
        _ => caller::request("/once/", ""),
    }
}

fn with_deadline(
    mut request: http::Request<http_body_util::Full<bytes::Bytes>>,
    millis: &'static str,
) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let value = http::HeaderValue::from_static(millis);
    request.headers_mut().insert("deadline-ms", value);
    request
}

/// Guards against a failure without end on a streaming route, which was never answered.
#[tokio::test]
async fn a_failure_without_end_is_answered_soon() {
    for service in ["pool", "desk"] {
        let (address, closed) = start_endless("500 Internal Server Error").await;
        let fixture = Fixture::start_at(address, service).await;
        let request = request_to(service);
        let begun = time::Instant::now();
        let response = fixture.call(request).await;
        assert_eq!(response.status, 502, "{service}");
        assert!(
            begun.elapsed() < FAILURE_TIME,
            "{service}: {:?}",
            begun.elapsed()
        );
        support::wait_for(move || closed.load(atomic::Ordering::SeqCst) > 0).await;
    }
}

/// Guards against a response that is no stream and has no end, which was never answered on a streaming
/// route.
#[tokio::test]
async fn a_response_without_end_is_answered_at_its_deadline() {
    for service in ["pool", "desk"] {
        for status in ["200 OK", "400 Bad Request", "500 Internal Server Error"] {
            let (address, closed) = start_endless(status).await;
            let fixture = Fixture::start_at(address, service).await;
            let request = match service {
                "pool" => caller::generation(),
                _ => caller::request("/plain/", ""),
            };
            let begun = time::Instant::now();
            let response = fixture.call(with_deadline(request, "700")).await;
            let took = begun.elapsed();
            assert_eq!(response.status, 504, "{service} {status}");
            let deadline = time::Duration::from_millis(700);
            assert!(
                took >= deadline && took < deadline + SLACK,
                "{service} {status}: {took:?}"
            );
            support::wait_for(move || closed.load(atomic::Ordering::SeqCst) > 0).await;
        }
    }
}

/// Guards against an idempotent call that waits for the end of a failure in place of another attempt.
#[tokio::test]
async fn an_idempotent_call_is_repeated_after_a_failure_without_end() {
    let (address, _closed) = start_endless("500 Internal Server Error").await;
    let mut fixture = Fixture::start_at(address, "desk").await;
    fixture.start_runner("d1").await;
    let mut calls = Vec::new();
    for _call in 0..8 {
        let mut caller = fixture.connect().await;
        calls.push(tokio::spawn(async move {
            let begun = time::Instant::now();
            let response = caller.call(caller::request("/plain/", "")).await;
            (response.status, begun.elapsed())
        }));
    }
    for call in calls {
        let (status, took) = call.await.expect("a response");
        assert_eq!(status, 200);
        assert!(took < FAILURE_TIME, "{took:?}");
    }
}

/// Guards against a response without end that its caller has left, which went on at the upstream.
#[tokio::test]
async fn a_response_without_end_is_closed_as_its_caller_leaves() {
    for service in ["pool", "desk"] {
        let (address, closed) = start_endless("200 OK").await;
        let fixture = Fixture::start_at(address, service).await;
        let request = request_to(service);
        let mut caller = fixture.connect().await;
        let task = caller.task.abort_handle();
        let call = tokio::spawn(async move { caller.call(request).await });
        tokio::time::sleep(PIECE_INTERVAL * 4).await;
        call.abort();
        task.abort();
        let left = time::Instant::now();
        support::wait_for(move || closed.load(atomic::Ordering::SeqCst) > 0).await;
        assert!(left.elapsed() < SLACK, "{service}: {:?}", left.elapsed());
    }
}

/// Guards against a response without end whose caller gets no answer as the process ends.
#[tokio::test]
async fn a_response_without_end_is_answered_before_the_process_ends() {
    for service in ["pool", "desk"] {
        let (address, _closed) = start_endless("200 OK").await;
        let fixture = Fixture::start_hasty().await;
        fixture.announce_at(address, service).await;
        let request = request_to(service);
        let mut caller = fixture.connect().await;
        let call = tokio::spawn(async move { caller.call(request).await });
        tokio::time::sleep(PIECE_INTERVAL * 4).await;
        fixture.stop.cancel();
        assert_eq!(call.await.expect("a response").status, 504, "{service}");
    }
}

/// Guards against large failures without end that keep sound large responses from being read.
#[tokio::test]
async fn large_failures_without_end_delay_others_briefly() {
    let large = assert_large_is_served("500 Internal Server Error").await;
    assert!(large < FAILURE_TIME, "{large:?}");
}

/// Plays large responses of this status without end, and returns the time that a sound large response
/// takes meanwhile.
async fn assert_large_is_served(status: &'static str) -> time::Duration {
    /// Large responses that are read at once.
    const LARGE_RESPONSES: usize = 4;
    let held = sync::Arc::new(atomic::AtomicUsize::new(0));
    let begun = held.clone();
    let address = raw::start(move |_number, attempt| {
        begun.fetch_add(1, atomic::Ordering::SeqCst);
        let mut steps = vec![begin(attempt, status, 300 << 10)];
        steps.extend(drip(&sync::Arc::default()));
        steps
    })
    .await;
    let mut fixture = Fixture::start_at(address, "desk").await;
    let mut calls = Vec::new();
    for _call in 0..LARGE_RESPONSES {
        let mut caller = fixture.connect().await;
        calls.push(tokio::spawn(async move {
            caller.call(caller::request("/once/", "")).await.status
        }));
    }
    support::wait_for(move || held.load(atomic::Ordering::SeqCst) == LARGE_RESPONSES).await;
    fixture.start_runner("d1").await;
    fixture.runner("d1").set_body_bytes(1 << 20);
    tokio::time::sleep(PIECE_INTERVAL * 4).await;
    let begun = time::Instant::now();
    loop {
        // The endless upstream may be chosen; its calls are no measure.
        let served = fixture.runner("d1").runs().len();
        let response = fixture.call(caller::request("/once/", "")).await;
        if fixture.runner("d1").runs().len() > served {
            assert_eq!((response.status, response.body.len()), (200, 1 << 20));
            return begun.elapsed();
        }
    }
}

/// Returns the steps that send this text again and again.
fn repeat(text: &str) -> impl Iterator<Item = Step> {
    let text = text.to_owned();
    (0..PIECES).flat_map(move |_| [Step::Wait(PIECE_INTERVAL), raw::send(&text)])
}

/// Heads that never end are bounded by the deadline too.
#[tokio::test]
async fn a_head_without_end_is_answered_at_its_deadline() {
    for piece in ["x", "HTTP/1.1 102 Processing\r\n\r\n"] {
        for service in ["pool", "desk"] {
            let is_head = piece == "x";
            let address = raw::start(move |_number, _attempt| {
                let start = if is_head {
                    "HTTP/1.1 200 OK\r\nx-head: "
                } else {
                    ""
                };
                [raw::send(start)]
                    .into_iter()
                    .chain(repeat(piece))
                    .collect()
            })
            .await;
            let fixture = Fixture::start_at(address, service).await;
            let request = request_to(service);
            let begun = time::Instant::now();
            let response = fixture.call(with_deadline(request, "700")).await;
            assert_eq!(response.status, 504, "{service} {piece:?}");
            let limit = time::Duration::from_millis(700) + SLACK;
            assert!(begun.elapsed() < limit, "{service} {piece:?}");
        }
    }
}

/// A stream without events is broken off at the deadline.
#[tokio::test]
async fn a_stream_of_comments_ends_at_its_deadline() {
    let address = raw::start(|_number, attempt| {
        let head = raw::head(attempt, raw::STREAM);
        [head].into_iter().chain(repeat(": wait\n")).collect()
    })
    .await;
    let fixture = Fixture::start_at(address, "pool").await;
    let begun = time::Instant::now();
    let response = fixture
        .call(with_deadline(caller::generation(), "700"))
        .await;
    assert!(!response.is_complete);
    assert!(begun.elapsed() < time::Duration::from_millis(700) + SLACK);
}

/// The connection of a resume that is answered by a failure without end is closed.
#[tokio::test]
async fn a_resume_that_fails_without_end_is_closed() {
    let closed = sync::Arc::new(atomic::AtomicUsize::new(0));
    let resumes = sync::Arc::new(atomic::AtomicUsize::new(0));
    let (ends, resumed) = (closed.clone(), resumes.clone());
    let script = move |request: raw::Request<'_>| {
        let attempt = request.header("attempt-id");
        if request.text.contains("kv-from") {
            resumed.fetch_add(1, atomic::Ordering::SeqCst);
            let mut steps = vec![begin(attempt, "500 Internal Server Error", 1)];
            steps.extend(drip(&ends));
            return steps;
        }
        let event = Step::Wait(PIECE_INTERVAL * 2);
        vec![
            raw::head(attempt, raw::STREAM),
            raw::send(&raw::event(1)),
            event,
            Step::Reset,
        ]
    };
    let first = raw::start_engine(script.clone()).await;
    let second = raw::start_engine(script).await;
    let fixture = Fixture::start(&[]).await;
    for (name, address) in [("one", first), ("two", second)] {
        fixture.announce_named(name, address, "pool").await;
    }
    let response = fixture.call(caller::generation()).await;
    assert!(!response.is_complete);
    assert_eq!(resumes.load(atomic::Ordering::SeqCst), 1);
    support::wait_for(move || closed.load(atomic::Ordering::SeqCst) == 1).await;
}
