//! Choice of the control host that sums up the load of all gateways.
//!
//! Each gateway reports its load to one control host and receives the sum of the others' loads from
//! it. The sum is complete only if all gateways choose the same host, so the choice depends on what
//! they all know: which hosts vote, and the hosts' names. A host without a vote may have a small
//! machine. A host that stays silent is left for the next one, as gateways that do not know each
//! other's load all choose the same upstreams.

use core::time::Duration;
use std::collections;

use crate::time::Instant;

/// Time without an update after which a host that should send some counts as silent. Hosts send
/// updates more often than each [`UPDATE_INTERVAL`] on links that report load.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// Longest time between two updates on a link that reports load.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// A connected control host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Host {
    heard: Instant,
    is_silent: bool,
}

/// Control hosts as one gateway knows them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hosts {
    connected: collections::BTreeMap<String, Host>,
    voters: collections::BTreeSet<String>,
}

impl Hosts {
    /// Adds a host whose link has opened.
    pub fn connect(&mut self, now: Instant, name: &str) {
        let host = Host {
            heard: now,
            is_silent: false,
        };
        self.connected.insert(name.to_owned(), host);
    }

    /// Removes a host whose link has ended; returns whether it was connected.
    pub fn disconnect(&mut self, name: &str) -> bool {
        self.connected.remove(name).is_some()
    }

    /// Replaces the names of the hosts that vote.
    pub fn set_voters(&mut self, voters: impl IntoIterator<Item = String>) {
        self.voters = voters.into_iter().collect();
    }

    /// Records an update from a host; returns whether that may change the choice.
    pub fn record_update(&mut self, now: Instant, name: &str) -> bool {
        let Some(host) = self.connected.get_mut(name) else {
            return false;
        };
        host.heard = now;
        core::mem::take(&mut host.is_silent)
    }

    /// Marks the chosen host as silent if it has sent nothing since `reporting_since` and for
    /// [`SILENCE_LIMIT`]; returns whether that may change the choice.
    pub fn check_silence(&mut self, now: Instant, name: &str, reporting_since: Instant) -> bool {
        let Some(host) = self.connected.get_mut(name) else {
            return false;
        };
        let since = host.heard.max(reporting_since);
        if host.is_silent || now < since + SILENCE_LIMIT {
            return false;
        }
        host.is_silent = true;
        true
    }

    /// Returns the host to report to.
    #[must_use]
    pub fn choose(&self) -> Option<&str> {
        let hosts = self.connected.iter();
        let best = hosts.min_by_key(|(name, host)| (host.is_silent, !self.voters.contains(*name)));
        best.map(|(name, _host)| name.as_str())
    }
}
