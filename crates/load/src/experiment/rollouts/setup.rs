//! Setups of the experiment.

use core::time::Duration;

use peargap_core::rollout::order;
use peargap_core::rollout::schedule;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

/// What a bad version may get.
pub const BOUNDS: schedule::Bounds = schedule::Bounds {
    fraction: 0.1,
    rollback: Duration::from_secs(5),
    tolerance: 50.0,
};

/// A version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Fails from the start.
    BadAtOnce,
    /// Fails from some moment on.
    BadLater,
    /// Fails on one route.
    BadOnOneRoute,
    /// Fails once it has more than half of its full load.
    BadUnderLoad,
    /// Is as good as the former version.
    Good,
    /// Is several times slower.
    Slow,
}

/// All kinds of versions.
pub const KINDS: [Kind; 6] = [
    Kind::Good,
    Kind::BadAtOnce,
    Kind::BadLater,
    Kind::BadUnderLoad,
    Kind::BadOnOneRoute,
    Kind::Slow,
];

impl Kind {
    /// Returns the state that is due at the time limit.
    #[must_use]
    pub fn due(self) -> order::State {
        match self {
            Kind::Good => order::State::Completed,
            Kind::BadAtOnce
            | Kind::BadLater
            | Kind::BadOnOneRoute
            | Kind::BadUnderLoad
            | Kind::Slow => order::State::RolledBack,
        }
    }
}

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setup {
    /// Part of the answers of all versions that fail.
    pub background: f64,
    /// Time for which upstreams of the target are cold after the order, in milliseconds.
    pub cold_ms: u64,
    /// Gateway that hears no control host for a third of the time, from a third on.
    pub cut_gateway: Option<usize>,
    /// Time limit of the rollout, in milliseconds.
    pub duration_ms: u64,
    /// How much slower slow answers are.
    pub factor: f64,
    /// Number of gateways.
    pub gateways: u32,
    /// What the target is like.
    pub kind: Kind,
    /// When the leader is lost, in milliseconds.
    pub leader_lost_ms: Option<u64>,
    /// When a version that turns bad does so, in milliseconds.
    pub onset_ms: u64,
    /// Requests a second.
    pub per_s: f64,
    /// Part of the answers of a bad version that are bad.
    pub portion: f64,
    /// Whether a third of the requests are streams of 10 s.
    pub streams: bool,
    /// Upstreams of each version.
    pub upstreams: u32,
}

impl Setup {
    /// Draws a setup.
    #[must_use]
    pub fn draw(kind: Kind, seed: u64) -> Setup {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x726f_6c6c);
        let duration = draw_log(&mut random, 6_000.0, 600_000.0);
        let duration_ms = to_whole(duration);
        let gateways = u32::try_from(to_whole(draw_log(&mut random, 8.0, 370.0))).unwrap_or(8);
        let has_cut = random.random_bool(0.2);
        let has_lost = random.random_bool(0.2);
        Setup {
            background: [0.0, 0.005, 0.02, 0.2][random.random_range(0..4)],
            cold_ms: [0, 1_000, 3_000][random.random_range(0..3)],
            cut_gateway: has_cut.then(|| random.random_range(0..8)),
            duration_ms,
            factor: random.random_range(3.0..8.0),
            gateways,
            kind,
            leader_lost_ms: has_lost.then(|| random.random_range(0..duration_ms)),
            onset_ms: to_whole(duration * random.random_range(0.1..0.5)),
            per_s: draw_log(&mut random, 5.0, 5_000.0),
            portion: random.random_range(0.25..1.0),
            streams: duration_ms >= 20_000 && random.random_bool(0.4),
            upstreams: u32::try_from(to_whole(draw_log(&mut random, 2.0, 500.0))).unwrap_or(2),
        }
    }
}

fn draw_log(random: &mut SmallRng, from: f64, to: f64) -> f64 {
    (random.random_range(from.ln()..to.ln())).exp()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
pub(super) fn to_whole(number: f64) -> u64 {
    number as u64
}
