//! A sequential test of whether a rate of bad answers is higher than another one.
//!
//! It is Wald's probability ratio test on the answers of the target, against the rate of the other
//! versions at the same time, as a cumulative sum (Page): evidence for a version that was good does
//! not hide that it has become bad.

use crate::rollout::counts;

/// Increases of the rate of bad answers that the test looks for.
const INCREASES: [f64; 4] = [0.1, 0.2, 0.35, 0.6];
/// Bound of the cumulative sum from which the target counts as worse, in natural logarithms, beyond
/// that of the number of answers. A sum of `n` answers at the rate of the others passes the bound `h`
/// in about n / e^h of all cases: here in under one of 1,000 for up to e^20 answers.
const WORSE_BOUND: f64 = 10.0;
/// Bound from which the target counts as no worse by the least increase: it is so wrongly at most
/// once in e^4.6 (100) times.
const NO_WORSE_BOUND: f64 = 4.6;
/// Answers of the other versions from which on the target is compared with them.
const MIN_BASELINE: f64 = 10.0;
/// Answers of the other versions that the comparison looks back on.
const MAX_BASELINE: f64 = 2_000.0;
/// Answers of the other versions that show whether these fail more often at present.
const MAX_RECENT: f64 = 200.0;
/// Least rate that is assumed of the other versions.
const MIN_RATE: f64 = 0.02;
/// Highest rate of the other versions at which the test still tells anything.
const MAX_RATE: f64 = 0.9;
/// Standard deviations by which the rate of the other versions is assumed higher than counted.
const MARGIN_DEVIATIONS: f64 = 1.5;

/// Bad answers among some.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Bad ones.
    pub bad: u64,
    /// All.
    pub total: u64,
}

impl Tally {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Tally) -> Tally {
        Tally {
            bad: self.bad + other.bad,
            total: self.total + other.total,
        }
    }
}

/// What the test says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rate is not higher by the least increase.
    NoWorse,
    /// There are too few answers.
    Unknown,
    /// The rate is higher.
    Worse,
}

/// State of a test.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Test {
    /// Answers of the target.
    answers: u64,
    baseline: Baseline,
    recent: Baseline,
    /// Answers of the target that came before enough ones of the other versions.
    early: Tally,
    for_worse: [f64; INCREASES.len()],
    for_no_worse: f64,
    /// Last rate of bad answers that was assumed of the other versions.
    pub rate: f64,
}

impl Test {
    /// Adds answers of the other versions and of the target that were given at the same time.
    pub fn observe(&mut self, others: Tally, target: Tally) {
        self.baseline.add(others, MAX_BASELINE);
        self.recent.add(others, MAX_RECENT);
        let target = self.early.plus(target);
        if target.total == 0 || self.baseline.total < MIN_BASELINE {
            self.early = target;
            return;
        }
        self.early = Tally::default();
        self.answers += target.total;
        self.rate = self.assume_rate();
        if self.rate > MAX_RATE {
            return;
        }
        let bad = counts::to_float(target.bad);
        let good = counts::to_float(target.total.saturating_sub(target.bad));
        let ratio = |increase: f64| {
            let raised = (self.rate + increase).min(0.98);
            bad * (raised / self.rate).ln() + good * ((1.0 - raised) / (1.0 - self.rate)).ln()
        };
        let ratios = INCREASES.map(ratio);
        for (sum, ratio) in self.for_worse.iter_mut().zip(ratios) {
            *sum = (*sum + ratio).max(0.0);
        }
        self.for_no_worse = (self.for_no_worse - ratios[0]).clamp(0.0, NO_WORSE_BOUND * 2.0);
    }

    /// Returns what the answers so far say.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if self.evidence() >= WORSE_BOUND {
            return Verdict::Worse;
        }
        match self.for_no_worse >= NO_WORSE_BOUND {
            true => Verdict::NoWorse,
            false => Verdict::Unknown,
        }
    }

    /// Returns the evidence that the target is worse, in natural logarithms beyond that of the number
    /// of answers.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        let most = self.for_worse.iter().copied().fold(0.0, f64::max);
        most - counts::to_float(self.answers.max(1)).ln()
    }

    /// Returns the rate of the other versions, with a margin for chance.
    fn assume_rate(&self) -> f64 {
        let rate = self.baseline.rate();
        let deviation = (rate * (1.0 - rate) / (self.baseline.total + 1.0)).sqrt();
        let assumed = rate + MARGIN_DEVIATIONS * deviation;
        assumed.max(self.recent.rate()).clamp(MIN_RATE, 1.0)
    }
}

/// The last answers of the other versions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Baseline {
    bad: f64,
    total: f64,
}

impl Baseline {
    /// Adds answers; the weight of former ones falls so that about `limit` count.
    fn add(&mut self, others: Tally, limit: f64) {
        let added = counts::to_float(others.total);
        let kept = (1.0 - added / limit).max(0.0);
        self.bad = self.bad * kept + counts::to_float(others.bad);
        self.total = self.total * kept + added;
    }

    fn rate(&self) -> f64 {
        (self.bad + 0.5) / (self.total + 1.0)
    }
}
