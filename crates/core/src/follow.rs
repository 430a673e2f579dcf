//! How a node follows the configuration: versions only grow, and a lease bounds staleness.

use core::time;

use crate::time::Instant;

/// What to do with a configuration that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Put it in force.
    Apply,
    /// It is not newer than what is in force.
    Ignore,
    /// It builds on a version that is not in force here: ask for the whole configuration.
    Refetch,
}

/// A node's version and lease.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Follower {
    fresh_until: Instant,
    version: u64,
}

impl Follower {
    /// Returns the version in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Decides on a whole configuration of `version`.
    pub fn offer_whole(&mut self, version: u64) -> Step {
        if version <= self.version {
            return Step::Ignore;
        }
        self.version = version;
        Step::Apply
    }

    /// Decides on changes that lead from `base` to `version`.
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

    /// Extends the lease to `length` after `reported`, the time the answered report was sent.
    ///
    /// A lease that vouches for a version newer than the one in force is not taken.
    pub fn extend_lease(&mut self, version: u64, reported: Instant, length: time::Duration) {
        if version > self.version {
            return;
        }
        let until = reported + length;
        self.fresh_until = self.fresh_until.max(until);
    }

    /// Returns whether new work may be taken.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.version > 0 && now < self.fresh_until
    }
}
