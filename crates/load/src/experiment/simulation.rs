//! Event loop of the simulation: entries, agents and engines on a virtual clock in microseconds.

use peargap_core::admit;
use peargap_core::ramp;
use peargap_core::retry;
use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::experiment::admission;
use crate::experiment::engine;
use crate::experiment::entry;
use crate::experiment::event_queue;
use crate::experiment::event_queue::Event;
use crate::experiment::job;
use crate::experiment::measure;
use crate::experiment::node;
use crate::experiment::policy;
use crate::experiment::scenario;
use crate::experiment::workload;

/// Number of entries, each with its own view of the engines.
pub const ENTRIES: usize = 3;
/// One-way delay between an entry and an agent, in microseconds.
const NETWORK_DELAY_US: u64 = 1_000;
/// Interval of an agent's load reports, in microseconds.
const REPORT_INTERVAL_US: u64 = 250_000;
/// Interval at which agents check their timeouts, in microseconds.
const TICK_INTERVAL_US: u64 = 100_000;
/// Time from an engine's failure to its restart, in microseconds.
const RESTART_DELAY_US: u64 = 10_000_000;
/// Time until a change of a domain's state reaches all entries and agents, in microseconds.
const CONFIG_DELAY_US: u64 = 1_000_000;

/// A run of one policy in one scenario.
#[derive(Debug)]
pub struct Simulation {
    actions: Vec<admission::Action>,
    queue: event_queue::EventQueue,
    entries: Vec<entry::Entry>,
    jobs: Vec<job::Job>,
    recorder: measure::Recorder,
    models: &'static [workload::Model],
    nodes: Vec<node::Node>,
    step_events: Vec<engine::StepEvent>,
    now: u64,
    random: rand::rngs::SmallRng,
    scenario: scenario::Scenario,
}

/// Runs one policy in one scenario and returns its figures.
#[must_use]
pub fn run_policy(
    scenario: &scenario::Scenario,
    policy: &policy::Policy,
    seed: u64,
) -> measure::Figures {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.run();
    simulation
        .recorder
        .compute_figures(&simulation.jobs, &simulation.scenario)
}

