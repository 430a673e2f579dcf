//! One run: arrivals, answers, reports, judgements and shares, in steps of some milliseconds.

use core::cmp;
use std::collections;

use peargap_core::rollout::counts;
use peargap_core::rollout::judge;
use peargap_core::rollout::order;
use peargap_core::rollout::schedule;
use peargap_core::rollout::share;
use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::rollouts;
use crate::experiment::rollouts::setup;

const STEP_MS: u64 = 10;
/// Interval of reports and judgements.
const JUDGE_MS: u64 = 100;
/// Time from a judgement until all gateways have applied it: a commit and a message.
const APPLY_MS: u64 = 60;
/// Interval at which the leader tells gateways that it lives.
const TELL_MS: u64 = 300;
/// Time without a leader after one is lost.
const ELECTION_MS: u64 = 1_500;
/// Whole time of a plain call, and time to the first event of a stream, by the median.
const PLAIN_MS: f64 = 60.0;
const FIRST_MS: f64 = 250.0;
/// Spread of the times, as the standard deviation of their logarithm.
const SPREAD: f64 = 0.3;
const STREAM_MS: u64 = 10_000;
/// How much slower cold upstreams are.
const COLD_FACTOR: f64 = 3.0;
const ROUTES: [&str; 3] = ["large", "small", "stream"];
/// Route on which a version that is bad on one route fails.
const BAD_ROUTE: usize = 1;
/// Bad answers from which on the time to the last send counts.
const COUNTED_BAD: u64 = 50;

/// An answer that is on its way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Answer {
    at: u64,
    gateway: usize,
    is_bad: bool,
    is_cold: bool,
    is_failed: bool,
    route: usize,
    started: u64,
    to_target: bool,
}

struct Gateway {
    counts: counts::Counts,
    credit: share::Credit,
    share: share::Leased,
}

pub(super) struct Play<'a> {
    answers: collections::BinaryHeap<cmp::Reverse<Answer>>,
    /// Shares on their way to the gateways: when they arrive.
    applying: collections::VecDeque<(u64, u32)>,
    bad: u64,
    figures: rollouts::Figures,
    fiftieth_bad: Option<u64>,
    gateways: Vec<Gateway>,
    judge: judge::Judge,
    now: u64,
    policy: rollouts::Policy,
    random: SmallRng,
    setup: &'a setup::Setup,
    share_ppm: u32,
    /// Ends of streams on other versions.
    streams: Vec<u64>,
    told: u64,
}

