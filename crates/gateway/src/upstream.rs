//! State of one upstream at a gateway.

use core::time::Duration;
use std::sync;

use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::cold_rate;
use peargap_core::pace;
use peargap_core::pause;
use peargap_core::rate_limit;
use peargap_core::slow_start;
use peargap_core::time;
use peargap_core::upstreams;

use crate::pool;

/// An upstream known to this gateway.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) breaker: breaker::Breaker,
    pub(crate) cold_until: time::Instant,
    /// Requests sent to it, for the rate limit of its cold start.
    pub(crate) cold_requests: cold_rate::Counter,
    pub(crate) last_heard: time::Instant,
    /// When it became known.
    pub(crate) known_since: time::Instant,
    /// When its limit was last named or changed; `None` if it never named one.
    pub(crate) limit_known_at: Option<time::Instant>,
    /// Since when it names a limit, for requests sent after a time without one.
    pub(crate) limit_since: time::Instant,
    /// Requests a second that it takes from all gateways, if it names a limit.
    pub(crate) limit_per_s: Option<f64>,
    /// Requests sent to it, for its limit.
    pub(crate) limiter: rate_limit::Limiter,
    /// Times of its answers that have not been reported yet.
    pub(crate) observed: pace::Samples,
    /// Its pace, from the observations of all gateways.
    pub(crate) pace: pace::Pace,
    /// The last pause that it asked for.
    pub(crate) pause: Option<pause::Pause>,
    /// When it last refused a request or failed, if it has not answered one since.
    pub(crate) refused_at: Option<time::Instant>,
    /// Load from the other gateways.
    pub(crate) remote_load: balance::Load,
    /// Load from this gateway.
    pub(crate) local_load: balance::Load,
    pub(crate) pool: sync::Arc<pool::Pool>,
    /// What this gateway has seen of its start; `None` if it was not seen to start.
    pub(crate) starting: Option<slow_start::Starter>,
    /// When its start was over, while the others may not know it yet.
    pub(crate) started_at: Option<time::Instant>,
    pub(crate) status: upstreams::Status,
}

/// Time for which a refusal counts as a sign that the upstream refuses other requests too.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

impl Upstream {
    /// Returns whether this is the start of the upstream that has this start time.
    pub(crate) fn is_start(&self, born_ms: u64) -> bool {
        self.status.edition.born_ms == born_ms
    }

    /// Sends no request to the upstream until `pause` is over, and a single one first after it.
    pub(crate) fn keep_pause(&mut self, pause: pause::Pause) {
        self.pause = Some(pause);
        self.breaker.record_pause(pause.end());
    }

    /// Takes a permit for an order to the upstream.
    pub(crate) fn permit_order(&mut self, now: time::Instant) -> pause::Permit {
        match &mut self.pause {
            Some(pause) => pause.permit_order(now),
            None => pause::Permit::Free,
        }
    }

    /// Returns the end of the pause that the upstream is in, or of the wait for the answer to the
    /// first request after it; `None` if requests may be sent.
    pub(crate) fn paused_until(&self, now: time::Instant) -> Option<time::Instant> {
        let pause_end = self.pause.map(|pause| pause.end());
        let pause_end = pause_end.filter(|end| now < *end);
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

    /// Returns whether a request stays within this gateway's share of the rate limit of a cold
    /// upstream; always true for a warm one.
    pub(crate) fn allows_cold_request(
        &self,
        now: time::Instant,
        rate: Option<cold_rate::Rate>,
    ) -> bool {
        let rate = rate.filter(|_rate| now < self.cold_until);
        rate.is_none_or(|rate| self.cold_requests.may_send(now, &rate))
    }
}
