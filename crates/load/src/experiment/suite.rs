//! Runs a scenario with several policies and seeds in parallel.

use std::sync;
use std::sync::atomic;
use std::thread;

use crate::experiment::measure;
use crate::experiment::policy;
use crate::experiment::scenario;
use crate::experiment::simulation;

/// Worker threads, at most.
const MAX_THREADS: usize = 6;

/// The figures of one policy in one scenario.
#[derive(Clone, Debug)]
pub struct Row {
    /// Figures of each run, in the order of the seeds.
    pub figures: Vec<measure::Figures>,
    /// Policy.
    pub policy: policy::Policy,
}

/// The figures of several policies in one scenario.
#[derive(Clone, Debug)]
pub struct Table {
    /// One row per policy.
    pub rows: Vec<Row>,
    /// Scenario.
    pub scenario: scenario::Scenario,
    /// 99th percentile of the time between tokens on lightly loaded engines, in milliseconds.
    pub uncrowded_ms: f64,
}

impl Table {
    /// Returns the mean of a figure over the seeds, or `None` if the policy is not in the table.
    #[must_use]
    pub fn mean(
        &self,
        policy: &policy::Policy,
        figure: fn(&measure::Figures) -> f64,
    ) -> Option<f64> {
        let row = self.rows.iter().find(|row| row.policy == *policy)?;
        Some(row.mean(figure))
    }
}

impl Row {
    /// Returns the mean of a figure over the seeds.
    #[must_use]
    pub fn mean(&self, figure: fn(&measure::Figures) -> f64) -> f64 {
        let sum: f64 = self.figures.iter().map(figure).sum();
        sum / self.figures.len() as f64
    }

    /// Returns the maximum of a figure over the seeds.
    #[must_use]
    pub fn max(&self, figure: fn(&measure::Figures) -> f64) -> f64 {
        self.figures.iter().map(figure).fold(0.0, f64::max)
    }
}

/// Runs each policy with seeds 1 to `seeds`.
#[must_use]
pub fn run_scenario(
    scenario: &scenario::Scenario,
    policies: &[policy::Policy],
    seeds: u64,
) -> Table {
    let runs = policies
        .iter()
        .flat_map(|policy| (1..=seeds).map(move |seed| (*policy, seed)));
    let runs: Vec<(policy::Policy, u64)> = runs.collect();
    let next = atomic::AtomicUsize::new(0);
    let results = sync::Mutex::new(vec![None; runs.len()]);
    thread::scope(|scope| {
        for _ in 0..MAX_THREADS.min(runs.len()) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, atomic::Ordering::Relaxed);
                let Some((policy, seed)) = runs.get(index) else {
                    return;
                };
                let figures = simulation::run_policy(scenario, policy, *seed);
                results.lock().expect("no run panics")[index] = Some(figures);
            });
        }
    });
    let mut figures = results
        .into_inner()
        .expect("no run panics")
        .into_iter()
        .flatten();
    let mut rows = Vec::new();
    for policy in policies {
        let figures = figures.by_ref().take(seeds as usize).collect();
        rows.push(Row {
            figures,
            policy: *policy,
        });
    }
    let uncrowded = simulation::run_policy(&scenario.uncrowded(), &policy::LEAST_REQUESTS, 1);
    let uncrowded_ms = uncrowded.gap_p99_ms;
    Table {
        rows,
        scenario: scenario.clone(),
        uncrowded_ms,
    }
}
