//! Timers of the replica thread.

use peargap_core::log::effect;
use rand::RngExt as _;
use tokio::time;

use crate::settings;

/// Divisor of the election timeout of a host that has just started. It has no leader yet whose
/// heartbeat could be late, and its pre-vote does not disturb an existing leader.
const STARTING_SHARE: u32 = 4;
/// Number of election timeouts during which a host counts as just started.
const STARTING_TIMEOUTS: u32 = 4;

/// Deadlines of the timers of the log protocol.
#[derive(Debug)]
pub(crate) struct Timers {
    beat: time::Instant,
    campaign: time::Instant,
    quiet: Option<time::Instant>,
    review: time::Instant,
    started: time::Instant,
    timing: settings::Timing,
}

impl Timers {
    /// Starts all timers.
    pub(crate) fn new(timing: settings::Timing) -> Timers {
        let now = time::Instant::now();
        let mut timers = Timers {
            beat: now + timing.heartbeat,
            campaign: now,
            quiet: None,
            review: now + timing.election,
            started: now,
            timing,
        };
        timers.restart_election(now);
        timers
    }

    /// Restarts the leader and election timeouts.
    pub(crate) fn restart_election(&mut self, now: time::Instant) {
        let election = self.timing.election;
        let extra = rand::rng().random_range(0.0..1.0);
        self.quiet = Some(now + election);
        let shortest = match now < self.started + election * STARTING_TIMEOUTS {
            true => election / STARTING_SHARE,
            false => election,
        };
        self.campaign = now + shortest + shortest.mul_f64(extra);
    }

    /// Waits until the next timer expires and returns its event.
    pub(crate) async fn wait(&mut self) -> effect::Event {
        let quiet = self.quiet.unwrap_or(self.campaign);
        let next = self.beat.min(self.campaign).min(self.review).min(quiet);
        time::sleep_until(next).await;
        let now = time::Instant::now();
        if self.quiet.is_some_and(|quiet| quiet <= now) {
            self.quiet = None;
            return effect::Event::LeaderTimeout;
        }
        if self.campaign <= now {
            self.restart_election(now);
            return effect::Event::ElectionTimeout;
        }
        if self.review <= now {
            self.review = now + self.timing.election;
            return effect::Event::CheckQuorum;
        }
        self.beat = now + self.timing.heartbeat;
        effect::Event::HeartbeatTimeout
    }
}
