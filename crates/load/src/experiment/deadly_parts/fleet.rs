//! The simulated fleet.

use core::time::Duration;

use peargap_core::prompt;
use peargap_core::quarantine;
use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::deadly_parts;
use crate::experiment::deadly_parts::setup;
use crate::experiment::exchange;
use crate::experiment::numbers;
use crate::experiment::schedule;

/// Time of a run.
const RUN: Duration = Duration::from_secs(30);
/// When prompts with the deadly parts begin to come.
const BEGIN: Duration = Duration::from_secs(4);
/// Range of the time that a generation waits at its engine, in milliseconds.
const WAIT_MS: core::ops::Range<u64> = 100..600;
/// Time from a generation's begin to its second event, or to the crash.
const BEGINNING: Duration = Duration::from_millis(60);
/// Time for which an engine is gone after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Time for which the control hosts are away, from [`BEGIN`] on.
const AWAY: Duration = Duration::from_secs(4);
/// Time between two restarts of gateways.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// Crash from which on the bound counts, and time after it.
const COUNTED_CRASH: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);
/// First part of deadly prompts that all have the same other parts.
const DEADLY_FIRST_ID: u64 = 0;
/// Different second parts of prompts, and where their IDs begin.
const SECOND_PARTS: u64 = 200;
const SECOND_ID: u64 = 1 << 16;
/// IDs of deadly parts begin here.
const DEADLY_ID: u64 = 1 << 32;

#[derive(Clone, Debug)]
struct Generation {
    /// Index of the deadly part in its prompt.
    deadly: Option<usize>,
    engine: usize,
    /// Start of the engine that it was sent to.
    engine_start: u64,
    gateway: usize,
    prompt: Vec<quarantine::Subject>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request arrives.
    Arrive,
    /// A generation begins to be written.
    Begin(usize),
    /// An engine crashes by another cause.
    Crash,
    /// A generation has sent its second event, or crashes its engine.
    Written(usize),
    /// Evidence arrives.
    Deliver(exchange::Message),
    /// A gateway restarts.
    Restart,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    beginning: Vec<usize>,
    down_until: Instant,
    /// Number of starts.
    start: u64,
}

pub(super) struct Fleet {
    /// Crashes by deadly part.
    crashes: Vec<Vec<Instant>>,
    engines: Vec<Engine>,
    figures: deadly_parts::Figures,
    exchange: exchange::Exchange,
    generations: Vec<Generation>,
    late: Vec<usize>,
    next_restart: usize,
    random: SmallRng,
    schedule: schedule::Schedule<Event>,
    setup: setup::Setup,
}

impl Fleet {
    pub(super) fn new(setup: setup::Setup, seed: u64) -> Fleet {
        let count = setup.count_engines();
        let parts = usize::try_from(setup.deadly_parts).unwrap_or_default();
        let mut fleet = Fleet {
            crashes: vec![Vec::new(); parts],
            engines: vec![Engine::default(); count],
            figures: deadly_parts::Figures::default(),
            exchange: exchange::Exchange::new(setup.gateways),
            generations: Vec::new(),
            late: vec![0; parts],
            next_restart: 0,
            random: SmallRng::seed_from_u64(seed),
            schedule: schedule::Schedule::new(),
            setup,
        };
        fleet.schedule.push(Instant(1), Event::Arrive);
        if setup.other_crashes_per_s > 0.0 {
            fleet.schedule.push(Instant(1), Event::Crash);
        }
        if setup.restarts {
            fleet
                .schedule
                .push(Instant::default() + BEGIN, Event::Restart);
        }
        fleet
    }

