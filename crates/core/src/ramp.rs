//! Limit of work for an upstream that may be cold.
//!
//! The limit starts small, grows with completions that showed a warm upstream, and falls back at
//! once on any sign of a cold one. Streams or calls whose first token or answer is still due never
//! exceed the start limit, so that an unannounced cold turn meets a bounded number of them.

use crate::time;

/// Work that an upstream gets before it has proven anything.
pub const START_LIMIT: u32 = 2;
/// Work that may wait for its first token or answer at once.
pub const UNPROVEN_LIMIT: u32 = 3;
/// Stretch of a first token against the usual one that is no sign of a cold upstream.
const SLOW_FACTOR: f32 = 1.5;
/// Delay of a first token beyond that which is no sign, in milliseconds.
const SLOW_ALLOWANCE_MS: f32 = 300.0;
/// Expected time to the first token of an empty prompt, in milliseconds.
const FIRST_TOKEN_MS: f32 = 50.0;
/// Expected time to compute one prompt token, in milliseconds.
const PROMPT_TOKEN_MS: f32 = 0.2;
/// Share of a new sample in the usual stretch.
const SMOOTHING: f32 = 0.05;
/// Share of a slow sample in the usual stretch, so that a slow upstream becomes usual in time.
const SLOW_SMOOTHING: f32 = 0.01;

/// Evidence that an upstream has turned cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// Its failure domain was brought back.
    DomainReturned,
    /// Its prefix cache is empty after it held something.
    EmptyCache,
    /// It answered with an error or fell over.
    Failure,
    /// It runs under a new incarnation.
    NewIncarnation,
    /// A first token or answer is far slower than usual.
    SlowFirstToken,
}

/// Limits of a ramp.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Streams or calls that may ever run at once.
    pub ceiling: u32,
    /// Streams or calls that may run before any was whole.
    pub start_limit: u32,
    /// Streams or calls that may wait for their first token or answer at once.
    pub unproven_limit: u32,
}

/// A limit that grows by proven completions.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    limit: u32,
    options: Options,
    /// Time of the last sign; work begun before it proves nothing.
    reset_at: time::Instant,
    /// Usual time to the first token against the expected one; 0 when unknown.
    usual: f32,
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
            usual: 0.0,
        }
    }

    /// Returns how many streams or calls begun since the last sign may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how many may wait for their first token or answer at once.
    #[must_use]
    pub fn unproven_limit(&self) -> u32 {
        self.options.unproven_limit
    }

    /// Returns whether the limit is still below its ceiling.
    #[must_use]
    pub fn is_ramping(&self) -> bool {
        self.limit < self.options.ceiling
    }

    /// Notes a whole answer of work that was begun at `begun`.
    pub fn completed(&mut self, begun: time::Instant) {
        if begun < self.reset_at {
            return;
        }
        self.limit = (self.limit + 1).min(self.options.ceiling);
    }

    /// Falls back to the start limit.
    pub fn fall_back(&mut self, now: time::Instant, _sign: Sign) {
        self.limit = self.options.start_limit.min(self.options.ceiling);
        self.reset_at = now;
    }

    /// Notes the time to a first token or answer and returns the sign it gives, if any.
    ///
    /// `waited_ms` leaves out the time in queues of this system.
    pub fn first_token(&mut self, waited_ms: u64, prompt_tokens: u32) -> Option<Sign> {
        let sample = waited_ms as f32 / expected_ms(prompt_tokens);
        let slow = self.is_slow(waited_ms, prompt_tokens);
        if self.usual == 0.0 && !slow {
            self.usual = sample;
        }
        let smoothing = if slow { SLOW_SMOOTHING } else { SMOOTHING };
        self.usual += (sample - self.usual) * smoothing;
        slow.then_some(Sign::SlowFirstToken)
    }

    /// Returns whether a first token that is due for `waited_ms` is a sign already.
    #[must_use]
    pub fn is_slow(&self, waited_ms: u64, prompt_tokens: u32) -> bool {
        let usual = if self.usual == 0.0 { 1.0 } else { self.usual };
        let bound_ms = usual * SLOW_FACTOR * expected_ms(prompt_tokens) + SLOW_ALLOWANCE_MS;
        waited_ms as f32 > bound_ms
    }
}

/// Returns the expected time to a first token, in milliseconds.
fn expected_ms(prompt_tokens: u32) -> f32 {
    FIRST_TOKEN_MS + prompt_tokens as f32 * PROMPT_TOKEN_MS
}
