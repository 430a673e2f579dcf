//! Experiment: rollouts of good and bad versions.
//!
//! It plays gateways that count answers and apply shares, and a control host that judges, with the
//! code of `peargap_core`: what a bad version gets, and whether a good one is completed in time.

mod play;
mod setup;

use core::fmt;

use peargap_core::rollout::order;

pub use setup::Kind;
pub use setup::Setup;
pub use setup::BOUNDS;
pub use setup::KINDS;

/// Who decides on the share and the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// All new requests go to the target at once.
    AtOnce,
    /// Knows from the start whether the target is bad.
    Oracle,
    /// `peargap_core::rollout`.
    Own,
    /// A tenth, a quarter, a half and all, by time alone.
    Steps,
}

/// Runs of each baseline; their results are far apart.
const MAX_BASELINE_SEEDS: u64 = 20;
const POLICIES: [Policy; 4] = [Policy::Own, Policy::Steps, Policy::AtOnce, Policy::Oracle];

/// Result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Requests to the service until the time limit.
    pub all: u64,
    /// Streams that still ran on other versions at the completion.
    pub cut: u64,
    /// Time from the fiftieth bad answer to the last send to the target, in milliseconds.
    pub late_ms: u64,
    /// State at the time limit.
    pub state: order::State,
    /// Requests that were sent to the target until the time limit.
    pub to_target: u64,
}

impl Figures {
    /// Returns the requests to the target beyond the bound on a bad version; none is negative.
    #[must_use]
    pub fn excess(&self) -> f64 {
        to_float(self.to_target) - BOUNDS.fraction * to_float(self.all) - BOUNDS.tolerance
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?}, {} of {} to the target, last {} ms after the fiftieth bad answer, {} cut",
            self.state, self.to_target, self.all, self.late_ms, self.cut
        )
    }
}

/// Plays a run.
#[must_use]
pub fn play(setup: &Setup, policy: Policy, seed: u64) -> Figures {
    play::Play::new(setup, policy, seed).run()
}

/// Returns a table of `seeds` runs of each kind of version, with fewer of the baselines.
#[must_use]
pub fn report(seeds: u64) -> String {
    let rows = KINDS.iter().flat_map(|kind| {
        let policies = POLICIES.iter();
        policies.map(move |policy| match policy {
            Policy::Own => report_kind(*kind, Policy::Own, seeds),
            baseline => report_kind(*kind, *baseline, seeds.min(MAX_BASELINE_SEEDS)),
        })
    });
    rows.collect()
}

fn report_kind(kind: Kind, policy: Policy, seeds: u64) -> String {
    let mut counts = [0_u64; 4];
    let mut text = String::new();
    for seed in 0..seeds {
        let setup = Setup::draw(kind, seed);
        let figures = play(&setup, policy, seed);
        let is_missed = figures.state != kind.due();
        let is_over = kind != Kind::Good && figures.excess() > 0.0;
        let limit_ms = u64::try_from(BOUNDS.rollback.as_millis()).unwrap_or(u64::MAX);
        let is_late = figures.late_ms > limit_ms;
        let seen = [is_missed, is_over, is_late, figures.cut > 0];
        for (count, seen) in counts.iter_mut().zip(seen) {
            *count += u64::from(seen);
        }
        if policy == Policy::Own && (is_missed || is_over || is_late) {
            text.push_str(&format!("  seed {seed}: {figures}; {setup:?}\n"));
        }
    }
    let [missed, over, late, cut] = counts;
    format!(
        "{kind:?} by {policy:?}: {missed} of {seeds} not in the due state, {over} above the exposure \
         bound, {late} late, {cut} with streams cut\n{text}"
    )
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_float(count: u64) -> f64 {
    count as f64
}
