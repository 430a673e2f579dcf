//! Experiment: one upstream of a service starts again while its gateways have traffic.
//!
//! It compares what callers get in its first seconds if gateways send to it as to any other, not at
//! all, or as it answers.

use core::fmt;
use std::collections;

use peargap_core::balance;
use peargap_core::pace;
use peargap_core::slow_start;
use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::numbers;

/// Time between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Time after which gateways know the requests of others.
const LAG_MS: u64 = 100;
const RUN_MS: u64 = 10_000;
/// When the upstream starts again.
const RESTART_MS: u64 = 2_000;
/// Time after it for which callers are counted.
const COUNTED_MS: u64 = 5_000;
/// Time for which it is slower.
const COLD_MS: f64 = 3_000.0;
/// Factor of its times at first.
const COLD_FACTOR: f64 = 5.0;
/// Requests that it has at once, running and waiting, above which it ends while it is cold.
const COLD_LIMIT: usize = 18;
/// Time until it is back after it has ended.
const DOWN_MS: u64 = 1_000;
const UPSTREAMS: usize = 7;
const SLOTS: u32 = 6;
const WORK_MS: f64 = 60.0;
/// Requests beyond those that run that an upstream queues; others are refused.
const QUEUE: usize = 14;
/// Time in which an answer is in time, in milliseconds.
const OBJECTIVE_MS: u64 = 300;
const MAX_ATTEMPTS: u32 = 2;

/// How gateways treat the upstream that has started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// By its answers.
    Answers,
    /// Like any other.
    Flood,
    /// They send nothing while callers are counted.
    Idle,
}

/// All rules.
pub const RULES: [Rule; 3] = [Rule::Flood, Rule::Idle, Rule::Answers];

/// What callers get in the first seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Part of the requests answered in time.
    pub in_time: f64,
    /// Requests lost as the upstream ended.
    pub lost: usize,
    /// Answers of the upstream.
    pub served: usize,
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "in time {:.3}, lost {}, answered by it {}",
            self.in_time, self.lost, self.served
        )
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived_ms: u64,
    gateway: usize,
    /// When its work ends; `None` while it waits.
    ends_ms: Option<f64>,
}

struct Upstream {
    down_until_ms: u64,
    requests: collections::VecDeque<Request>,
    started_ms: Option<u64>,
}

impl Upstream {
    fn factor(&self, now_ms: u64) -> f64 {
        let Some(started_ms) = self.started_ms else {
            return 1.0;
        };
        let age_ms = millis(now_ms.saturating_sub(started_ms));
        let left = (1.0 - age_ms / COLD_MS).max(0.0);
        1.0 + (COLD_FACTOR - 1.0) * left
    }

    fn begin_work(&mut self, now_ms: u64) {
        let work_ms = WORK_MS * self.factor(now_ms);
        let slots = usize::try_from(SLOTS).unwrap_or(1);
        for request in self.requests.iter_mut().take(slots) {
            let ends_ms = millis(now_ms) + work_ms;
            request.ends_ms.get_or_insert(ends_ms);
        }
    }
}

struct Play {
    gateways: usize,
    random: SmallRng,
    /// Loads of the upstreams at the last steps, oldest first.
    snapshots: collections::VecDeque<[balance::Load; UPSTREAMS]>,
    recent: Vec<(u64, usize, usize)>,
    rule: Rule,
    starter: slow_start::Starter,
    upstreams: Vec<Upstream>,
    figures: Figures,
    asked: usize,
    in_time: usize,
}

impl Play {
    fn is_counted(request: &Request) -> bool {
        (RESTART_MS..RESTART_MS + COUNTED_MS).contains(&request.arrived_ms)
    }

    fn view(&self, gateway: usize, index: usize) -> balance::Load {
        let known = self.snapshots.front();
        let mut load = known.map_or(balance::Load::default(), |known| known[index]);
        let own = self.recent.iter();
        let own = own.filter(|(_at, sender, upstream)| (*sender, *upstream) == (gateway, index));
        load.running += u32::try_from(own.count()).unwrap_or(0);
        load
    }

    /// Returns whether a gateway may send to the upstream at this index.
    fn admits(&mut self, now_ms: u64, gateway: usize, index: usize) -> bool {
        if index > 0 || now_ms < RESTART_MS {
            return true;
        }
        match self.rule {
            Rule::Flood => true,
            Rule::Idle => now_ms >= RESTART_MS + COUNTED_MS,
            Rule::Answers => {
                let load = self.view(gateway, index);
                let drawn = 2.0 / numbers::number(UPSTREAMS);
                if self.random.random_bool(drawn) {
                    self.starter.record_wanted(Instant(now_ms));
                }
                load.starting.is_over(SLOTS)
                    || load
                        .starting
                        .may_send(load.running, SLOTS, &mut self.random)
            }
        }
    }

    fn send(&mut self, now_ms: u64, request: Request, attempts: u32) {
        let mut candidates = Vec::new();
        for index in 0..UPSTREAMS {
            let is_up = self.upstreams[index].down_until_ms <= now_ms;
            if is_up && self.admits(now_ms, request.gateway, index) {
                candidates.push(balance::Candidate {
                    expected: None,
                    fit: pace::Fit::Long,
                    is_near: true,
                    is_own: false,
                    key: index,
                    load: self.view(request.gateway, index),
                    memory: 0,
                    pace: 1.0,
                    slots: SLOTS,
                });
            }
        }
        let choice = balance::choose_plain(&candidates, &mut self.random);
        let balance::Choice::Take(index) = choice else {
            return;
        };
        let requests = &mut self.upstreams[index].requests;
        if requests.len() >= usize::try_from(SLOTS).unwrap_or(1) + QUEUE {
            self.record_setback(now_ms, index);
            if attempts + 1 < MAX_ATTEMPTS {
                self.send(now_ms, request, attempts + 1);
            }
            return;
        }
        requests.push_back(request);
        self.recent.push((now_ms, request.gateway, index));
    }

