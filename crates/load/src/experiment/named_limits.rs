//! Experiment: gateways in front of an upstream that names a limit below the requests for it.
//!
//! It compares ways to share the limit: what the upstream gets in its busiest window, how much of the
//! limit is used, and how evenly the gateways serve their callers.

use core::fmt;

use peargap_core::fleet_share;
use peargap_core::rate_limit;
use peargap_core::time::Instant;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::numbers;

/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Steps between two reports of a gateway.
const REPORT_STEPS: u64 = 5;
/// Reports of the past: the sums that a gateway has are this many reports old.
const SUMS_LAG: usize = 2;
const RUN_MS: u64 = 40_000;
/// When something happens to the gateways, in milliseconds.
const EVENT_MS: u64 = 15_000;
/// Time for which a fault lasts, in milliseconds.
const FAULT_MS: u64 = 5_000;
/// Time from which on the use of the limit is measured, in milliseconds.
const SETTLED_MS: u64 = 5_000;
/// Window in which the limit is counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Requests beyond the limit that are allowed in a window.
const TOLERANCE: f64 = 5.0;
/// Requests for each one that the limit allows.
const DEMAND_PART: f64 = 4.0;

/// How callers' requests are divided among the gateways, and what happens to them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Situation {
    /// The host that sums up reports is away for a while.
    ControlAway,
    /// All gateways get as many.
    Even,
    /// A host that was restarted counts half of the gateways for a while.
    OldCount,
    /// One gateway gets all.
    One,
    /// All gateways start again together.
    RestartAll,
    /// The gateways start again one after the other.
    RestartInTurn,
    /// Midway the busiest gateways become the idlest.
    Shift,
    /// The number falls with the rank of the gateway.
    Zipf,
}

/// All situations.
pub const SITUATIONS: [Situation; 8] = [
    Situation::Even,
    Situation::Zipf,
    Situation::One,
    Situation::Shift,
    Situation::RestartAll,
    Situation::RestartInTurn,
    Situation::ControlAway,
    Situation::OldCount,
];

/// How the limit is shared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// By the sums of what the gateways report.
    ByDemand,
    /// In equal parts.
    Equal,
}

/// All rules.
pub const RULES: [Rule; 2] = [Rule::ByDemand, Rule::Equal];

/// Result of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Requests in the busiest window.
    pub busiest: u32,
    /// Requests that a window may have.
    pub bound: f64,
    /// Part of the limit that is used.
    pub used: f64,
}

impl Figures {
    /// Returns whether every window kept the bound.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        f64::from(self.busiest) <= self.bound
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "busiest window {} of {:.0}, used {:.2}",
            self.busiest, self.bound, self.used
        )
    }
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    limiter: rate_limit::Limiter,
    sharers: fleet_share::Sharers,
    started_ms: u64,
}

/// What the gateways reported at one time.
type Reports = Vec<rate_limit::Counts>;

struct Fleet {
    gateways: Vec<Gateway>,
    limit_per_s: f64,
    reports: Vec<Reports>,
    rule: Rule,
    situation: Situation,
}

impl Fleet {
    fn new(gateways: usize, limit_per_s: f64, rule: Rule, situation: Situation) -> Fleet {
        Fleet {
            gateways: vec![Gateway::default(); gateways],
            limit_per_s,
            reports: Vec::new(),
            rule,
            situation,
        }
    }

    fn is_during_fault(now_ms: u64) -> bool {
        (EVENT_MS..EVENT_MS + FAULT_MS).contains(&now_ms)
    }

    fn count_told(&self, now_ms: u64) -> u32 {
        let gateways = u32::try_from(self.gateways.len()).unwrap_or(u32::MAX);
        match self.situation == Situation::OldCount && Fleet::is_during_fault(now_ms) {
            true => gateways.div_ceil(2),
            false => gateways,
        }
    }

    fn restart(&mut self, now_ms: u64) {
        let fresh = Gateway {
            started_ms: now_ms,
            ..Gateway::default()
        };
        let count = u64::try_from(self.gateways.len()).unwrap_or(u64::MAX);
        match self.situation {
            Situation::RestartAll if now_ms == EVENT_MS => {
                self.gateways.fill(fresh);
                self.reports.clear();
            }
            Situation::RestartInTurn if now_ms >= EVENT_MS => {
                let turn = (now_ms - EVENT_MS) / (FAULT_MS / count).max(STEP_MS);
                let index = usize::try_from(turn).unwrap_or(usize::MAX);
                let is_new = |gateway: &&mut Gateway| gateway.started_ms == 0;
                if let Some(gateway) = self.gateways.get_mut(index).filter(is_new) {
                    *gateway = fresh;
                    for reports in &mut self.reports {
                        reports[index] = rate_limit::Counts::default();
                    }
                }
            }
            _ => {}
        }
    }

    fn report(&mut self, now_ms: u64) {
        let told = self.count_told(now_ms);
        let reports = self.gateways.iter_mut().map(|gateway| {
            let now = Instant(now_ms - gateway.started_ms);
            let sharers = &mut gateway.sharers;
            sharers.update(now, told, rate_limit::COUNT_TIME);
            let count = sharers.count();
            gateway.limiter.report(now, self.limit_per_s, count)
        });
        self.reports.push(reports.collect());
    }

