//! What happens to a new request at an upstream.

use crate::admit;
use crate::time;

/// Largest share of the time to its deadline that a request may be expected to spend in the queue.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Safety factor on the expected wait when checking that a request can finish by its deadline.
const WAIT_SAFETY_FACTOR: f64 = 1.5;

/// Decides whether a new request starts, waits or is refused.
#[must_use]
pub fn decide(
    admission: &admit::Admission,
    now: time::Instant,
    request: &admit::Request,
) -> admit::Decision {
    let options = &admission.options;
    let prompt = u64::from(request.prompt_tokens);
    if options.memory_tokens > 0 && prompt + 1 > options.memory_tokens {
        return admit::Decision::Refuse {
            reason: admit::Reason::TooLarge,
            retry_after_ms: 0,
        };
    }
    let queue = &admission.queue;
    let room = admission.room(request);
    if queue.is_empty() && room == admit::Room::Fits {
        return admit::Decision::Admit;
    }
    let wait_ms = queue.wait_ms(request.priority, request.team);
    let retry_after_ms = queue.retry_after_ms(request.priority, request.team);
    let run_ms = admission.run_ms(request);
    let total_ms = (wait_ms as f64 * WAIT_SAFETY_FACTOR) as u64 + run_ms;
    if now.0 + total_ms > request.deadline.0 {
        let reason = admit::Reason::Deadline;
        return admit::Decision::Refuse {
            reason,
            retry_after_ms,
        };
    }
    let max_wait_ms = request.deadline.millis_since(now) as f64 * MAX_WAIT_SHARE;
    if wait_ms as f64 > max_wait_ms {
        let ramping = room == admit::Room::Ramping && admission.ramp.is_ramping();
        let reason = if ramping {
            admit::Reason::Ramping
        } else {
            admit::Reason::Busy
        };
        return admit::Decision::Refuse {
            reason,
            retry_after_ms,
        };
    }
    admit::Decision::Wait
}
