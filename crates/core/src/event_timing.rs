//! Latency of a generation's events as its caller sees it, compared with its targets.

use crate::time;

/// Latency targets of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Targets {
    /// Longest time to the first event, in milliseconds.
    pub first_ms: u64,
    /// Longest gap between two events, in milliseconds; `None` if gaps are not limited.
    pub gap_ms: Option<u64>,
}

/// Time that an event took.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// Milliseconds from the request to the first event.
    First(u64),
    /// Milliseconds from the previous event to a later one.
    Next(u64),
}

/// Whether a generation has met its targets so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The first event was late or has not arrived.
    LateFirst,
    /// All targets are met.
    OnTime,
    /// A gap between events was too long.
    Paused,
}

/// Event timing of one generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTiming {
    requested: time::Instant,
    first_ms: Option<u64>,
    last_event: time::Instant,
    longest_gap_ms: u64,
    targets: Targets,
}

impl EventTiming {
    /// Starts the timing of a request that arrived at `requested`.
    #[must_use]
    pub fn start(requested: time::Instant, targets: Targets) -> EventTiming {
        EventTiming {
            requested,
            first_ms: None,
            last_event: requested,
            longest_gap_ms: 0,
            targets,
        }
    }

    /// Records an event that is sent to the caller.
    pub fn record_event(&mut self, now: time::Instant) -> Arrival {
        let gap_ms = now.millis_since(self.last_event);
        self.last_event = now;
        if self.first_ms.is_none() {
            let first_ms = now.millis_since(self.requested);
            self.first_ms = Some(first_ms);
            return Arrival::First(first_ms);
        }
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        Arrival::Next(gap_ms)
    }

    /// Returns the time to the first event in milliseconds, or `None` before it.
    #[must_use]
    pub fn first_ms(&self) -> Option<u64> {
        self.first_ms
    }

    /// Returns the longest gap between two events in milliseconds.
    #[must_use]
    pub fn longest_gap_ms(&self) -> u64 {
        self.longest_gap_ms
    }

    /// Returns the time since the last event, or since the request arrived, in milliseconds.
    #[must_use]
    pub fn idle_ms(&self, now: time::Instant) -> u64 {
        now.millis_since(self.last_event)
    }

    /// Returns whether the targets are met so far.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let is_late = self
            .first_ms
            .is_none_or(|first| first > self.targets.first_ms);
        let is_paused = self
            .targets
            .gap_ms
            .is_some_and(|gap| self.longest_gap_ms > gap);
        match (is_late, is_paused) {
            (true, _) => Verdict::LateFirst,
            (false, true) => Verdict::Paused,
            (false, false) => Verdict::OnTime,
        }
    }
}
