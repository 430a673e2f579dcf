//! Requests and claims that an agent has already accepted, so that none of them runs twice.

use core::time::Duration;
use std::collections;

use crate::time;

/// How long a request id is remembered.
pub const REQUEST_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of request ids remembered; the oldest is dropped first.
pub const MAX_REQUESTS: usize = 50_000;
/// How long the newest fence of a claim is remembered.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(86_400);
/// Maximum number of claims remembered; the oldest is dropped first.
pub const MAX_CLAIMS: usize = 100_000;

/// Request ids seen, each remembered for a bounded time.
#[derive(Debug, Default)]
pub struct Requests {
    order: collections::VecDeque<Seen>,
    seen: collections::HashSet<String>,
}

/// A request id or claim key and the time it was first seen.
#[derive(Debug)]
struct Seen {
    at: time::Instant,
    name: String,
}

impl Requests {
    /// Records a request id; returns false if it was seen before.
    pub fn admit(&mut self, request: &str, now: time::Instant) -> bool {
        self.drop_expired(now);
        if self.seen.contains(request) {
            return false;
        }
        if self.order.len() >= MAX_REQUESTS {
            self.drop_oldest();
        }
        self.seen.insert(request.to_owned());
        self.order.push_back(Seen {
            at: now,
            name: request.to_owned(),
        });
        true
    }

    fn drop_expired(&mut self, now: time::Instant) {
        while let Some(oldest) = self.order.front() {
            if now < oldest.at + REQUEST_RETENTION {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.seen.remove(&oldest.name);
        }
    }
}

/// The newest fence of each claim seen, each remembered for a bounded time.
///
/// Fences increase across all claims, so a fence that is not larger than a forgotten one is stale
/// too.
#[derive(Debug, Default)]
pub struct Claims {
    fences: collections::HashMap<String, u64>,
    /// Largest fence forgotten.
    floor: u64,
    order: collections::VecDeque<Seen>,
}

impl Claims {
    /// Records the fence of a claim; returns false unless it is larger than every one seen.
    pub fn admit(&mut self, key: &str, fence: u64, now: time::Instant) -> bool {
        self.drop_expired(now);
        let newest = self.fences.get(key).copied();
        if fence <= newest.unwrap_or(self.floor) {
            return false;
        }
        self.fences.insert(key.to_owned(), fence);
        if newest.is_none() {
            if self.order.len() >= MAX_CLAIMS {
                self.drop_oldest();
            }
            self.order.push_back(Seen {
                at: now,
                name: key.to_owned(),
            });
        }
        true
    }

    fn drop_expired(&mut self, now: time::Instant) {
        while let Some(oldest) = self.order.front() {
            if now < oldest.at + CLAIM_RETENTION {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            let forgotten = self.fences.remove(&oldest.name).unwrap_or(0);
            self.floor = self.floor.max(forgotten);
        }
    }
}
