//! Judges the target of a rollout by the answers that all gateways have counted.

use std::collections;

use crate::rollout::counts;
use crate::rollout::sequential;

/// Half octaves by which a time is above the median of the other versions, to count as slow.
const SLOW_BUCKETS: usize = 2;
/// Largest part of the other versions' times that may count as slow.
const MAX_SLOW_PART: f64 = 0.25;
/// Times of the other versions from which on slow ones are told from others.
const MIN_TIMES: u64 = 20;
/// Bad answers of the target from which on they are told apart by gateway.
const MIN_CONFINED: u64 = 5;
/// Gateways from which on bad answers at one of them alone are not the target's.
const MIN_GATEWAYS: usize = 3;

/// Name of all routes together in a finding.
const ALL_ROUTES: &str = "all";

/// What is compared.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Aspect {
    /// Whether requests fail.
    Failures,
    /// Time to the first event of a stream.
    FirstEvent,
    /// Longest pause of a stream.
    Pause,
    /// Any of these times.
    SlowAnswers,
    /// Whole time of a plain call.
    WholeTime,
}

/// Why the target counts as worse.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What is worse.
    pub aspect: Aspect,
    /// Evidence, in natural logarithms beyond that of the number of answers.
    pub evidence: f64,
    /// Rate of bad answers assumed of the other versions.
    pub rate: f64,
    /// Route on which it is worse.
    pub route: String,
}

/// What the answers say of the target.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is no worse than the other versions.
    NoWorse,
    /// There are too few answers.
    Unknown,
    /// It is worse.
    Worse(Finding),
}

/// Answers of both versions in one comparison.
#[derive(Clone, Copy, Debug, Default)]
struct Compared {
    others: sequential::Tally,
    target: sequential::Tally,
}

/// Comparisons of all routes together, which need fewer answers.
#[derive(Clone, Copy, Debug, Default)]
struct Pool {
    failures: sequential::Test,
    slow: sequential::Test,
}

#[derive(Clone, Copy, Debug, Default)]
struct Route {
    /// Answers not compared yet, as there were too few to tell which times are slow.
    early: counts::Pair,
    /// All answers of the other versions, for what counts as slow.
    others: counts::Answers,
    failures: sequential::Test,
    first: sequential::Test,
    pause: sequential::Test,
    whole: sequential::Test,
}

/// Last counts of one gateway.
#[derive(Clone, Debug, Default)]
struct Gateway {
    counts: counts::Counts,
    /// Bad answers of the target at this gateway.
    bad: u64,
    /// Answers of the target at this gateway.
    total: u64,
}

/// Judges one rollout.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    gateways: collections::HashMap<String, Gateway>,
    pool: Pool,
    routes: collections::BTreeMap<String, Route>,
}

impl Judge {
    /// Adds the complete counts of some gateways, which may have grown since the last call.
    pub fn observe<'a>(
        &mut self,
        reports: impl IntoIterator<Item = (&'a str, &'a counts::Counts)>,
    ) {
        let mut changes = collections::BTreeMap::<String, counts::Pair>::new();
        for (gateway, counts) in reports {
            let known = self.gateways.entry(gateway.to_owned()).or_default();
            if known.counts == *counts {
                continue;
            }
            for (route, pair) in &counts.routes {
                let former = known.counts.routes.get(route).copied().unwrap_or_default();
                let change = counts::Pair {
                    others: pair.others.since(&former.others),
                    target: pair.target.since(&former.target),
                };
                let judged = self.routes.get(route).copied().unwrap_or_default();
                known.bad += judged.count_bad(&change.target);
                known.total += u64::from(change.target.answered + change.target.failed);
                let sum = changes.entry(route.clone()).or_default();
                sum.others.add(&change.others);
                sum.target.add(&change.target);
            }
            known.counts.clone_from(counts);
        }
        let (mut failures, mut slow) = (Compared::default(), Compared::default());
        for (route, change) in changes {
            let route = self.routes.entry(route).or_default();
            failures.add(route.observe_failures(&change));
            slow.add(route.observe_times(&change));
        }
        self.pool.failures.observe(failures.others, failures.target);
        self.pool.slow.observe(slow.others, slow.target);
    }

    /// Returns what the answers so far say.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if let Some(finding) = self.find_worst() {
            return match self.is_confined() {
                true => Verdict::Unknown,
                false => Verdict::Worse(finding),
            };
        }
        match self.pool.failures.verdict() == sequential::Verdict::NoWorse {
            true => Verdict::NoWorse,
            false => Verdict::Unknown,
        }
    }

    /// Returns the evidence that the target is worse, in natural logarithms beyond that of the number of
    /// answers.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        self.tests()
            .map(|(_name, _aspect, test)| test.evidence())
            .fold(0.0, f64::max)
    }

    /// Returns the number of answers of the target.
    #[must_use]
    pub fn count_answers(&self) -> u64 {
        self.gateways.values().map(|gateway| gateway.total).sum()
    }

    /// Returns the number of answers of all versions.
    #[must_use]
    pub fn count_all_answers(&self) -> u64 {
        let pairs = self
            .gateways
            .values()
            .flat_map(|gateway| gateway.counts.routes.values());
        let answers = pairs.flat_map(|pair| [&pair.others, &pair.target]);
        answers
            .map(|answers| u64::from(answers.answered) + u64::from(answers.failed))
            .sum()
    }

    /// Returns the number of requests that still run on other versions.
    #[must_use]
    pub fn count_running_elsewhere(&self) -> u64 {
        let running = self.gateways.values();
        let running = running.map(|gateway| gateway.counts.running_elsewhere);
        running.map(u64::from).sum()
    }

    /// Returns a time within which nearly all plain calls of the other versions end, in milliseconds;
    /// 0 if there were none.
    #[must_use]
    pub fn longest_ms(&self) -> u64 {
        let quantiles = self
            .routes
            .values()
            .filter_map(|route| route.others.whole.quantile(0.99));
        quantiles.max().map_or(0, counts::Times::end_ms)
    }

    /// Returns whether the other versions have streams, whose whole time is not counted.
    #[must_use]
    pub fn has_streams(&self) -> bool {
        let mut routes = self.routes.values();
        routes.any(|route| route.others.first.total() > 0)
    }

    fn tests(&self) -> impl Iterator<Item = (&str, Aspect, &sequential::Test)> {
        let by_route = self.routes.iter().flat_map(|(name, route)| {
            let tests = route.tests().into_iter();
            tests.map(move |(aspect, test)| (name.as_str(), aspect, test))
        });
        let pooled = [
            (ALL_ROUTES, Aspect::Failures, &self.pool.failures),
            (ALL_ROUTES, Aspect::SlowAnswers, &self.pool.slow),
        ];
        by_route.chain(pooled)
    }

    fn find_worst(&self) -> Option<Finding> {
        let worse = self
            .tests()
            .filter(|(_name, _aspect, test)| test.verdict() == sequential::Verdict::Worse);
        let findings = worse.map(|(name, aspect, test)| Finding {
            aspect,
            evidence: test.evidence(),
            rate: test.rate,
            route: name.to_owned(),
        });
        findings.max_by(|one, other| one.evidence.total_cmp(&other.evidence))
    }

    /// Returns whether nearly all bad answers were at one gateway of several, whose own links or load
    /// may be the cause.
    fn is_confined(&self) -> bool {
        let active = self
            .gateways
            .values()
            .filter(|gateway| gateway.total >= MIN_CONFINED);
        let worst = active
            .clone()
            .map(|gateway| gateway.bad)
            .max()
            .unwrap_or_default();
        let bad: u64 = self.gateways.values().map(|gateway| gateway.bad).sum();
        active.count() >= MIN_GATEWAYS && bad >= MIN_CONFINED && worst * 10 >= bad * 9
    }
}

