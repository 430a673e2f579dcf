//! What an engine's fault says of a generation.

use peargap_core::admit;
use peargap_wire::agent as wire;

use crate::agent;
use crate::meters;
use crate::stream;

/// When to come back after the engine failed.
pub(crate) const FAILED_RETRY_MS: u32 = 1_000;

/// Judges an error answer to a new request: the engine says 4xx or 503 before it runs anything.
pub(crate) fn judge_refusal(status: http::StatusCode, detail: &str) -> stream::End {
    let detail = format!("the engine answered {status}: {detail}");
    let failed = match status {
        http::StatusCode::NOT_FOUND => agent::refuse(wire::Reason::Model, FAILED_RETRY_MS, detail),
        http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE => {
            agent::refuse(wire::Reason::Busy, FAILED_RETRY_MS, detail)
        }
        status if status.is_client_error() => agent::refuse(wire::Reason::Invalid, 0, detail),
        _ => return end_with(wire::Ran::Unknown, detail),
    };
    stream::End::Failed(failed)
}

/// Returns the end of a generation that the engine failed.
pub(crate) fn end_with(ran: wire::Ran, detail: impl Into<String>) -> stream::End {
    let failed = stream::fail(ran, wire::Reason::Upstream, FAILED_RETRY_MS, detail);
    stream::End::Failed(failed)
}

/// Returns what the end means to admission and to the metrics.
pub(crate) fn classify(end: &stream::End) -> (admit::End, meters::Ended) {
    let failed = match end {
        stream::End::Finished(_) => return (admit::End::Whole, meters::Ended::Finished),
        stream::End::Failed(failed) => failed,
    };
    match failed.reason() {
        wire::Reason::Cancelled | wire::Reason::Deadline | wire::Reason::Invalid => {
            (admit::End::Cancelled, meters::Ended::Cancelled)
        }
        _ => (admit::End::Failed, meters::Ended::Failed),
    }
}
