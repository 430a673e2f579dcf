//! Classifies engine failures and the ends of generations.

use peargap_core::admit;
use peargap_core::fetch;
use peargap_wire::agent as wire;

use crate::http as upstream;
use crate::meters;
use crate::stream;

/// Retry delay after a failure of the engine.
const FAILED_RETRY_MS: u32 = 1_000;

/// Classifies an error status of the engine.
pub(crate) fn classify_status(status: http::StatusCode) -> fetch::Refusal {
    match status {
        http::StatusCode::NOT_FOUND => fetch::Refusal::NotFound,
        http::StatusCode::TOO_MANY_REQUESTS | http::StatusCode::SERVICE_UNAVAILABLE => {
            fetch::Refusal::Busy
        }
        status if status.is_client_error() => fetch::Refusal::Invalid,
        _ => fetch::Refusal::Error,
    }
}

/// Classifies a request to the engine that got no response.
pub(crate) fn classify_fault(fault: &upstream::Fault) -> fetch::Event {
    match fault {
        upstream::Fault::Refused => fetch::Event::Gone,
        upstream::Fault::Unreachable(_) => fetch::Event::Unreachable,
        upstream::Fault::Lost(_) | upstream::Fault::Silent | upstream::Fault::TooLarge => {
            fetch::Event::Lost
        }
    }
}

/// Builds the failure of a generation that did not complete.
pub(crate) fn build_failed(cause: fetch::Cause, ran: fetch::Ran, detail: String) -> wire::Failed {
    let ran = match ran {
        fetch::Ran::No => wire::Ran::No,
        fetch::Ran::Unknown => wire::Ran::Unknown,
        fetch::Ran::Yes => wire::Ran::Yes,
    };
    let (reason, retry_after_ms) = match cause {
        fetch::Cause::Busy => (wire::Reason::Busy, FAILED_RETRY_MS),
        fetch::Cause::Engine => (wire::Reason::Upstream, FAILED_RETRY_MS),
        fetch::Cause::Invalid => (wire::Reason::Invalid, 0),
        fetch::Cause::Model => (wire::Reason::Model, FAILED_RETRY_MS),
    };
    stream::build_failed(ran, reason, retry_after_ms, detail)
}

/// Classifies the end of a generation for admission and for the metrics.
pub(crate) fn classify_end(end: &stream::End) -> (admit::End, meters::Ended) {
    let failed = match end {
        stream::End::Finished(_) => return (admit::End::Completed, meters::Ended::Finished),
        stream::End::Failed(failed) => failed,
    };
    match failed.reason() {
        wire::Reason::Cancelled | wire::Reason::Deadline | wire::Reason::Invalid => {
            (admit::End::Cancelled, meters::Ended::Cancelled)
        }
        _ => (admit::End::Failed, meters::Ended::Failed),
    }
}
