//! Limit of work for an upstream that may be cold.
//!
//! The limit starts small, grows with completions that showed a warm upstream, and falls back at
//! once on any sign of a cold one. Streams or calls whose first token or answer is still due never
//! exceed the start limit, so that an unannounced cold turn meets a bounded number of them.

use crate::time;

/// Work that an upstream gets before it has proven anything.
pub const START_LIMIT: u32 = 2;
/// First tokens slower than this times the usual are a sign of a cold upstream.
const SLOW_FACTOR: f32 = 4.0;
/// First tokens faster than this are never a sign, in milliseconds.
const SLOW_FLOOR_MS: f32 = 250.0;
/// Share of a new sample in the usual time to the first token.
const SMOOTHING: f32 = 0.05;

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

/// A limit that grows by proven completions.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    ceiling: u32,
    limit: u32,
    /// Time of the last sign; work begun before it proves nothing.
    reset_at: time::Instant,
    /// Usual time to the first token per unit of prefill work, in milliseconds; 0 when unknown.
    usual_ms: f32,
}

impl Ramp {
    /// Returns a ramp at the start limit that may grow to `ceiling`.
    #[must_use]
    pub fn new(now: time::Instant, ceiling: u32) -> Ramp {
        let limit = START_LIMIT.min(ceiling);
        Ramp {
            ceiling,
            limit,
            reset_at: now,
            usual_ms: 0.0,
        }
    }

    /// Returns how many streams or calls may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how many may wait for their first token or answer at once.
    #[must_use]
    pub fn unproven_limit(&self) -> u32 {
        START_LIMIT.min(self.ceiling)
    }

    /// Returns whether the limit is still below its ceiling.
    #[must_use]
    pub fn is_ramping(&self) -> bool {
        self.limit < self.ceiling
    }

    /// Notes a whole answer of work that was begun at `begun`.
    pub fn completed(&mut self, begun: time::Instant) {
        if begun < self.reset_at {
            return;
        }
        self.limit = (self.limit + 1).min(self.ceiling);
    }

    /// Falls back to the start limit.
    pub fn fall_back(&mut self, now: time::Instant, _sign: Sign) {
        self.limit = START_LIMIT.min(self.ceiling);
        self.reset_at = now;
    }

    /// Notes the time to a first token or answer and returns the sign it gives, if any.
    ///
    /// `waited_ms` leaves out the time in queues of this system.
    pub fn first_token(&mut self, waited_ms: u64) -> Option<Sign> {
        if self.is_slow(waited_ms) {
            return Some(Sign::SlowFirstToken);
        }
        let sample = waited_ms as f32;
        if self.usual_ms == 0.0 {
            self.usual_ms = sample;
        }
        self.usual_ms += (sample - self.usual_ms) * SMOOTHING;
        None
    }

    /// Returns whether a first token that is due for `waited_ms` is a sign already.
    #[must_use]
    pub fn is_slow(&self, waited_ms: u64) -> bool {
        let bound = (self.usual_ms * SLOW_FACTOR).max(SLOW_FLOOR_MS);
        waited_ms as f32 > bound
    }
}
