//! Forwarding of one request to one upstream.

use std::io;
use std::sync;

use bytes::Bytes;
use http::header;
use hyper::body;
use peargap_adapters::body_budget;
use peargap_adapters::digest;
use peargap_adapters::logs;
use peargap_core::request;
use peargap_core::sse;
use peargap_platform::head;
use tokio::time;

use crate::events;
use crate::fleet;
use crate::placement;
use crate::pool;
use crate::response;
use crate::response_body;
use crate::unread;

/// Time limit for the body of a response that is a failure of its upstream.
const FAILURE_BODY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A caller's request, with its complete body.
#[derive(Debug)]
pub(crate) struct Request {
    /// When its head was received.
    pub(crate) arrived: peargap_core::time::Instant,
    /// When it times out.
    pub(crate) deadline: time::Instant,
    /// Its body.
    pub(crate) body: Bytes,
    /// Its identity, once it has been computed.
    pub(crate) digest: sync::OnceLock<request::Digest>,
    /// Values parsed from its headers.
    pub(crate) head: head::Request,
    /// Method, URI and headers as received.
    pub(crate) parts: http::request::Parts,
    /// Priority at engines, 0 to 9; `None` for plain services.
    pub(crate) priority: Option<u32>,
    /// Name of the caller's team.
    pub(crate) team: Option<String>,
    /// Counts what its caller and its upstream have not read.
    pub(crate) unread: unread::Account,
}

impl Request {
    /// Returns the identity of the request, which its repeats have as well. The first call computes it.
    pub(crate) fn digest(&self) -> request::Digest {
        *self.digest.get_or_init(|| {
            let path = self.parts.uri.path_and_query();
            digest::hash_request(digest::Request {
                body: &self.body,
                caller: self.team.as_deref().unwrap_or_default(),
                host: &self.head.host,
                method: self.parts.method.as_str(),
                path: path.map_or("", |path| path.as_str()),
            })
        })
    }

    /// Returns the milliseconds until the deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        let remaining = self
            .deadline
            .saturating_duration_since(time::Instant::now());
        u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Engine-specific options of a request; plain calls have none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options<'a> {
    /// Address of the engine that receives a backup copy of the generation's memory.
    pub(crate) copy_to: Option<&'a str>,
    /// Where to resume from, for a generation that ran elsewhere before.
    pub(crate) resume: Option<head::Resume<'a>>,
}

/// Head of an upstream's response, with its unread body and the connection that carries it.
#[derive(Debug)]
pub(crate) struct Response {
    /// Counts what has arrived of the body and is not forwarded yet.
    pub(crate) arriving: body_budget::Hold,
    pub(crate) body: body::Incoming,
    pub(crate) connection: pool::Answering,
    pub(crate) head: http::response::Parts,
}

/// Why a request got no valid response from an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// Another process is at the upstream's address; the request has not run.
    Displaced,
    /// The response has begun and did not end in time; the request may have run.
    Late(Late),
    /// The connection was lost in the network; the request may have run.
    Lost(String),
    /// The upstream refused the request, for this reason; it has not run.
    NotRun(String),
    /// The connection closed before the request was written to it; the error.
    NotSent(String),
    /// The request may have run; the error.
    Unknown(String),
    /// No connection could be opened, for this reason; nothing was sent.
    Unreachable(pool::Error),
}

/// Which time has passed before a response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Late {
    /// The deadline of the request.
    Deadline,
    /// The time for the body of a failure.
    Failure,
}

impl Failure {
    /// Returns whether the request may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            Failure::Late(_) | Failure::Lost(_) | Failure::Unknown(_) => true,
            Failure::Displaced
            | Failure::NotRun(_)
            | Failure::NotSent(_)
            | Failure::Unreachable(_) => false,
        }
    }
}

/// Returns what the result of a call says about the upstream.
pub(crate) fn classify<T>(result: &Result<T, Failure>) -> fleet::Outcome {
    match result {
        Ok(_response) => fleet::Outcome::Succeeded,
        Err(Failure::Displaced | Failure::Unreachable(pool::Error::Refused)) => {
            fleet::Outcome::Absent
        }
        Err(Failure::Unknown(_)) => fleet::Outcome::Broken,
        Err(Failure::Lost(_) | Failure::Unreachable(_)) => fleet::Outcome::Unreachable,
        Err(Failure::Late(_) | Failure::NotRun(_) | Failure::NotSent(_)) => fleet::Outcome::Failed,
    }
}

/// Sends a request and returns the head of the response.
pub(crate) async fn send(
    request: &Request,
    placement: &placement::Placement,
    options: Options<'_>,
) -> Result<Response, Failure> {
    loop {
        let connection = placement.pool.acquire().await;
        let connection = connection.map_err(Failure::Unreachable)?;
        let is_reused = connection.is_reused();
        match send_on(connection, request, placement, options).await {
            // The upstream has closed an idle connection; another one may be open.
            Err(Failure::NotSent(why)) if is_reused => logs::emit(
                events::SENT_AGAIN,
                format_args!(
                    "request={} upstream={} why={why}",
                    response::attempt_text(&request.head.attempt),
                    placement.name
                ),
            ),
            result => return result,
        }
    }
}