impl<'a> Play<'a> {
    pub(super) fn new(setup: &'a setup::Setup, policy: rollouts::Policy, seed: u64) -> Play<'a> {
        let mut random = SmallRng::seed_from_u64(seed);
        let gateways = (0..setup.gateways).map(|_gateway| Gateway {
            counts: counts::Counts::default(),
            credit: share::Credit::new(random.random()),
            share: share::Leased {
                heard: Instant(0),
                lease: rollouts::BOUNDS.lease(),
                share_ppm: 0,
            },
        });
        let gateways = gateways.collect();
        Play {
            answers: collections::BinaryHeap::new(),
            applying: collections::VecDeque::new(),
            bad: 0,
            figures: rollouts::Figures {
                all: 0,
                cut: 0,
                late_ms: 0,
                state: order::State::InProgress,
                to_target: 0,
            },
            fiftieth_bad: None,
            gateways,
            judge: judge::Judge::default(),
            now: 0,
            policy,
            random,
            setup,
            share_ppm: 0,
            streams: Vec::new(),
            told: 0,
        }
    }

    pub(super) fn run(mut self) -> rollouts::Figures {
        while self.now < self.setup.duration_ms {
            self.deliver_answers();
            if self.now.is_multiple_of(JUDGE_MS) {
                self.judge();
            }
            self.apply();
            self.arrive();
            self.now += STEP_MS;
        }
        self.figures
    }

    fn is_cut(&self, gateway: usize) -> bool {
        let third = self.setup.duration_ms / 3;
        self.setup.cut_gateway == Some(gateway) && (third..2 * third).contains(&self.now)
    }

    fn has_leader(&self) -> bool {
        let lost = self.setup.leader_lost_ms;
        !lost.is_some_and(|lost| (lost..lost + ELECTION_MS).contains(&self.now))
    }

    fn arrive(&mut self) {
        let mut expected = self.setup.per_s * to_float(STEP_MS) / 1_000.0;
        // A sum of draws has nearly the spread of arrivals that do not depend on each other.
        while expected > 0.0 {
            if self.random.random_bool(expected.min(0.1)) {
                self.send();
            }
            expected -= 0.1;
        }
    }

    fn draw_route(&mut self) -> usize {
        let draw: f64 = self.random.random();
        match self.setup.streams {
            true if draw < 0.33 => 2,
            _ if draw < 0.75 => 0,
            _ => 1,
        }
    }

    fn send(&mut self) {
        let gateway = self.random.random_range(0..self.gateways.len());
        let route = self.draw_route();
        let now = Instant(self.now);
        let one = &mut self.gateways[gateway];
        let share_ppm = one.share.share_ppm(now);
        let to_target = match self.figures.state {
            order::State::Completed => true,
            order::State::InProgress => one.credit.may_send(share_ppm),
            order::State::RolledBack => share_ppm > 0 && one.credit.may_send(share_ppm),
        };
        one.credit.record(share_ppm, to_target);
        self.figures.all += 1;
        self.figures.to_target += u64::from(to_target);
        if let (Some(fiftieth), true) = (self.fiftieth_bad, to_target) {
            self.figures.late_ms = self.now - fiftieth;
        }
        self.answer(gateway, route, to_target);
    }

    /// Draws the answer to a request.
    fn answer(&mut self, gateway: usize, route: usize, to_target: bool) {
        let is_bad = to_target && self.is_bad(route) && self.random.random_bool(self.setup.portion);
        let is_slow = is_bad && self.setup.kind == rollouts::Kind::Slow;
        let is_cold = to_target && self.now < self.setup.cold_ms;
        let background = self.random.random_bool(self.setup.background);
        let median = if route == 2 { FIRST_MS } else { PLAIN_MS };
        let normal: f64 = (0..12).map(|_draw| self.random.random::<f64>()).sum();
        let mut millis = median * (SPREAD * (normal - 6.0)).exp();
        if is_slow {
            millis *= self.setup.factor;
        }
        if is_cold {
            millis *= COLD_FACTOR;
        }
        let end = self.now + setup::to_whole(millis);
        if route == 2 && !to_target {
            self.streams.push(end + STREAM_MS);
        }
        self.answers.push(cmp::Reverse(Answer {
            at: end,
            gateway,
            is_bad,
            is_cold,
            is_failed: background || (is_bad && !is_slow),
            route,
            started: self.now,
            to_target,
        }));
    }

    fn is_bad(&self, route: usize) -> bool {
        match self.setup.kind {
            rollouts::Kind::BadAtOnce | rollouts::Kind::Slow => true,
            rollouts::Kind::BadLater => self.now >= self.setup.onset_ms,
            rollouts::Kind::BadOnOneRoute => route == BAD_ROUTE,
            rollouts::Kind::BadUnderLoad => self.share_ppm > order::WHOLE_PPM / 2,
            rollouts::Kind::Good => false,
        }
    }

    fn deliver_answers(&mut self) {
        while let Some(cmp::Reverse(answer)) = self.answers.peek().copied() {
            if answer.at > self.now {
                return;
            }
            self.answers.pop();
            let millis = (!answer.is_cold).then_some(answer.at - answer.started);
            let sample = match (answer.is_failed, answer.route) {
                (true, _) => counts::Sample::Failed,
                (false, 2) => counts::Sample::Began(millis),
                (false, _) => counts::Sample::Answered(millis),
            };
            let route = ROUTES[answer.route];
            let counts = &mut self.gateways[answer.gateway].counts;
            counts.record(route, answer.to_target, sample);
            self.bad += u64::from(answer.is_bad);
            if self.bad == COUNTED_BAD && self.fiftieth_bad.is_none() {
                self.fiftieth_bad = Some(self.now);
            }
        }
    }

    fn judge(&mut self) {
        let now = self.now;
        self.streams.retain(|end| *end > now);
        if self.figures.state != order::State::InProgress {
            return;
        }
        if !self.has_leader() {
            // The next leader starts with nothing but what gateways have counted.
            self.judge = judge::Judge::default();
            return;
        }
        let step = match self.policy {
            rollouts::Policy::Own => self.judge_own(),
            rollouts::Policy::AtOnce => self.follow_steps(&[(0.0, order::WHOLE_PPM)]),
            rollouts::Policy::Steps => self.follow_steps(&[
                (0.0, 100_000),
                (0.25, 250_000),
                (0.5, 500_000),
                (0.75, order::WHOLE_PPM),
            ]),
            rollouts::Policy::Oracle => match self.setup.kind {
                rollouts::Kind::Good => self.follow_steps(&[(0.0, order::WHOLE_PPM)]),
                _bad => schedule::Step::RollBack(schedule::Reason::NoAnswers),
            },
        };
        match step {
            schedule::Step::Complete => {
                self.figures.state = order::State::Completed;
                self.figures.cut = u64::try_from(self.streams.len()).unwrap_or(u64::MAX);
            }
            schedule::Step::RollBack(_why) => {
                self.figures.state = order::State::RolledBack;
                self.tell(0);
            }
            schedule::Step::Share(share_ppm) => {
                if share_ppm != self.share_ppm || self.now >= self.told + TELL_MS {
                    self.tell(share_ppm);
                }
            }
        }
    }

    fn tell(&mut self, share_ppm: u32) {
        self.share_ppm = share_ppm;
        self.told = self.now;
        self.applying.push_back((self.now + APPLY_MS, share_ppm));
    }

    fn judge_own(&mut self) -> schedule::Step {
        let names: Vec<String> = (0..self.gateways.len())
            .map(|one| one.to_string())
            .collect();
        let heard = self.gateways.iter().enumerate();
        let heard = heard.filter(|(one, _gateway)| !self.is_cut(*one));
        let reports: Vec<_> = heard
            .map(|(one, gateway)| (names[one].as_str(), &gateway.counts))
            .collect();
        self.judge.observe(reports);
        let view = schedule::View {
            all_answers: self.judge.count_all_answers(),
            answers: self.judge.count_answers(),
            duration_ms: self.setup.duration_ms,
            elapsed_ms: self.now,
            evidence: self.judge.evidence(),
            has_streams: self.judge.has_streams(),
            longest_ms: self.judge.longest_ms(),
            share_ppm: self.share_ppm,
            verdict: self.judge.verdict(),
        };
        schedule::decide(&rollouts::BOUNDS, &view)
    }

    /// Follows steps by time, each from a part of the time limit on; completes shortly before it.
    fn follow_steps(&self, steps: &[(f64, u32)]) -> schedule::Step {
        let passed = to_float(self.now) / to_float(self.setup.duration_ms);
        if passed > 0.95 {
            return schedule::Step::Complete;
        }
        let begun = steps.iter().rev().find(|(begin, _share)| passed >= *begin);
        schedule::Step::Share(begun.map_or(0, |(_begin, share_ppm)| *share_ppm))
    }

    fn apply(&mut self) {
        while let Some((at, share_ppm)) = self.applying.front().copied() {
            if at > self.now {
                return;
            }
            self.applying.pop_front();
            for gateway in 0..self.gateways.len() {
                if self.is_cut(gateway) {
                    continue;
                }
                let share = &mut self.gateways[gateway].share;
                share.heard = Instant(self.now);
                share.share_ppm = share_ppm;
            }
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "times are far below 2^52")]
fn to_float(number: u64) -> f64 {
    number as f64
}
