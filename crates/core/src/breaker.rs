//! Circuit breaker of one upstream, driven by evidence.

use crate::time;

/// Failures in a row that open it.
const FAILURES_TO_OPEN: u32 = 3;
/// First time that it stays open.
const FIRST_OPEN_MS: u64 = 500;
/// Longest time that it stays open.
const MAX_OPEN_MS: u64 = 10_000;

/// Whether a request may pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pass {
    /// Yes.
    Open,
    /// Yes, as the one probe.
    Probe,
    /// No, for so many milliseconds.
    Shut {
        /// Time until the next probe.
        retry_after_ms: u64,
    },
}

/// Evidence on one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_ms: u64,
    /// End of the open time; none while closed.
    open_until: Option<time::Instant>,
    probe: Option<time::Instant>,
}

impl Breaker {
    /// Returns a closed breaker.
    #[must_use]
    pub fn new() -> Breaker {
        Breaker::default()
    }

    /// Returns whether a request would pass now.
    #[must_use]
    pub fn check(&self, now: time::Instant) -> Pass {
        let Some(until) = self.open_until else {
            return Pass::Open;
        };
        if now < until {
            return Pass::Shut {
                retry_after_ms: until.millis_since(now),
            };
        }
        match self.probe {
            Some(sent) if now.millis_since(sent) < self.open_ms => Pass::Shut {
                retry_after_ms: self.open_ms - now.millis_since(sent),
            },
            _ => Pass::Probe,
        }
    }

    /// Notes that a request was sent on [`Pass::Probe`].
    pub fn probed(&mut self, now: time::Instant) {
        self.probe = Some(now);
    }

    /// Notes an answer, also one that says "not run".
    pub fn succeeded(&mut self) {
        *self = Breaker::default();
    }

    /// Notes a broken link, a time-out or an engine's failure.
    pub fn failed(&mut self, now: time::Instant) {
        self.failures += 1;
        self.probe = None;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        self.open_ms = (self.open_ms * 2).clamp(FIRST_OPEN_MS, MAX_OPEN_MS);
        self.open_until = Some(now + core::time::Duration::from_millis(self.open_ms));
    }
}
