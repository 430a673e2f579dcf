//! Pauses that upstreams ask for when they refuse a request.
//!
//! A gateway sends nothing to an upstream during its pause. Gateways return at different times, and
//! each with one request first, so that the upstream is not filled again at once.

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

/// A pause as asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request {
    /// Of this length.
    For(Duration),
    /// Of a length that is not a valid number of seconds.
    Unreadable,
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
