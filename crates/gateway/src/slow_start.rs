//! Upstreams that have just started, as this gateway and the others see them.

use core::time::Duration;

use peargap_adapters::logs;
use peargap_core::rate_limit;
use peargap_core::slow_start;
use peargap_core::time::Instant;
use rand::Rng;
use rand::RngExt as _;

use crate::events;
use crate::fleet;
use crate::fleet_state;
use crate::upstream;

/// Time for which the counts of a start that is over are still reported, so that all gateways see
/// that it is.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Candidates that are compared for a request.
const COMPARED: f64 = 2.0;

impl upstream::Upstream {
    /// Returns what all gateways have seen of its start; `None` if it is not starting.
    fn start_counts(&self, now: Instant) -> Option<slow_start::Counts> {
        let starting = self.starting.as_ref()?;
        let is_going_on = self.started_at.is_none();
        is_going_on.then(|| starting.report(now).plus(self.remote_load.starting))
    }

    /// Returns whether one more request may be sent to it by its start; true for those that have
    /// been serving. What continues elsewhere is never held up.
    pub(crate) fn allows_start_request<R: Rng + ?Sized>(
        &self,
        now: Instant,
        purpose: rate_limit::Purpose,
        random: &mut R,
    ) -> bool {
        match purpose {
            rate_limit::Purpose::Copy | rate_limit::Purpose::Resume => return true,
            rate_limit::Purpose::First | rate_limit::Purpose::Repeat => {}
        }
        let Some(counts) = self.start_counts(now) else {
            return true;
        };
        let running = self.local_load.plus(self.remote_load).running;
        let slots = self.status.slots;
        counts.is_over(slots) || counts.may_send(running, slots, random)
    }

    /// Records an answer of the upstream while it starts.
    pub(crate) fn record_start_answer(&mut self, now: Instant, is_in_time: bool) {
        let Some(starting) = self.starting.as_mut() else {
            return;
        };
        match is_in_time {
            true => starting.record_in_time(),
            false => starting.record_setback(now),
        }
    }

    /// Ends its start once it has as much room as it runs at once, and forgets it later.
    pub(crate) fn update_start(&mut self, now: Instant) {
        let is_over = self
            .start_counts(now)
            .filter(|counts| counts.is_over(self.status.slots));
        if let Some(counts) = is_over {
            self.started_at = Some(now);
            logs::emit(
                events::START_OVER,
                format_args!("upstream={} in_time={}", self.status.name, counts.in_time),
            );
        }
        if self.started_at.is_some_and(|at| now >= at + REPORT_TIME) {
            self.starting = None;
            self.started_at = None;
        }
    }
}

impl fleet_state::State {
    /// Counts a request that might go to an upstream of its service that is starting.
    pub(crate) fn record_start_wanted(&mut self, now: Instant, criteria: &fleet::Criteria<'_>) {
        let ready = self.list_ready(&criteria.service.name);
        let ready: Vec<fleet::UpstreamKey> = ready.map(|(key, _upstream)| key).collect();
        let count = u32::try_from(ready.len()).unwrap_or(u32::MAX);
        let part = (COMPARED / f64::from(count.max(1))).min(1.0);
        for key in ready {
            let upstream = self.upstreams.get_mut(key);
            let starting = upstream.and_then(|upstream| upstream.starting.as_mut());
            if let Some(starting) = starting {
                if rand::rng().random_bool(part) {
                    starting.record_wanted(now);
                }
            }
        }
    }
}
