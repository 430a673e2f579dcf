//! Until when this host may grant freshness leases.
//!
//! A leader's freshness counts from the moment it began the heartbeat round that a quorum
//! answered. A follower's counts from the moment it sent the message that the leader echoes, so a
//! message that was held up on its way never makes a host fresh.

use std::collections;

use bytes::Bytes;
use tokio::time;

/// Rounds that may wait for a quorum.
const MAX_ROUNDS: usize = 256;

/// When a peer's last envelope came, and the peer's clock in it.
#[derive(Clone, Copy, Debug)]
struct Heard {
    clock_ms: u64,
    received: time::Instant,
}

/// Freshness of this host.
#[derive(Debug)]
pub(crate) struct Lease {
    heard: collections::HashMap<Bytes, Heard>,
    length: time::Duration,
    rounds: collections::VecDeque<(u64, time::Instant)>,
    start: time::Instant,
    until: Option<time::Instant>,
}

impl Lease {
    /// Returns a host that is not fresh yet.
    pub(crate) fn new(length: time::Duration) -> Lease {
        Lease {
            heard: collections::HashMap::new(),
            length,
            rounds: collections::VecDeque::new(),
            start: time::Instant::now(),
            until: None,
        }
    }

    /// Returns until when this host is fresh.
    pub(crate) fn until(&self) -> Option<time::Instant> {
        self.until
    }

    /// Returns this host's clock for an envelope; never 0.
    pub(crate) fn read_clock(&self, now: time::Instant) -> u64 {
        let millis = now.saturating_duration_since(self.start).as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX).saturating_add(1)
    }

    /// Notes that a leader began a round.
    pub(crate) fn begin_round(&mut self, round: u64, now: time::Instant) {
        if self
            .rounds
            .back()
            .is_some_and(|(last, _start)| *last >= round)
        {
            return;
        }
        self.rounds.push_back((round, now));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// Notes that a quorum answered a round.
    pub(crate) fn confirm_round(&mut self, round: u64) {
        while let Some((first, start)) = self.rounds.front().copied() {
            if first > round {
                return;
            }
            self.rounds.pop_front();
            self.extend(start + self.length);
        }
    }

    /// Forgets the rounds of a term that has ended.
    pub(crate) fn end_term(&mut self) {
        self.rounds.clear();
    }

    /// Notes a peer's clock.
    pub(crate) fn hear(&mut self, peer: &Bytes, clock_ms: u64, received: time::Instant) {
        let heard = Heard { clock_ms, received };
        self.heard.insert(peer.clone(), heard);
    }

    /// Returns the peer's clock and how long from it on the peer may be fresh, in milliseconds.
    pub(crate) fn grant(&self, peer: &Bytes) -> Option<(u64, u32)> {
        let heard = self.heard.get(peer)?;
        let left = self.until?.checked_duration_since(heard.received)?;
        let lease_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Some((heard.clock_ms, lease_ms))
    }

    /// Takes a leader's grant: fresh for `lease_ms` from this host's own clock `echo_ms` on.
    pub(crate) fn take_grant(&mut self, echo_ms: u64, lease_ms: u32) {
        if echo_ms == 0 || lease_ms == 0 {
            return;
        }
        let sent = self.start + time::Duration::from_millis(echo_ms - 1);
        self.extend(sent + time::Duration::from_millis(u64::from(lease_ms)));
    }

    fn extend(&mut self, until: time::Instant) {
        self.until = self.until.max(Some(until));
    }
}
