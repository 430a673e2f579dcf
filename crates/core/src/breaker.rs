//! Circuit breaker of one upstream, driven by the results of its requests.

use crate::time;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// How long the breaker stays open the first time.
const FIRST_OPEN_MS: u64 = 500;
/// How long the breaker stays open after a sign that no process of the upstream is at its address.
/// A restarted process announces itself, which replaces the breaker.
const ABSENT_OPEN_MS: u64 = 2000;
/// Upper bound of the open time, which doubles with each further failure.
const MAX_OPEN_MS: u64 = 10_000;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The breaker is closed: the request may be sent.
    Allow,
    /// The open time is over: the request may be sent as the only probe.
    Probe,
    /// The breaker is open: the request must not be sent.
    Reject {
        /// Time until the next probe, in milliseconds.
        retry_after_ms: u64,
    },
}

/// State of one upstream's circuit breaker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    /// Whether the upstream's process itself caused the last failure, not the network.
    is_at_fault: bool,
    /// Whether the upstream has not answered since it asked for a pause.
    is_pausing: bool,
    open_ms: u64,
    /// End of the open time; none while closed.
    open_until: Option<time::Instant>,
    /// When the last probe was sent; cleared by its result.
    probe_sent: Option<time::Instant>,
}

impl Breaker {
    /// Returns a closed breaker.
    #[must_use]
    pub fn new() -> Breaker {
        Breaker::default()
    }

    /// Returns whether the breaker is open because the upstream's process is gone or breaks
    /// requests, which holds for all gateways. A failure of the network may concern only one.
    #[must_use]
    pub fn is_upstream_failing(&self) -> bool {
        self.is_open() && self.is_at_fault
    }

    /// Returns whether the breaker is open or waits for the result of a probe.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open_until.is_some()
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn check(&self, now: time::Instant) -> Decision {
        let Some(until) = self.open_until else {
            return Decision::Allow;
        };
        if now < until {
            return Decision::Reject {
                retry_after_ms: until.millis_since(now),
            };
        }
        match self.probe_sent {
            Some(sent) if now.millis_since(sent) < self.open_ms => Decision::Reject {
                retry_after_ms: self.open_ms - now.millis_since(sent),
            },
            _ => Decision::Probe,
        }
    }

    /// Records that a request was sent on [`Decision::Probe`].
    pub fn record_probe(&mut self, now: time::Instant) {
        self.probe_sent = Some(now);
    }

    /// Records an answer, which may also be a refusal without a run.
    pub fn record_success(&mut self) {
        *self = Breaker::default();
    }

    /// Records a connection that the upstream broke before a valid answer. One such event opens the
    /// breaker: the request is lost if it must not be sent again.
    pub fn record_break(&mut self, now: time::Instant) {
        self.is_at_fault = true;
        self.trip(now, FIRST_OPEN_MS);
    }

    /// Records that the upstream could not be reached. One such event opens the breaker.
    pub fn record_unreachable(&mut self, now: time::Instant) {
        self.is_at_fault = false;
        self.trip(now, FIRST_OPEN_MS);
    }

    /// Records a refusal or an engine failure. It does not extend a pause.
    pub fn record_failure(&mut self, now: time::Instant) {
        if self.is_pausing && self.open_until.is_some_and(|end| now < end) {
            return;
        }
        self.failures += 1;
        self.is_at_fault = false;
        self.probe_sent = None;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        self.open(now, FIRST_OPEN_MS);
    }

    /// Records a sign that the upstream's process is not at its address: a refused connection, or
    /// another process there. One such sign opens the breaker.
    pub fn record_absence(&mut self, now: time::Instant) {
        self.is_at_fault = true;
        self.trip(now, ABSENT_OPEN_MS);
    }

    /// Returns whether the upstream has not answered since it asked for a pause.
    #[must_use]
    pub fn is_pausing(&self) -> bool {
        self.is_pausing
    }

    /// Records that the upstream asked for a pause until `end`. A single request follows it.
    pub fn record_pause(&mut self, end: time::Instant) {
        self.failures = self.failures.max(FAILURES_TO_OPEN);
        self.is_pausing = true;
        self.open_ms = self.open_ms.max(FIRST_OPEN_MS);
        self.open_until = Some(self.open_until.map_or(end, |former| former.max(end)));
        self.probe_sent = None;
    }

    fn trip(&mut self, now: time::Instant, shortest_ms: u64) {
        self.failures = self.failures.saturating_add(1).max(FAILURES_TO_OPEN);
        self.probe_sent = None;
        self.open(now, shortest_ms);
    }

    fn open(&mut self, now: time::Instant, shortest_ms: u64) {
        self.open_ms = (self.open_ms * 2).clamp(shortest_ms, MAX_OPEN_MS);
        self.open_until = Some(now + core::time::Duration::from_millis(self.open_ms));
    }
}
