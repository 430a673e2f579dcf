//! Concurrency limit of an upstream that may be cold, for example just restarted.
//!
//! The limit starts low, rises by one with each completion and is reset at once on any sign of a
//! cold upstream. A second, fixed limit applies to streams or calls that still wait for their first
//! token or answer, so that only a few of them are affected when the upstream turns cold without
//! notice.

use crate::time;

/// Default limit on concurrent streams or calls of an upstream without a completion.
pub const START_LIMIT: u32 = 2;
/// Default limit on concurrent streams or calls without a first token or answer.
pub const UNANSWERED_LIMIT: u32 = 3;
/// Factor over the usual time to a first token up to which it is no sign of a cold upstream.
const SLOW_FACTOR: f32 = 1.5;
/// Further delay of a first token that is still no sign, in milliseconds.
const SLOW_ALLOWANCE_MS: f32 = 300.0;
/// Expected time to the first token of an empty prompt, in milliseconds.
const BASE_FIRST_TOKEN_MS: f32 = 50.0;
/// Expected time to process one prompt token, in milliseconds.
const PROMPT_TOKEN_MS: f32 = 0.2;
/// Weight of a new sample in the moving average of the ratio of actual to expected times.
const SMOOTHING: f32 = 0.05;
/// Weight of a slow sample in that average; it is above 0 so that an upstream that stays slow
/// becomes the norm in time.
const SLOW_SMOOTHING: f32 = 0.01;

/// A sign that an upstream has turned cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// Its failure domain was returned to service.
    DomainReturned,
    /// Its prefix cache is empty after it was not.
    EmptyCache,
    /// It answered with an error or crashed.
    Failure,
    /// It has a new incarnation, as after a restart.
    NewIncarnation,
    /// A first token or answer is far slower than usual.
    SlowFirstToken,
}

/// Limits of a ramp.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Upper bound on concurrent streams or calls.
    pub ceiling: u32,
    /// Limit on concurrent streams or calls before any has completed.
    pub start_limit: u32,
    /// Limit on concurrent streams or calls without a first token or answer.
    pub unanswered_limit: u32,
}

/// A concurrency limit that rises with completions and is reset by signs of a cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    limit: u32,
    options: Options,
    /// Time of the last reset; completions of work begun before it do not raise the limit.
    reset_at: time::Instant,
    /// Moving average of the ratio of actual to expected times to a first token; 0 when unknown.
    mean_ratio: f32,
}

impl Ramp {
    /// Returns a ramp at its start limit.
    #[must_use]
    pub fn new(now: time::Instant, options: Options) -> Ramp {
        let limit = options.start_limit.min(options.ceiling);
        Ramp {
            limit,
            options,
            reset_at: now,
            mean_ratio: 0.0,
        }
    }

    /// Returns the limit on concurrent streams or calls begun since the last reset.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the limit on concurrent streams or calls without a first token or answer.
    #[must_use]
    pub fn unanswered_limit(&self) -> u32 {
        self.options.unanswered_limit
    }

    /// Returns whether the limit is still below its ceiling.
    #[must_use]
    pub fn is_ramping(&self) -> bool {
        self.limit < self.options.ceiling
    }

    /// Raises the limit after a complete answer, unless the work was begun before the last reset.
    pub fn record_completion(&mut self, started_at: time::Instant) {
        if started_at < self.reset_at {
            return;
        }
        self.limit = (self.limit + 1).min(self.options.ceiling);
    }

    /// Resets the limit to the start limit.
    pub fn reset(&mut self, now: time::Instant, _sign: Sign) {
        self.limit = self.options.start_limit.min(self.options.ceiling);
        self.reset_at = now;
    }

    /// Records the time to a first token or answer; returns a sign if it was slow.
    ///
    /// `waited_ms` excludes time in the queue.
    pub fn record_first_token(&mut self, waited_ms: u64, prompt_tokens: u32) -> Option<Sign> {
        let sample = waited_ms as f32 / expected_ms(prompt_tokens);
        let slow = self.is_slow(waited_ms, prompt_tokens);
        if self.mean_ratio == 0.0 && !slow {
            self.mean_ratio = sample;
        }
        let smoothing = if slow { SLOW_SMOOTHING } else { SMOOTHING };
        self.mean_ratio += (sample - self.mean_ratio) * smoothing;
        slow.then_some(Sign::SlowFirstToken)
    }

    /// Returns whether a first token that takes at least `waited_ms` is a sign of a cold upstream.
    #[must_use]
    pub fn is_slow(&self, waited_ms: u64, prompt_tokens: u32) -> bool {
        let mean_ratio = if self.mean_ratio == 0.0 {
            1.0
        } else {
            self.mean_ratio
        };
        let bound_ms = mean_ratio * SLOW_FACTOR * expected_ms(prompt_tokens) + SLOW_ALLOWANCE_MS;
        waited_ms as f32 > bound_ms
    }
}

/// Returns the expected time to a first token, in milliseconds.
fn expected_ms(prompt_tokens: u32) -> f32 {
    BASE_FIRST_TOKEN_MS + prompt_tokens as f32 * PROMPT_TOKEN_MS
}