    /// Plays until the end of the run.
    pub(super) fn play(mut self) -> deadly_parts::Figures {
        let end = Instant::default() + RUN;
        while let Some((now, event)) = self.schedule.pop_before(end) {
            self.handle(now, event);
        }
        let most = self.crashes.iter().map(Vec::len).max();
        self.figures.crashes = most.unwrap_or_default();
        self.figures.late = self.late.iter().copied().max().unwrap_or_default();
        self.figures
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive => {
                let per_s = self.setup.starts_per_engine_s * numbers::number(self.engines.len());
                self.push_after(now, per_s, Event::Arrive);
                self.arrive(now);
            }
            Event::Begin(index) => self.begin(now, index),
            Event::Crash => {
                self.push_after(now, self.setup.other_crashes_per_s, Event::Crash);
                let count = self.engines.len();
                let part = numbers::whole(numbers::number(count) * self.setup.other_crash_part);
                let first = self.random.random_range(0..count);
                for engine in first..first + part.max(1) {
                    self.crash(now, engine % count);
                }
            }
            Event::Written(index) => self.finish_beginning(now, index),
            Event::Restart => {
                self.schedule.push(now + RESTART_INTERVAL, Event::Restart);
                let gateway = self.next_restart % self.setup.gateways;
                self.next_restart += 1;
                let message = self.exchange.restart(gateway);
                self.send(now, message);
            }
            Event::Deliver(message) => self.deliver(now, message),
        }
    }

    /// Schedules the next of events that come at random.
    fn push_after(&mut self, now: Instant, per_s: f64, event: Event) {
        let wait = schedule::draw_wait(&mut self.random, per_s);
        self.schedule.push(now + wait, event);
    }

    /// Draws a prompt; the index of its deadly part, if it has one.
    fn draw_prompt(&mut self, now: Instant) -> (Vec<quarantine::Subject>, Option<usize>) {
        let has_begun = now >= Instant::default() + BEGIN;
        let is_deadly =
            self.setup.deadly_parts > 0 && has_begun && self.random.random_bool(self.setup.share);
        let (first, second) = match is_deadly && self.setup.same_companions {
            true => (DEADLY_FIRST_ID, SECOND_ID),
            false => (
                self.random.random_range(0..self.setup.first_parts),
                SECOND_ID + self.random.random_range(0..SECOND_PARTS),
            ),
        };
        let mut ids = vec![first, second];
        let deadly = is_deadly.then(|| self.random.random_range(0..self.setup.deadly_parts));
        ids.extend(deadly.map(|index| DEADLY_ID + index));
        let parts = ids.into_iter().map(|id| prompt::Part::new(b"m", id));
        let parts = parts.map(quarantine::Subject::Part);
        let deadly = deadly.and_then(|index| usize::try_from(index).ok());
        (parts.collect(), deadly)
    }

    fn arrive(&mut self, now: Instant) {
        let (prompt, deadly) = self.draw_prompt(now);
        let gateway = self.random.random_range(0..self.setup.gateways);
        let is_sound = deadly.is_none();
        let deadly_first = prompt::Part::new(b"m", DEADLY_FIRST_ID);
        let is_alike = is_sound && prompt[0] == quarantine::Subject::Part(deadly_first);
        self.figures.sound += usize::from(is_sound);
        self.figures.sound_alike += usize::from(is_alike);
        let verdict = self.exchange.table(gateway).admit(now, &prompt, |_| false);
        if verdict != quarantine::Verdict::Allow {
            self.figures.sound_refused += usize::from(is_sound);
            self.figures.sound_alike_refused += usize::from(is_alike);
            return;
        }
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| now >= self.engines[*engine].down_until)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        if let Some(part) = deadly {
            let fifth = self.crashes[part].get(COUNTED_CRASH - 1);
            self.late[part] += usize::from(fifth.is_some_and(|fifth| now > *fifth + CONTACT));
        }
        let wait = Duration::from_millis(self.random.random_range(WAIT_MS));
        self.schedule
            .push(now + wait, Event::Begin(self.generations.len()));
        self.generations.push(Generation {
            deadly,
            engine,
            engine_start: self.engines[engine].start,
            gateway,
            prompt,
        });
    }

    fn begin(&mut self, now: Instant, index: usize) {
        let generation = &self.generations[index];
        let engine = &mut self.engines[generation.engine];
        let table = self.exchange.table(generation.gateway);
        let is_withdrawn = table.find_quarantined(&generation.prompt).is_some();
        if engine.start == generation.engine_start && !is_withdrawn {
            engine.beginning.push(index);
            self.schedule.push(now + BEGINNING, Event::Written(index));
        }
    }

    fn finish_beginning(&mut self, now: Instant, index: usize) {
        let generation = self.generations[index].clone();
        let engine = &mut self.engines[generation.engine];
        if engine.start != generation.engine_start {
            return;
        }
        if let Some(part) = generation.deadly {
            self.crashes[part].push(now);
            self.crash(now, generation.engine);
            return;
        }
        engine.beginning.retain(|other| *other != index);
        let (gateway, prompt) = (generation.gateway, &generation.prompt);
        let message = self.exchange.record_success(now, gateway, prompt);
        self.send(now, message);
    }

    fn crash(&mut self, now: Instant, index: usize) {
        let engine = &mut self.engines[index];
        if now < engine.down_until {
            return;
        }
        let loss = quarantine::Loss::new(&format!("e{index}"), engine.start);
        engine.start += 1;
        engine.down_until = now + DOWN;
        for lost in core::mem::take(&mut engine.beginning) {
            let generation = &self.generations[lost];
            let (gateway, prompt) = (generation.gateway, generation.prompt.clone());
            let message = self.exchange.record_loss(now, gateway, &prompt, loss);
            self.send(now, message);
        }
    }

    fn is_away(&self, now: Instant) -> bool {
        let begin = Instant::default() + BEGIN;
        self.setup.control_away && now >= begin && now < begin + AWAY
    }

    fn send(&mut self, now: Instant, message: Option<exchange::Message>) {
        if let Some(message) = message {
            self.schedule
                .push(now + exchange::NEWS, Event::Deliver(message));
        }
    }

    fn deliver(&mut self, now: Instant, message: exchange::Message) {
        let next = match self.is_away(now) {
            true => Some(message),
            false => self.exchange.deliver(now, message),
        };
        self.send(now, next);
    }
}
