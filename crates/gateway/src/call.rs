//! One request sent to one upstream.

use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body;
use peargap_platform::head;
use tokio::time;

use crate::place;
use crate::pool;

/// A caller's request, read whole.
#[derive(Debug)]
pub(crate) struct Request {
    /// When its head had arrived.
    pub(crate) arrived: peargap_core::time::Instant,
    /// When it counts as failed.
    pub(crate) deadline: time::Instant,
    /// Its body.
    pub(crate) body: Bytes,
    /// What its head says.
    pub(crate) head: head::Request,
    /// Method, path and headers as they came.
    pub(crate) parts: http::request::Parts,
    /// Rank at engines, 0 to 9.
    pub(crate) rank: Option<u32>,
    /// Name of the caller's team.
    pub(crate) team: Option<String>,
}

impl Request {
    /// Returns the milliseconds until the deadline.
    pub(crate) fn left_ms(&self) -> u64 {
        let left = self
            .deadline
            .saturating_duration_since(time::Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }
}

/// How a request goes to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way<'a> {
    /// Address of the engine that receives a copy of the run's memory.
    pub(crate) copy_to: Option<&'a str>,
    /// Where the run began, when it did elsewhere.
    pub(crate) resume: Option<head::Resume<'a>>,
}

/// The head of an upstream's answer, with the connection that its body comes on.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) body: body::Incoming,
    pub(crate) head: http::response::Parts,
    pub(crate) keep_s: Option<u64>,
    pub(crate) sender: pool::Sender,
}

/// How a send ended without an answer of the upstream's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// It has not run, for this reason.
    NotRun(String),
    /// It may have run; what went wrong.
    Unknown(String),
}

/// Sends a request and returns the head of its answer.
pub(crate) async fn send(
    request: &Request,
    place: &place::Place,
    way: Way<'_>,
) -> Result<Answer, Failure> {
    loop {
        let connection = place.pool.acquire().await.map_err(Failure::NotRun)?;
        let is_used = connection.is_used;
        match send_on(connection.sender, request, place, way).await {
            // The upstream closed a kept connection before it was used.
            Err(Failure::NotRun(_why)) if is_used => {}
            result => return result,
        }
    }
}

async fn send_on(
    mut sender: pool::Sender,
    request: &Request,
    place: &place::Place,
    way: Way<'_>,
) -> Result<Answer, Failure> {
    let forwarding = head::Forwarding {
        copy_to: way.copy_to,
        remaining_ms: request.left_ms(),
        rank: request.rank,
        resume: way.resume,
        team: request.team.as_deref(),
        upstream: &place.name,
    };
    let mut outgoing = http::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.parts.method.clone();
    *outgoing.uri_mut() = request.parts.uri.clone();
    *outgoing.headers_mut() = head::write_request(&request.parts.headers, &forwarding);
    let sent = sender.send_request(outgoing).await;
    let response = sent.map_err(|error| match error.is_canceled() {
        true => Failure::NotRun(error.to_string()),
        false => Failure::Unknown(error.to_string()),
    })?;
    let (head, body) = response.into_parts();
    let answer = head::read_response(head.status, &head.headers, &request.head.attempt);
    if !answer.is_for_attempt {
        return Err(Failure::Unknown(
            "the answer is another request's".to_owned(),
        ));
    }
    if answer.ran == head::Ran::No {
        return Err(Failure::NotRun(format!("upstream said {}", head.status)));
    }
    if head.status.is_success() && !answer.is_signed {
        return Err(Failure::Unknown("the answer has no proof".to_owned()));
    }
    Ok(Answer {
        body,
        head,
        keep_s: answer.keep_alive_s,
        sender,
    })
}

/// Reads the rest of an answer and keeps its connection.
pub(crate) async fn read_whole(
    answer: Answer,
    pool: &sync::Arc<pool::Pool>,
) -> Result<(http::response::Parts, Bytes), Failure> {
    let Answer {
        body,
        head,
        keep_s,
        sender,
    } = answer;
    let collected = body.collect().await;
    let collected = collected.map_err(|error| Failure::Unknown(error.to_string()))?;
    pool.release(sender, keep_s);
    Ok((head, collected.to_bytes()))
}
