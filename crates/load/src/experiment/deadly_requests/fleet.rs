//! The simulated fleet.

use core::time::Duration;

use peargap_core::quarantine;
use peargap_core::request;
use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::deadly_requests;
use crate::experiment::deadly_requests::setup;
use crate::experiment::exchange;
use crate::experiment::numbers;
use crate::experiment::schedule;

/// Time of a run.
const RUN: Duration = Duration::from_secs(40);
/// When the deadly requests begin to come.
const BEGIN: Duration = Duration::from_secs(4);
/// Range of the time that an upstream works on a request, in milliseconds.
const WORK_MS: core::ops::Range<u64> = 30..100;
/// Range of the time in which a gateway finds out that an upstream's process has ended, in milliseconds.
const EXAMINE_MS: core::ops::Range<u64> = 2..12;
/// Time for which an upstream is gone after its process has ended.
const DOWN: Duration = Duration::from_secs(3);
/// Time between two ends of the upstream that ends by itself, from its restart on.
const LOOP_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two losses of power.
const POWER_INTERVAL: Duration = Duration::from_secs(9);
/// Part of the upstreams that lose power together.
const POWER_PART: f64 = 0.25;
/// Time between two restarts of gateways.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// Crash from which on the bound counts, and time after it.
const COUNTED_CRASH: usize = 3;
const CONTACT: Duration = Duration::from_secs(3);
/// Upstreams that a request is sent to at most.
const MAX_SENDS: usize = 2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Deadly(usize),
    /// Each of them has the same identity.
    Popular,
    /// Each of them has an identity of its own.
    Sound,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    gateway: usize,
    kind: Kind,
    sends: usize,
    subject: quarantine::Subject,
    upstream: usize,
    /// Start of the upstream that it was sent to.
    upstream_start: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    ArriveDeadly(usize),
    ArriveSound,
    /// An upstream ends by another cause.
    Crash,
    /// Evidence arrives.
    Deliver(exchange::Message),
    /// A call ends, or crashes its upstream.
    End(usize),
    /// The gateway of a call has found out that its upstream has ended.
    Examined(usize, quarantine::Loss),
    /// The upstream that ends by itself does so.
    Loop,
    /// A part of the upstreams loses power.
    PowerLoss,
    /// A gateway restarts.
    Restart,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    down_until: Instant,
    running: Vec<usize>,
    /// Number of starts.
    start: u64,
}

pub(super) struct Fleet {
    calls: Vec<Call>,
    /// Crashes by deadly request.
    crashes: Vec<Vec<Instant>>,
    exchange: exchange::Exchange,
    figures: deadly_requests::Figures,
    late: Vec<usize>,
    next_restart: usize,
    random: SmallRng,
    schedule: schedule::Schedule<Event>,
    setup: setup::Setup,
    upstreams: Vec<Upstream>,
}

