//! Measurements of one run.

use crate::experiment::job;
use crate::experiment::scenario;
use crate::experiment::workload;

/// Largest time that the histograms record, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;
/// Time between the points of curves over time, in microseconds.
pub const POINT_INTERVAL_US: u64 = 5_000_000;

/// Collects measurements during a run.
#[derive(Debug)]
pub struct Recorder {
    overload_crashes: u64,
    gaps: hdrhistogram::Histogram<u64>,
    max_cold: usize,
    preemptions: u64,
    stall_us: u64,
    tokens_by_team: [f64; workload::TEAMS.len()],
    models: &'static [workload::Model],
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that an agent queued or started.
    pub accepted: u64,
    /// Streams lost because their engine died on its own.
    pub died: u64,
    /// Crashes of engines under overload.
    pub overload_crashes: u64,
    /// Streams lost in these crashes.
    pub lost_to_overload: u64,
    /// Jain's index of the teams' weighted shares.
    pub fairness: f64,
    /// 99th percentile of the time between tokens, in milliseconds.
    pub gap_p99_ms: f64,
    /// 99.9th percentile of the time between tokens, in milliseconds.
    pub gap_p999_ms: f64,
    /// Output tokens per second of answers completed in time.
    pub goodput: f64,
    /// Accepted, but not completed in time.
    pub late: u64,
    /// Largest number of concurrent streams that were submitted to one engine while cold.
    pub max_cold: u64,
    /// Offers to agents, retries included.
    pub offers: u64,
    /// Preemptions of streams by engines.
    pub preemptions: u64,
    /// Refused before an agent had queued or started it.
    pub refused: u64,
    /// Accepted, then given up before any token was delivered.
    pub shed: u64,
    /// Time from preemptions to the next token, summed over all streams, in seconds.
    pub stall_s: f64,
    /// Median time to the first token, in milliseconds.
    pub first_p50_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_p99_ms: f64,
    /// As `first_p99_ms`, for the teams of priority `URGENT`.
    pub urgent_p99_ms: f64,
    /// Completed in time.
    pub whole: u64,
    /// Requests completed in time, by time of arrival, one value per `POINT_INTERVAL_US`.
    pub whole_points: Vec<f64>,
    /// Counts for each model.
    pub by_model: Vec<ModelCounts>,
    /// Requests not completed in time, by time of arrival, one value per `POINT_INTERVAL_US`.
    pub lost_points: Vec<f64>,
}

impl Figures {
    /// Returns the share of accepted requests that were lost other than by an engine's own death.
    #[must_use]
    pub fn lost_share(&self) -> f64 {
        let lost = self.shed + self.late + self.lost_to_overload;
        lost as f64 / (self.accepted as f64).max(1.0)
    }
}

/// Outcomes of the requests for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct ModelCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Accepted, but not completed in time.
    pub late: u64,
    /// Refused before an agent had queued or started it.
    pub refused: u64,
    /// Accepted, then given up before any token was delivered.
    pub shed: u64,
    /// Completed in time.
    pub whole: u64,
}

impl Recorder {
    /// Returns a collector without measurements.
    #[must_use]
    pub fn new(models: &'static [workload::Model]) -> Recorder {
        Recorder {
            overload_crashes: 0,
            gaps: build_histogram(),
            max_cold: 0,
            preemptions: 0,
            stall_us: 0,
            tokens_by_team: [0.0; workload::TEAMS.len()],
            models,
        }
    }

    /// Records a token that is delivered to the caller.
    pub fn record_token(&mut self, now: u64, job: &mut job::Job, scenario: &scenario::Scenario) {
        let measured = scenario.is_measured(now);
        if measured {
            self.tokens_by_team[job.request.team] += 1.0;
        }
        if let Some(since) = job.preempted_at.take() {
            self.stall_us += if measured { now - since } else { 0 };
        }
        if job.first_token_at.is_none() {
            job.first_token_at = Some(now);
            if measured {
                self.tokens_by_team[job.request.team] += f64::from(job.request.prompt);
            }
        } else if measured {
            self.gaps.saturating_record(now - job.last_token_at);
        }
        job.last_token_at = now;
        job.delivered += 1;
    }

    /// Records a preemption.
    pub fn record_preemption(&mut self, now: u64, scenario: &scenario::Scenario) {
        self.preemptions += u64::from(scenario.is_measured(now));
    }

    /// Records the number of streams submitted to an engine while cold.
    pub fn record_cold_streams(&mut self, streams: usize) {
        self.max_cold = self.max_cold.max(streams);
    }

    /// Records a crash of an engine under overload.
    pub fn record_overload_crash(&mut self) {
        self.overload_crashes += 1;
    }

