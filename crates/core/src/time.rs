//! Monotonic time as passed in by callers.

use core::ops;
use core::time;

/// Milliseconds since the process started, from a monotonic clock.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the milliseconds from `earlier` to `self`, 0 when `earlier` is later.
    #[must_use]
    pub fn millis_since(self, earlier: Instant) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl ops::Add<time::Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: time::Duration) -> Instant {
        let millis = u64::try_from(rhs.as_millis()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(millis))
    }
}
