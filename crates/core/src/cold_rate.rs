//! Rate limit of an upstream during its cold start, kept by all gateways together in equal parts.

use core::time::Duration;

use crate::fleet_share;
use crate::time::Instant;
use crate::window;

/// Window for which the rate holds.
const WINDOW: window::Window = window::Window {
    length: Duration::from_secs(1),
    slots: 5,
};

/// The rate, and who shares it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second from all gateways.
    pub per_s: f64,
    /// Position of this gateway among them.
    pub position: fleet_share::Position,
    /// Index of the upstream among those of its service.
    pub upstream_index: usize,
}

impl Rate {
    /// Returns the requests that this gateway may send in any second.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.position.whole_share(self.per_s, self.upstream_index)
    }
}

/// Requests that a gateway has sent to one upstream in the last second.
#[derive(Clone, Debug, Default)]
pub struct Counter(window::Counter);

impl Counter {
    /// Returns whether another request stays within the gateway's share of the rate.
    #[must_use]
    pub fn may_send(&self, now: Instant, rate: &Rate) -> bool {
        self.0.count(now, &WINDOW) < rate.share()
    }

    /// Counts a request.
    pub fn record(&mut self, now: Instant) {
        self.0.record(now, &WINDOW);
    }
}