impl Simulation {
    fn new(scenario: &scenario::Scenario, policy: &policy::Policy, seed: u64) -> Simulation {
        let models = scenario.deployment.models();
        let requests = workload::generate_requests(scenario.deployment, &scenario.traffic, seed);
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed ^ 0x5EED);
        let mut jobs = Vec::with_capacity(requests.len());
        for request in requests {
            jobs.push(job::Job::new(request, random.random_range(0..ENTRIES)));
        }
        let mut nodes = Vec::new();
        for model in models {
            for _ in 0..model.engines {
                nodes.push(node::Node::new(policy, model));
            }
        }
        let entries =
            (0..ENTRIES as u64).map(|n| entry::Entry::new(policy, models, seed ^ (n + 1)));
        Simulation {
            actions: Vec::new(),
            queue: event_queue::EventQueue::default(),
            entries: entries.collect(),
            jobs,
            recorder: measure::Recorder::new(models),
            models,
            nodes,
            step_events: Vec::new(),
            now: 0,
            random,
            scenario: scenario.clone(),
        }
    }

    fn run(&mut self) {
        for job in 0..self.jobs.len() {
            self.schedule(self.jobs[job].request.arrival, Event::Arrive(job));
        }
        for (at, fault) in self.scenario.faults.clone() {
            self.schedule(at, Event::Fault(fault));
        }
        for engine in 0..self.nodes.len() {
            let phase = REPORT_INTERVAL_US * engine as u64 / self.nodes.len() as u64;
            self.schedule(phase, Event::SendReport(engine));
        }
        self.schedule(TICK_INTERVAL_US, Event::Tick);
        while let Some((at, event)) = self.queue.pop() {
            if at > self.scenario.end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.schedule(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Deadline(job) => self.expire(job),
            Event::DomainState { domain, out } => self.apply_domain_state(domain, out),
            Event::Fault(fault) => self.inject_fault(fault),
            Event::Offer { job, engine } => self.deliver_offer(job, engine),
            Event::Refused {
                job,
                engine,
                failed,
            } => self.handle_refusal(job, engine, failed),
            Event::Report {
                engine,
                load,
                prefixes,
            } => {
                for entry in &mut self.entries {
                    entry.record_report(self.now, engine, load, &prefixes);
                }
            }
            Event::Restart(engine) => self.restart(engine),
            Event::Retry(job) => self.place(job),
            Event::SendReport(engine) => self.send_report(engine),
            Event::StepEnd {
                engine,
                incarnation,
            } => self.finish_step(engine, incarnation),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, job: usize) {
        self.entries[self.jobs[job].entry].record_first_attempt();
        self.schedule(self.deadline(job), Event::Deadline(job));
        self.place(job);
    }

    fn place(&mut self, job: usize) {
        if self.jobs[job].outcome.is_some() {
            return;
        }
        let deadline = self.deadline(job);
        self.jobs[job].attempts += 1;
        let entry = &mut self.entries[self.jobs[job].entry];
        match entry.choose_engine(self.now, &self.jobs[job], deadline) {
            Some(engine) => {
                self.schedule(self.now + NETWORK_DELAY_US, Event::Offer { job, engine })
            }
            None => self.set_outcome(job, self.jobs[job].refusal_outcome()),
        }
    }

    fn deliver_offer(&mut self, job: usize, engine: usize) {
        let node = &mut self.nodes[engine];
        if !node.engine.up || node.draining {
            let failed = !node.engine.up;
            self.schedule(
                self.now + NETWORK_DELAY_US,
                Event::Refused {
                    job,
                    engine,
                    failed,
                },
            );
            return;
        }
        let deadline = self.deadline(job);
        let node = &mut self.nodes[engine];
        node.offer(
            self.now,
            job,
            &self.jobs[job].request,
            deadline,
            &mut self.actions,
        );
        self.apply_actions(engine);
    }

    /// Carries out the pending actions of the agent in front of `engine`.
    fn apply_actions(&mut self, engine: usize) {
        let mut actions = core::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                admission::Action::Queue(job) => self.accept(job, engine),
                admission::Action::Refuse { job } => {
                    let at = self.now + NETWORK_DELAY_US;
                    let failed = false;
                    self.schedule(
                        at,
                        Event::Refused {
                            job,
                            engine,
                            failed,
                        },
                    );
                }
                admission::Action::Submit(job) => self.submit(job, engine),
            }
        }
        if self.actions.is_empty() {
            self.actions = actions;
        }
    }

    fn accept(&mut self, job: usize, engine: usize) {
        self.jobs[job].accepted = true;
        self.jobs[job].engine = Some(engine);
    }

    fn submit(&mut self, job: usize, engine: usize) {
        if !self.nodes[engine].engine.up {
            return;
        }
        self.accept(job, engine);
        if self.now < self.nodes[engine].failing_until {
            let node = &mut self.nodes[engine];
            node.admission.drop_job(self.now, job, admit::End::Failed);
            let at = self.now + NETWORK_DELAY_US;
            let failed = true;
            self.schedule(
                at,
                Event::Refused {
                    job,
                    engine,
                    failed,
                },
            );
            return;
        }
        let request = &self.jobs[job].request;
        let submitted = self.nodes[engine].submit(self.now, job, request);
        self.recorder
            .record_cold_streams(self.nodes[engine].engine.cold_load(self.now));
        if submitted == engine::Submission::Crashed {
            self.recorder.record_overload_crash();
            self.kill(engine, job::Outcome::Overloaded);
            return;
        }
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        let node = &mut self.nodes[engine];
        if node.stepping || !node.engine.is_busy() {
            return;
        }
        node.stepping = true;
        self.step_events.clear();
        let step = node.engine.begin_step(self.now, &mut self.step_events);
        for event in &self.step_events {
            if let engine::StepEvent::Preempted(job) = event {
                let since = self.jobs[*job].preempted_at;
                self.jobs[*job].preempted_at = since.or(Some(self.now));
                self.recorder.record_preemption(self.now, &self.scenario);
            }
        }
        let incarnation = node.engine.incarnation;
        self.schedule(
            self.now + step,
            Event::StepEnd {
                engine,
                incarnation,
            },
        );
    }

    fn finish_step(&mut self, engine: usize, incarnation: u32) {
        let node = &mut self.nodes[engine];
        if node.engine.incarnation != incarnation || !node.engine.up {
            return;
        }
        node.stepping = false;
        let mut step_events = core::mem::take(&mut self.step_events);
        step_events.clear();
        node.engine.end_step(self.now, &mut step_events);
        for event in &step_events {
            match event {
                engine::StepEvent::Finished(job) => self.finish(*job, engine),
                engine::StepEvent::Preempted(_) => {}
                engine::StepEvent::Token(job) => {
                    let job = &mut self.jobs[*job];
                    if job.delivered == 0 {
                        self.entries[job.entry].record_answer(engine, true);
                    }
                    self.recorder.record_token(self.now, job, &self.scenario);
                }
            }
        }
        let node = &mut self.nodes[engine];
        node.admission
            .record_step(self.now, &step_events, &node.engine, &mut self.actions);
        self.step_events = step_events;
        self.apply_actions(engine);
        self.start_step(engine);
    }

    fn finish(&mut self, job: usize, engine: usize) {
        self.entries[self.jobs[job].entry].record_departure(engine);
        self.set_outcome(job, job::Outcome::Whole);
    }

    fn set_outcome(&mut self, job: usize, outcome: job::Outcome) {
        let job = &mut self.jobs[job];
        if job.outcome.is_none() {
            job.outcome = Some(outcome);
            job.ended_at = self.now;
        }
    }

    fn expire(&mut self, job: usize) {
        if self.jobs[job].outcome.is_some() {
            return;
        }
        let accepted = self.jobs[job].accepted;
        if let Some(engine) = self.jobs[job].engine {
            self.entries[self.jobs[job].entry].record_departure(engine);
            let node = &mut self.nodes[engine];
            node.engine.cancel(job);
            node.admission
                .drop_job(self.now, job, admit::End::Cancelled);
        }
        let outcome = if accepted {
            job::Outcome::Late
        } else {
            job::Outcome::Refused
        };
        self.set_outcome(job, outcome);
    }

    /// Handles an offer that was not run: schedules another attempt or gives up.
    fn handle_refusal(&mut self, job: usize, engine: usize, failed: bool) {
        let deadline = self.deadline(job);
        let entry = &mut self.entries[self.jobs[job].entry];
        entry.record_departure(engine);
        if failed {
            entry.record_failure(self.now, engine);
        } else {
            entry.record_answer(engine, false);
        }
        self.jobs[job].engine = None;
        self.jobs[job].avoid.push(engine);
        match entry.plan_retry(self.now, &self.jobs[job], deadline) {
            retry::Next::GiveUp(_) => self.set_outcome(job, self.jobs[job].refusal_outcome()),
            retry::Next::Retry { after_ms } => {
                self.schedule(self.now + after_ms * 1000, Event::Retry(job));
            }
        }
    }

    /// Stops the engine; jobs without a delivered token are retried, others end with `outcome`.
    fn kill(&mut self, engine: usize, outcome: job::Outcome) {
        let node = &mut self.nodes[engine];
        node.stepping = false;
        for job in node.engine.die() {
            self.nodes[engine]
                .admission
                .drop_job(self.now, job, admit::End::Failed);
            if self.jobs[job].delivered == 0 {
                self.schedule(
                    self.now + NETWORK_DELAY_US,
                    Event::Refused {
                        job,
                        engine,
                        failed: true,
                    },
                );
                continue;
            }
            self.entries[self.jobs[job].entry].record_departure(engine);
            self.set_outcome(job, outcome);
        }
        self.schedule(self.now + RESTART_DELAY_US, Event::Restart(engine));
    }

    fn restart(&mut self, engine: usize) {
        let node = &mut self.nodes[engine];
        if node.engine.up {
            return;
        }
        node.engine.restart(self.now);
        node.admission
            .record_sign(self.now, ramp::Sign::NewIncarnation);
        node.admission
            .tick(self.now, &node.engine, &mut self.actions);
        self.apply_actions(engine);
        self.start_step(engine);
    }

    fn inject_fault(&mut self, fault: scenario::Fault) {
        match fault {
            scenario::Fault::Die(engine) => self.kill(engine, job::Outcome::Died),
            scenario::Fault::Domain { domain, out } => {
                self.schedule(
                    self.now + CONFIG_DELAY_US,
                    Event::DomainState { domain, out },
                );
            }
            scenario::Fault::FailRequests { engine, until } => {
                self.nodes[engine].failing_until = until
            }
            scenario::Fault::TurnCold(engine) => self.nodes[engine].engine.turn_cold(self.now),
        }
    }

    fn apply_domain_state(&mut self, domain: usize, out: bool) {
        for entry in &mut self.entries {
            entry.set_domain_out(domain, out);
        }
        for engine in (0..self.nodes.len()).filter(|n| n % workload::DOMAINS == domain) {
            let node = &mut self.nodes[engine];
            node.draining = out;
            if !out {
                // Hosts of a domain that was out were serviced, so their engines return cold.
                node.engine.turn_cold(self.now);
                node.admission
                    .record_sign(self.now, ramp::Sign::DomainReturned);
            }
        }
    }

    fn send_report(&mut self, engine: usize) {
        let delay = self
            .random
            .random_range(self.scenario.report_delay_us.clone());
        let node = &mut self.nodes[engine];
        let load = node.load_report();
        let prefixes = node.reported_prefixes(self.now, &mut self.random);
        self.schedule(
            self.now + delay,
            Event::Report {
                engine,
                load,
                prefixes,
            },
        );
        self.schedule(self.now + REPORT_INTERVAL_US, Event::SendReport(engine));
    }

    fn tick(&mut self) {
        for engine in 0..self.nodes.len() {
            let node = &mut self.nodes[engine];
            if node.engine.up {
                node.admission
                    .tick(self.now, &node.engine, &mut self.actions);
                self.apply_actions(engine);
            }
        }
        self.schedule(self.now + TICK_INTERVAL_US, Event::Tick);
    }

    fn deadline(&self, job: usize) -> u64 {
        let request = &self.jobs[job].request;
        request.arrival + self.models[request.model].deadline_ms * 1000
    }
}
