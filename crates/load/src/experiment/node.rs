//! Simulated host: an engine with its agent.

use std::collections;

use peargap_core::table;
use rand::RngExt as _;

use crate::experiment::admission;
use crate::experiment::cache;
use crate::experiment::engine;
use crate::experiment::policy;
use crate::experiment::workload;

/// Blocks that an engine's prefix cache holds.
const CACHE_BLOCKS: usize = 400;
/// Prefix hashes in a load report, at most.
const MAX_REPORTED: usize = 256;
/// Share of cache events that are lost on the way to the agent.
const EVENT_LOSS_SHARE: f64 = 0.05;
/// Delay of cache events to the agent, in microseconds.
const EVENT_DELAY_US: u64 = 500_000;

/// An engine with its agent's admission and the agent's delayed view of the prefix cache.
#[derive(Debug)]
pub struct Node {
    /// Whether the node refuses new work.
    pub draining: bool,
    /// The engine.
    pub engine: engine::Engine,
    /// The agent's admission.
    pub admission: admission::Admission,
    /// The engine fails each new request before this time, in microseconds.
    pub failing_until: u64,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Blocks that are cached according to the events received.
    known_blocks: collections::HashSet<u64>,
    model: &'static workload::Model,
    /// Cache events in flight to the agent, with their arrival times.
    pending_events: collections::VecDeque<(u64, cache::Event)>,
    /// Known blocks that matched a later request's prefix, newest last; these are reported.
    shared_blocks: collections::VecDeque<u64>,
}

impl Node {
    /// Returns an idle engine with its agent.
    #[must_use]
    pub fn new(policy: &policy::Policy, model: &'static workload::Model) -> Node {
        Node {
            draining: false,
            engine: engine::Engine::new(model.memory_tokens, CACHE_BLOCKS),
            admission: admission::Admission::new(policy, model.memory_tokens),
            failing_until: 0,
            stepping: false,
            known_blocks: collections::HashSet::new(),
            model,
            pending_events: collections::VecDeque::new(),
            shared_blocks: collections::VecDeque::new(),
        }
    }

    /// Offers a request to the agent.
    pub fn offer(
        &mut self,
        now: u64,
        job: usize,
        request: &workload::Request,
        deadline: u64,
        actions: &mut Vec<admission::Action>,
    ) {
        let cached = self.match_prefix(&request.prefix);
        let offer = admission::Offer {
            cached,
            deadline,
            job,
            model: self.model,
            output: request.output,
            prompt: request.prompt,
            team: &workload::TEAMS[request.team],
        };
        self.admission.offer(now, &offer, &self.engine, actions);
    }

    /// Submits a request to the engine.
    pub fn submit(
        &mut self,
        now: u64,
        job: usize,
        request: &workload::Request,
    ) -> engine::Submission {
        let engine_request = engine::Request {
            job,
            output: request.output,
            prefix: request.prefix.clone(),
            priority: workload::TEAMS[request.team].priority,
            prompt: request.prompt,
        };
        self.engine.submit(now, engine_request)
    }

    /// Returns the load report.
    #[must_use]
    pub fn load_report(&self) -> table::Report {
        table::Report {
            accepting: self.engine.up && !self.draining,
            ..self.admission.load_report(&self.engine)
        }
    }

    /// Applies the cache events that have arrived and returns the prefixes to report.
    pub fn reported_prefixes(&mut self, now: u64, random: &mut rand::rngs::SmallRng) -> Vec<u64> {
        for event in self.engine.cache.events.drain(..) {
            if random.random::<f64>() >= EVENT_LOSS_SHARE {
                self.pending_events.push_back((now + EVENT_DELAY_US, event));
            }
        }
        while let Some((_, event)) = self.pending_events.pop_front_if(|(at, _)| *at <= now) {
            self.apply_cache_event(event);
        }
        let known_blocks = &self.known_blocks;
        self.shared_blocks
            .retain(|hash| known_blocks.contains(hash));
        self.shared_blocks.iter().copied().collect()
    }

    fn apply_cache_event(&mut self, event: cache::Event) {
        match event {
            cache::Event::Cleared => self.known_blocks.clear(),
            cache::Event::Evicted(hash) => {
                self.known_blocks.remove(&hash);
            }
            cache::Event::Stored(hash) => {
                self.known_blocks.insert(hash);
            }
        }
    }

    /// Marks the known leading blocks of a prompt as shared and returns their length in tokens.
    fn match_prefix(&mut self, prefix: &[u64]) -> u32 {
        let mut tokens = 0;
        for hash in prefix
            .iter()
            .take_while(|hash| self.known_blocks.contains(*hash))
        {
            tokens += cache::BLOCK_TOKENS;
            if self.shared_blocks.contains(hash) {
                continue;
            }
            if self.shared_blocks.len() >= MAX_REPORTED {
                self.shared_blocks.pop_front();
            }
            self.shared_blocks.push_back(*hash);
        }
        tokens
    }
}
