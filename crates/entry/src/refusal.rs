//! Error responses to callers, in the format of the OpenAI API.

use axum::body;
use axum::http;
use axum::http::header;
use axum::response;
use peargap_core::retry;
use peargap_wire::agent as wire;

/// Header that tells whether the request ran.
pub(crate) const RAN_HEADER: &str = "x-peargap-ran";
/// Retry delay if there is no better estimate.
pub(crate) const DEFAULT_RETRY_MS: u32 = 1_000;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Ran {
    /// It certainly did not run and will not.
    #[default]
    No,
    /// It may have run.
    Unknown,
    /// It ran, at least in part.
    Yes,
}

impl Ran {
    /// Returns the value used in error bodies and headers.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Ran::No => "not_run",
            Ran::Yes => "ran",
            Ran::Unknown => "unknown",
        }
    }

    /// Converts to the type of the retry decision.
    pub(crate) fn to_core(self) -> retry::Ran {
        match self {
            Ran::No => retry::Ran::No,
            Ran::Yes => retry::Ran::Yes,
            Ran::Unknown => retry::Ran::Unknown,
        }
    }

    /// Combines the results of two attempts of one request.
    pub(crate) fn merge(self, other: Ran) -> Ran {
        match (self, other) {
            (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
            (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
            (Ran::No, Ran::No) => Ran::No,
        }
    }

    /// Converts the value reported by an agent.
    pub(crate) fn from_wire(ran: i32) -> Ran {
        match wire::Ran::try_from(ran) {
            Ok(wire::Ran::No) => Ran::No,
            Ok(wire::Ran::Yes) => Ran::Yes,
            Ok(wire::Ran::Unknown) | Err(_) => Ran::Unknown,
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Code {
    AnswerGone,
    Busy,
    Cancelled,
    Conflict,
    Deadline,
    Draining,
    Gone,
    InProgress,
    InvalidKey,
    InvalidRequest,
    MethodNotAllowed,
    ModelNotFound,
    NoUpstream,
    NotFound,
    Stale,
    Superseded,
    TooLarge,
    Unknown,
    UpstreamFailed,
}

impl Code {
    /// Returns the value used in error bodies and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Code::AnswerGone => "answer_not_kept",
            Code::Busy => "busy",
            Code::Cancelled => "cancelled",
            Code::Conflict => "idempotency_mismatch",
            Code::Deadline => "deadline_exceeded",
            Code::Draining => "draining",
            Code::Gone => "generation_gone",
            Code::InProgress => "in_progress",
            Code::InvalidKey => "invalid_api_key",
            Code::InvalidRequest => "invalid_request",
            Code::MethodNotAllowed => "method_not_allowed",
            Code::ModelNotFound => "model_not_found",
            Code::NoUpstream => "no_upstream",
            Code::NotFound => "not_found",
            Code::Stale => "configuration_stale",
            Code::Superseded => "resumed_elsewhere",
            Code::TooLarge => "request_too_large",
            Code::Unknown => "outcome_unknown",
            Code::UpstreamFailed => "upstream_failed",
        }
    }

    fn status(self) -> http::StatusCode {
        match self {
            Code::Busy => http::StatusCode::TOO_MANY_REQUESTS,
            Code::Cancelled => http::StatusCode::BAD_REQUEST,
            Code::Conflict => http::StatusCode::UNPROCESSABLE_ENTITY,
            Code::Deadline => http::StatusCode::GATEWAY_TIMEOUT,
            Code::Draining | Code::NoUpstream | Code::Stale => {
                http::StatusCode::SERVICE_UNAVAILABLE
            }
            Code::AnswerGone | Code::Gone => http::StatusCode::GONE,
            Code::InProgress | Code::Superseded => http::StatusCode::CONFLICT,
            Code::InvalidKey => http::StatusCode::UNAUTHORIZED,
            Code::InvalidRequest => http::StatusCode::BAD_REQUEST,
            Code::MethodNotAllowed => http::StatusCode::METHOD_NOT_ALLOWED,
            Code::ModelNotFound | Code::NotFound => http::StatusCode::NOT_FOUND,
            Code::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            Code::Unknown | Code::UpstreamFailed => http::StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the `type` field of the error object.
    fn kind(self) -> &'static str {
        match self {
            Code::Busy => "rate_limit_error",
            Code::InvalidKey => "authentication_error",
            Code::Deadline
            | Code::Draining
            | Code::NoUpstream
            | Code::Stale
            | Code::Unknown
            | Code::UpstreamFailed => "server_error",
            Code::AnswerGone
            | Code::Cancelled
            | Code::Conflict
            | Code::Gone
            | Code::InProgress
            | Code::InvalidRequest
            | Code::MethodNotAllowed
            | Code::ModelNotFound
            | Code::NotFound
            | Code::Superseded
            | Code::TooLarge => "invalid_request_error",
        }
    }
}

/// An error response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    /// Reason for the refusal.
    pub(crate) code: Code,
    /// Human-readable message.
    pub(crate) message: String,
    /// Invalid field or header of the request.
    pub(crate) param: Option<String>,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// Delay after which to retry; absent if a retry is of no use.
    pub(crate) retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub(crate) fn not_run(code: Code, message: impl Into<String>) -> Refusal {
        Refusal {
            code,
            message: message.into(),
            param: None,
            ran: Ran::No,
            retry_after_ms: None,
        }
    }

    /// Returns a refusal of a request with an invalid field.
    pub(crate) fn invalid(param: &str, message: impl Into<String>) -> Refusal {
        let mut refusal = Refusal::not_run(Code::InvalidRequest, message);
        refusal.param = Some(param.to_owned());
        refusal
    }

    /// Returns a refusal because the upstream or the connection to it failed.
    pub(crate) fn failed(ran: Ran, message: &str) -> Refusal {
        Refusal::not_run(Code::UpstreamFailed, message)
            .with_ran(ran)
            .with_retry(DEFAULT_RETRY_MS)
    }

    /// Sets whether the request ran.
    #[must_use]
    pub(crate) fn with_ran(mut self, ran: Ran) -> Refusal {
        self.ran = ran;
        self
    }

    /// Sets the retry delay, at least 1 ms.
    #[must_use]
    pub(crate) fn with_retry(mut self, millis: u32) -> Refusal {
        self.retry_after_ms = Some(millis.max(1));
        self
    }

    /// Converts a failure reported by an agent.
    pub(crate) fn from_failed(failed: &wire::Failed) -> Refusal {
        let reason = wire::Reason::try_from(failed.reason).unwrap_or(wire::Reason::Unspecified);
        // The agent received the request before; this reply does not tell whether that copy ran.
        let ran = match reason {
            wire::Reason::Repeated => Ran::Unknown,
            _ => Ran::from_wire(failed.ran),
        };
        let refusal = Refusal::not_run(map_reason(reason), describe_reason(reason)).with_ran(ran);
        match (refusal.code, failed.retry_after_ms) {
            (Code::InvalidRequest | Code::Cancelled | Code::Gone | Code::Superseded, _) => refusal,
            (_, 0) => refusal.with_retry(DEFAULT_RETRY_MS),
            (_, millis) => refusal.with_retry(millis),
        }
    }

    /// Returns the error object as JSON, for a body or the last event of a stream.
    pub(crate) fn to_json(&self) -> String {
        let mut error = serde_json::json!({
            "message": self.message,
            "type": self.code.kind(),
            "param": self.param,
            "code": self.code.as_str(),
            "ran": self.ran.as_str(),
        });
        if let Some(millis) = self.retry_after_ms {
            error["retry_after_ms"] = millis.into();
        }
        serde_json::json!({ "error": error }).to_string()
    }
}

impl response::IntoResponse for Refusal {
    fn into_response(self) -> response::Response {
        let mut response = response::Response::new(body::Body::from(self.to_json()));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        headers.insert(
            RAN_HEADER,
            http::HeaderValue::from_static(self.ran.as_str()),
        );
        if self.code == Code::InvalidKey {
            let scheme = http::HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(millis) = self.retry_after_ms {
            headers.insert(
                header::RETRY_AFTER,
                http::HeaderValue::from(millis.div_ceil(1_000)),
            );
            headers.insert("retry-after-ms", http::HeaderValue::from(millis));
        }
        response
    }
}

fn map_reason(reason: wire::Reason) -> Code {
    match reason {
        wire::Reason::Busy | wire::Reason::Ramping => Code::Busy,
        wire::Reason::Deadline => Code::Deadline,
        wire::Reason::Draining => Code::Draining,
        wire::Reason::Stale => Code::Stale,
        wire::Reason::Gone => Code::Gone,
        wire::Reason::Invalid => Code::InvalidRequest,
        wire::Reason::Cancelled => Code::Cancelled,
        wire::Reason::Model => Code::NoUpstream,
        wire::Reason::Superseded => Code::Superseded,
        wire::Reason::Unspecified
        | wire::Reason::Upstream
        | wire::Reason::Fenced
        | wire::Reason::Repeated => Code::UpstreamFailed,
    }
}

fn describe_reason(reason: wire::Reason) -> &'static str {
    match reason {
        wire::Reason::Busy => "All upstreams for this request are at their limit.",
        wire::Reason::Ramping => "The upstreams for this request are still ramping up.",
        wire::Reason::Deadline => "The request cannot be completed within its deadline.",
        wire::Reason::Draining => "The upstream is draining and accepts no new work.",
        wire::Reason::Stale => "The upstream cannot obtain the current configuration.",
        wire::Reason::Gone => "The generation is no longer available.",
        wire::Reason::Invalid => "The upstream rejected the request as malformed.",
        wire::Reason::Cancelled => "The request was cancelled.",
        wire::Reason::Model => "The model is not loaded on the upstream.",
        wire::Reason::Fenced => "A later attempt holds the claim on this call.",
        wire::Reason::Superseded => "The generation was resumed on another connection.",
        wire::Reason::Repeated => "The upstream had already received this request.",
        wire::Reason::Unspecified | wire::Reason::Upstream => "The upstream failed.",
    }
}
