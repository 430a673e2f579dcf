//! Retries of all gateways together, bounded for each service.
//!
//! The bound holds for a fleet: in any window, a service may get a share of the requests for it, and
//! a burst, as retries. Gateways do not ask each other. Each spends a part of the ratio on the
//! requests that it has itself received, and an equal part of the burst, which grows from nothing
//! while the gateway is new. What is not spent covers the borders of windows, and gateways that come,
//! go or have an old count of the others.

use core::time::Duration;

use crate::fleet_share;
use crate::time::Instant;
use crate::window;

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

impl Limits {
    fn window(&self) -> window::Window {
        window::Window {
            length: self.window,
            slots: SLOTS,
        }
    }
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

/// Requests and retries of one gateway to one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: window::Counter,
    retries: window::Counter,
}

impl Budget {
    /// Counts a caller's request for the service.
    pub fn record_request(&mut self, now: Instant, limits: &Limits) {
        self.requests.record(now, &limits.window());
    }

    /// Decides whether a request may be sent again, and counts the retry if it may.
    pub fn try_withdraw(
        &mut self,
        now: Instant,
        limits: &Limits,
        sharers: &fleet_share::Sharers,
        upstreams: Upstreams,
    ) -> Decision {
        if upstreams.refusing * 2 > upstreams.ready {
            return Decision::Overloaded;
        }
        let usage = self.usage(now, limits, sharers);
        if f64::from(usage.retries) + 1.0 > usage.allowed {
            return Decision::Exhausted;
        }
        self.retries.record(now, &limits.window());
        Decision::Allow
    }

    /// Returns the figures of the current window. `now` counts from the start of the gateway: a
    /// process that restarts again and again spends no more than one that runs on.
    #[must_use]
    pub fn usage(&self, now: Instant, limits: &Limits, sharers: &fleet_share::Sharers) -> Usage {
        let window = limits.window();
        let requests = self.requests.count(now, &window);
        let burst = sharers.part_of(limits.burst * SPENT_PART) * window.elapsed_part(now);
        Usage {
            allowed: burst + limits.ratio * SPENT_PART * f64::from(requests),
            requests,
            retries: self.retries.count(now, &window),
        }
    }
}
