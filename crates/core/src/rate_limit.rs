//! Decision whether a gateway may send a request to an upstream that names a limit.
//!
//! The limit holds for all gateways together. With its reports of load, each gateway tells how many
//! requests it has sent in the last window and how many it would have sent. From the sums, each sends
//! at random just so often that all together use up within [`SPEND_TIME`] what the limit leaves. A
//! gateway that gets many requests thus sends many. Without current sums a gateway sends its equal
//! part.
//!
//! The decision answers any load above the limit: the first requests of a window pass at once, later
//! ones at the rate at which earlier ones leave the window.

use core::time::Duration;

use rand::RngExt as _;

use crate::fleet_share;
use crate::time::Instant;
use crate::window;

/// Window in which requests are counted.
pub const WINDOW: window::Window = window::Window {
    length: Duration::from_secs(4),
    slots: 80,
};
/// Window in which the requests that could be sent are counted.
const DEMAND_WINDOW: window::Window = window::Window {
    length: Duration::from_secs(1),
    slots: 5,
};
/// Time in which the gateways use up what the limit leaves. Sums are some 100 ms old; the time is a
/// multiple of that, so that the gateways do not all send before they hear of each other.
const SPEND_TIME: Duration = Duration::from_millis(300);
/// Highest pace, as a factor of the limit, at which what the limit leaves is used up. Requests that
/// were sent together also leave the window together, and sums may be late.
const MAX_PACE: f64 = 2.0;
/// Pace, in requests a second, that is always allowed.
const MIN_PACE_PER_S: f64 = 5.0;
/// Time after a limit became known in which gateways send equal parts, until they know the demand.
pub const START_TIME: Duration = DEMAND_WINDOW.length;
/// Time for which the largest number of gateways holds after it was last confirmed.
pub const COUNT_TIME: Duration = Duration::from_secs(30);
/// Part of the window that is kept free for requests that have not been sent before.
const REPEAT_RESERVE: f64 = 0.1;
/// Part of the window by which generations that continue may exceed it.
const RESUME_EXCESS: f64 = 0.25;
/// Part of the window that is kept free for all requests other than copies.
const COPY_RESERVE: f64 = 0.5;
/// Shortest time after which a caller may try again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest time after which a caller may try again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Range of the factor by which the times of callers that are refused together differ.
const RETRY_SPREAD: core::ops::Range<f64> = 0.5..1.5;
/// Sent requests are told in units of this part of a request.
pub const SENT_UNIT: f64 = 0.001;

/// What a request to the upstream is for. What is less urgent leaves room for the others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Purpose {
    /// A copy of a generation, or a call for it.
    Copy,
    /// The first attempt of a request.
    #[default]
    First,
    /// A request that has reached another upstream before.
    Repeat,
    /// A generation that continues at its copy there; it is lost if it may not.
    Resume,
}

impl Purpose {
    /// Returns the part of the limit that requests for this purpose may use.
    fn usable_part(self) -> f64 {
        match self {
            Purpose::Copy => 1.0 - COPY_RESERVE,
            Purpose::First => 1.0,
            Purpose::Repeat => 1.0 - REPEAT_RESERVE,
            Purpose::Resume => 1.0 + RESUME_EXCESS,
        }
    }
}

/// Requests of gateways that know of the limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of these gateways.
    pub known_by: u32,
    /// Requests that they sent in the last window, in units of [`SENT_UNIT`].
    pub sent_units: u32,
    /// Requests that they would have sent in the last second.
    pub wanted: u32,
}

impl Counts {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            known_by: self.known_by + other.known_by,
            sent_units: self.sent_units + other.sent_units,
            wanted: self.wanted + other.wanted,
        }
    }

    /// Returns this sum without `part`, which must be contained in it.
    #[must_use]
    pub fn minus(self, part: Counts) -> Counts {
        Counts {
            known_by: self.known_by - part.known_by,
            sent_units: self.sent_units - part.sent_units,
            wanted: self.wanted - part.wanted,
        }
    }
}

/// What a gateway knows of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Time without current sums, or since the start of the process if there were none before.
    pub alone_for: Duration,
    /// Number of gateways; 0 if unknown.
    pub gateways: u32,
    /// Sums over the others; `None` if they are not current.
    pub others: Option<Counts>,
    /// Position of this gateway.
    pub position: fleet_share::Position,
    /// Index of the upstream among those of its service.
    pub upstream_index: usize,
}

impl View {
    /// Returns the requests in a window that this gateway may send without sums. What all sent before
    /// leaves the window little by little; so many of them begin to send again, by their position.
    fn equal_share(&self, limit_per_s: f64) -> f64 {
        let position = fleet_share::Position {
            gateways: self.gateways.max(self.position.gateways),
            ..self.position
        };
        let share = position.whole_share(amount(limit_per_s), self.upstream_index);
        let alone_for = u64::try_from(self.alone_for.as_millis()).unwrap_or(u64::MAX);
        let passed_part = WINDOW.elapsed_part(Instant(alone_for));
        let turn = f64::from(position.position) / f64::from(position.gateways.max(1));
        let share = f64::from(share);
        (share * passed_part + turn).floor().min(share)
    }
}

