//! State of one upstream at a gateway.

use core::time::Duration;
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
    pub(crate) cold_window_start: time::Instant,
    pub(crate) cold_window_requests: u32,
    pub(crate) last_heard: time::Instant,
    /// End of the last pause that it asked for.
    pub(crate) pause_end: Option<time::Instant>,
    /// When it last refused a request or failed, if it has not answered one since.
    pub(crate) refused_at: Option<time::Instant>,
    /// Load from the other gateways.
    pub(crate) remote_load: balance::Load,
    /// Load from this gateway.
    pub(crate) local_load: balance::Load,
    pub(crate) pool: sync::Arc<pool::Pool>,
    pub(crate) status: upstreams::Status,
}

/// Time for which a refusal counts as a sign that the upstream refuses other requests too.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

impl Upstream {
    /// Returns whether this is the start of the upstream that has this start time.
    pub(crate) fn is_start(&self, born_ms: u64) -> bool {
        self.status.edition.born_ms == born_ms
    }

    /// Sends nothing to the upstream until `end`, and a single request first after it.
    pub(crate) fn pause_until(&mut self, end: time::Instant) {
        let end = self.pause_end.map_or(end, |former| former.max(end));
        self.pause_end = Some(end);
        self.breaker.record_pause(end);
    }

    /// Returns the end of the pause that the upstream is in, or of the wait for the answer to the
    /// first request after it; `None` if requests may be sent.
    pub(crate) fn paused_until(&self, now: time::Instant) -> Option<time::Instant> {
        let pause_end = self.pause_end.filter(|end| now < *end);
        pause_end.or_else(|| match self.breaker.check(now) {
            breaker::Decision::Reject { retry_after_ms } if self.breaker.is_pausing() => {
                Some(now + Duration::from_millis(retry_after_ms))
            }
            breaker::Decision::Allow
            | breaker::Decision::Probe
            | breaker::Decision::Reject { .. } => None,
        })
    }

    /// Records whether the upstream refused a request or failed.
    pub(crate) fn record_refusal(&mut self, now: time::Instant, is_refused: bool) {
        self.refused_at = is_refused.then_some(now);
    }

    /// Returns whether the upstream has refused the last request, a short time ago.
    pub(crate) fn is_refusing(&self, now: time::Instant) -> bool {
        self.refused_at
            .is_some_and(|refused| now < refused + REFUSAL_TIME)
    }

    /// Returns whether a request fits into this gateway's share of the rate limit of a cold
    /// upstream. The share is at least one request per second.
    pub(crate) fn allows_cold_request(
        &self,
        now: time::Instant,
        per_s: Option<f64>,
        gateways: f64,
    ) -> bool {
        let Some(per_s) = per_s.filter(|_rate| now < self.cold_until) else {
            return true;
        };
        let share = (per_s / gateways).max(1.0);
        now.millis_since(self.cold_window_start) >= 1000
            || f64::from(self.cold_window_requests) + 1.0 <= share
    }

    /// Counts a request against the rate limit of a cold upstream.
    pub(crate) fn count_cold_request(&mut self, now: time::Instant) {
        if now.millis_since(self.cold_window_start) >= 1000 {
            self.cold_window_start = now;
            self.cold_window_requests = 0;
        }
        self.cold_window_requests += 1;
    }
}