impl Fleet {
    pub(super) fn new(setup: setup::Setup, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            calls: Vec::new(),
            crashes: vec![Vec::new(); setup.deadly],
            exchange: exchange::Exchange::new(setup.gateways),
            figures: deadly_requests::Figures::default(),
            late: vec![0; setup.deadly],
            next_restart: 0,
            random: SmallRng::seed_from_u64(seed),
            schedule: schedule::Schedule::new(),
            setup,
            upstreams: vec![Upstream::default(); setup.upstreams],
        };
        let begin = Instant::default() + BEGIN;
        fleet.schedule.push(Instant(1), Event::ArriveSound);
        for index in 0..setup.deadly {
            fleet.push_after(begin, setup.deadly_per_s, Event::ArriveDeadly(index));
        }
        for (happens, event) in [
            (setup.other_crashes_per_s > 0.0, Event::Crash),
            (setup.crash_loop, Event::Loop),
            (setup.power_loss, Event::PowerLoss),
            (setup.restarts, Event::Restart),
        ] {
            if happens {
                fleet.schedule.push(begin, event);
            }
        }
        fleet
    }

    /// Plays until the end of the run.
    pub(super) fn play(mut self) -> deadly_requests::Figures {
        let end = Instant::default() + RUN;
        while let Some((now, event)) = self.schedule.pop_before(end) {
            self.handle(now, event);
        }
        let most = self.crashes.iter().map(Vec::len).max();
        self.figures.crashes = most.unwrap_or_default();
        self.figures.late = self.late.iter().copied().max().unwrap_or_default();
        self.figures
    }

    /// Schedules the next of events that come at random.
    fn push_after(&mut self, now: Instant, per_s: f64, event: Event) {
        let wait = schedule::draw_wait(&mut self.random, per_s);
        self.schedule.push(now + wait, event);
    }

    fn send(&mut self, now: Instant, message: Option<exchange::Message>) {
        if let Some(message) = message {
            self.schedule
                .push(now + exchange::NEWS, Event::Deliver(message));
        }
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::ArriveDeadly(index) => {
                self.push_after(now, self.setup.deadly_per_s, event);
                self.arrive(now, Kind::Deadly(index));
            }
            Event::ArriveSound => {
                let count = numbers::number(self.upstreams.len());
                self.push_after(now, self.setup.sound_per_upstream_s * count, event);
                let is_popular = self.random.random_bool(self.setup.popular);
                self.arrive(
                    now,
                    if is_popular {
                        Kind::Popular
                    } else {
                        Kind::Sound
                    },
                );
            }
            Event::Crash => {
                self.push_after(now, self.setup.other_crashes_per_s, event);
                let upstream = self.random.random_range(0..self.upstreams.len());
                self.crash(now, upstream);
            }
            Event::Deliver(message) => {
                let next = self.exchange.deliver(now, message);
                self.send(now, next);
            }
            Event::End(call) => self.end(now, call),
            Event::Examined(call, loss) => self.examine(now, call, loss),
            Event::Loop => {
                self.schedule.push(now + DOWN + LOOP_INTERVAL, event);
                self.crash(now, 0);
            }
            Event::PowerLoss => {
                self.schedule.push(now + POWER_INTERVAL, event);
                let count = self.upstreams.len();
                let part = numbers::whole(numbers::number(count) * POWER_PART);
                let first = self.random.random_range(0..count);
                for upstream in first..first + part.max(1) {
                    self.crash(now, upstream % count);
                }
            }
            Event::Restart => {
                self.schedule.push(now + RESTART_INTERVAL, event);
                let message = self
                    .exchange
                    .restart(self.next_restart % self.setup.gateways);
                self.next_restart += 1;
                self.send(now, message);
            }
        }
    }

    fn arrive(&mut self, now: Instant, kind: Kind) {
        let digest = match kind {
            Kind::Deadly(index) => 1 + u128::try_from(index).unwrap_or_default(),
            Kind::Popular => 0,
            Kind::Sound => self.random.random::<u128>() | 1 << 127,
        };
        let call = Call {
            gateway: self.random.random_range(0..self.setup.gateways),
            kind,
            sends: 0,
            subject: quarantine::Subject::Request(request::Digest(digest)),
            upstream: 0,
            upstream_start: 0,
        };
        if !self.exchange.is_serving(call.gateway) {
            return;
        }
        let runs_trials = call.subject.index() % self.setup.gateways == call.gateway;
        let table = self.exchange.table(call.gateway);
        let verdict = table.admit(now, &[call.subject], |_| runs_trials);
        if let quarantine::Verdict::Trial(subject) = verdict {
            table.record_trial(now, subject);
        }
        let is_refused = matches!(verdict, quarantine::Verdict::Refuse { .. });
        self.count(kind, is_refused);
        if !is_refused {
            self.calls.push(call);
            self.place(now, self.calls.len() - 1);
        }
    }

    fn count(&mut self, kind: Kind, is_refused: bool) {
        let refused = usize::from(is_refused);
        match kind {
            Kind::Deadly(_) => {}
            Kind::Popular => {
                self.figures.popular += 1;
                self.figures.popular_refused += refused;
            }
            Kind::Sound => {
                self.figures.sound += 1;
                self.figures.sound_refused += refused;
            }
        }
    }

    /// Sends a call to an upstream that is up, if there is one.
    fn place(&mut self, now: Instant, index: usize) {
        let up = |upstream: &usize| now >= self.upstreams[*upstream].down_until;
        let up: Vec<usize> = (0..self.upstreams.len()).filter(up).collect();
        if up.is_empty() {
            return;
        }
        let upstream = up[self.random.random_range(0..up.len())];
        let call = &mut self.calls[index];
        call.sends += 1;
        call.upstream = upstream;
        call.upstream_start = self.upstreams[upstream].start;
        if let Kind::Deadly(deadly) = call.kind {
            let third = self.crashes[deadly].get(COUNTED_CRASH - 1);
            self.late[deadly] += usize::from(third.is_some_and(|third| now > *third + CONTACT));
        }
        self.upstreams[upstream].running.push(index);
        let work = Duration::from_millis(self.random.random_range(WORK_MS));
        self.schedule.push(now + work, Event::End(index));
    }

    fn end(&mut self, now: Instant, index: usize) {
        let call = self.calls[index];
        let upstream = &mut self.upstreams[call.upstream];
        if upstream.start != call.upstream_start {
            return;
        }
        if let Kind::Deadly(deadly) = call.kind {
            self.crashes[deadly].push(now);
            self.crash(now, call.upstream);
            return;
        }
        upstream.running.retain(|other| *other != index);
        let subjects = [call.subject];
        let message = self.exchange.record_success(now, call.gateway, &subjects);
        self.send(now, message);
    }

    fn crash(&mut self, now: Instant, index: usize) {
        let upstream = &mut self.upstreams[index];
        if now < upstream.down_until {
            return;
        }
        let loss = quarantine::Loss::new(&format!("u{index}"), upstream.start);
        upstream.start += 1;
        upstream.down_until = now + DOWN;
        for call in core::mem::take(&mut upstream.running) {
            let examined = Duration::from_millis(self.random.random_range(EXAMINE_MS));
            self.schedule
                .push(now + examined, Event::Examined(call, loss));
        }
    }

    fn examine(&mut self, now: Instant, index: usize, loss: quarantine::Loss) {
        let call = self.calls[index];
        let subjects = [call.subject];
        let message = self
            .exchange
            .record_loss(now, call.gateway, &subjects, loss);
        self.send(now, message);
        let may_repeat = self.exchange.table(call.gateway).may_repeat(&subjects);
        if self.setup.idempotent && may_repeat && call.sends < MAX_SENDS {
            self.place(now, index);
        }
    }
}