    /// Returns the sums over the other gateways that one of them has.
    fn find_others(
        &self,
        index: usize,
        now_ms: u64,
        sums: &[rate_limit::Counts],
    ) -> Option<rate_limit::Counts> {
        let is_away = self.situation == Situation::ControlAway && Fleet::is_during_fault(now_ms);
        if self.rule == Rule::Equal || is_away {
            return None;
        }
        let sum = sums.first()?;
        let own = sums.get(index + 1)?;
        Some(sum.minus(*own))
    }

    /// Returns the sum over all gateways, and each gateway's part after it.
    fn sum_up(&self) -> Vec<rate_limit::Counts> {
        let newest = self.reports.len().checked_sub(SUMS_LAG + 1);
        let Some(reports) = newest.and_then(|newest| self.reports.get(newest)) else {
            return Vec::new();
        };
        let none = rate_limit::Counts::default();
        let sum = reports.iter().copied().fold(none, rate_limit::Counts::plus);
        core::iter::once(sum)
            .chain(reports.iter().copied())
            .collect()
    }

    /// Handles a request at a gateway; returns whether it is sent.
    fn handle<R: rand::Rng>(
        &mut self,
        index: usize,
        now_ms: u64,
        sums: &[rate_limit::Counts],
        random: &mut R,
    ) -> bool {
        let others = self.find_others(index, now_ms, sums);
        let told = self.count_told(now_ms);
        let gateway = &mut self.gateways[index];
        let now = Instant(now_ms - gateway.started_ms);
        gateway.sharers.update(now, told, rate_limit::COUNT_TIME);
        let alone_ms = match self.situation == Situation::ControlAway && now_ms >= EVENT_MS {
            true => now_ms - EVENT_MS,
            false => now.0,
        };
        let view = rate_limit::View {
            alone_for: core::time::Duration::from_millis(alone_ms),
            gateways: gateway.sharers.count(),
            others,
            position: fleet_share::Position {
                gateways: told,
                position: u32::try_from(index + 1).unwrap_or(u32::MAX),
            },
            upstream_index: 0,
        };
        gateway.limiter.record_wanted(now);
        let purpose = rate_limit::Purpose::First;
        let is_sent = gateway
            .limiter
            .may_send(now, self.limit_per_s, &view, purpose, random);
        if is_sent {
            gateway.limiter.record_sent(now);
        }
        is_sent
    }
}

/// Returns a gateway for a request.
fn draw_gateway<R: rand::Rng>(
    gateways: usize,
    situation: Situation,
    now_ms: u64,
    random: &mut R,
) -> usize {
    let zipf = |random: &mut R| {
        // Inverse of the distribution whose weight falls as one over the rank.
        let count = u32::try_from(gateways).unwrap_or(u32::MAX);
        let rank = f64::from(count + 1).powf(random.random_range(0.0..1.0));
        numbers::whole(rank).min(gateways) - 1
    };
    match situation {
        Situation::One => 0,
        Situation::Zipf => zipf(random),
        Situation::Shift if now_ms >= EVENT_MS => gateways - 1 - zipf(random),
        Situation::Shift => zipf(random),
        Situation::ControlAway
        | Situation::Even
        | Situation::OldCount
        | Situation::RestartAll
        | Situation::RestartInTurn => random.random_range(0..gateways),
    }
}

/// Plays a run.
#[must_use]
pub fn play(
    situation: Situation,
    rule: Rule,
    gateways: usize,
    limit_per_s: f64,
    seed: u64,
) -> Figures {
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(gateways, limit_per_s, rule, situation);
    let mut sent_ms = Vec::new();
    let demand = limit_per_s * DEMAND_PART * seconds(STEP_MS);
    let mut due = 0.0;
    let mut sums = Vec::new();
    for now_ms in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        fleet.restart(now_ms);
        if (now_ms / STEP_MS).is_multiple_of(REPORT_STEPS) {
            fleet.report(now_ms);
            sums = fleet.sum_up();
        }
        due += demand * random.random_range(0.0..2.0);
        while due >= 1.0 {
            due -= 1.0;
            let index = draw_gateway(gateways, situation, now_ms, &mut random);
            if fleet.handle(index, now_ms, &sums, &mut random) {
                sent_ms.push(now_ms);
            }
        }
    }
    let settled = sent_ms.iter().filter(|at| **at >= SETTLED_MS).count();
    let settled = u32::try_from(settled).unwrap_or(u32::MAX);
    Figures {
        bound: limit_per_s * seconds(WINDOW_MS) + TOLERANCE,
        busiest: count_busiest(&sent_ms),
        used: f64::from(settled) / (limit_per_s * seconds(RUN_MS - SETTLED_MS)),
    }
}

fn count_busiest(sent_ms: &[u64]) -> u32 {
    let windows = sent_ms.iter().enumerate().map(|(index, start)| {
        let later = &sent_ms[index..];
        later.partition_point(|at| *at < start + WINDOW_MS)
    });
    u32::try_from(windows.max().unwrap_or(0)).unwrap_or(u32::MAX)
}

/// Returns a table of all situations and rules.
#[must_use]
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    for situation in SITUATIONS {
        for gateways in [1, 5, 25, 105, 370] {
            for limit_per_s in [0.5, 2.0, 10.0, 50.0] {
                for rule in RULES {
                    let figures = play(situation, rule, gateways, limit_per_s, seed);
                    text.push_str(&format!(
                        "{situation:?}, {gateways} gateways, {limit_per_s} a second, {rule:?}: {figures}\n"
                    ));
                }
            }
        }
    }
    text
}

#[allow(
    clippy::cast_precision_loss,
    reason = "times of a run are far below 2^52"
)]
fn seconds(millis: u64) -> f64 {
    millis as f64 / 1000.0
}
