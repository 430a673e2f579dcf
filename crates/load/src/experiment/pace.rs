//! Experiment: gateways in front of engines that differ in speed.
//!
//! It compares ways to choose an engine: by the paces that the gateways learn from answers, by load
//! alone, and by the speeds themselves, which no gateway knows.

use core::fmt;

use peargap_core::balance;
use peargap_core::pace;
use peargap_core::pace_table;
use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::numbers;
use crate::experiment::paced_engine;

/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Time after which gateways know the load of others, and host and gateways each other's reports.
const LAG_MS: u64 = 100;
/// Time between two reports of observations.
const REPORT_MS: u64 = 250;
const RUN_MS: u64 = 45_000;
/// Time from which on requests are counted, in milliseconds.
const SETTLED_MS: u64 = 5_000;
/// Time until which requests are counted: those that are sent then end during the run.
const COUNTED_MS: u64 = 20_000;
const COUNTED: core::ops::Range<u64> = SETTLED_MS..COUNTED_MS;
/// Requests a second for an engine.
const REQUESTS_PER_ENGINE_S: f64 = 1.03;
/// Part of the requests that have many events.
const LONG_PART: f64 = 0.47;
/// Factors of the times of engines, each as frequent as the others.
const SPEEDS: [f64; 3] = [1.0, 1.65, 2.65];
/// Time after which a sixth of the engines is replaced.
const REPLACE_MS: u64 = 3_300;
const REPLACED_PART: usize = 6;
/// Part of the answers whose times say nothing.
const LIES_PART: f64 = 0.05;

/// What happens to the engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Situation {
    /// All are equally fast.
    Alike,
    /// A sixth of them is replaced by new ones again and again.
    Churn,
    /// Some answers take absurd times, either way.
    Lies,
    /// Each is slower for a short while now and then.
    Spells,
    /// They differ and remain.
    Steady,
}

/// All situations.
pub const SITUATIONS: [Situation; 5] = [
    Situation::Alike,
    Situation::Steady,
    Situation::Churn,
    Situation::Spells,
    Situation::Lies,
];

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The one with the fewest requests.
    LeastOutstanding,
    /// By load, as if all were equally fast.
    Load,
    /// By load and speed, which is known.
    Oracle,
    /// By load and learned pace.
    Pace,
}

/// All rules.
pub const RULES: [Rule; 4] = [Rule::LeastOutstanding, Rule::Load, Rule::Pace, Rule::Oracle];

/// Result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Part of the requests whose first event and pauses were in time.
    pub in_time: f64,
    /// The same for those with many events.
    pub long_in_time: f64,
    /// Middle wait for the first event, in milliseconds.
    pub wait_ms: f64,
    /// Middle wait at the slowest tenth of the engines for that at the fastest.
    pub spread: f64,
    /// News of paces a second that a control host tells each gateway.
    pub news_per_s: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "in time {:.3}, long {:.3}, middle wait {:.0} ms, slowest tenth {:.1} times the fastest, \
             {:.0} news a second",
            self.in_time, self.long_in_time, self.wait_ms, self.spread, self.news_per_s
        )
    }
}

/// A request that a gateway has placed and whose load the others do not know yet.
#[derive(Clone, Copy, Debug)]
struct Recent {
    at_ms: u64,
    engine: usize,
    gateway: usize,
    load: balance::Load,
}

struct Play {
    engines: Vec<paced_engine::Engine>,
    /// Observations on their way to the host, by engine.
    observed: Vec<pace::Samples>,
    paces: Vec<pace::Pace>,
    random: SmallRng,
    recent: Vec<Recent>,
    rule: Rule,
    situation: Situation,
    /// Loads of the engines at the last steps, oldest first.
    snapshots: std::collections::VecDeque<Vec<balance::Load>>,
    table: pace_table::Table,
    told_change: u64,
    told: u64,
}

impl Play {
    fn new(engines: usize, rule: Rule, situation: Situation, seed: u64) -> Play {
        let mut random = SmallRng::seed_from_u64(seed);
        let speeds: Vec<f64> = (0..engines)
            .map(|_engine| draw_speed(situation, &mut random))
            .collect();
        Play {
            engines: speeds.into_iter().map(paced_engine::Engine::new).collect(),
            observed: vec![pace::Samples::default(); engines],
            paces: vec![pace::Pace::default(); engines],
            random,
            recent: Vec::new(),
            rule,
            situation,
            snapshots: std::collections::VecDeque::new(),
            table: pace_table::Table::default(),
            told_change: 0,
            told: 0,
        }
    }

