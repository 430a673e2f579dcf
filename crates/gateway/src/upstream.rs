//! State of one upstream at a gateway.

use std::sync;

use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::time;
use peargap_core::upstreams;

use crate::pool;

/// An upstream known to this gateway.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) breaker: breaker::Breaker,
    pub(crate) cold_until: time::Instant,
    /// Start of the current one-second window of the cold-start rate limit, and the number of
    /// requests sent in it.
    pub(crate) cold_second: time::Instant,
    pub(crate) cold_sent: u32,
    pub(crate) heard: time::Instant,
    /// Load from the other gateways.
    pub(crate) others: balance::Load,
    /// Load from this gateway.
    pub(crate) own: balance::Load,
    pub(crate) pool: sync::Arc<pool::Pool>,
    pub(crate) word: upstreams::Status,
}

impl Upstream {
    /// Returns whether a request fits into this gateway's share of the rate limit of a cold
    /// upstream. The share is at least one request per second.
    pub(crate) fn has_cold_room(
        &self,
        now: time::Instant,
        per_s: Option<f64>,
        gateways: f64,
    ) -> bool {
        let Some(per_s) = per_s.filter(|_rate| now < self.cold_until) else {
            return true;
        };
        let share = (per_s / gateways).max(1.0);
        now.millis_since(self.cold_second) >= 1000 || f64::from(self.cold_sent) + 1.0 <= share
    }

    /// Counts a request against the rate limit of a cold upstream.
    pub(crate) fn count_cold(&mut self, now: time::Instant) {
        if now.millis_since(self.cold_second) >= 1000 {
            self.cold_second = now;
            self.cold_sent = 0;
        }
        self.cold_sent += 1;
    }
}
