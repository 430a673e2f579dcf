//! Limits that upstreams name in their responses: requests a second from all gateways together.

/// Lowest limit that is kept, so that requests find out when the upstream no longer names one.
pub const LOWEST_PER_S: f64 = 0.25;
/// Highest limit that is kept.
pub const HIGHEST_PER_S: f64 = 10_000.0;
/// Limit for a value that cannot be read.
pub const UNREADABLE_PER_S: f64 = 1.0;

/// A limit as named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Named {
    /// This many requests a second.
    PerSecond(f64),
    /// A value that is not a number.
    Unreadable,
}

/// Returns the limit that is kept, in requests a second.
#[must_use]
pub fn bound(named: Named) -> f64 {
    match named {
        Named::PerSecond(per_s) if !per_s.is_nan() => per_s.clamp(LOWEST_PER_S, HIGHEST_PER_S),
        Named::PerSecond(_) | Named::Unreadable => UNREADABLE_PER_S,
    }
}
