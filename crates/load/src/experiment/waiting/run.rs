//! A run of one rule.

use core::time::Duration;

use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::time::Instant;
use peargap_core::waiting as queue;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::waiting;
use crate::experiment::waiting::callers;
use crate::experiment::waiting::engines;
use crate::experiment::waiting::gateways;

/// Time between two sums of the gateways' reports; each gateway knows the last but one.
const REPORT_MS: u64 = 50;
/// Time after the last call was sent, for those that still run.
const AFTER_MS: u64 = 40_000;
const POLL_MS: u64 = 30;
const POLL_DIVISOR: u64 = 8;
/// Time after which a caller is told to try again if no other is known.
const RETRY_AFTER_MS: u64 = 1000;
const MAX_RETRY_AFTER_MS: u64 = 5000;

/// A call that is sent at a time.
#[derive(Clone, Copy, Debug)]
struct Sending {
    at_ms: u64,
    call: usize,
}

#[derive(Debug)]
struct Run {
    calls: Vec<callers::Call>,
    engines: Vec<engines::Engine>,
    gateways: Vec<gateways::Gateway>,
    /// Reports that gateways will know after the next sum.
    next_reports: Vec<gateways::Report>,
    preempted: u32,
    random: rand::rngs::SmallRng,
    rule: waiting::Rule,
    sendings: Vec<Sending>,
    tokens_in_vain: u64,
}

/// Plays a scenario with one rule.
#[must_use]
pub fn play(scenario: waiting::Scenario, rule: waiting::Rule, seed: u64) -> waiting::Figures {
    let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
    let calls = callers::draw(scenario, &mut random);
    let count = match rule {
        waiting::Rule::Oracle => 1,
        waiting::Rule::Poll | waiting::Rule::Queues => callers::GATEWAYS,
    };
    let mut sendings: Vec<Sending> = calls
        .iter()
        .enumerate()
        .map(|(call, one)| Sending {
            at_ms: one.sent_ms,
            call,
        })
        .collect();
    sendings.reverse();
    let mut run = Run {
        calls,
        engines: vec![engines::Engine::default(); gateways::ENGINES],
        gateways: vec![gateways::Gateway::default(); count],
        next_reports: vec![gateways::Report::default(); count],
        preempted: 0,
        random,
        rule,
        sendings,
        tokens_in_vain: 0,
    };
    for tick in 0..(callers::RUN_MS + AFTER_MS) / engines::TICK_MS {
        run.advance(Instant(tick * engines::TICK_MS));
    }
    run.figures()
}

impl Run {
    fn advance(&mut self, now: Instant) {
        self.work(now);
        if now.0.is_multiple_of(REPORT_MS) {
            self.exchange(now);
        }
        while self.sendings.last().is_some_and(|next| next.at_ms <= now.0) {
            if let Some(next) = self.sendings.pop() {
                self.arrive(now, next.call);
            }
        }
        for index in 0..self.gateways.len() {
            self.serve(now, index);
        }
    }