async fn send_on(
    mut connection: pool::Connection,
    request: &Request,
    placement: &placement::Placement,
    options: Options<'_>,
) -> Result<Response, Failure> {
    let is_reused = connection.is_reused();
    let forwarding = head::Forwarding {
        copy_to: options.copy_to,
        remaining_ms: request.remaining_ms(),
        rank: request.priority,
        resume: options.resume,
        team: request.team.as_deref(),
        upstream: &placement.name,
    };
    let attempt = &request.head.attempt;
    let body = request.body.clone();
    let body = request.unread.build_request_body(body);
    let mut outgoing = http::Request::new(body);
    *outgoing.method_mut() = request.parts.method.clone();
    *outgoing.uri_mut() = request.parts.uri.clone();
    *outgoing.headers_mut() = head::write_request(&request.parts.headers, &forwarding);
    let sent_at = placement.notices.now();
    let arriving = request.unread.receive_response(attempt);
    let sent = tokio::select! {
        biased;
        () = request.unread.received.hold().ended() => {
            return Err(Failure::Unknown("request was not read in time".to_owned()));
        }
        () = arriving.ended() => {
            return Err(Failure::Unknown("no memory for the head of the response".to_owned()));
        }
        sent = connection.send_request(outgoing, arriving.clone()) => sent,
    };
    let response = sent.map_err(classify_error)?;
    arriving.reset(0);
    let (head, body) = response.into_parts();
    let parsed = head::read_response(head.status, &head.headers, attempt);
    let is_displaced = parsed.ran == head::Ran::OtherInstance;
    if !is_displaced {
        placement.notices.record_response(&parsed);
    }
    // A response to an earlier request of the connection says nothing of this one, whatever its status.
    if !is_own(parsed.owner, is_reused) {
        return Err(Failure::Unknown(format!(
            "response {} belongs to another request",
            head.status
        )));
    }
    if is_displaced {
        return Err(Failure::Displaced);
    }
    let is_answer = parsed.is_signed || parsed.ran == head::Ran::No;
    if is_answer && parsed.notice.limit.is_none() {
        placement.notices.record_no_limit(sent_at);
    }
    if parsed.ran == head::Ran::No {
        return Err(Failure::NotRun(format!(
            "upstream answered {}",
            head.status
        )));
    }
    if head.status.is_success() && !parsed.is_signed {
        return Err(Failure::Unknown("response is not signed".to_owned()));
    }
    let next = match parsed.owner {
        head::Owner::This => pool::Next::Keep(parsed.keep_alive_s),
        head::Owner::Another | head::Owner::Unnamed => pool::Next::Close,
    };
    Ok(Response {
        arriving,
        body,
        connection: pool::Answering {
            next,
            sender: connection.into_sender(),
        },
        head,
    })
}

/// Returns whether a response belongs to the request for which it was read. One that names no attempt
/// can belong to an earlier one if there was one on the connection.
fn is_own(owner: head::Owner, is_reused: bool) -> bool {
    match owner {
        head::Owner::Another => false,
        head::Owner::This => true,
        head::Owner::Unnamed => !is_reused,
    }
}

/// Returns what an error says of a request that was handed to a connection.
fn classify_error(error: pool::SendError) -> Failure {
    let pool::SendError::Http(error) = error else {
        return Failure::Unknown(error.to_string());
    };
    if error.is_canceled() {
        return Failure::NotSent(error.to_string());
    }
    let cause = std::error::Error::source(&error);
    let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable) => {
            Failure::Lost(error.to_string())
        }
        _ => Failure::Unknown(error.to_string()),
    }
}

/// Reads the body of a response and returns its connection to the pool. One of events that ends inside
/// an event is not whole, however its end is shown. The read ends at the deadline of the request, and
/// that of a failure sooner: its status tells the caller nearly all.
pub(crate) async fn read_to_end(
    request: &Request,
    response: Response,
    pool: &sync::Arc<pool::Pool>,
    bodies: &response_body::Reader,
) -> Result<(http::response::Parts, unread::Body), Failure> {
    let Response {
        arriving,
        body,
        connection,
        head,
    } = response;
    let (end, late) = limit_read(request.deadline, head.status);
    let hold = request.unread.open_response(&request.head.attempt);
    let read = time::timeout_at(end, bodies.read(body, arriving, hold)).await;
    let read = read.map_err(|_elapsed| Failure::Late(late))?;
    let body = read.map_err(|error| Failure::Unknown(error.to_string()))?;
    let content = sse::content(head.headers.get(header::CONTENT_TYPE));
    if content == sse::Content::Events && !body.ends_between_events() {
        let why = "stream ended in the middle of an event".to_owned();
        return Err(Failure::Unknown(why));
    }
    pool.release(connection);
    Ok((head, body))
}

/// Returns until when the body of a response with this status is read, and what has passed then.
fn limit_read(deadline: time::Instant, status: http::StatusCode) -> (time::Instant, Late) {
    let failure_end = time::Instant::now() + FAILURE_BODY_TIMEOUT;
    match status.is_server_error() && failure_end < deadline {
        true => (failure_end, Late::Failure),
        false => (deadline, Late::Deadline),
    }
}
