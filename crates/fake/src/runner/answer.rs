//! Answers of a runner to requests and calls.

use std::convert;
use std::time;

use axum::body;
use axum::extract;
use axum::middleware;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use futures::StreamExt as _;
use http::HeaderMap;
use http::StatusCode;
use tokio::sync::mpsc;

use crate::runner;
use crate::runner::generation;

/// Bytes that a runner sends at once of a body without end.
const ENDLESS_PIECE_BYTES: usize = 16 << 10;
/// Pieces after which such a body ends all the same, so that a relay that drops them is done some time.
const ENDLESS_PIECES: usize = 4096;

pub(super) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Adds what the runner says of itself to its responses.
pub(super) async fn add_notices(
    extract::State(runner): extract::State<runner::Runner>,
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let mut response = next.run(request).await;
    let (is_leaving, limit, retry_after) = {
        let state = runner.lock();
        (state.is_leaving, state.limit, state.retry_after)
    };
    if is_leaving {
        let value = http::HeaderValue::from_static("1");
        response.headers_mut().insert("server-leaving", value);
    }
    if let Some(limit) = limit {
        let value = http::HeaderValue::from_static(limit);
        response.headers_mut().insert("server-limit", value);
    }
    let rejects = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if let Some(retry_after) = retry_after.filter(|_value| rejects) {
        let value = http::HeaderValue::from_static(retry_after);
        response.headers_mut().insert("retry-after", value);
    }
    response
}

pub(super) async fn handle_request(
    extract::State(runner): extract::State<runner::Runner>,
    request: extract::Request,
) -> response::Response {
    let (parts, body) = request.into_parts();
    let headers = parts.headers;
    let body = body::to_bytes(body, usize::MAX).await.unwrap_or_default();
    let attempt = header_text(&headers, "attempt-id").unwrap_or_default();
    if header_text(&headers, "target-instance").is_some_and(|target| target != runner.name) {
        return reject(StatusCode::MISDIRECTED_REQUEST, &attempt);
    }
    let behaviour = runner.lock().record_arrival(&attempt);
    if behaviour == runner::Behaviour::Shed {
        return reject(StatusCode::SERVICE_UNAVAILABLE, &attempt);
    }
    let source_handle = header_text(&headers, "kv-from");
    let is_resumed = source_handle.is_some();
    // A runner that fails requests does so before it uses the copy, which it keeps.
    if let Some(handle) = source_handle.filter(|_handle| behaviour != runner::Behaviour::Fail) {
        if !runner.remove_copy(&handle) {
            return reject(StatusCode::SERVICE_UNAVAILABLE, &attempt);
        }
    }
    let last_event_id = header_text(&headers, "last-event-id").and_then(|id| id.parse().ok());
    runner.lock().runs.push(runner::Run {
        last_event_id,
        attempt: attempt.clone(),
        body: body.clone(),
        headers: headers.clone(),
        path: parts.uri.to_string(),
    });
    if let Some(target) = header_text(&headers, "kv-backup") {
        if let Some(target) = runner.inner.group.find(&target) {
            let handle = format!("{}/{attempt}", target.announced_address());
            target.lock().copies.insert(handle);
        }
    }
    let resume_delay = runner.lock().resume_delay;
    if is_resumed {
        tokio::time::sleep(resume_delay).await;
    }
    match behaviour {
        runner::Behaviour::Endless => {
            let piece = Bytes::from_static(&[b'x'; ENDLESS_PIECE_BYTES]);
            let pieces =
                futures::stream::repeat_with(move || Ok::<_, std::io::Error>(piece.clone()));
            let pieces = pieces.take(ENDLESS_PIECES);
            let headers = [("server-signature", "proof"), ("attempt-id", &attempt)];
            (StatusCode::OK, headers, body::Body::from_stream(pieces)).into_response()
        }
        runner::Behaviour::Fail => respond(StatusCode::INTERNAL_SERVER_ERROR, &attempt, body),
        runner::Behaviour::OtherAttempt => respond(StatusCode::OK, "other", body),
        runner::Behaviour::Reset => {
            let interrupted = futures::stream::once(async { Err::<Bytes, _>(interrupted_error()) });
            (StatusCode::OK, body::Body::from_stream(interrupted)).into_response()
        }
        runner::Behaviour::Unsigned => (StatusCode::OK, body).into_response(),
        runner::Behaviour::Answer | runner::Behaviour::Shed
            if headers.contains_key("token-usage") =>
        {
            let crashes = runner.crashes_on(&headers, &body);
            stream_events(&runner, &attempt, last_event_id.unwrap_or(0), crashes)
        }
        runner::Behaviour::Answer | runner::Behaviour::Shed => {
            let (delay, body_bytes) = {
                let state = runner.lock();
                (state.answer_delay, state.body_bytes)
            };
            tokio::time::sleep(delay).await;
            if runner.crashes_on(&headers, &body) {
                runner.crash();
                // The crash closes the connection.
                core::future::pending::<()>().await;
            }
            let body = body_bytes.map_or(body, |bytes| vec![b'x'; bytes].into());
            respond(StatusCode::OK, &attempt, body)
        }
    }
}