    /// Lets the engines work.
    fn work(&mut self, now: Instant) {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            engine.advance(&mut events);
        }
        for event in events {
            match event {
                engines::Event::First(call) => {
                    let first = &mut self.calls[call].first_ms;
                    *first = Some(first.unwrap_or(now.0));
                }
                engines::Event::Ended(call) => self.end(now, call),
                engines::Event::Preempted(tokens) => {
                    self.preempted += 1;
                    self.tokens_in_vain += tokens;
                }
            }
        }
        for gateway in &mut self.gateways {
            for placed in &mut gateway.placed {
                let made = self.engines[placed.engine].made(placed.call);
                let produced = engines::whole(made.unwrap_or_default());
                gateway
                    .forecasts
                    .record_growth(placed.class, placed.produced, produced);
                placed.produced = produced;
            }
        }
    }

    fn end(&mut self, now: Instant, call: usize) {
        self.calls[call].ended_ms = Some(now.0);
        for gateway in &mut self.gateways {
            let found = gateway.placed.iter().position(|placed| placed.call == call);
            if let Some(found) = found {
                let placed = gateway.placed.swap_remove(found);
                let tokens = engines::whole(self.calls[call].output);
                gateway.forecasts.record_end(placed.class, tokens);
            }
        }
    }

    /// Gives each gateway what the others reported at the last exchange.
    fn exchange(&mut self, now: Instant) {
        let none = gateways::Report::default();
        let sum = self.next_reports.iter();
        let sum = sum.fold(none, |sum, report| sum.plus(report));
        for (gateway, own) in self.gateways.iter_mut().zip(&self.next_reports) {
            let loads = sum.loads.iter().zip(&own.loads);
            gateway.others = gateways::Report {
                figures: sum.figures.minus(own.figures),
                loads: loads.map(|(sum, own)| sum.minus(*own)).collect(),
            };
            gateway.heard = now;
        }
        let knows_outputs = self.rule == waiting::Rule::Oracle;
        let reports = self.gateways.iter();
        let reports = reports.map(|gateway| gateway.report(now, &self.calls, knows_outputs));
        self.next_reports = reports.collect();
    }

    fn arrive(&mut self, now: Instant, call: usize) {
        let index = self.random.random_range(0..self.gateways.len());
        self.gateways[index].waiting.push(gateways::Waiting {
            arrived: now,
            call,
            key: None,
        });
    }

    fn serve(&mut self, now: Instant, index: usize) {
        let waiting = core::mem::take(&mut self.gateways[index].waiting);
        let mut kept = Vec::new();
        for one in waiting {
            let is_kept = match self.rule {
                waiting::Rule::Poll => self.poll(now, index, one),
                waiting::Rule::Queues | waiting::Rule::Oracle => {
                    self.take_turn(now, index, one, &mut kept);
                    continue;
                }
            };
            if is_kept {
                kept.push(one);
            }
        }
        self.gateways[index].waiting.append(&mut kept);
    }

    /// Looks for room if it is time; returns whether the request goes on waiting.
    fn poll(&mut self, now: Instant, index: usize, one: gateways::Waiting) -> bool {
        let waited = now.millis_since(one.arrived);
        if !waited.is_multiple_of(POLL_MS) {
            return true;
        }
        let kind = self.calls[one.call].kind;
        let own = self.gateways[index].report(now, &self.calls, false);
        let candidates = self.gateways[index].candidates(index, &own);
        let tokens = kind.prompt() + 200;
        match balance::choose_engine(&candidates, tokens, &mut self.random) {
            balance::Choice::Take(engine) => {
                self.place(now, index, one.call, engine);
                false
            }
            balance::Choice::Full | balance::Choice::NoCandidates => {
                let is_over = waited >= kind.objective_ms() / POLL_DIVISOR;
                if is_over {
                    self.refuse(now, one.call, RETRY_AFTER_MS);
                }
                !is_over
            }
        }
    }

    fn take_turn(
        &mut self,
        now: Instant,
        index: usize,
        mut one: gateways::Waiting,
        kept: &mut Vec<gateways::Waiting>,
    ) {
        let knows_outputs = self.rule == waiting::Rule::Oracle;
        let call = self.calls[one.call];
        let gateway = &mut self.gateways[index];
        let key = *one
            .key
            .get_or_insert_with(|| gateway.queue.join(describe(now, &gateway.shares, &call)));
        let others = gateway.known_others();
        let turn = gateway.queue.turn(now, key, &others);
        let chosen = match turn {
            queue::Turn::Wait => engine_room::Choice::Full,
            queue::Turn::Begin { .. } => {
                let class = gateway.forecasts.classify(name_route(call.kind), None);
                let later = match knows_outputs {
                    true => gateways::later_of(&call, 0),
                    false => {
                        let request = gateways::describe(call.kind);
                        gateway.forecasts.later(class, request, 0)
                    }
                };
                let tokens = gateways::reserve(call.kind, 0);
                let need = engine_room::Need::new(turn, later, tokens);
                let own = gateway.report(now, &self.calls, knows_outputs);
                let candidates = gateway.candidates(index, &own);
                engine_room::choose(&candidates, need, &mut self.random)
            }
        };
        if let engine_room::Choice::Take(engine) = chosen {
            gateway.queue.begin(key);
            gateway.record_started(now, &call);
            self.place(now, index, one.call, engine);
            return;
        }
        let is_held_back = chosen == engine_room::Choice::HeldBack;
        gateway.queue.record_wait(now, key, &others, is_held_back);
        let started = gateway.count_started(now);
        match gateway.queue.patience(now, key, &others, started) {
            queue::Patience::Keep => kept.push(one),
            queue::Patience::Refuse { retry_after_ms } => {
                gateway.queue.leave(key);
                let retry_after_ms = retry_after_ms.unwrap_or(RETRY_AFTER_MS);
                self.refuse(now, one.call, retry_after_ms.min(MAX_RETRY_AFTER_MS));
            }
        }
    }

    fn place(&mut self, now: Instant, index: usize, call: usize, engine: usize) {
        let one = self.calls[call];
        self.engines[engine].submit(engines::Stream {
            call,
            made: 0.0,
            output: one.output,
            prompt: engines::number(one.kind.prompt()),
            rank: one.kind.rank(),
            unread: engines::number(one.kind.prompt()),
        });
        let gateway = &mut self.gateways[index];
        let class = gateway.forecasts.classify(name_route(one.kind), None);
        gateway.placed.push(gateways::Placed {
            call,
            class,
            engine,
            produced: 0,
        });
        if self.rule == waiting::Rule::Poll {
            self.gateways[index].record_started(now, &one);
        }
    }

    fn refuse(&mut self, now: Instant, call: usize, retry_after_ms: u64) {
        let one = &mut self.calls[call];
        let left = (one.sent_ms + one.kind.timeout_ms()).saturating_sub(now.0);
        if one.repeats == 0 || left == 0 {
            return;
        }
        one.repeats -= 1;
        let at_ms = now.0 + retry_after_ms.min(left / 3);
        self.sendings.push(Sending { at_ms, call });
        self.sendings
            .sort_by_key(|next| core::cmp::Reverse(next.at_ms));
    }

    fn figures(&self) -> waiting::Figures {
        waiting::Figures {
            check: self.measure(callers::Kind::Check),
            digest: self.measure(callers::Kind::Digest),
            jain: self.measure_shares(),
            preempted: self.preempted,
            tokens_in_vain: self.tokens_in_vain,
        }
    }

    fn measure(&self, kind: callers::Kind) -> waiting::Kind {
        let calls = self.calls.iter().filter(|call| call.kind == kind);
        let count = calls.clone().count();
        let answered = calls.clone().filter(|call| call.ended_ms.is_some()).count();
        let waits = calls.filter_map(|call| Some(call.first_ms? - call.sent_ms));
        let mut waits: Vec<u64> = waits.collect();
        waits.sort_unstable();
        let on_time = waits.iter().filter(|wait| **wait <= kind.objective_ms());
        let on_time = on_time.count();
        waiting::Kind {
            first_p99_ms: waits
                .get(waits.len() * 99 / 100)
                .copied()
                .unwrap_or_default(),
            answered: ratio(answered, count),
            on_time: ratio(on_time, count),
        }
    }

    /// Returns the Jain index of the prompts answered for each team, as shares of what it would get if
    /// all that was answered were divided equally, none getting more than it asked for.
    fn measure_shares(&self) -> f64 {
        let mut asked = [0.0; callers::TEAMS];
        let mut got = [0.0; callers::TEAMS];
        for call in &self.calls {
            let tokens = engines::number(call.kind.prompt());
            asked[call.team] += tokens;
            got[call.team] += if call.ended_ms.is_some() { tokens } else { 0.0 };
        }
        let due = divide(got.iter().sum(), &asked);
        let shares = got.iter().zip(&due).map(|(got, due)| got / due.max(1.0));
        let shares: Vec<f64> = shares.collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        sum * sum / (engines::number(24) * squares.max(f64::MIN_POSITIVE))
    }
}

