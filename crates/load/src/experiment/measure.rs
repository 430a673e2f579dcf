//! What is measured in one run.

use crate::experiment::job;
use crate::experiment::scenario;
use crate::experiment::workload;

/// Longest gap that the histogram tells apart, in microseconds.
const MAX_GAP_US: u64 = 600_000_000;
/// Width of a point of a curve over time, in microseconds.
pub const POINT_US: u64 = 5_000_000;

/// Collects while a run goes on.
#[derive(Debug)]
pub struct Measure {
    falls: u64,
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
    /// Requests that an agent took.
    pub accepted: u64,
    /// Streams that died with their engine.
    pub died: u64,
    /// Engines that fell over under more than they could carry.
    pub falls: u64,
    /// Streams lost to that.
    pub fell_over: u64,
    /// Jain's index of the teams' weighted shares.
    pub fairness: f64,
    /// Time between tokens that 99 % and 99.9 % stay below, in milliseconds.
    pub gap_p99_ms: f64,
    /// See `gap_p99_ms`.
    pub gap_p999_ms: f64,
    /// Output tokens a second of answers that were whole in time.
    pub goodput: f64,
    /// Accepted but not whole in time.
    pub late: u64,
    /// Most streams on a cold engine at once.
    pub max_cold: u64,
    /// Offers to agents and engines.
    pub offers: u64,
    /// Streams that lost their memory.
    pub preemptions: u64,
    /// Refused when offered.
    pub refused: u64,
    /// Refused from the queue.
    pub shed: u64,
    /// Time that streams lacked memory, in seconds.
    pub stall_s: f64,
    /// Time to the first token that 50 % and 99 % stay below, in milliseconds.
    pub first_p50_ms: f64,
    /// See `first_p50_ms`.
    pub first_p99_ms: f64,
    /// As `first_p99_ms`, of urgent requests.
    pub urgent_p99_ms: f64,
    /// Whole and in time.
    pub whole: u64,
    /// Whole answers by time of arrival, in points of `POINT_US`.
    pub whole_points: Vec<f64>,
    /// By model.
    pub tallies: Vec<Tally>,
    /// Preemptions and other losses by time of arrival.
    pub lost_points: Vec<f64>,
}

impl Figures {
    /// Returns the share of accepted requests lost to anything but an engine's own death.
    #[must_use]
    pub fn lost_share(&self) -> f64 {
        let lost = self.shed + self.late + self.fell_over;
        lost as f64 / (self.accepted as f64).max(1.0)
    }
}

/// What became of one model's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests that arrived.
    pub arrived: u64,
    /// Accepted but not whole in time.
    pub late: u64,
    /// Refused when offered.
    pub refused: u64,
    /// Refused from the queue.
    pub shed: u64,
    /// Whole and in time.
    pub whole: u64,
}

impl Measure {
    /// Returns an empty measure.
    #[must_use]
    pub fn new(models: &'static [workload::Model]) -> Measure {
        Measure {
            falls: 0,
            gaps: histogram(),
            max_cold: 0,
            preemptions: 0,
            stall_us: 0,
            tokens_by_team: [0.0; workload::TEAMS.len()],
            models,
        }
    }

    /// Notes a token that reaches its caller.
    pub fn token(&mut self, now: u64, job: &mut job::Job, scenario: &scenario::Scenario) {
        let measured = scenario.measures(now);
        if measured {
            self.tokens_by_team[job.request.team] += 1.0;
        }
        if let Some(since) = job.preempted_at.take() {
            self.stall_us += if measured { now - since } else { 0 };
        }
        if job.first_at.is_none() {
            job.first_at = Some(now);
            if measured {
                self.tokens_by_team[job.request.team] += f64::from(job.request.prompt);
            }
        } else if measured {
            self.gaps.saturating_record(now - job.last_at);
        }
        job.last_at = now;
        job.delivered += 1;
    }

    /// Notes a preemption.
    pub fn preempted(&mut self, now: u64, scenario: &scenario::Scenario) {
        self.preemptions += u64::from(scenario.measures(now));
    }

    /// Notes the streams on a cold engine.
    pub fn cold(&mut self, streams: usize) {
        self.max_cold = self.max_cold.max(streams);
    }

    /// Notes that an engine fell over.
    pub fn fell_over(&mut self) {
        self.falls += 1;
    }