    /// Computes the figures at the end of a run.
    #[must_use]
    pub fn compute_figures(&self, jobs: &[job::Job], scenario: &scenario::Scenario) -> Figures {
        let mut figures = Figures {
            overload_crashes: self.overload_crashes,
            fairness: self.fairness(jobs, scenario),
            gap_p99_ms: self.gaps.value_at_quantile(0.99) as f64 / 1000.0,
            gap_p999_ms: self.gaps.value_at_quantile(0.999) as f64 / 1000.0,
            max_cold: self.max_cold as u64,
            preemptions: self.preemptions,
            stall_s: self.stall_us as f64 / 1e6,
            ..Figures::default()
        };
        let points = (scenario.traffic.arrivals_end / POINT_INTERVAL_US) as usize + 1;
        figures.whole_points = vec![0.0; points];
        figures.lost_points = vec![0.0; points];
        figures.by_model = vec![ModelCounts::default(); self.models.len()];
        let mut first_token_times = build_histogram();
        let mut urgent = build_histogram();
        let mut tokens = 0_u64;
        for job in jobs {
            count_by_arrival(&mut figures, job);
            if !scenario.is_measured(job.request.arrival) {
                continue;
            }
            count_outcome(&mut figures, job);
            if let Some(first) = job.first_token_at {
                first_token_times.saturating_record(first - job.request.arrival);
                if workload::TEAMS[job.request.team].priority == workload::URGENT {
                    urgent.saturating_record(first - job.request.arrival);
                }
            }
        }
        for job in jobs.iter().filter(|job| scenario.is_measured(job.ended_at)) {
            if job.outcome == Some(job::Outcome::Whole) {
                tokens += u64::from(job.request.output);
            }
        }
        let seconds = (scenario.traffic.arrivals_end - scenario.warm_up) as f64 / 1e6;
        figures.goodput = tokens as f64 / seconds;
        figures.first_p50_ms = first_token_times.value_at_quantile(0.5) as f64 / 1000.0;
        figures.urgent_p99_ms = urgent.value_at_quantile(0.99) as f64 / 1000.0;
        figures.first_p99_ms = first_token_times.value_at_quantile(0.99) as f64 / 1000.0;
        figures
    }

    /// Returns Jain's index over the ratios of each team's tokens to its weighted fair share.
    fn fairness(&self, jobs: &[job::Job], scenario: &scenario::Scenario) -> f64 {
        let mut demand = [0.0; workload::TEAMS.len()];
        for job in jobs
            .iter()
            .filter(|job| scenario.is_measured(job.request.arrival))
        {
            let output = job
                .request
                .output
                .min(self.models[job.request.model].max_tokens);
            demand[job.request.team] += f64::from(job.request.prompt + output);
        }
        let total = self.tokens_by_team.iter().sum();
        let fair = fair_shares(&demand, total);
        let shares = self
            .tokens_by_team
            .iter()
            .zip(&fair)
            .map(|(got, fair)| got / fair);
        jain_index(&shares.collect::<Vec<f64>>())
    }
}

/// Returns Jain's fairness index, which is 1 when all values are equal.
#[must_use]
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares)
}

/// Shares `total` among the teams by weighted max-min fairness: none gets more than its demand.
fn fair_shares(demand: &[f64], total: f64) -> Vec<f64> {
    let mut fair = vec![0.0; demand.len()];
    let mut unsatisfied: Vec<usize> = (0..demand.len()).collect();
    let mut remaining = total;
    loop {
        let weights: f64 = unsatisfied
            .iter()
            .map(|team| f64::from(workload::TEAMS[*team].weight))
            .sum();
        let share = |team: usize| remaining * f64::from(workload::TEAMS[team].weight) / weights;
        let satisfied: Vec<usize> = unsatisfied
            .iter()
            .copied()
            .filter(|n| demand[*n] <= share(*n))
            .collect();
        if satisfied.is_empty() || unsatisfied.is_empty() {
            unsatisfied
                .iter()
                .for_each(|team| fair[*team] = share(*team));
            return fair;
        }
        for team in satisfied {
            fair[team] = demand[team];
            remaining -= demand[team];
            unsatisfied.retain(|other| *other != team);
        }
    }
}

fn build_histogram() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are correct")
}

fn count_by_arrival(figures: &mut Figures, job: &job::Job) {
    let point = (job.request.arrival / POINT_INTERVAL_US) as usize;
    let points = match job.outcome {
        Some(job::Outcome::Whole) => &mut figures.whole_points,
        _ => &mut figures.lost_points,
    };
    if let Some(value) = points.get_mut(point) {
        *value += 1.0;
    }
}

fn count_outcome(figures: &mut Figures, job: &job::Job) {
    let counts = &mut figures.by_model[job.request.model];
    counts.arrived += 1;
    match job.outcome {
        Some(job::Outcome::Whole) => counts.whole += 1,
        Some(job::Outcome::Refused) => counts.refused += 1,
        Some(job::Outcome::Shed) => counts.shed += 1,
        _ => counts.late += 1,
    }
    figures.arrived += 1;
    figures.offers += u64::from(job.attempts);
    figures.accepted += u64::from(job.accepted);
    match job.outcome {
        Some(job::Outcome::Died) => figures.died += 1,
        Some(job::Outcome::Overloaded) => figures.lost_to_overload += 1,
        Some(job::Outcome::Late) | None => figures.late += 1,
        Some(job::Outcome::Refused) => figures.refused += 1,
        Some(job::Outcome::Shed) => figures.shed += 1,
        Some(job::Outcome::Whole) => figures.whole += 1,
    }
}
