//! A small stand-in for an inference engine: continuous batching over block-wise memory.

use crate::experiment::cache;

/// Tokens in a memory block.
pub const BLOCK_TOKENS: u32 = 16;
/// Prompt tokens computed in one step, at most.
const CHUNK_TOKENS: u32 = 256;
/// Streams decoded together, at most.
const MAX_BATCH: usize = 128;
/// Time of a step that decodes nothing, in microseconds.
const BASE_STEP_US: u64 = 20_000;
/// Time that each decoded stream adds to a step, in microseconds.
const STREAM_STEP_US: u64 = 120;
/// Time that each prompt token adds to a step, in microseconds.
const PREFILL_TOKEN_US: u64 = 30;
/// Delay of a first token on a cold engine, in microseconds.
const COLD_FIRST_TOKEN_US: u64 = 1_500_000;
/// Streams that a cold engine carries.
pub const COLD_LIMIT: usize = 4;
/// Time that an engine stays cold, in microseconds.
pub const COLD_US: u64 = 30_000_000;

/// A request as the engine gets it; the stand-in knows how long the answer will be.
#[derive(Clone, Debug)]
pub struct Work {
    /// Number of the job.
    pub job: usize,
    /// Output tokens.
    pub output: u32,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Smaller goes first and is preempted last.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt: u32,
}

/// What an engine did in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Note {
    /// The last token of a job was computed; follows its `Token`.
    Finished(usize),
    /// A job lost its memory and is computed again later.
    Preempted(usize),
    /// A token of a job was computed.
    Token(usize),
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submitted {
    /// It runs or waits in the engine.
    Taken,
    /// The engine fell over.
    FellOver,
}

#[derive(Clone, Debug)]
struct Run {
    blocks: u32,
    /// Context tokens still to compute before it decodes.
    pending: u32,
    produced: u32,
    /// Submitted since the engine turned cold.
    since_cold: bool,
    /// No first token before this time, in microseconds.
    slow_until: u64,
    work: Work,
}

/// The stand-in engine.
#[derive(Debug)]
pub struct Engine {
    /// Prefix cache with its events.
    pub cache: cache::Cache,
    cold_until: u64,
    free_blocks: u32,
    /// Number of starts so far.
    pub incarnation: u32,
    running: Vec<Run>,
    total_blocks: u32,
    waiting: Vec<Run>,
    /// Whether it is up.
    pub up: bool,
}

impl Engine {
    /// Returns a warm, idle engine.
    #[must_use]
    pub fn new(memory_tokens: u32, cache_blocks: usize) -> Engine {
        let blocks = memory_tokens / BLOCK_TOKENS;
        Engine {
            cache: cache::Cache::new(cache_blocks),
            cold_until: 0,
            free_blocks: blocks,
            incarnation: 1,
            running: Vec::new(),
            total_blocks: blocks,
            waiting: Vec::new(),
            up: true,
        }
    }

