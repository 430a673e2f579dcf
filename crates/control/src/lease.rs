//! Freshness of this host, which limits the leases that it grants.
//!
//! A leader is fresh for one lease length from the start of the last heartbeat round that a quorum
//! answered. A follower's grant counts from the time when the follower sent the message that the
//! leader echoes. A message that was delayed in transit therefore never extends freshness. The clock of
//! each start begins at a random number, so that an echo to a former start is told apart.

use std::collections;

use bytes::Bytes;
use tokio::time;

/// Maximum number of rounds that wait for a quorum.
const MAX_ROUNDS: usize = 256;

/// Arrival time of a peer's last envelope, and the peer's clock in it.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    clock_ms: u64,
    received: time::Instant,
}

/// Freshness lease of this host.
#[derive(Debug)]
pub struct Lease {
    peer_clocks: collections::HashMap<Bytes, PeerClock>,
    length: time::Duration,
    /// Heartbeat rounds that no quorum has answered yet, with their start times.
    rounds: collections::VecDeque<(u64, time::Instant)>,
    /// Value of this host's clock in envelopes at `start`.
    origin_ms: u64,
    /// When this host's clock began.
    start: time::Instant,
    fresh_until: Option<time::Instant>,
}

impl Lease {
    /// Returns a lease under which the host is not fresh yet. Its clock begins at `origin_ms`, which no
    /// other start of the host may use.
    #[must_use]
    pub fn new(length: time::Duration, origin_ms: u64) -> Lease {
        Lease {
            peer_clocks: collections::HashMap::new(),
            length,
            origin_ms,
            rounds: collections::VecDeque::new(),
            start: time::Instant::now(),
            fresh_until: None,
        }
    }

    /// Returns the time until which this host is fresh.
    #[must_use]
    pub fn fresh_until(&self) -> Option<time::Instant> {
        self.fresh_until
    }

    /// Returns this host's clock for an envelope in milliseconds. It is never 0, which means that the
    /// field is absent.
    #[must_use]
    pub fn read_clock(&self, now: time::Instant) -> u64 {
        let millis = now.saturating_duration_since(self.start).as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        self.origin_ms.saturating_add(millis).saturating_add(1)
    }

    /// Records the start of a heartbeat round by this leader.
    pub fn begin_round(&mut self, round: u64, now: time::Instant) {
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

    /// Extends freshness after a quorum answered `round`.
    pub fn confirm_round(&mut self, round: u64) {
        while let Some((first, start)) = self.rounds.front().copied() {
            if first > round {
                return;
            }
            self.rounds.pop_front();
            self.extend(start + self.length);
        }
    }

    /// Discards the unanswered rounds when the leader's term ends.
    pub fn end_term(&mut self) {
        self.rounds.clear();
    }

    /// Records a peer's clock.
    pub fn record_peer_clock(&mut self, peer: &Bytes, clock_ms: u64, received: time::Instant) {
        let clock = PeerClock { clock_ms, received };
        self.peer_clocks.insert(peer.clone(), clock);
    }

    /// Returns a grant for a peer: the peer's clock to echo, and for how many milliseconds from it
    /// the peer is fresh.
    #[must_use]
    pub fn grant(&self, peer: &Bytes) -> Option<(u64, u32)> {
        let clock = self.peer_clocks.get(peer)?;
        let left = self.fresh_until?.checked_duration_since(clock.received)?;
        let lease_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        Some((clock.clock_ms, lease_ms))
    }

    /// Applies a leader's grant: this host is fresh for `lease_ms` from its own clock `echo_ms`. Returns
    /// false if the echo is not of this start's clock, or for longer than a lease from `now`.
    pub fn apply_grant(&mut self, now: time::Instant, echo_ms: u64, lease_ms: u32) -> bool {
        if echo_ms == 0 || lease_ms == 0 {
            return true;
        }
        if echo_ms <= self.origin_ms || echo_ms > self.read_clock(now) {
            return false;
        }
        let elapsed = time::Duration::from_millis(echo_ms - self.origin_ms - 1);
        let until = self.start + elapsed + time::Duration::from_millis(u64::from(lease_ms));
        if until > now + self.length {
            return false;
        }
        self.extend(until);
        true
    }

    fn extend(&mut self, until: time::Instant) {
        self.fresh_until = self.fresh_until.max(Some(until));
    }
}