    fn record_setback(&mut self, now_ms: u64, index: usize) {
        if index == 0 {
            self.starter.record_setback(Instant(now_ms));
        }
    }

    fn advance(&mut self, now_ms: u64) {
        for index in 0..UPSTREAMS {
            let upstream = &mut self.upstreams[index];
            upstream.begin_work(now_ms);
            let has_ended =
                |request: &Request| request.ends_ms.is_some_and(|ends| ends <= millis(now_ms));
            let ended: Vec<Request> = upstream
                .requests
                .iter()
                .copied()
                .filter(has_ended)
                .collect();
            upstream.requests.retain(|request| !has_ended(request));
            for request in ended {
                self.finish(now_ms, index, &request);
            }
        }
        self.end_if_overloaded(now_ms);
        let counts = self.starter.report(Instant(now_ms));
        let loads = core::array::from_fn(|index| balance::Load {
            running: u32::try_from(self.upstreams[index].requests.len()).unwrap_or(u32::MAX),
            starting: match index {
                0 => counts,
                _ => slow_start::Counts::default(),
            },
            ..balance::Load::default()
        });
        self.snapshots.push_back(loads);
        while self.snapshots.len() > usize::try_from(LAG_MS / STEP_MS).unwrap_or(1) {
            self.snapshots.pop_front();
        }
        self.recent.retain(|(at, _, _)| now_ms < at + LAG_MS);
    }

    fn finish(&mut self, now_ms: u64, index: usize, request: &Request) {
        let is_in_time = now_ms <= request.arrived_ms + OBJECTIVE_MS;
        if index == 0 && now_ms >= RESTART_MS {
            match is_in_time {
                true => self.starter.record_in_time(),
                false => self.record_setback(now_ms, index),
            }
            self.figures.served += usize::from(Play::is_counted(request));
        }
        self.in_time += usize::from(is_in_time && Play::is_counted(request));
    }

    /// Ends the upstream that has started if it gets more than it bears while it is cold.
    fn end_if_overloaded(&mut self, now_ms: u64) {
        let upstream = &mut self.upstreams[0];
        let is_cold = upstream.factor(now_ms) > 1.0;
        if !is_cold || upstream.requests.len() <= COLD_LIMIT {
            return;
        }
        let lost = upstream.requests.iter().filter(|one| Play::is_counted(one));
        self.figures.lost += lost.count();
        self.restart(now_ms, DOWN_MS);
    }

    fn restart(&mut self, now_ms: u64, down_ms: u64) {
        self.upstreams[0] = Upstream {
            down_until_ms: now_ms + down_ms,
            requests: collections::VecDeque::new(),
            started_ms: Some(now_ms + down_ms),
        };
        self.starter = slow_start::Starter::default();
    }
}

/// Plays a run with this many requests a second.
#[must_use]
pub fn play(rule: Rule, gateways: usize, per_s: f64, seed: u64) -> Figures {
    let upstreams = (0..UPSTREAMS).map(|_upstream| Upstream {
        down_until_ms: 0,
        requests: collections::VecDeque::new(),
        started_ms: None,
    });
    let mut play = Play {
        asked: 0,
        figures: Figures::default(),
        gateways,
        in_time: 0,
        random: SmallRng::seed_from_u64(seed),
        recent: Vec::new(),
        rule,
        snapshots: collections::VecDeque::new(),
        starter: slow_start::Starter::default(),
        upstreams: upstreams.collect(),
    };
    let mut arrivals = SmallRng::seed_from_u64(seed + 1000);
    let mut due = 0.0;
    for now_ms in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap_or(1)) {
        if now_ms == RESTART_MS {
            play.restart(now_ms, 0);
        }
        due += per_s * millis(STEP_MS) / 1000.0 * arrivals.random_range(0.0..2.0);
        while due >= 1.0 {
            due -= 1.0;
            let request = Request {
                arrived_ms: now_ms,
                ends_ms: None,
                gateway: arrivals.random_range(0..play.gateways),
            };
            play.asked += usize::from(Play::is_counted(&request));
            play.send(now_ms, request, 0);
        }
        play.advance(now_ms);
    }
    Figures {
        in_time: numbers::number(play.in_time) / numbers::number(play.asked.max(1)),
        ..play.figures
    }
}

/// Returns a table of all rules at a light and a heavy load.
#[must_use]
pub fn report(seed: u64) -> String {
    let mut text = String::new();
    for per_s in [140.0, 480.0, 580.0] {
        for gateways in [25, 370] {
            for rule in RULES {
                let figures = play(rule, gateways, per_s, seed);
                text.push_str(&format!(
                    "restart, {gateways} gateways, {per_s} requests a second, {rule:?}: {figures}\n"
                ));
            }
        }
    }
    text
}

#[allow(
    clippy::cast_precision_loss,
    reason = "times of a run are far below 2^52"
)]
fn millis(number: u64) -> f64 {
    number as f64
}
