//! A node's view of the configuration: versions only increase, and a lease bounds staleness.

use core::time;

use crate::time::Instant;

/// Time between two reports of a node whose lease is not about to end.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two reports of a node whose lease is about to end or has ended: the control host
/// may be able to extend it only after an election.
pub const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// A lease is about to end when it would not outlast the regular interval and one renewal.
const RENEWAL_MARGIN: time::Duration = time::Duration::from_millis(600);

/// What to do with a received configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Apply it.
    Apply,
    /// Ignore it: it is not newer than the applied version.
    Ignore,
    /// Fetch the full configuration: the delta is based on a version that is not applied here.
    Refetch,
}

/// A node's applied version and its lease.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Follower {
    fresh_until: Instant,
    version: u64,
}

impl Follower {
    /// Returns the applied version, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Handles a full configuration of `version`.
    pub fn offer_full(&mut self, version: u64) -> Step {
        if version <= self.version {
            return Step::Ignore;
        }
        self.version = version;
        Step::Apply
    }

    /// Handles a delta from `base` to `version`.
    pub fn offer_delta(&mut self, base: u64, version: u64) -> Step {
        if version <= self.version {
            return Step::Ignore;
        }
        if base != self.version {
            return Step::Refetch;
        }
        self.version = version;
        Step::Apply
    }

    /// Extends the lease to `length` after `reported`, the time at which the answered report was
    /// sent.
    ///
    /// A lease that covers a version newer than the applied one is ignored.
    pub fn extend_lease(&mut self, version: u64, reported: Instant, length: time::Duration) {
        if version > self.version {
            return;
        }
        let until = reported + length;
        self.fresh_until = self.fresh_until.max(until);
    }

    /// Returns the time between the last report and the next one.
    #[must_use]
    pub fn report_interval(&self, now: Instant) -> time::Duration {
        if self.is_fresh(now + RENEWAL_MARGIN) {
            REPORT_INTERVAL
        } else {
            RENEWAL_INTERVAL
        }
    }

    /// Returns whether new work may be accepted: a version is applied and the lease is valid.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.version > 0 && now < self.fresh_until
    }
}
