//! Timers of the replica thread.

use peargap_core::log::effect;
use rand::RngExt as _;
use tokio::time;

use crate::settings;

/// Divisor of the election timeout of a host that has just started. It has no leader yet whose
/// heartbeat could be late, and its pre-vote does not disturb an existing leader.
const STARTUP_TIMEOUT_DIVISOR: u32 = 4;
/// Number of election timeouts during which a host counts as just started.
const STARTUP_TIMEOUTS: u32 = 4;

/// Deadlines of the timers of the log protocol.
#[derive(Debug)]
pub(crate) struct Timers {
    heartbeat_due: time::Instant,
    election_due: time::Instant,
    leader_timeout_due: Option<time::Instant>,
    quorum_check_due: time::Instant,
    started: time::Instant,
    timing: settings::Timing,
}

impl Timers {
    /// Starts all timers.
    pub(crate) fn new(timing: settings::Timing) -> Timers {
        let now = time::Instant::now();
        let mut timers = Timers {
            heartbeat_due: now + timing.heartbeat,
            election_due: now,
            leader_timeout_due: None,
            quorum_check_due: now + timing.election,
            started: now,
            timing,
        };
        timers.restart_election(now);
        timers
    }

    /// Restarts the leader and election timeouts.
    pub(crate) fn restart_election(&mut self, now: time::Instant) {
        let election = self.timing.election;
        let jitter = rand::rng().random_range(0.0..1.0);
        self.leader_timeout_due = Some(now + election);
        let shortest = match now < self.started + election * STARTUP_TIMEOUTS {
            true => election / STARTUP_TIMEOUT_DIVISOR,
            false => election,
        };
        self.election_due = now + shortest + shortest.mul_f64(jitter);
    }

    /// Waits until the next timer expires and returns its event.
    pub(crate) async fn wait(&mut self) -> effect::Event {
        let leader_timeout_due = self.leader_timeout_due.unwrap_or(self.election_due);
        let next = self
            .heartbeat_due
            .min(self.election_due)
            .min(self.quorum_check_due)
            .min(leader_timeout_due);
        time::sleep_until(next).await;
        let now = time::Instant::now();
        if self
            .leader_timeout_due
            .is_some_and(|leader_timeout_due| leader_timeout_due <= now)
        {
            self.leader_timeout_due = None;
            return effect::Event::LeaderTimeout;
        }
        if self.election_due <= now {
            self.restart_election(now);
            return effect::Event::ElectionTimeout;
        }
        if self.quorum_check_due <= now {
            self.quorum_check_due = now + self.timing.election;
            return effect::Event::CheckQuorum;
        }
        self.heartbeat_due = now + self.timing.heartbeat;
        effect::Event::HeartbeatTimeout
    }
}
