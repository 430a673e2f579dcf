//! One upstream as a gateway knows it.

use std::sync;

use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::time;
use peargap_core::upstreams;

use crate::pool;

/// An upstream as this gateway knows it.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) breaker: breaker::Breaker,
    pub(crate) cold_until: time::Instant,
    /// Start of the present second of the cold limit, and what was sent in it.
    pub(crate) cold_second: time::Instant,
    pub(crate) cold_sent: u32,
    pub(crate) heard: time::Instant,
    /// What the other gateways have sent.
    pub(crate) others: balance::Load,
    /// What this gateway has sent.
    pub(crate) own: balance::Load,
    pub(crate) pool: sync::Arc<pool::Pool>,
    pub(crate) word: upstreams::Status,
}

impl Upstream {
    /// Returns whether this gateway's share of what a cold upstream carries leaves room.
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

    pub(crate) fn count_cold(&mut self, now: time::Instant) {
        if now.millis_since(self.cold_second) >= 1000 {
            self.cold_second = now;
            self.cold_sent = 0;
        }
        self.cold_sent += 1;
    }
}
