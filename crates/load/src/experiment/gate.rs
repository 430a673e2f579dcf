//! Simulated agent: admits requests by the production admission or by a baseline.

use std::collections;

use peargap_core::admit;
use peargap_core::queue;
use peargap_core::ramp;
use peargap_core::table;
use peargap_core::time;

use crate::experiment::engine;
use crate::experiment::plain;
use crate::experiment::policy;
use crate::experiment::workload;

/// Streams that an agent lets its engine run at once, at most.
const MAX_RUNNING: u32 = 128;

/// An action of the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Act {
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
pub enum Gate {
    /// Submits everything at once.
    Open(plain::Count),
    /// First-come, first-served by a memory rule.
    Plain(plain::Plain),
    /// The production admission.
    Product(Box<Product>),
}

/// The production admission, with the maps from jobs to its streams and tickets.
#[derive(Debug)]
pub struct Product {
    admission: admit::Admission,
    off: policy::Off,
    streams: collections::HashMap<usize, admit::Stream>,
    waiting: collections::HashMap<queue::Ticket, usize>,
}

impl Gate {
    /// Returns the admission of a policy.
    #[must_use]
    pub fn new(policy: &policy::Policy, memory_tokens: u32) -> Gate {
        match policy.gate {
            policy::Gate::Open => Gate::Open(plain::Count::default()),
            policy::Gate::Oracle => {
                Gate::Plain(plain::Plain::new(plain::Rule::Oracle, memory_tokens))
            }
            policy::Gate::Reserve => {
                Gate::Plain(plain::Plain::new(plain::Rule::Reserve, memory_tokens))
            }
            policy::Gate::Forecast => {
                Gate::Product(Box::new(Product::new(policy.off, memory_tokens)))
            }
        }
    }

    /// Decides on an offer.
    pub fn offer(&mut self, now: u64, offer: &Offer, engine: &engine::Engine, acts: &mut Vec<Act>) {
        match self {
            Gate::Open(count) => {
                count.running += 1;
                acts.push(Act::Submit(offer.job));
            }
            Gate::Plain(plain) => plain.offer(now, offer, engine, acts),
            Gate::Product(product) => product.offer(now, offer, acts),
        }
    }

    /// Applies the events of an engine step, then starts waiting requests that fit.
    pub fn step(
        &mut self,
        now: u64,
        notes: &[engine::Note],
        engine: &engine::Engine,
        acts: &mut Vec<Act>,
    ) {
        match self {
            Gate::Open(count) => count.step(notes),
            Gate::Plain(plain) => plain.step(now, notes, engine, acts),
            Gate::Product(product) => product.step(now, notes, acts),
        }
    }

    /// Checks timeouts; called several times a second.
    pub fn tick(&mut self, now: u64, engine: &engine::Engine, acts: &mut Vec<Act>) {
        match self {
            Gate::Open(_) => {}
            Gate::Plain(plain) => plain.step(now, &[], engine, acts),
            Gate::Product(product) => product.tick(now, acts),
        }
    }

    /// Removes a job whose deadline has passed or that the engine failed.
    pub fn drop_job(&mut self, now: u64, job: usize, end: admit::End) {
        match self {
            Gate::Open(count) => count.running -= 1,
            Gate::Plain(plain) => plain.drop_job(job),
            Gate::Product(product) => product.drop_job(now, job, end),
        }
    }

    /// Records a sign that the engine is cold, such as a new incarnation or a domain's return.
    pub fn sign(&mut self, now: u64, sign: ramp::Sign) {
        if let Gate::Product(product) = self {
            product.sign(now, sign);
        }
    }