    /// Works out the figures at the end of a run.
    #[must_use]
    pub fn conclude(&self, jobs: &[job::Job], scenario: &scenario::Scenario) -> Figures {
        let mut figures = Figures {
            falls: self.falls,
            fairness: self.fairness(jobs, scenario),
            gap_p99_ms: self.gaps.value_at_quantile(0.99) as f64 / 1000.0,
            gap_p999_ms: self.gaps.value_at_quantile(0.999) as f64 / 1000.0,
            max_cold: self.max_cold as u64,
            preemptions: self.preemptions,
            stall_s: self.stall_us as f64 / 1e6,
            ..Figures::default()
        };
        let points = (scenario.traffic.until / POINT_US) as usize + 1;
        figures.whole_points = vec![0.0; points];
        figures.lost_points = vec![0.0; points];
        figures.tallies = vec![Tally::default(); self.models.len()];
        let mut firsts = histogram();
        let mut urgent = histogram();
        let mut tokens = 0_u64;
        for job in jobs {
            add_point(&mut figures, job);
            if !scenario.measures(job.request.at) {
                continue;
            }
            count(&mut figures, job);
            if let Some(first) = job.first_at {
                firsts.saturating_record(first - job.request.at);
                if workload::TEAMS[job.request.team].priority == workload::URGENT {
                    urgent.saturating_record(first - job.request.at);
                }
            }
        }
        for job in jobs.iter().filter(|job| scenario.measures(job.ended_at)) {
            if job.outcome == Some(job::Outcome::Whole) {
                tokens += u64::from(job.request.output);
            }
        }
        let seconds = (scenario.traffic.until - scenario.warm_up) as f64 / 1e6;
        figures.goodput = tokens as f64 / seconds;
        figures.first_p50_ms = firsts.value_at_quantile(0.5) as f64 / 1000.0;
        figures.urgent_p99_ms = urgent.value_at_quantile(0.99) as f64 / 1000.0;
        figures.first_p99_ms = firsts.value_at_quantile(0.99) as f64 / 1000.0;
        figures
    }

    /// Returns Jain's index of what each team got against its weighted fair share.
    fn fairness(&self, jobs: &[job::Job], scenario: &scenario::Scenario) -> f64 {
        let mut demand = [0.0; workload::TEAMS.len()];
        for job in jobs.iter().filter(|job| scenario.measures(job.request.at)) {
            let output = job
                .request
                .output
                .min(self.models[job.request.model].max_tokens);
            demand[job.request.team] += f64::from(job.request.prompt + output);
        }
        let total = self.tokens_by_team.iter().sum();
        let fair = share_fairly(&demand, total);
        let shares = self
            .tokens_by_team
            .iter()
            .zip(&fair)
            .map(|(got, fair)| got / fair);
        jain(&shares.collect::<Vec<f64>>())
    }
}

/// Returns Jain's index of fairness, 1 when all are equal.
#[must_use]
pub fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    sum * sum / (values.len() as f64 * squares)
}

/// Shares `total` by weight; no team gets more than it asked for.
fn share_fairly(demand: &[f64], total: f64) -> Vec<f64> {
    let mut fair = vec![0.0; demand.len()];
    let mut open: Vec<usize> = (0..demand.len()).collect();
    let mut left = total;
    loop {
        let weights: f64 = open
            .iter()
            .map(|team| f64::from(workload::TEAMS[*team].weight))
            .sum();
        let share = |team: usize| left * f64::from(workload::TEAMS[team].weight) / weights;
        let full: Vec<usize> = open
            .iter()
            .copied()
            .filter(|n| demand[*n] <= share(*n))
            .collect();
        if full.is_empty() || open.is_empty() {
            open.iter().for_each(|team| fair[*team] = share(*team));
            return fair;
        }
        for team in full {
            fair[team] = demand[team];
            left -= demand[team];
            open.retain(|other| *other != team);
        }
    }
}

fn histogram() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, MAX_GAP_US, 3).expect("the bounds are correct")
}

fn add_point(figures: &mut Figures, job: &job::Job) {
    let point = (job.request.at / POINT_US) as usize;
    let points = match job.outcome {
        Some(job::Outcome::Whole) => &mut figures.whole_points,
        _ => &mut figures.lost_points,
    };
    if let Some(value) = points.get_mut(point) {
        *value += 1.0;
    }
}

fn count(figures: &mut Figures, job: &job::Job) {
    let tally = &mut figures.tallies[job.request.model];
    tally.arrived += 1;
    match job.outcome {
        Some(job::Outcome::Whole) => tally.whole += 1,
        Some(job::Outcome::Refused) => tally.refused += 1,
        Some(job::Outcome::Shed) => tally.shed += 1,
        _ => tally.late += 1,
    }
    figures.arrived += 1;
    figures.offers += u64::from(job.attempts);
    figures.accepted += u64::from(job.accepted);
    match job.outcome {
        Some(job::Outcome::Died) => figures.died += 1,
        Some(job::Outcome::FellOver) => figures.fell_over += 1,
        Some(job::Outcome::Late) | None => figures.late += 1,
        Some(job::Outcome::Refused) => figures.refused += 1,
        Some(job::Outcome::Shed) => figures.shed += 1,
        Some(job::Outcome::Whole) => figures.whole += 1,
    }
}