impl Compared {
    fn add(&mut self, other: Compared) {
        self.others = self.others.plus(other.others);
        self.target = self.target.plus(other.target);
    }
}

impl Route {
    fn tests(&self) -> [(Aspect, &sequential::Test); 4] {
        [
            (Aspect::Failures, &self.failures),
            (Aspect::FirstEvent, &self.first),
            (Aspect::Pause, &self.pause),
            (Aspect::WholeTime, &self.whole),
        ]
    }

    fn observe_failures(&mut self, change: &counts::Pair) -> Compared {
        let compared = Compared {
            others: tally_failures(&change.others),
            target: tally_failures(&change.target),
        };
        self.failures.observe(compared.others, compared.target);
        compared
    }

    /// Compares the times; returns those that were compared, of all kinds.
    fn observe_times(&mut self, change: &counts::Pair) -> Compared {
        self.others.add(&change.others);
        self.early.others.add(&change.others);
        self.early.target.add(&change.target);
        let (all, early) = (&self.others, &mut self.early);
        let (others, target) = (&mut early.others, &mut early.target);
        let tests = [
            (
                &mut self.first,
                &all.first,
                &mut others.first,
                &mut target.first,
            ),
            (
                &mut self.pause,
                &all.pause,
                &mut others.pause,
                &mut target.pause,
            ),
            (
                &mut self.whole,
                &all.whole,
                &mut others.whole,
                &mut target.whole,
            ),
        ];
        let mut sum = Compared::default();
        for (test, all, others, target) in tests {
            let Some(slow) = find_slow(all) else {
                continue;
            };
            let compared = Compared {
                others: tally_slow(&core::mem::take(others), slow),
                target: tally_slow(&core::mem::take(target), slow),
            };
            test.observe(compared.others, compared.target);
            sum.add(compared);
        }
        sum
    }

    /// Returns the number of bad answers among these.
    fn count_bad(&self, answers: &counts::Answers) -> u64 {
        let slow = |all: &counts::Times, times: &counts::Times| {
            find_slow(all).map_or(0, |slow| times.count_from(slow))
        };
        u64::from(answers.failed)
            + slow(&self.others.first, &answers.first)
            + slow(&self.others.pause, &answers.pause)
            + slow(&self.others.whole, &answers.whole)
    }
}

/// Returns the bucket from which on a time is slow; `None` while there are too few times.
fn find_slow(all: &counts::Times) -> Option<usize> {
    if all.total() < MIN_TIMES {
        return None;
    }
    let median = all.quantile(0.5)?;
    let most = all.quantile(1.0 - MAX_SLOW_PART)?;
    Some((median + SLOW_BUCKETS).max(most + 1))
}

fn tally_failures(answers: &counts::Answers) -> sequential::Tally {
    sequential::Tally {
        bad: u64::from(answers.failed),
        total: u64::from(answers.answered) + u64::from(answers.failed),
    }
}

fn tally_slow(times: &counts::Times, slow: usize) -> sequential::Tally {
    sequential::Tally {
        bad: times.count_from(slow),
        total: times.total(),
    }
}
