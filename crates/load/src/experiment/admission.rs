//! Simulated agent: admits requests by the production admission or by a baseline.

use std::collections;

use peargap_core::admit;
use peargap_core::queue;
use peargap_core::ramp;
use peargap_core::table;
use peargap_core::time;

use crate::experiment::baseline;
use crate::experiment::engine;
use crate::experiment::policy;
use crate::experiment::workload;

/// Streams that an agent lets its engine run at once, at most.
const MAX_RUNNING: u32 = 128;

/// An action of the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Refuses a job, which has not run.
    Refuse {
        /// Index of the job.
        job: usize,
    },
    /// Accepts a job and queues it.
    Queue(usize),
    /// Accepts a job and submits it to the engine.
    Submit(usize),
}

/// A request as offered to the agent; only the oracle may use `output`.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Prompt tokens that are cached according to the agent's view.
    pub cached: u32,
    /// Deadline in microseconds.
    pub deadline: u64,
    /// Index of the job.
    pub job: usize,
    /// Model.
    pub model: &'static workload::Model,
    /// Output tokens.
    pub output: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Team.
    pub team: &'static workload::Team,
}

/// Admission of an agent.
#[derive(Debug)]
pub enum Admission {
    /// Submits everything at once.
    Open(baseline::Open),
    /// First-come, first-served by a memory rule.
    Fifo(baseline::Fifo),
    /// The production admission.
    Production(Box<Production>),
}

/// The production admission, with maps between jobs and its streams and queue tickets.
#[derive(Debug)]
pub struct Production {
    admission: admit::Admission,
    disabled: policy::Mechanism,
    streams: collections::HashMap<usize, admit::Stream>,
    waiting: collections::HashMap<queue::Ticket, usize>,
}

impl Admission {
    /// Returns the admission of a policy.
    #[must_use]
    pub fn new(policy: &policy::Policy, memory_tokens: u32) -> Admission {
        match policy.admission {
            policy::Admission::Open => Admission::Open(baseline::Open::default()),
            policy::Admission::Oracle => Admission::Fifo(baseline::Fifo::new(
                baseline::MemoryRule::Oracle,
                memory_tokens,
            )),
            policy::Admission::Reserve => Admission::Fifo(baseline::Fifo::new(
                baseline::MemoryRule::Reserve,
                memory_tokens,
            )),
            policy::Admission::Forecast => {
                Admission::Production(Box::new(Production::new(policy.disabled, memory_tokens)))
            }
        }
    }

    /// Decides on an offer.
    pub fn offer(
        &mut self,
        now: u64,
        offer: &Offer,
        engine: &engine::Engine,
        actions: &mut Vec<Action>,
    ) {
        match self {
            Admission::Open(open) => {
                open.running += 1;
                actions.push(Action::Submit(offer.job));
            }
            Admission::Fifo(fifo) => fifo.offer(now, offer, engine, actions),
            Admission::Production(production) => production.offer(now, offer, actions),
        }
    }

    /// Applies the events of an engine step, then starts waiting requests that fit.
    pub fn record_step(
        &mut self,
        now: u64,
        step_events: &[engine::StepEvent],
        engine: &engine::Engine,
        actions: &mut Vec<Action>,
    ) {
        match self {
            Admission::Open(open) => open.record_step(step_events),
            Admission::Fifo(fifo) => fifo.record_step(now, step_events, engine, actions),
            Admission::Production(production) => production.record_step(now, step_events, actions),
        }
    }

    /// Checks timeouts; called several times a second.
    pub fn tick(&mut self, now: u64, engine: &engine::Engine, actions: &mut Vec<Action>) {
        match self {
            Admission::Open(_) => {}
            Admission::Fifo(fifo) => fifo.record_step(now, &[], engine, actions),
            Admission::Production(production) => production.tick(now, actions),
        }
    }

    /// Removes a job whose deadline has passed or that the engine failed.
    pub fn drop_job(&mut self, now: u64, job: usize, end: admit::End) {
        match self {
            Admission::Open(open) => open.running -= 1,
            Admission::Fifo(fifo) => fifo.drop_job(job),
            Admission::Production(production) => production.drop_job(now, job, end),
        }
    }

    /// Records a sign that the engine is cold, such as a new incarnation or a domain's return.
    pub fn record_sign(&mut self, now: u64, sign: ramp::Sign) {
        if let Admission::Production(production) = self {
            production.record_sign(now, sign);
        }
    }

    /// Returns the load report.
    #[must_use]
    pub fn load_report(&self, engine: &engine::Engine) -> table::Report {
        let (running, queued, limit, wait_ms) = match self {
            Admission::Open(open) => (open.running, 0, MAX_RUNNING, 0),
            Admission::Fifo(fifo) => fifo.load(),
            Admission::Production(production) => {
                let load = production.admission.load();
                (load.running, load.waiting, load.limit, load.wait_ms as u32)
            }
        };
        table::Report {
            accepting: engine.up,
            age_ms: 0,
            limit,
            memory_tokens: u64::from(engine.memory_tokens()),
            queued,
            running,
            used_tokens: u64::from(engine.used_tokens()),
            wait_ms,
        }
    }
}