    /// Replaces a sixth of the engines; what runs there ends at the old ones.
    fn replace(&mut self, now_ms: u64, ended: &mut Vec<paced_engine::Ended>) {
        if self.situation != Situation::Churn || !now_ms.is_multiple_of(REPLACE_MS) || now_ms == 0 {
            return;
        }
        let turn = usize::try_from(now_ms / REPLACE_MS).unwrap_or(0) % REPLACED_PART;
        for index in (turn..self.engines.len()).step_by(REPLACED_PART) {
            let speed = draw_speed(self.situation, &mut self.random);
            self.engines[index].replace(now_ms, speed, ended);
            self.observed[index] = pace::Samples::default();
            self.paces[index] = pace::Pace::default();
            self.recent.retain(|recent| recent.engine != index);
            for snapshot in &mut self.snapshots {
                snapshot[index] = balance::Load::default();
            }
        }
    }

    /// Exchanges what has been observed since the last report for news of paces.
    fn exchange(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(REPORT_MS) {
            return;
        }
        for (index, samples) in self.observed.iter_mut().enumerate() {
            if samples.is_empty() {
                continue;
            }
            let observed = pace_table::Observed {
                born_ms: self.engines[index].born_ms(),
                samples: core::mem::take(samples),
                upstream: index.to_string(),
            };
            self.table.record(Instant(now_ms), observed);
        }
        for news in self.table.list_after(self.told_change) {
            self.told += 1;
            let index: usize = news.upstream.parse().unwrap_or_default();
            if self.engines[index].born_ms() == news.born_ms {
                self.paces[index] = news.pace;
            }
        }
        self.told_change = self.table.last_change();
    }

    /// Returns the middle of all paces that the rule knows.
    fn middle(&self) -> pace::Middle {
        match self.rule {
            Rule::Oracle => {
                let engines = self.engines.iter();
                let paces: Vec<_> = engines.map(|engine| engine.true_pace()).collect();
                pace::Middle::of(&paces)
            }
            Rule::Pace => pace::Middle::of(&self.paces),
            Rule::LeastOutstanding | Rule::Load => pace::Middle::default(),
        }
    }

    fn candidates(
        &self,
        gateway: usize,
        job: &paced_engine::Job,
        middle: &pace::Middle,
    ) -> Vec<balance::Candidate<usize>> {
        let known = self.snapshots.front();
        let none = balance::Load::default();
        let mut loads: Vec<balance::Load> = (0..self.engines.len())
            .map(|index| known.map_or(none, |known| known[index]))
            .collect();
        for recent in self.recent.iter().filter(|one| one.gateway == gateway) {
            loads[recent.engine] = loads[recent.engine].plus(recent.load);
        }
        let candidates = loads.into_iter().enumerate().map(|(index, load)| {
            let known = match self.rule {
                Rule::Oracle => self.engines[index].true_pace(),
                _ => self.paces[index],
            };
            let factor = middle.factor(&known);
            let stride = paced_engine::STRIDE;
            let learns = matches!(self.rule, Rule::Oracle | Rule::Pace);
            balance::Candidate {
                expected: middle.expect(factor, &load, stride, job.tokens(), job.span()),
                fit: match learns {
                    true => middle.fit(&known, &load, stride, Some(paced_engine::GAP_MS)),
                    false => pace::Fit::Long,
                },
                is_near: true,
                is_own: false,
                key: index,
                load,
                memory: paced_engine::MEMORY_TOKENS,
                pace: if learns { factor } else { 1.0 },
                slots: paced_engine::SLOTS,
            }
        });
        candidates.collect()
    }

    fn choose(
        &mut self,
        candidates: &[balance::Candidate<usize>],
        job: &paced_engine::Job,
    ) -> balance::Choice<usize> {
        match self.rule {
            Rule::LeastOutstanding => {
                let least = candidates.iter().min_by_key(|one| one.load.running);
                least.map_or(balance::Choice::NoCandidates, |one| {
                    balance::Choice::Take(one.key)
                })
            }
            Rule::Load => balance::choose_engine(candidates, job.tokens(), &mut self.random),
            Rule::Oracle | Rule::Pace => {
                let need = job.need();
                balance::choose_engine_by_pace(candidates, job.tokens(), &need, &mut self.random)
            }
        }
    }

    fn place(
        &mut self,
        now_ms: u64,
        gateway: usize,
        job: paced_engine::Job,
        middle: &pace::Middle,
    ) -> bool {
        let candidates = self.candidates(gateway, &job, middle);
        let balance::Choice::Take(engine) = self.choose(&candidates, &job) else {
            return false;
        };
        let load = job.load();
        self.recent.push(Recent {
            at_ms: now_ms,
            engine,
            gateway,
            load,
        });
        let waiting = candidates[engine].load.waiting;
        self.engines[engine].add(now_ms, job, waiting);
        true
    }

