//! Baseline admission policies: none, worst-case reservation, and an oracle.

use std::collections;

use crate::experiment::admission;
use crate::experiment::engine;

/// Streams that a baseline lets its engine run, at most.
const MAX_RUNNING: u32 = 128;
/// Time per output token that the oracle expects, in microseconds.
const TOKEN_TIME_US: u64 = 25_000;
/// Expected time between departures from the queue, in milliseconds.
const DEPARTURE_INTERVAL_MS: u32 = 400;

/// Admits every request at once and counts the running ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open {
    /// Streams at the engine.
    pub running: u32,
}

impl Open {
    /// Subtracts the streams that finished in a step.
    pub fn record_step(&mut self, step_events: &[engine::StepEvent]) {
        let finished = step_events
            .iter()
            .filter(|event| matches!(event, engine::StepEvent::Finished(_)));
        self.running -= finished.count() as u32;
    }
}

/// Rule by which a baseline decides whether a request fits into memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryRule {
    /// Uses the actual length of each answer and whether the engine is cold.
    Oracle,
    /// Assumes that each answer reaches its output limit.
    Reserve,
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    offer: admission::Offer,
    generated: u32,
}

/// First-come, first-served admission by a memory rule.
#[derive(Clone, Debug)]
pub struct Fifo {
    memory_tokens: u32,
    rule: MemoryRule,
    running: Vec<Stream>,
    waiting: collections::VecDeque<admission::Offer>,
}

impl Fifo {
    /// Returns an idle admission.
    #[must_use]
    pub fn new(rule: MemoryRule, memory_tokens: u32) -> Fifo {
        let running = Vec::new();
        Fifo {
            memory_tokens,
            rule,
            running,
            waiting: collections::VecDeque::new(),
        }
    }

    /// Queues an offer, or refuses it if it cannot meet its deadline.
    pub fn offer(
        &mut self,
        now: u64,
        offer: &admission::Offer,
        engine: &engine::Engine,
        actions: &mut Vec<admission::Action>,
    ) {
        let queued = self.waiting.len() as u64;
        let wait = queued * u64::from(DEPARTURE_INTERVAL_MS) * 1000;
        if now + wait + self.expected_run_us(offer) > offer.deadline {
            actions.push(admission::Action::Refuse { job: offer.job });
            return;
        }
        self.waiting.push_back(*offer);
        actions.push(admission::Action::Queue(offer.job));
        self.start_waiting(now, engine, actions);
    }

    /// Applies the events of an engine step, then refuses late requests and starts those that fit.
    pub fn record_step(
        &mut self,
        now: u64,
        step_events: &[engine::StepEvent],
        engine: &engine::Engine,
        actions: &mut Vec<admission::Action>,
    ) {
        for event in step_events {
            match event {
                engine::StepEvent::Finished(job) => self.drop_job(*job),
                engine::StepEvent::Preempted(_) => {}
                engine::StepEvent::Token(job) => {
                    let stream = self
                        .running
                        .iter_mut()
                        .find(|stream| stream.offer.job == *job);
                    stream.into_iter().for_each(|stream| stream.generated += 1);
                }
            }
        }
        self.start_waiting(now, engine, actions);
    }

    /// Removes a job.
    pub fn drop_job(&mut self, job: usize) {
        self.running.retain(|stream| stream.offer.job != job);
        self.waiting.retain(|offer| offer.job != job);
    }

    /// Returns the running and waiting requests, the limit, and the expected wait in milliseconds.
    #[must_use]
    pub fn load(&self) -> (u32, u32, u32, u32) {
        let waiting = self.waiting.len() as u32;
        (
            self.running.len() as u32,
            waiting,
            MAX_RUNNING,
            waiting * DEPARTURE_INTERVAL_MS,
        )
    }

    fn start_waiting(
        &mut self,
        now: u64,
        engine: &engine::Engine,
        actions: &mut Vec<admission::Action>,
    ) {
        let mut started = 0;
        while let Some(offer) = self.waiting.front().copied() {
            let late = now + self.expected_run_us(&offer) > offer.deadline;
            if !late && !self.fits(&offer, started, now, engine) {
                return;
            }
            self.waiting.pop_front();
            if late {
                actions.push(admission::Action::Refuse { job: offer.job });
                continue;
            }
            started += 1;
            self.running.push(Stream {
                offer,
                generated: 0,
            });
            actions.push(admission::Action::Submit(offer.job));
        }
    }

    fn expected_run_us(&self, offer: &admission::Offer) -> u64 {
        match self.rule {
            MemoryRule::Oracle => u64::from(offer.output) * TOKEN_TIME_US,
            MemoryRule::Reserve => 0,
        }
    }

    /// Returns whether a request may start after `started` others that start at the same instant.
    fn fits(
        &self,
        offer: &admission::Offer,
        started: usize,
        now: u64,
        engine: &engine::Engine,
    ) -> bool {
        match self.rule {
            MemoryRule::Oracle => {
                let cold_streams = engine.cold_load(now) + started;
                let cold = engine.is_cold(now) && cold_streams >= engine::COLD_LIMIT;
                !cold && self.peak_tokens(offer) <= self.memory_tokens
            }
            MemoryRule::Reserve => {
                let running = self.running.iter().map(|stream| &stream.offer);
                let all = running.chain([offer]);
                let tokens: u32 = all.map(|offer| offer.prompt + offer.model.max_tokens).sum();
                tokens <= self.memory_tokens || self.running.is_empty()
            }
        }
    }

    /// Returns the peak memory that the running streams and one more will hold, in tokens.
    fn peak_tokens(&self, offer: &admission::Offer) -> u32 {
        let mut streams: Vec<(u32, u32)> = Vec::with_capacity(self.running.len() + 1);
        for stream in &self.running {
            let remaining = stream.offer.output - stream.generated;
            streams.push((remaining, stream.offer.prompt + stream.generated));
        }
        streams.push((offer.output, offer.prompt));
        streams.sort_unstable();
        let mut peak = 0;
        for (index, (remaining, _)) in streams.iter().enumerate() {
            let held = streams[index..]
                .iter()
                .map(|(_, context)| round_up_to_block(context + remaining + 1));
            peak = peak.max(held.sum());
        }
        peak
    }
}

fn round_up_to_block(tokens: u32) -> u32 {
    tokens.next_multiple_of(engine::BLOCK_TOKENS)
}
