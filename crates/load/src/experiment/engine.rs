//! Simulated inference engine: continuous batching with paged key-value memory.

use crate::experiment::cache;

/// Tokens in a memory block.
pub const BLOCK_TOKENS: u32 = 16;
/// Prompt tokens computed in one step, at most.
const CHUNK_TOKENS: u32 = 256;
/// Streams in the batch, at most.
const MAX_BATCH: usize = 128;
/// Fixed part of a step's time, in microseconds.
const BASE_STEP_US: u64 = 20_000;
/// Time that each decoding stream adds to a step, in microseconds.
const STREAM_STEP_US: u64 = 120;
/// Time that each prompt token adds to a step, in microseconds.
const PREFILL_TOKEN_US: u64 = 30;
/// Minimum time to the first token of a stream submitted to a cold engine, in microseconds.
const COLD_FIRST_TOKEN_US: u64 = 1_500_000;
/// Streams submitted while cold that a cold engine survives; it crashes at one more.
pub const COLD_LIMIT: usize = 4;
/// Time that an engine stays cold, in microseconds.
pub const COLD_US: u64 = 30_000_000;

/// A request as the engine receives it, with the output length that it will generate.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the job.
    pub job: usize,
    /// Output tokens.
    pub output: u32,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Smaller values are scheduled first and preempted last.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt: u32,
}

/// Something that happened to a job during a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepEvent {
    /// The last token of a job was generated; follows the `Token` event of that token.
    Finished(usize),
    /// A job lost its memory blocks; its context is recomputed later.
    Preempted(usize),
    /// A token of a job was generated.
    Token(usize),
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submission {
    /// The request runs or waits in the engine.
    Accepted,
    /// The engine crashed: it was cold and above its limit.
    Crashed,
}

#[derive(Clone, Debug)]
struct Stream {
    blocks: u32,
    /// Context tokens still to be computed before decoding.
    pending_tokens: u32,
    generated: u32,
    /// Submitted while the engine was cold.
    submitted_cold: bool,
    /// No first token before this time, in microseconds.
    no_token_before: u64,
    request: Request,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Prefix cache, which also collects cache events.
    pub cache: cache::Cache,
    cold_until: u64,
    free_blocks: u32,
    /// Number of starts, including the first.
    pub incarnation: u32,
    running: Vec<Stream>,
    total_blocks: u32,
    waiting: Vec<Stream>,
    /// Whether the engine is running.
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

