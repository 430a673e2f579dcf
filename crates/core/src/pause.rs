//! Pauses that upstreams ask for when they refuse a request.
//!
//! A gateway sends no request to an upstream during its pause. Gateways return at different times, and
//! each with one request first, so that the upstream is not filled again at once. A few orders are
//! allowed meanwhile: those that end a run, which relieve the upstream.

use core::time::Duration;

use rand::RngExt as _;

use crate::time::Instant;

/// Longest pause that is kept.
pub const LONGEST: Duration = Duration::from_secs(60);
/// Pause for a request whose length cannot be read.
pub const UNREADABLE: Duration = Duration::from_secs(1);
/// Part of a pause by which gateways extend it at random.
const SPREAD_PART: f64 = 0.2;
/// Time over which callers that are refused together return, at least.
const MIN_SPREAD: Duration = Duration::from_millis(100);

/// Orders that a gateway may send to an upstream in one pause.
pub const MAX_ORDERS: u32 = 2;

/// A pause as asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request {
    /// Of this length.
    For(Duration),
    /// Of a length that is not a valid number of seconds.
    Unreadable,
}

/// A pause of an upstream, as one gateway keeps it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    began: Instant,
    /// When requests may be sent again.
    end: Instant,
    /// Orders that were sent in it, or may be sent by holders of a permit.
    orders: u32,
    /// When the time is over that the upstream asked for. Orders don't wait until `end`: they are few, and
    /// fill nothing.
    orders_end: Instant,
}

/// Whether an order may be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// It may, and counts to the pause that began at this time.
    Counted(Instant),
    /// It may not before this time has passed.
    Denied(Duration),
    /// It may: the upstream is in no pause.
    Free,
}

impl Pause {
    /// Returns the pause of an upstream that refuses a request now and asks for this length. One that is
    /// not over goes on: it allows no further orders.
    pub fn extend<R: rand::Rng + ?Sized>(
        former: Option<Pause>,
        now: Instant,
        length: Duration,
        random: &mut R,
    ) -> Pause {
        let asked = Pause {
            began: now,
            end: end(now, length, random),
            orders: 0,
            orders_end: now + length,
        };
        match former {
            None => asked,
            Some(former) if now < former.orders_end => Pause {
                end: former.end.max(asked.end),
                orders_end: former.orders_end.max(asked.orders_end),
                ..former
            },
            Some(former) => Pause {
                end: former.end.max(asked.end),
                ..asked
            },
        }
    }

    /// Returns when requests may be sent again.
    #[must_use]
    pub fn end(&self) -> Instant {
        self.end
    }

    /// Returns the time left until orders may be sent freely; `None` if they may.
    #[must_use]
    pub fn orders_left(&self, now: Instant) -> Option<Duration> {
        match self.orders_end.millis_since(now) {
            0 => None,
            left_ms => Some(Duration::from_millis(left_ms)),
        }
    }

    /// Takes a permit for an order.
    pub fn permit_order(&mut self, now: Instant) -> Permit {
        let Some(left) = self.orders_left(now) else {
            return Permit::Free;
        };
        if self.orders >= MAX_ORDERS {
            return Permit::Denied(left);
        }
        self.orders += 1;
        Permit::Counted(self.began)
    }

    /// Takes back a permit that was counted to the pause that began at `began`, as its order was not sent.
    pub fn return_permit(&mut self, began: Instant) {
        if self.began == began {
            self.orders = self.orders.saturating_sub(1);
        }
    }
}

/// Returns the length of the pause that is kept.
#[must_use]
pub fn bound(request: Request) -> Duration {
    match request {
        Request::For(length) => length.min(LONGEST),
        Request::Unreadable => UNREADABLE,
    }
}

/// Returns when a pause that starts now ends at this gateway.
pub fn end<R: rand::Rng + ?Sized>(now: Instant, length: Duration, random: &mut R) -> Instant {
    now + length.mul_f64(1.0 + random.random_range(0.0..SPREAD_PART))
}

/// Returns the milliseconds after which a caller may try again, if all upstreams that could serve
/// it are in pauses that end at these times; `None` without any.
pub fn retry_after_ms<R: rand::Rng + ?Sized>(
    now: Instant,
    ends: impl Iterator<Item = Instant>,
    random: &mut R,
) -> Option<u64> {
    let wait_ms = ends.min()?.millis_since(now);
    let spread = Duration::from_millis(wait_ms).mul_f64(SPREAD_PART);
    let spread = u64::try_from(spread.max(MIN_SPREAD).as_millis()).unwrap_or(u64::MAX);
    Some(wait_ms + random.random_range(0..spread))
}