/// Divides `total` so that nobody gets more than asked for, and all others the same.
fn divide(total: f64, asked: &[f64]) -> Vec<f64> {
    let mut low = 0.0_f64;
    let mut high = asked.iter().copied().fold(0.0, f64::max);
    for _round in 0..50 {
        let level = f64::midpoint(low, high);
        let sum: f64 = asked.iter().map(|asked| asked.min(level)).sum();
        match sum > total {
            true => high = level,
            false => low = level,
        }
    }
    asked.iter().map(|asked| asked.min(high)).collect()
}

fn describe(
    now: Instant,
    shares: &peargap_core::team_share::Shares,
    call: &callers::Call,
) -> queue::Waiter {
    let objective = call.kind.objective_ms();
    let first_event = 150 + call.kind.prompt() / 10;
    queue::Waiter {
        is_above_share: shares.is_above(now, &call.team.to_string()),
        latest_start: now + Duration::from_millis(objective - first_event),
        patience_ms: objective / POLL_DIVISOR,
        rank: call.kind.rank(),
        since: now,
    }
}

fn name_route(kind: callers::Kind) -> &'static str {
    match kind {
        callers::Kind::Check => "check",
        callers::Kind::Digest => "digest",
    }
}

#[allow(clippy::cast_precision_loss, reason = "small numbers")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