/// Figures behind a decision, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests in a window that the gateways in the sums may send together, or without current sums
    /// this gateway alone.
    pub allowed: f64,
    /// Requests that could be sent in the last second, from the same gateways; with sums, carried on to
    /// the gateways that do not know the limit.
    pub demand: f64,
    /// Whether the figures are sums over the gateways.
    pub is_shared: bool,
    /// Requests sent in the last window, by the same gateways.
    pub sent: f64,
}

impl core::fmt::Display for Usage {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(
            formatter,
            "sent={:.1} allowed={:.1} demand={:.0} shared={}",
            self.sent, self.allowed, self.demand, self.is_shared
        )
    }
}

/// Requests of one gateway to one upstream.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    sent: window::Counter,
    wanted: window::Counter,
}

impl Limiter {
    /// Counts a request that is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent.record(now, &WINDOW);
    }

    /// Counts a request that could be sent to the upstream.
    pub fn record_wanted(&mut self, now: Instant) {
        self.wanted.record(now, &DEMAND_WINDOW);
    }

    /// Returns the requests sent in the last window. `now` counts from the start of the gateway: a
    /// process that has just started counts its equal part as sent by the one before it.
    fn count_sent(&self, now: Instant, limit_per_s: f64, gateways: u32) -> f64 {
        let sent = f64::from(self.sent.count(now, &WINDOW));
        if gateways == 0 {
            return sent;
        }
        let equal_part = amount(limit_per_s) / f64::from(gateways);
        sent + equal_part * (1.0 - WINDOW.elapsed_part(now))
    }

    /// Returns what this gateway tells the others of its requests.
    #[must_use]
    pub fn report(&self, now: Instant, limit_per_s: f64, gateways: u32) -> Counts {
        Counts {
            known_by: 1,
            sent_units: fleet_share::whole(self.count_sent(now, limit_per_s, gateways) / SENT_UNIT),
            wanted: self.wanted.count(now, &DEMAND_WINDOW),
        }
    }

    /// Returns the figures from which a request is decided on.
    #[must_use]
    pub fn usage(&self, now: Instant, limit_per_s: f64, view: &View) -> Usage {
        let own_wanted = self.wanted.count(now, &DEMAND_WINDOW);
        let Some(others) = view.others else {
            return Usage {
                allowed: view.equal_share(limit_per_s),
                demand: f64::from(own_wanted),
                is_shared: false,
                sent: f64::from(self.sent.count(now, &WINDOW)),
            };
        };
        let known_by = others.known_by.saturating_add(1);
        let gateways = view.gateways.max(known_by);
        let own_sent = self.count_sent(now, limit_per_s, gateways);
        Usage {
            allowed: amount(limit_per_s) * f64::from(known_by) / f64::from(gateways),
            demand: (f64::from(own_wanted) + f64::from(others.wanted)) * f64::from(gateways)
                / f64::from(known_by),
            is_shared: true,
            sent: own_sent + f64::from(others.sent_units) * SENT_UNIT,
        }
    }

    /// Decides whether a request may be sent now.
    #[must_use]
    pub fn may_send<R: rand::Rng + ?Sized>(
        &self,
        now: Instant,
        limit_per_s: f64,
        view: &View,
        purpose: Purpose,
        random: &mut R,
    ) -> bool {
        let usage = self.usage(now, limit_per_s, view);
        let room = usage.allowed * purpose.usable_part() - usage.sent;
        if !usage.is_shared || purpose == Purpose::Resume {
            return room >= 1.0;
        }
        if room <= 0.0 {
            return false;
        }
        let max_per_s = (MAX_PACE * limit_per_s).max(MIN_PACE_PER_S);
        let per_s = (room / SPEND_TIME.as_secs_f64()).min(max_per_s);
        // A part of a request goes at the pace of the limit, so that the mean keeps to it.
        let per_s = match room < 1.0 {
            true => per_s.min(room * limit_per_s),
            false => per_s,
        };
        random.random_bool((per_s / usage.demand.max(1.0)).min(1.0))
    }
}

/// Returns the requests in a window that a limit allows.
fn amount(limit_per_s: f64) -> f64 {
    limit_per_s * WINDOW.length.as_secs_f64()
}

/// Returns the milliseconds after which a caller may try again, if upstreams that could serve it take
/// `limit_per_s` requests a second together and get `demand_per_s`.
pub fn retry_after_ms<R: rand::Rng + ?Sized>(
    limit_per_s: f64,
    demand_per_s: f64,
    random: &mut R,
) -> u64 {
    let seconds = demand_per_s / limit_per_s.max(f64::MIN_POSITIVE);
    let turn = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
    let turn = turn.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let spread = turn.mul_f64(random.random_range(RETRY_SPREAD));
    u64::try_from(spread.as_millis()).unwrap_or(u64::MAX)
}
