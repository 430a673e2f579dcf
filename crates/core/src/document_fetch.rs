//! Which control host a gateway requests a routing document from.
//!
//! Every control host announces the versions that it has; the text is requested from one of them at
//! a time. A host may be unable to answer although its announcements still arrive, so a host that
//! has not answered in time is requested again only if no other one has the document.

use core::time::Duration;
use std::collections;

use crate::time::Instant;

/// Time that a host has to send a document before another one is asked for it.
pub const TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a host that has not answered may be asked again although there are others:
/// their links may be blocked.
const SECOND_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that has not been answered.
#[derive(Clone, Debug)]
struct Request {
    host: String,
    sent_at: Instant,
    version: u64,
}

/// What the link to a host should do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Request this version, or a newer one, from the host.
    Request(u64),
    /// Wait: the document is up to date, or requested from another host.
    Wait,
}

/// Offers and requests of documents, over all control hosts.
#[derive(Clone, Debug, Default)]
pub struct Fetch {
    /// Newest version that each connected host has.
    offers: collections::BTreeMap<String, u64>,
    pending: Option<Request>,
    /// When the last request was sent.
    requested_at: Instant,
    /// When the newest version was first offered.
    offered_at: Instant,
    /// Hosts that have not answered their last request in time.
    unanswered: collections::BTreeSet<String>,
}

impl Fetch {
    /// Records that a host has a version.
    pub fn record_offer(&mut self, now: Instant, host: &str, version: u64) {
        let newest = self.offers.values().max().copied().unwrap_or(0);
        if version > newest {
            self.offered_at = now;
        }
        let offer = self.offers.entry(host.to_owned()).or_default();
        *offer = version.max(*offer);
    }

    /// Records that a host has sent a document.
    pub fn record_answer(&mut self, host: &str) {
        self.unanswered.remove(host);
    }

    /// Forgets a host whose link has ended.
    pub fn forget(&mut self, host: &str) {
        self.offers.remove(host);
        self.unanswered.remove(host);
    }

    /// Returns the time since the newest version was first offered.
    #[must_use]
    pub fn millis_since_offer(&self, now: Instant) -> u64 {
        now.millis_since(self.offered_at)
    }

    /// Returns whether a host has a newer version than `current`.
    #[must_use]
    pub fn is_behind(&self, host: &str, current: u64) -> bool {
        self.offers
            .get(host)
            .is_some_and(|version| *version > current)
    }

    /// Returns what to do on the link to a host if the gateway has version `current`, and records
    /// the request.
    pub fn next(&mut self, now: Instant, host: &str, current: u64) -> Next {
        let offered = self.offers.get(host).copied().unwrap_or(0);
        if offered <= current || self.is_requested(now, offered) {
            return Next::Wait;
        }
        self.record_timeout(now, current);
        if self.should_leave_to_others(now, host, current) {
            return Next::Wait;
        }
        self.requested_at = now;
        self.pending = Some(Request {
            host: host.to_owned(),
            sent_at: now,
            version: offered,
        });
        Next::Request(offered)
    }

    fn is_requested(&self, now: Instant, version: u64) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|request| request.version >= version && now < request.sent_at + TIMEOUT)
    }

    fn record_timeout(&mut self, now: Instant, current: u64) {
        let overdue = self
            .pending
            .take_if(|request| request.version > current && now >= request.sent_at + TIMEOUT);
        if let Some(request) = overdue {
            self.unanswered.insert(request.host);
        }
    }

    fn should_leave_to_others(&self, now: Instant, host: &str, current: u64) -> bool {
        let mut offers = self.offers.iter();
        let has_other = offers.any(|(other, version)| {
            other != host && *version > current && !self.unanswered.contains(other)
        });
        let is_recent = now < self.requested_at.max(self.offered_at) + SECOND_TIMEOUT;
        self.unanswered.contains(host) && has_other && is_recent
    }
}
