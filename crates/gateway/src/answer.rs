//! Answers to callers.

use bytes::Bytes;
use http::header;
use http::HeaderValue;
use http::StatusCode;
use http_body_util::combinators;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use peargap_adapters::logs;
use peargap_platform::head;

use crate::events;

/// A body that was broken off, so that the caller sees an incomplete answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Broken;

impl core::fmt::Display for Broken {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(formatter, "the answer was broken off")
    }
}

impl std::error::Error for Broken {}

/// Body of an answer.
pub(crate) type Body = combinators::UnsyncBoxBody<Bytes, Broken>;

/// An answer to a caller.
pub(crate) type Response = http::Response<Body>;

/// Why a request is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// Its body is longer than allowed.
    BodyTooLong,
    /// Its body did not arrive whole.
    BodyBroken,
    /// Every upstream is full; it has not run.
    Full,
    /// Its head is longer than allowed.
    HeadTooLong,
    /// The caller's key belongs to no team.
    KeyUnknown,
    /// No upstream takes work; it has not run.
    Nobody,
    /// No routes are known yet; it has not run.
    NoRoutes,
    /// No upstream could be reached, or all refused; it has not run.
    NotTaken,
    /// No route matches.
    RouteUnknown,
    /// An upstream broke it off or answered wrongly; it may have run.
    UpstreamFailed,
    /// Its time is over; it may have run.
    TimedOut,
    /// Its time is over and it has not run.
    TimedOutUnsent,
}

impl Refusal {
    /// Returns its name in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Refusal::BodyBroken => "body_broken",
            Refusal::BodyTooLong => "body_too_long",
            Refusal::Full => "full",
            Refusal::HeadTooLong => "head_too_long",
            Refusal::KeyUnknown => "key_unknown",
            Refusal::NoRoutes => "no_routes",
            Refusal::Nobody => "nobody",
            Refusal::NotTaken => "not_taken",
            Refusal::RouteUnknown => "route_unknown",
            Refusal::TimedOut => "timed_out",
            Refusal::TimedOutUnsent => "timed_out_unsent",
            Refusal::UpstreamFailed => "upstream_failed",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::BodyBroken => StatusCode::BAD_REQUEST,
            Refusal::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Full
            | Refusal::NoRoutes
            | Refusal::Nobody
            | Refusal::NotTaken
            | Refusal::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::KeyUnknown => StatusCode::UNAUTHORIZED,
            Refusal::RouteUnknown => StatusCode::NOT_FOUND,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::UpstreamFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns when a request that has not run may come back, in seconds.
    fn retry_after(self) -> Option<&'static str> {
        match self {
            Refusal::Full => Some("1"),
            Refusal::NoRoutes | Refusal::Nobody => Some("1"),
            Refusal::NotTaken => Some("0.3"),
            Refusal::BodyBroken
            | Refusal::BodyTooLong
            | Refusal::HeadTooLong
            | Refusal::KeyUnknown
            | Refusal::RouteUnknown
            | Refusal::TimedOut
            | Refusal::TimedOutUnsent
            | Refusal::UpstreamFailed => None,
        }
    }
}

/// Returns the answer that refuses a request.
pub(crate) fn refuse(attempt: &Bytes, refusal: Refusal) -> Response {
    logs::emit(
        events::REQUEST_REFUSED,
        format_args!("request={} why={refusal:?}", show(attempt)),
    );
    let mut response = http::Response::new(whole(Bytes::new()));
    *response.status_mut() = refusal.status();
    if let Some(seconds) = refusal.retry_after() {
        let seconds = HeaderValue::from_static(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    head::write_attempt(response.headers_mut(), attempt);
    response
}

/// Returns an upstream's own answer, read to its end.
pub(crate) fn pass_on(parts: &http::response::Parts, body: Bytes) -> Response {
    let mut response = http::Response::new(whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = head::copy_headers(&parts.headers);
    response
}

/// Returns a body that is there already.
pub(crate) fn whole(bytes: Bytes) -> Body {
    let body = Full::new(bytes);
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns an attempt's id as text for log lines.
pub(crate) fn show(attempt: &Bytes) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(attempt)
}
