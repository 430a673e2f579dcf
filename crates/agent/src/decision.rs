//! Logs, counts and sends the decisions of admission.

use peargap_adapters::logs;
use peargap_core::admit;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;

use crate::admission_api;
use crate::events;
use crate::meters;

/// Minimum retry delay of a refusal that is not final.
const MIN_RETRY_MS: u32 = 100;

/// Logs that a request is queued behind `ahead` others.
pub(crate) fn log_queued(request: &admission_api::Request, ahead: u32, load: &admit::Load) {
    logs::emit(
        events::QUEUED,
        format_args!(
            "request={} team={} model={} ahead={ahead} running={} limit={} used_tokens={} wait_ms={}",
            request.id,
            request.team,
            request.model,
            load.running,
            load.limit,
            load.used_tokens,
            load.wait_ms
        ),
    );
}

/// Logs that a request is admitted after `waited_ms` in the queue.
pub(crate) fn log_admitted(request: &admission_api::Request, waited_ms: u64, load: &admit::Load) {
    logs::emit(
        events::ADMITTED,
        format_args!(
            "request={} team={} model={} priority={} prompt_tokens={} waited_ms={waited_ms} running={} limit={} used_tokens={}",
            request.id,
            request.team,
            request.model,
            request.priority,
            request.prompt_tokens,
            load.running,
            load.limit,
            load.used_tokens
        ),
    );
}

/// Refuses a request: counts and logs the refusal and sends the verdict.
pub(crate) fn refuse(
    meters: &meters::Meters,
    load: &admit::Load,
    request: &admission_api::Request,
    reply: &mpsc::UnboundedSender<admission_api::Verdict>,
    reason: wire::Reason,
    retry_after_ms: u32,
) {
    let retry_after_ms = match reason {
        wire::Reason::Invalid => 0,
        _ => retry_after_ms.max(MIN_RETRY_MS),
    };
    meters.count_refusal(reason);
    logs::emit(
        events::REFUSED,
        format_args!(
            "request={} team={} model={} reason={} retry_after_ms={retry_after_ms} running={} queued={} limit={} used_tokens={} wait_ms={}",
            request.id,
            request.team,
            request.model,
            reason.as_str_name(),
            load.running,
            load.waiting,
            load.limit,
            load.used_tokens,
            load.wait_ms
        ),
    );
    let _ = reply.send(admission_api::Verdict::Refused {
        reason,
        retry_after_ms,
    });
}

/// Converts a refusal's reason to its wire form.
pub(crate) fn to_wire_reason(reason: admit::Reason) -> wire::Reason {
    match reason {
        admit::Reason::Busy => wire::Reason::Busy,
        admit::Reason::Deadline => wire::Reason::Deadline,
        admit::Reason::Ramping => wire::Reason::Ramping,
        admit::Reason::TooLarge => wire::Reason::Invalid,
    }
}

/// Converts milliseconds to the `u32` of a message, saturating.
pub(crate) fn saturate_millis(millis: u64) -> u32 {
    u32::try_from(millis).unwrap_or(u32::MAX)
}
