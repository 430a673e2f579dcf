//! Callers: which generations they want, and what becomes of each.

use rand::RngExt as _;

use crate::experiment::waiting;

/// Gateways among which callers choose at random.
pub const GATEWAYS: usize = 25;
/// Teams.
pub const TEAMS: usize = 24;
/// Length of a run.
pub const RUN_MS: u64 = 60_000;
/// When the bursts are.
const BURSTS: [core::ops::Range<u64>; 2] = [15_000..21_000, 35_000..41_000];

/// A kind of generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Long prompt, short output; pressing.
    Check,
    /// Long prompt, long output.
    Digest,
}

impl Kind {
    /// Returns the latency objective in milliseconds.
    #[must_use]
    pub fn objective_ms(self) -> u64 {
        match self {
            Kind::Check => 1500,
            Kind::Digest => 4000,
        }
    }

    /// Returns the time limit in milliseconds.
    #[must_use]
    pub fn timeout_ms(self) -> u64 {
        match self {
            Kind::Check => 6000,
            Kind::Digest => 39_000,
        }
    }

    /// Returns the prompt in tokens.
    #[must_use]
    pub fn prompt(self) -> u64 {
        match self {
            Kind::Check => 2550,
            Kind::Digest => 3079,
        }
    }

    /// Returns the limit of the output in tokens.
    #[must_use]
    pub fn max_output(self) -> u64 {
        match self {
            Kind::Check => 16,
            Kind::Digest => 1500,
        }
    }

    /// Returns the priority.
    #[must_use]
    pub fn rank(self) -> u32 {
        match self {
            Kind::Check => 0,
            Kind::Digest => 1,
        }
    }

    fn mean_output(self) -> f64 {
        match self {
            Kind::Check => 8.0,
            Kind::Digest => 752.0,
        }
    }

    fn per_s(self) -> f64 {
        match self {
            Kind::Check => 34.7,
            Kind::Digest => 17.8,
        }
    }
}

/// A call, sent again once if it is refused.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When it was first sent.
    pub sent_ms: u64,
    /// When it ended, answered.
    pub ended_ms: Option<u64>,
    /// When its first event came.
    pub first_ms: Option<u64>,
    /// Its kind.
    pub kind: Kind,
    /// Output that it gets, in tokens.
    pub output: f64,
    /// How often it may still be sent again.
    pub repeats: u32,
    /// Its team.
    pub team: usize,
}

impl Call {
    /// Returns the output that it gets, in whole tokens.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small numbers"
    )]
    pub fn output_tokens(&self) -> u64 {
        self.output.ceil() as u64
    }
}

/// Returns the calls of a run in the order in which they are sent.
pub fn draw<R: rand::Rng + ?Sized>(scenario: waiting::Scenario, random: &mut R) -> Vec<Call> {
    let mut calls = Vec::new();
    for now in 0..RUN_MS {
        let is_burst = BURSTS.iter().any(|burst| burst.contains(&now));
        let times = if is_burst { scenario.burst } else { 1.0 };
        for kind in [Kind::Check, Kind::Digest] {
            let expected = kind.per_s() * scenario.load * times / 1000.0;
            if random.random_bool(expected.min(1.0)) {
                calls.push(Call {
                    sent_ms: now,
                    ended_ms: None,
                    first_ms: None,
                    kind,
                    output: kind.mean_output() * random.random_range(0.6..1.4),
                    repeats: 1,
                    team: draw_team(scenario.first_team, random),
                });
            }
        }
    }
    calls
}

fn draw_team<R: rand::Rng + ?Sized>(first_team: f64, random: &mut R) -> usize {
    let others = f64::from(u32::try_from(TEAMS - 1).unwrap_or(u32::MAX));
    match random.random_bool(first_team / (first_team + others)) {
        true => 0,
        false => random.random_range(1..TEAMS),
    }
}
