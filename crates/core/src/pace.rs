//! How fast a generation's events reach its caller, against what the caller was promised.

use crate::time;

/// What a caller was promised.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Promise {
    /// Longest time to the first event, in milliseconds.
    pub first_ms: u64,
    /// Longest pause between two events, in milliseconds; none where any pause will do.
    pub gap_ms: Option<u64>,
}

/// What an event's arrival tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The first event, after so many milliseconds.
    First(u64),
    /// A later event, so many milliseconds after the one before.
    Next(u64),
}

/// Whether a generation has kept its promise so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Its first event came too late, or never.
    LateFirst,
    /// It is on time.
    OnTime,
    /// Some pause was too long.
    Paused,
}

/// The pace of one generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    asked: time::Instant,
    first_ms: Option<u64>,
    last: time::Instant,
    longest_ms: u64,
    promise: Promise,
}

impl Pace {
    /// Returns the pace of a request that arrived at `asked`.
    #[must_use]
    pub fn start(asked: time::Instant, promise: Promise) -> Pace {
        Pace {
            asked,
            first_ms: None,
            last: asked,
            longest_ms: 0,
            promise,
        }
    }

    /// Notes an event that goes to the caller.
    pub fn note_event(&mut self, now: time::Instant) -> Arrival {
        let gap_ms = now.millis_since(self.last);
        self.last = now;
        if self.first_ms.is_none() {
            let first_ms = now.millis_since(self.asked);
            self.first_ms = Some(first_ms);
            return Arrival::First(first_ms);
        }
        self.longest_ms = self.longest_ms.max(gap_ms);
        Arrival::Next(gap_ms)
    }

    /// Returns the time to the first event in milliseconds; none before it.
    #[must_use]
    pub fn first_ms(&self) -> Option<u64> {
        self.first_ms
    }

    /// Returns the longest pause between two events in milliseconds.
    #[must_use]
    pub fn longest_ms(&self) -> u64 {
        self.longest_ms
    }

    /// Returns the time since the last event, or since the arrival, in milliseconds.
    #[must_use]
    pub fn silent_ms(&self, now: time::Instant) -> u64 {
        now.millis_since(self.last)
    }

    /// Returns whether the promise is kept so far.
    #[must_use]
    pub fn judge(&self) -> Verdict {
        let is_late = self
            .first_ms
            .is_none_or(|first| first > self.promise.first_ms);
        let is_paused = self.promise.gap_ms.is_some_and(|gap| self.longest_ms > gap);
        match (is_late, is_paused) {
            (true, _) => Verdict::LateFirst,
            (false, true) => Verdict::Paused,
            (false, false) => Verdict::OnTime,
        }
    }
}
