//! Responses to callers.

use bytes::Bytes;
use http::header;
use http::HeaderValue;
use http::StatusCode;
use http_body_util::combinators;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use peargap_adapters::intake::body;
use peargap_adapters::logs;
use peargap_core::quarantine;
use peargap_platform::head;

use crate::call;
use crate::events;
use crate::unread;

/// Error that aborts a response body, so that the caller sees that it is incomplete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Interrupted;

impl core::fmt::Display for Interrupted {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(formatter, "response was cut off before its end")
    }
}

impl std::error::Error for Interrupted {}

/// Body of a response to a caller.
pub(crate) type Body = combinators::UnsyncBoxBody<Bytes, Interrupted>;

/// A response to a caller.
pub(crate) type Response = http::Response<Body>;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The request's body is longer than allowed.
    BodyTooLong,
    /// The request's body could not be read to its end.
    BodyBroken,
    /// The gateway ends; the request may have run.
    CutOff,
    /// Every engine is full; the request has not run.
    Full {
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request's head is longer than allowed.
    HeadTooLong,
    /// The gateway has a fault; the request may have run.
    Internal,
    /// The caller's key belongs to no team.
    KeyUnknown,
    /// The upstreams get as many requests as the limits that they name allow; the request has not
    /// run.
    Limited {
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// No upstream of the service takes new work; the request has not run.
    Nobody,
    /// The memory for callers was used up before the request had arrived; it has not run.
    NoMemory,
    /// The gateway has no routing table yet; the request has not run.
    NoRoutes,
    /// Each upstream that was tried refused the request or was unreachable; it has not run.
    NotTaken,
    /// All upstreams have asked for a pause; the request has not run.
    Paused {
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// Upstreams crash on the request, or on a part of its prompt; it has not run.
    Quarantined {
        /// What is in quarantine.
        subject: quarantine::Subject,
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// No route matches.
    RouteUnknown,
    /// The gateway is stopping, and the request may outlast it; it has not run.
    Stopping,
    /// An upstream failed or sent an invalid response; the request may have run.
    UpstreamFailed,
    /// The deadline has passed; the request may have run.
    TimedOut,
    /// The deadline has passed before the request was sent; it has not run.
    TimedOutUnsent,
}

impl Refusal {
    /// Returns why a request is refused whose body could not be read.
    pub(crate) fn of_body(error: body::Error) -> Refusal {
        match error {
            body::Error::Broken(_why) => Refusal::BodyBroken,
            body::Error::Ended => Refusal::NoMemory,
            body::Error::TooLong => Refusal::BodyTooLong,
        }
    }

    /// Returns why a request is refused that may have run at an upstream, which failed so.
    pub(crate) fn of_failure(failure: &call::Failure) -> Refusal {
        match failure {
            call::Failure::Late(call::Late::Deadline) => Refusal::TimedOut,
            _failure => Refusal::UpstreamFailed,
        }
    }

    /// Returns the label value for metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Refusal::BodyBroken => "body_broken",
            Refusal::BodyTooLong => "body_too_long",
            Refusal::CutOff => "cut_off",
            Refusal::Full { .. } => "full",
            Refusal::HeadTooLong => "head_too_long",
            Refusal::Internal => "internal",
            Refusal::KeyUnknown => "key_unknown",
            Refusal::Limited { .. } => "limited",
            Refusal::NoMemory => "no_memory",
            Refusal::NoRoutes => "no_routes",
            Refusal::Nobody => "nobody",
            Refusal::NotTaken => "not_taken",
            Refusal::Paused { .. } => "paused",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::RouteUnknown => "route_unknown",
            Refusal::Stopping => "stopping",
            Refusal::TimedOut => "timed_out",
            Refusal::TimedOutUnsent => "timed_out_unsent",
            Refusal::UpstreamFailed => "upstream_failed",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::BodyBroken => StatusCode::BAD_REQUEST,
            Refusal::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Full { .. }
            | Refusal::Limited { .. }
            | Refusal::NoMemory
            | Refusal::NoRoutes
            | Refusal::Nobody
            | Refusal::NotTaken
            | Refusal::Paused { .. }
            | Refusal::Quarantined { .. }
            | Refusal::Stopping
            | Refusal::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::Internal => StatusCode::INTERNAL_SERVER_ERROR,
            Refusal::KeyUnknown => StatusCode::UNAUTHORIZED,
            Refusal::RouteUnknown => StatusCode::NOT_FOUND,
            Refusal::CutOff | Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::UpstreamFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the time after which the caller may try again, in milliseconds, for a request that has
    /// not run.
    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Refusal::NoMemory | Refusal::Nobody => Some(1000),
            Refusal::NoRoutes => Some(600),
            Refusal::NotTaken => Some(300),
            // Other gateways are not affected.
            Refusal::Stopping => Some(0),
            Refusal::Full { retry_after_ms }
            | Refusal::Limited { retry_after_ms }
            | Refusal::Paused { retry_after_ms }
            | Refusal::Quarantined { retry_after_ms, .. } => Some(retry_after_ms),
            Refusal::BodyBroken
            | Refusal::BodyTooLong
            | Refusal::CutOff
            | Refusal::HeadTooLong
            | Refusal::Internal
            | Refusal::KeyUnknown
            | Refusal::RouteUnknown
            | Refusal::TimedOut
            | Refusal::TimedOutUnsent
            | Refusal::UpstreamFailed => None,
        }
    }
}

/// Formats a time in milliseconds as a `Retry-After` value, in seconds.
fn format_retry_after(millis: u64) -> Option<HeaderValue> {
    let text = format!("{}.{:03}", millis / 1000, millis % 1000);
    HeaderValue::from_str(&text).ok()
}

/// Returns the response that refuses a request; `version` is that of the routing document in force.
pub(crate) fn refuse(attempt: &Bytes, refusal: Refusal, version: u64) -> Response {
    logs::emit(
        events::REQUEST_REFUSED,
        format_args!(
            "request={} why={refusal:?} version={version}",
            attempt_text(attempt)
        ),
    );
    let mut response = http::Response::new(full_body(Bytes::new()));
    *response.status_mut() = refusal.status();
    if let Some(seconds) = refusal.retry_after_ms().and_then(format_retry_after) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    head::write_attempt(response.headers_mut(), attempt);
    response
}

/// Returns an upstream's response, whose body has been read, as a response to the caller.
pub(crate) fn forward(parts: &http::response::Parts, body: unread::Body) -> Response {
    let body = body.map_err(|never| match never {}).boxed_unsync();
    let mut response = http::Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = head::copy_headers(&parts.headers);
    response
}

/// Returns a body of bytes that are in memory.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    let body = Full::new(bytes);
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns an attempt ID as text for log lines.
pub(crate) fn attempt_text(attempt: &Bytes) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(attempt)
}
