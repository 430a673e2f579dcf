//! Targets for the traffic decisions, checked against measured tables.

use crate::experiment::engine;
use crate::experiment::policy;
use crate::experiment::suite;

/// Preemptions relative to the least-requests policy, at most.
pub const MAX_PREEMPTIONS: f64 = 0.1;
/// Stall time relative to the least-requests policy, at most.
pub const MAX_STALL: f64 = 0.2;
/// 99th percentile of the time between tokens relative to lightly loaded engines, at most.
pub const MAX_GAP: f64 = 1.3;
/// Goodput relative to the oracle, at least.
pub const MIN_GOODPUT: f64 = 0.95;
/// Share of accepted requests lost other than by an engine's death, at most.
pub const MAX_LOST: f64 = 0.01;
/// Jain's index of the teams' weighted shares, at least.
pub const MIN_FAIRNESS: f64 = 0.95;

/// A target with the measured value.
#[derive(Clone, Debug)]
pub struct TargetResult {
    /// Bound.
    pub bound: f64,
    /// Whether the target is met.
    pub met: bool,
    /// Measured value.
    pub value: f64,
    /// Description of the bounded value.
    pub what: &'static str,
}

fn at_most(what: &'static str, value: f64, bound: f64) -> TargetResult {
    TargetResult {
        bound,
        met: value <= bound,
        value,
        what,
    }
}

fn at_least(what: &'static str, value: f64, bound: f64) -> TargetResult {
    TargetResult {
        bound,
        met: value >= bound,
        value,
        what,
    }
}

/// Checks the targets that apply to every scenario.
#[must_use]
pub fn evaluate_common(table: &suite::Table) -> Vec<TargetResult> {
    let Some(row) = table.rows.iter().find(|row| row.policy == policy::PEARGAP) else {
        return Vec::new();
    };
    let limit = engine::COLD_LIMIT as f64;
    vec![
        at_most(
            "accepted lost, worst seed",
            row.max(|f| f.lost_share()),
            MAX_LOST,
        ),
        at_most(
            "streams on a cold engine",
            row.max(|f| f.max_cold as f64),
            limit,
        ),
        at_most(
            "engines that fell over",
            row.max(|f| f.overload_crashes as f64),
            0.0,
        ),
    ]
}

/// Checks the targets for a load at which the least-requests policy preempts steadily.
#[must_use]
pub fn evaluate_crowded(table: &suite::Table) -> Vec<TargetResult> {
    let ratio = |over: &policy::Policy, figure| {
        let own = table.mean(&policy::PEARGAP, figure).unwrap_or(f64::NAN);
        own / table.mean(over, figure).unwrap_or(f64::NAN)
    };
    let preemptions = ratio(&policy::LEAST_REQUESTS, |f| f.preemptions as f64);
    let stall = ratio(&policy::LEAST_REQUESTS, |f| f.stall_s);
    let gap = table
        .mean(&policy::PEARGAP, |f| f.gap_p99_ms)
        .unwrap_or(f64::NAN);
    let goodput = ratio(&policy::ORACLE, |f| f.goodput);
    vec![
        at_most("preemptions / least requests", preemptions, MAX_PREEMPTIONS),
        at_most("stall time / least requests", stall, MAX_STALL),
        at_most(
            "p99 between tokens / uncrowded",
            gap / table.uncrowded_ms,
            MAX_GAP,
        ),
        at_least("goodput / oracle", goodput, MIN_GOODPUT),
    ]
}

/// Checks the target for an overload.
#[must_use]
pub fn evaluate_overload(table: &suite::Table) -> Vec<TargetResult> {
    let Some(row) = table.rows.iter().find(|row| row.policy == policy::PEARGAP) else {
        return Vec::new();
    };
    let worst = row.figures.iter().map(|f| f.fairness).fold(1.0, f64::min);
    vec![at_least("Jain's index, worst seed", worst, MIN_FAIRNESS)]
}

/// Checks all targets that apply to the table's scenario.
#[must_use]
pub fn evaluate_table(table: &suite::Table) -> Vec<TargetResult> {
    let mut results = evaluate_common(table);
    let name = table.scenario.name;
    if name.ends_with("steady") || name.ends_with("saturday") {
        results.extend(evaluate_crowded(table));
    }
    if name.ends_with("overload") {
        results.extend(evaluate_overload(table));
    }
    results
}