fn reject(status: StatusCode, attempt: &str) -> response::Response {
    let headers = [("not-executed", "1"), ("attempt-id", attempt)];
    (status, headers).into_response()
}

fn respond(status: StatusCode, attempt: &str, body: Bytes) -> response::Response {
    let headers = [("server-signature", "proof"), ("attempt-id", attempt)];
    (status, headers, body).into_response()
}

fn interrupted_error() -> std::io::Error {
    std::io::Error::other("stream interrupted")
}

/// Streams the events of a generation that follow event `after`, or crashes in place of the first.
fn stream_events(
    runner: &runner::Runner,
    attempt: &str,
    after: u64,
    crashes: bool,
) -> response::Response {
    let (sender, events) = mpsc::channel(1);
    let running = generation::Generation::start(runner, attempt);
    tokio::spawn(running.run(generation::Plan { after, crashes }, sender));
    let headers = [
        ("server-signature", "proof"),
        ("attempt-id", attempt),
        ("content-type", "text/event-stream"),
    ];
    let events = futures::stream::unfold(events, |mut events| async {
        let event = events.recv().await?;
        Some((event, events))
    });
    (headers, body::Body::from_stream(events)).into_response()
}

/// Copies the memory of a running generation. The last order for it also stops it.
pub(super) async fn handle_copy(
    extract::State(runner): extract::State<runner::Runner>,
    extract::Json(order): extract::Json<serde_json::Value>,
) -> Result<response::Response, convert::Infallible> {
    let target = order["target"].as_str().unwrap_or_default();
    let attempt = order["id"].as_str().unwrap_or_default();
    runner.lock().orders.push(time::Instant::now());
    let running = runner.lock().generations.get(attempt).cloned();
    let Some((_number, stop)) = running else {
        return Ok(StatusCode::NOT_FOUND.into_response());
    };
    if order["isFinal"].as_bool() == Some(true) {
        stop.cancel();
    }
    let Some(target) = runner.inner.group.find(target) else {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    };
    let handle = format!("h-{attempt}");
    target
        .lock()
        .copies
        .insert(format!("{}/{handle}", runner.announced_address()));
    let copied = serde_json::json!({"kvHandle": handle, "made": 0});
    Ok(axum::Json(copied).into_response())
}

/// Frees the memory of a copy on both ends.
pub(super) async fn handle_free(
    extract::State(runner): extract::State<runner::Runner>,
    extract::Path(handle): extract::Path<String>,
) -> StatusCode {
    let copy = format!("{}/{handle}", runner.announced_address());
    let others: Vec<_> = runner.inner.group.lock().values().cloned().collect();
    for other in others {
        other.remove_copy(&copy);
    }
    let mut state = runner.lock();
    state.orders.push(time::Instant::now());
    state.freed.push(handle);
    StatusCode::OK
}