    /// Returns the number of running and waiting streams.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns whether there is work for a step.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.up && self.stream_count() > 0
    }

    /// Returns the memory in use, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u32 {
        (self.total_blocks - self.free_blocks) * BLOCK_TOKENS
    }

    /// Returns the total memory, in tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> u32 {
        self.total_blocks * BLOCK_TOKENS
    }

    /// Returns whether the engine is cold.
    #[must_use]
    pub fn is_cold(&self, now: u64) -> bool {
        now < self.cold_until
    }

    /// Returns the number of streams submitted while cold; 0 on a warm engine.
    #[must_use]
    pub fn cold_load(&self, now: u64) -> usize {
        if !self.is_cold(now) {
            return 0;
        }
        let held = self.running.iter().chain(&self.waiting);
        held.filter(|stream| stream.submitted_cold).count()
    }

    /// Queues a request; a cold engine above `COLD_LIMIT` crashes.
    pub fn submit(&mut self, now: u64, request: Request) -> Submission {
        let cold = self.is_cold(now);
        let no_token_before = if cold { now + COLD_FIRST_TOKEN_US } else { 0 };
        let blocks = 0;
        let pending_tokens = request.prompt;
        self.waiting.push(Stream {
            blocks,
            pending_tokens,
            generated: 0,
            submitted_cold: cold,
            no_token_before,
            request,
        });
        if self.cold_load(now) > COLD_LIMIT {
            return Submission::Crashed;
        }
        Submission::Accepted
    }

    /// Removes a job and frees its memory.
    pub fn cancel(&mut self, job: usize) {
        if let Some(index) = self
            .running
            .iter()
            .position(|stream| stream.request.job == job)
        {
            let stream = self.running.remove(index);
            self.free_blocks += stream.blocks;
        }
        self.waiting.retain(|stream| stream.request.job != job);
    }

    /// Makes the engine cold and clears its cache; running streams continue.
    pub fn turn_cold(&mut self, now: u64) {
        self.cold_until = now + COLD_US;
        self.cache.clear();
    }

    /// Stops the engine and returns the jobs that are lost with it.
    pub fn die(&mut self) -> Vec<usize> {
        self.up = false;
        let held = self.running.drain(..).chain(self.waiting.drain(..));
        let jobs = held.map(|stream| stream.request.job).collect();
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

    /// Begins a step and returns its duration in microseconds.
    pub fn begin_step(&mut self, now: u64, step_events: &mut Vec<StepEvent>) -> u64 {
        self.admit_waiting();
        self.reserve_memory(step_events);
        let prefill = self.prefill_chunk(now);
        let decoding = self
            .running
            .iter()
            .filter(|stream| stream.pending_tokens == 0)
            .count() as u64;
        let slowdown = if self.is_cold(now) { 2 } else { 1 };
        let step = BASE_STEP_US + decoding * STREAM_STEP_US;
        step * slowdown + u64::from(prefill) * PREFILL_TOKEN_US
    }

    /// Ends a step: each decoding stream generates one token.
    pub fn end_step(&mut self, now: u64, step_events: &mut Vec<StepEvent>) {
        for stream in &mut self.running {
            if stream.pending_tokens > 0 || now < stream.no_token_before {
                continue;
            }
            if stream.generated == 0 {
                self.cache.store(&stream.request.prefix);
            }
            stream.generated += 1;
            step_events.push(StepEvent::Token(stream.request.job));
            if stream.generated >= stream.request.output {
                step_events.push(StepEvent::Finished(stream.request.job));
                self.free_blocks += stream.blocks;
                stream.blocks = 0;
            }
        }
        self.running
            .retain(|stream| stream.generated < stream.request.output);
    }

    /// Moves waiting streams into the batch while their context fits.
    fn admit_waiting(&mut self) {
        // The sort is stable, so preempted streams stay ahead of others of the same priority.
        self.waiting.sort_by_key(|stream| stream.request.priority);
        while self.running.len() < MAX_BATCH && !self.waiting.is_empty() {
            let stream = &mut self.waiting[0];
            let context = stream.request.prompt + stream.generated;
            let blocks = (context + 1).div_ceil(BLOCK_TOKENS);
            if blocks > self.free_blocks {
                return;
            }
            self.free_blocks -= blocks;
            stream.blocks = blocks;
            let matched = self.cache.matched_tokens(&stream.request.prefix);
            stream.pending_tokens = context.saturating_sub(matched).max(1);
            let stream = self.waiting.remove(0);
            self.running.push(stream);
        }
    }

    /// Reserves memory for the next token of each stream, preempting streams when it runs out.
    fn reserve_memory(&mut self, step_events: &mut Vec<StepEvent>) {
        let mut index = 0;
        while index < self.running.len() {
            let stream = &self.running[index];
            let needed = (stream.request.prompt + stream.generated + 1).div_ceil(BLOCK_TOKENS);
            let more = needed.saturating_sub(stream.blocks);
            if more <= self.free_blocks {
                self.free_blocks -= more;
                self.running[index].blocks += more;
                index += 1;
                continue;
            }
            let victim = self.find_victim();
            self.preempt(victim, step_events);
            if victim < index {
                index -= 1;
            }
        }
    }

    /// Returns the index of the newest stream among those of the least urgent priority.
    fn find_victim(&self) -> usize {
        let streams = self.running.iter().enumerate();
        let victim = streams.max_by_key(|(index, stream)| (stream.request.priority, *index));
        victim.map_or(0, |(index, _)| index)
    }

    fn preempt(&mut self, index: usize, step_events: &mut Vec<StepEvent>) {
        let mut stream = self.running.remove(index);
        self.free_blocks += stream.blocks;
        stream.blocks = 0;
        step_events.push(StepEvent::Preempted(stream.request.job));
        self.waiting.insert(0, stream);
    }

    /// Prefills up to one chunk of context tokens and returns how many it computed.
    fn prefill_chunk(&mut self, _now: u64) -> u32 {
        let mut remaining = CHUNK_TOKENS;
        for stream in &mut self.running {
            let chunk = stream.pending_tokens.min(remaining);
            stream.pending_tokens -= chunk;
            remaining -= chunk;
        }
        CHUNK_TOKENS - remaining
    }
}