impl Production {
    fn new(disabled: policy::Mechanism, memory_tokens: u32) -> Production {
        let memory = u64::from(memory_tokens);
        let mut options = admit::Options::new(memory, engine::BLOCK_TOKENS, MAX_RUNNING);
        match disabled {
            policy::Mechanism::BatchLimit => options.max_gap_ratio = f64::INFINITY,
            policy::Mechanism::MemoryReserve => options.max_overflow_probability = 0.5,
            policy::Mechanism::Ramp => options.start_limit = MAX_RUNNING,
            policy::Mechanism::FirstTokenLimit => options.unanswered_limit = MAX_RUNNING,
            _ => {}
        }
        Production {
            admission: admit::Admission::new(time::Instant(0), options),
            disabled,
            streams: collections::HashMap::new(),
            waiting: collections::HashMap::new(),
        }
    }

    fn offer(&mut self, now: u64, offer: &Offer, actions: &mut Vec<Action>) {
        let now = to_instant(now);
        let request = self.build_request(offer);
        match admit::decide(&self.admission, now, &request) {
            admit::Decision::Admit => {
                let stream = self.admission.start(now, request);
                self.record_start(stream, offer.job, actions);
            }
            admit::Decision::Refuse { .. } => {
                actions.push(Action::Refuse { job: offer.job });
            }
            admit::Decision::Wait => self.enqueue(now, offer.job, request, actions),
        }
        self.start_waiting(now, actions);
    }

    fn build_request(&mut self, offer: &Offer) -> admit::Request {
        let (model, team) = match self.disabled {
            policy::Mechanism::LengthClasses => ("", ""),
            _ => (offer.model.name, offer.team.name),
        };
        let class = self.admission.class(model, team);
        let team = match self.disabled {
            policy::Mechanism::FairShares => self.admission.team("", 1),
            _ => self.admission.team(offer.team.name, offer.team.weight),
        };
        let deadline = match self.disabled {
            policy::Mechanism::DeadlineRefusal => time::Instant(u64::MAX),
            _ => to_instant(offer.deadline),
        };
        let priority = match self.disabled {
            policy::Mechanism::Priority => 0,
            _ => offer.team.priority,
        };
        admit::Request {
            cached_tokens: offer.cached,
            class,
            deadline,
            max_tokens: offer.model.max_tokens,
            priority,
            prompt_tokens: offer.prompt,
            team,
        }
    }

    fn enqueue(
        &mut self,
        now: time::Instant,
        job: usize,
        request: admit::Request,
        actions: &mut Vec<Action>,
    ) {
        match self.admission.push(now, request) {
            queue::Pushed::Full { .. } => actions.push(Action::Refuse { job }),
            queue::Pushed::Displaced { ticket, shed, .. } => {
                let shed_job = self.waiting.remove(&shed);
                actions.extend(shed_job.map(|job| Action::Refuse { job }));
                self.waiting.insert(ticket, job);
                actions.push(Action::Queue(job));
            }
            queue::Pushed::Queued(ticket) => {
                self.waiting.insert(ticket, job);
                actions.push(Action::Queue(job));
            }
        }
    }

    fn record_start(&mut self, stream: admit::Stream, job: usize, actions: &mut Vec<Action>) {
        self.streams.insert(job, stream);
        actions.push(Action::Submit(job));
    }

    fn start_waiting(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        while let Some(started) = self.admission.next(now) {
            if let Some(job) = self.waiting.remove(&started.ticket) {
                self.record_start(started.stream, job, actions);
            }
        }
    }

    fn record_step(
        &mut self,
        now: u64,
        step_events: &[engine::StepEvent],
        actions: &mut Vec<Action>,
    ) {
        let now = to_instant(now);
        for event in step_events {
            match event {
                engine::StepEvent::Finished(job) => self.finish(now, *job, admit::End::Completed),
                engine::StepEvent::Preempted(_) => {}
                engine::StepEvent::Token(job) => {
                    let stream = self.streams.get(job).copied();
                    let _sign =
                        stream.and_then(|stream| self.admission.record_tokens(now, stream, 1));
                }
            }
        }
        self.start_waiting(now, actions);
    }

    fn tick(&mut self, now: u64, actions: &mut Vec<Action>) {
        let now = to_instant(now);
        let _sign = self.admission.check_overdue(now);
        for shed in self.admission.shed(now) {
            let job = self.waiting.remove(&shed.ticket);
            actions.extend(job.map(|job| Action::Refuse { job }));
        }
        self.start_waiting(now, actions);
    }

    fn drop_job(&mut self, now: u64, job: usize, end: admit::End) {
        if self.streams.contains_key(&job) {
            self.finish(to_instant(now), job, end);
            return;
        }
        let ticket = self.waiting.iter().find(|(_, other)| **other == job);
        if let Some(ticket) = ticket.map(|(ticket, _)| *ticket) {
            self.waiting.remove(&ticket);
            self.admission.cancel(ticket);
        }
    }

    fn finish(&mut self, now: time::Instant, job: usize, end: admit::End) {
        if let Some(stream) = self.streams.remove(&job) {
            self.admission.finished(now, stream, end);
        }
    }

    fn record_sign(&mut self, now: u64, sign: ramp::Sign) {
        self.admission.record_sign(to_instant(now), sign);
    }
}

/// Converts microseconds of the simulation to the milliseconds of the production code.
#[must_use]
pub fn to_instant(micros: u64) -> time::Instant {
    time::Instant(micros / 1000)
}