    /// Returns the streams it holds, running and waiting.
    #[must_use]
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns whether a step would do anything.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.up && self.held() > 0
    }

    /// Returns memory in use, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u32 {
        (self.total_blocks - self.free_blocks) * BLOCK_TOKENS
    }

    /// Returns all of its memory, in tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> u32 {
        self.total_blocks * BLOCK_TOKENS
    }

    /// Returns whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: u64) -> bool {
        now < self.cold_until
    }

    /// Returns the streams begun since it turned cold, 0 while warm.
    #[must_use]
    pub fn cold_load(&self, now: u64) -> usize {
        if !self.is_cold(now) {
            return 0;
        }
        let held = self.running.iter().chain(&self.waiting);
        held.filter(|run| run.since_cold).count()
    }

    /// Takes a request; a cold engine above its limit falls over.
    pub fn submit(&mut self, now: u64, work: Work) -> Submitted {
        let cold = self.is_cold(now);
        let slow_until = if cold { now + COLD_FIRST_TOKEN_US } else { 0 };
        let blocks = 0;
        let pending = work.prompt;
        self.waiting.push(Run {
            blocks,
            pending,
            produced: 0,
            since_cold: cold,
            slow_until,
            work,
        });
        if self.cold_load(now) > COLD_LIMIT {
            return Submitted::FellOver;
        }
        Submitted::Taken
    }

    /// Drops a job.
    pub fn cancel(&mut self, job: usize) {
        if let Some(index) = self.running.iter().position(|run| run.work.job == job) {
            let run = self.running.remove(index);
            self.free_blocks += run.blocks;
        }
        self.waiting.retain(|run| run.work.job != job);
    }

    /// Turns cold with no announcement; what runs goes on.
    pub fn turn_cold(&mut self, now: u64) {
        self.cold_until = now + COLD_US;
        self.cache.clear();
    }

    /// Dies and returns the jobs that die with it.
    pub fn die(&mut self) -> Vec<usize> {
        self.up = false;
        let held = self.running.drain(..).chain(self.waiting.drain(..));
        let jobs = held.map(|run| run.work.job).collect();
        self.free_blocks = self.total_blocks;
        self.cache.clear();
        jobs
    }

    /// Starts again, cold.
    pub fn restart(&mut self, now: u64) {
        self.up = true;
        self.incarnation += 1;
        self.turn_cold(now);
    }

    /// Begins a step and returns how long it takes, in microseconds.
    pub fn begin_step(&mut self, now: u64, notes: &mut Vec<Note>) -> u64 {
        self.admit_waiting();
        self.make_room(notes);
        let prefill = self.compute_prompts(now);
        let decoding = self.running.iter().filter(|run| run.pending == 0).count() as u64;
        let slow = if self.is_cold(now) { 2 } else { 1 };
        let step = BASE_STEP_US + decoding * STREAM_STEP_US;
        step * slow + u64::from(prefill) * PREFILL_TOKEN_US
    }

    /// Ends a step: each stream that decodes gets a token.
    pub fn end_step(&mut self, now: u64, notes: &mut Vec<Note>) {
        for run in &mut self.running {
            if run.pending > 0 || now < run.slow_until {
                continue;
            }
            if run.produced == 0 {
                self.cache.store(&run.work.prefix);
            }
            run.produced += 1;
            notes.push(Note::Token(run.work.job));
            if run.produced >= run.work.output {
                notes.push(Note::Finished(run.work.job));
                self.free_blocks += run.blocks;
                run.blocks = 0;
            }
        }
        self.running.retain(|run| run.produced < run.work.output);
    }

    /// Moves waiting streams into the batch while their context fits.
    fn admit_waiting(&mut self) {
        // The sort is stable: preempted streams were put in front.
        self.waiting.sort_by_key(|run| run.work.priority);
        while self.running.len() < MAX_BATCH && !self.waiting.is_empty() {
            let run = &mut self.waiting[0];
            let context = run.work.prompt + run.produced;
            let blocks = (context + 1).div_ceil(BLOCK_TOKENS);
            if blocks > self.free_blocks {
                return;
            }
            self.free_blocks -= blocks;
            run.blocks = blocks;
            let matched = self.cache.matched_tokens(&run.work.prefix);
            run.pending = context.saturating_sub(matched).max(1);
            let run = self.waiting.remove(0);
            self.running.push(run);
        }
    }

    /// Gives each decoding stream memory for its next token, taking it from others if need be.
    fn make_room(&mut self, notes: &mut Vec<Note>) {
        let mut index = 0;
        while index < self.running.len() {
            let run = &self.running[index];
            let needed = (run.work.prompt + run.produced + 1).div_ceil(BLOCK_TOKENS);
            let more = needed.saturating_sub(run.blocks);
            if more <= self.free_blocks {
                self.free_blocks -= more;
                self.running[index].blocks += more;
                index += 1;
                continue;
            }
            let victim = self.find_victim();
            self.preempt(victim, notes);
            if victim < index {
                index -= 1;
            }
        }
    }

    /// Returns the newest stream of the least urgent priority.
    fn find_victim(&self) -> usize {
        let runs = self.running.iter().enumerate();
        let victim = runs.max_by_key(|(index, run)| (run.work.priority, *index));
        victim.map_or(0, |(index, _)| index)
    }

    fn preempt(&mut self, index: usize, notes: &mut Vec<Note>) {
        let mut run = self.running.remove(index);
        self.free_blocks += run.blocks;
        run.blocks = 0;
        notes.push(Note::Preempted(run.work.job));
        self.waiting.insert(0, run);
    }

    /// Computes up to one chunk of prompts and returns its tokens.
    fn compute_prompts(&mut self, _now: u64) -> u32 {
        let mut left = CHUNK_TOKENS;
        for run in &mut self.running {
            let chunk = run.pending.min(left);
            run.pending -= chunk;
            left -= chunk;
        }
        CHUNK_TOKENS - left
    }
}
