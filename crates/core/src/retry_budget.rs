//! Retries of all gateways together, bounded for each service.
//!
//! The bound holds for a fleet: in any window, a service may get a share of the requests for it, and
//! a burst, as retries. Gateways do not ask each other. Each spends a part of the ratio on the
//! requests that it has itself received, and an equal part of the burst, which grows from nothing
//! while the gateway is new. What is not spent covers the borders of windows, and gateways that come,
//! go or have an old count of the others.

use core::time::Duration;
use std::collections;

use crate::time::Instant;

/// Slots into which a window is divided.
const SLOTS: u32 = 10;
/// Part of the ratio and of the burst that gateways spend.
const SPENT_PART: f64 = 0.75;

/// Bounds of the retries to one service, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries in a window in addition to the ratio.
    pub burst: f64,
    /// Retries in a window for each request in it.
    pub ratio: f64,
    /// Length of a window.
    pub window: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            burst: 64.0,
            ratio: 0.2,
            window: Duration::from_secs(10),
        }
    }
}

/// Number of gateways that share the burst. A smaller number holds only after a window without a
/// larger one: a control host that was restarted or cut off knows few gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sharers {
    largest: u32,
    /// When `largest` was last confirmed.
    largest_at: Instant,
}

impl Sharers {
    /// Updates the number of gateways; `window` is that of the limits.
    pub fn update(&mut self, now: Instant, gateways: u32, window: Duration) {
        if gateways >= self.largest || now >= self.largest_at + window {
            self.largest = gateways;
            self.largest_at = now;
        }
    }

    /// Returns this gateway's part of a burst; none while the number of gateways is unknown.
    fn part_of(&self, burst: f64) -> f64 {
        match self.largest {
            0 => 0.0,
            gateways => burst / f64::from(gateways),
        }
    }
}

/// What a gateway knows of a service's upstreams when it decides on a retry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Upstreams {
    /// Upstreams that take work.
    pub ready: u32,
    /// Those of them whose last answer was a refusal, a short time ago.
    pub refusing: u32,
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may; the retry is counted.
    Allow,
    /// The budget of the window is spent.
    Exhausted,
    /// Most upstreams of the service refuse requests, so that a retry would only add load.
    Overloaded,
}

/// Figures of a budget, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Retries that are allowed in this window.
    pub allowed: f64,
    /// Requests in this window.
    pub requests: u32,
    /// Retries in this window.
    pub retries: u32,
}

impl core::fmt::Display for Usage {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(
            formatter,
            "retries={} allowed={:.1} requests={}",
            self.retries, self.allowed, self.requests
        )
    }
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one gateway to one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    slots: collections::VecDeque<Slot>,
}

impl Budget {
    /// Counts a caller's request for the service.
    pub fn record_request(&mut self, now: Instant, limits: &Limits) {
        self.slot(now, limits).requests += 1;
    }

    /// Decides whether a request may be sent again, and counts the retry if it may.
    pub fn try_withdraw(
        &mut self,
        now: Instant,
        limits: &Limits,
        sharers: &Sharers,
        upstreams: Upstreams,
    ) -> Decision {
        if upstreams.refusing * 2 > upstreams.ready {
            return Decision::Overloaded;
        }
        let usage = self.usage(now, limits, sharers);
        if f64::from(usage.retries) + 1.0 > usage.allowed {
            return Decision::Exhausted;
        }
        self.slot(now, limits).retries += 1;
        Decision::Allow
    }

    /// Returns the figures of the current window. `now` counts from the start of the gateway.
    #[must_use]
    pub fn usage(&self, now: Instant, limits: &Limits, sharers: &Sharers) -> Usage {
        let number = slot_number(now, limits);
        let oldest = number.saturating_sub(u64::from(SLOTS));
        let recent = self.slots.iter().filter(|slot| slot.number >= oldest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), slot| {
            (requests + slot.requests, retries + slot.retries)
        });
        let burst = sharers.part_of(limits.burst * SPENT_PART) * uptime_part(now, limits);
        Usage {
            allowed: burst + limits.ratio * SPENT_PART * f64::from(requests),
            requests,
            retries,
        }
    }

    fn slot(&mut self, now: Instant, limits: &Limits) -> &mut Slot {
        let number = slot_number(now, limits);
        let oldest = number.saturating_sub(u64::from(SLOTS));
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot {
                number,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}

fn slot_number(now: Instant, limits: &Limits) -> u64 {
    let slot = limits.window / SLOTS;
    let millis = u64::try_from(slot.as_millis()).unwrap_or(u64::MAX);
    now.0 / millis.max(1)
}

/// Returns the part of a window, up to 1, for which the gateway has run. A process that restarts
/// again and again spends no more than one that runs on.
fn uptime_part(now: Instant, limits: &Limits) -> f64 {
    let uptime = Duration::from_millis(now.0);
    let window = limits.window.max(Duration::from_millis(1));
    (uptime.as_secs_f64() / window.as_secs_f64()).min(1.0)
}