    fn advance(&mut self, now_ms: u64, ended: &mut Vec<paced_engine::Ended>) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if self.situation == Situation::Spells {
                engine.update_spell(now_ms, &mut self.random);
            }
            let samples = engine.advance(now_ms, STEP_MS, ended);
            let lies = self.situation == Situation::Lies && !samples.is_empty();
            match lies && self.random.random_bool(LIES_PART) {
                true => {
                    let ratio = [0.07, 30.0][self.random.random_range(0..2)];
                    self.observed[index].first.record(ratio);
                    self.observed[index].gap.record(ratio);
                }
                false => self.observed[index] = self.observed[index].plus(&samples),
            }
        }
        let loads = self.engines.iter().map(paced_engine::Engine::load);
        self.snapshots.push_back(loads.collect());
        let most = usize::try_from(LAG_MS / STEP_MS).unwrap_or(1);
        while self.snapshots.len() > most {
            self.snapshots.pop_front();
        }
        self.recent.retain(|recent| now_ms < recent.at_ms + LAG_MS);
    }
}

fn draw_speed(situation: Situation, random: &mut SmallRng) -> f64 {
    match situation {
        Situation::Alike => SPEEDS[0],
        _ => SPEEDS[random.random_range(0..SPEEDS.len())],
    }
}

/// Plays a run.
#[must_use]
pub fn play(
    situation: Situation,
    rule: Rule,
    gateways: usize,
    engines: usize,
    seed: u64,
) -> Figures {
    let mut play = Play::new(engines, rule, situation, seed);
    // Its own generator, so that all rules get the same requests.
    let mut arrivals = SmallRng::seed_from_u64(seed + 1000);
    let mut ended = Vec::new();
    let mut refused: usize = 0;
    let per_step = REQUESTS_PER_ENGINE_S * numbers::number(engines) * STEP_PART_OF_S;
    let mut due = 0.0;
    for now_ms in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        play.replace(now_ms, &mut ended);
        play.exchange(now_ms);
        let middle = play.middle();
        due += per_step * arrivals.random_range(0.0..2.0);
        while due >= 1.0 {
            due -= 1.0;
            let gateway = arrivals.random_range(0..gateways);
            let is_long = arrivals.random_bool(LONG_PART);
            let job = paced_engine::Job::draw(now_ms, is_long, &mut arrivals);
            let is_placed = play.place(now_ms, gateway, job, &middle);
            refused += usize::from(!is_placed && COUNTED.contains(&now_ms));
        }
        play.advance(now_ms, &mut ended);
    }
    ended.retain(|ended| COUNTED.contains(&ended.sent_ms));
    summarize(&ended, refused, play.told)
}

/// Part of a second that a step takes.
const STEP_PART_OF_S: f64 = 0.01;

fn summarize(ended: &[paced_engine::Ended], refused: usize, told: u64) -> Figures {
    let part = |is_counted: &dyn Fn(&&paced_engine::Ended) -> bool, more: usize| {
        let counted: Vec<_> = ended.iter().filter(is_counted).collect();
        let in_time = counted.iter().filter(|ended| ended.in_time).count();
        numbers::number(in_time) / numbers::number((counted.len() + more).max(1))
    };
    let told = usize::try_from(told).unwrap_or(usize::MAX);
    Figures {
        in_time: part(&|_ended| true, refused),
        long_in_time: part(&|ended| ended.is_long, 0),
        wait_ms: middle(ended.iter().map(|ended| ended.wait_ms)),
        spread: spread(ended),
        news_per_s: numbers::number(told) * 1000.0
            / numbers::number(RUN_MS.try_into().unwrap_or(1)),
    }
}

fn middle(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Returns the middle wait at the slowest engines for that at the fastest.
fn spread(ended: &[paced_engine::Ended]) -> f64 {
    let slowest = SPEEDS[SPEEDS.len() - 1];
    let at = |speed: f64| {
        middle(
            ended
                .iter()
                .filter(|one| one.speed >= speed && one.speed < speed + 0.1)
                .map(|one| one.wait_ms),
        )
    };
    at(slowest) / at(SPEEDS[0]).max(1.0)
}

/// Returns a table of all situations and rules.
#[must_use]
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    for situation in SITUATIONS {
        for (gateways, engines) in [(25, 42), (370, 370)] {
            for rule in RULES {
                let figures = play(situation, rule, gateways, engines, seed);
                text.push_str(&format!(
                    "{situation:?}, {gateways} gateways, {engines} engines, {rule:?}: {figures}\n"
                ));
            }
        }
    }
    text
}