    /// Returns the load report.
    #[must_use]
    pub fn report(&self, engine: &engine::Engine) -> table::Report {
        let (running, queued, limit, wait_ms) = match self {
            Gate::Open(count) => (count.running, 0, MAX_RUNNING, 0),
            Gate::Plain(plain) => plain.load(),
            Gate::Product(product) => {
                let load = product.admission.load();
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

impl Product {
    fn new(off: policy::Off, memory_tokens: u32) -> Product {
        let memory = u64::from(memory_tokens);
        let mut options = admit::Options::new(memory, engine::BLOCK_TOKENS, MAX_RUNNING);
        match off {
            policy::Off::Batch => options.max_gap_ratio = f64::INFINITY,
            policy::Off::Reserve => options.max_overflow_probability = 0.5,
            policy::Off::Ramp => options.start_limit = MAX_RUNNING,
            policy::Off::Unproven => options.unanswered_limit = MAX_RUNNING,
            _ => {}
        }
        Product {
            admission: admit::Admission::new(time::Instant(0), options),
            off,
            streams: collections::HashMap::new(),
            waiting: collections::HashMap::new(),
        }
    }

    fn offer(&mut self, now: u64, offer: &Offer, acts: &mut Vec<Act>) {
        let now = instant(now);
        let request = self.request(offer);
        match admit::decide(&self.admission, now, &request) {
            admit::Decision::Admit => {
                let stream = self.admission.start(now, request);
                self.started(stream, offer.job, acts);
            }
            admit::Decision::Refuse { .. } => {
                acts.push(Act::Refuse { job: offer.job });
            }
            admit::Decision::Wait => self.push(now, offer.job, request, acts),
        }
        self.start_waiting(now, acts);
    }

    fn request(&mut self, offer: &Offer) -> admit::Request {
        let (model, team) = match self.off {
            policy::Off::Classes => ("", ""),
            _ => (offer.model.name, offer.team.name),
        };
        let class = self.admission.class(model, team);
        let team = match self.off {
            policy::Off::Fair => self.admission.team("", 1),
            _ => self.admission.team(offer.team.name, offer.team.weight),
        };
        let deadline = match self.off {
            policy::Off::Deadlines => time::Instant(u64::MAX),
            _ => instant(offer.deadline),
        };
        let priority = match self.off {
            policy::Off::Priority => 0,
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

    fn push(
        &mut self,
        now: time::Instant,
        job: usize,
        request: admit::Request,
        acts: &mut Vec<Act>,
    ) {
        match self.admission.push(now, request) {
            queue::Pushed::Full { .. } => acts.push(Act::Refuse { job }),
            queue::Pushed::Displaced { ticket, shed, .. } => {
                let shed_job = self.waiting.remove(&shed);
                acts.extend(shed_job.map(|job| Act::Refuse { job }));
                self.waiting.insert(ticket, job);
                acts.push(Act::Queue(job));
            }
            queue::Pushed::Queued(ticket) => {
                self.waiting.insert(ticket, job);
                acts.push(Act::Queue(job));
            }
        }
    }

    fn started(&mut self, stream: admit::Stream, job: usize, acts: &mut Vec<Act>) {
        self.streams.insert(job, stream);
        acts.push(Act::Submit(job));
    }

    fn start_waiting(&mut self, now: time::Instant, acts: &mut Vec<Act>) {
        while let Some(started) = self.admission.next(now) {
            if let Some(job) = self.waiting.remove(&started.ticket) {
                self.started(started.stream, job, acts);
            }
        }
    }

    fn step(&mut self, now: u64, notes: &[engine::Note], acts: &mut Vec<Act>) {
        let now = instant(now);
        for note in notes {
            match note {
                engine::Note::Finished(job) => self.finish(now, *job, admit::End::Completed),
                engine::Note::Preempted(_) => {}
                engine::Note::Token(job) => {
                    let stream = self.streams.get(job).copied();
                    let _sign =
                        stream.and_then(|stream| self.admission.record_tokens(now, stream, 1));
                }
            }
        }
        self.start_waiting(now, acts);
    }

    fn tick(&mut self, now: u64, acts: &mut Vec<Act>) {
        let now = instant(now);
        let _sign = self.admission.check_overdue(now);
        for shed in self.admission.shed(now) {
            let job = self.waiting.remove(&shed.ticket);
            acts.extend(job.map(|job| Act::Refuse { job }));
        }
        self.start_waiting(now, acts);
    }

    fn drop_job(&mut self, now: u64, job: usize, end: admit::End) {
        if self.streams.contains_key(&job) {
            self.finish(instant(now), job, end);
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

    fn sign(&mut self, now: u64, sign: ramp::Sign) {
        self.admission.record_sign(instant(now), sign);
    }
}

/// Converts microseconds of the simulation to the milliseconds of the production code.
#[must_use]
pub fn instant(micros: u64) -> time::Instant {
    time::Instant(micros / 1000)
}
