//! Capacity and limits of an upstream.

use crate::ramp;

/// Default limit on queued requests.
pub const MAX_WAITING: usize = 256;
/// Default limit on the probability that engine memory overflows.
pub const MAX_OVERFLOW_PROBABILITY: f32 = 0.03;
/// Default limit on the ratio of the gap between tokens to that of a stream running alone.
pub const MAX_GAP_RATIO: f64 = 1.24;

/// Capacity and limits of an upstream, as configured at its agent.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Size of a memory block in tokens.
    pub block_tokens: u32,
    /// Upper bound on concurrent streams or calls.
    pub max_running: u32,
    /// Limit on the ratio of the gap between tokens to that of a stream running alone; see
    /// [`MAX_GAP_RATIO`].
    pub max_gap_ratio: f64,
    /// Limit on queued requests.
    pub max_waiting: usize,
    /// Token slots of engine memory; 0 for a plain service, which only the ramp limits.
    pub memory_tokens: u64,
    /// Limit on the probability that engine memory overflows.
    pub max_overflow_probability: f32,
    /// Concurrent streams or calls allowed before any has completed; see [`ramp::START_LIMIT`].
    pub start_limit: u32,
    /// Limit on concurrent streams or calls without a first token or answer.
    pub unanswered_limit: u32,
}

impl Options {
    /// Returns the default options of an upstream; `memory_tokens` is 0 for a plain service.
    #[must_use]
    pub fn new(memory_tokens: u64, block_tokens: u32, max_running: u32) -> Options {
        Options {
            block_tokens,
            max_running,
            max_gap_ratio: MAX_GAP_RATIO,
            max_waiting: MAX_WAITING,
            memory_tokens,
            max_overflow_probability: MAX_OVERFLOW_PROBABILITY,
            start_limit: ramp::START_LIMIT,
            unanswered_limit: ramp::UNANSWERED_LIMIT,
        }
    }
}
