//! Simulated inference engine: continuous batching over a paged KV cache.

use std::collections;
use std::sync;

use core::time;

use peargap_core::prefix;
use tokio::sync::watch;

use crate::cache;
use crate::length;
use crate::options;
use crate::orders;
use crate::stream;

/// How long a stream continues after its reader has disconnected.
const ABANDONED_GRACE: time::Duration = time::Duration::from_secs(10);
/// Interval between steps while no stream runs.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// Factor by which steps of a cold engine take longer.
const COLD_FACTOR: u32 = 4;

/// Counters of the load report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    /// Number of overloads while cold, each of which failed all streams.
    pub(crate) overloads: u64,
    pub(crate) preemptions: u64,
    pub(crate) stall: time::Duration,
    pub(crate) tokens: u64,
}

/// Mutable state of the engine.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) cache: cache::Cache,
    pub(crate) cold_until: tokio::time::Instant,
    pub(crate) orders: orders::Orders,
    pub(crate) streams: collections::BTreeMap<String, stream::Stream>,
    pub(crate) totals: Totals,
    arrivals: u64,
}

/// A simulated engine; clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) incarnation: sync::Arc<str>,
    pub(crate) options: sync::Arc<options::Engine>,
    state: sync::Arc<sync::Mutex<State>>,
}

/// A generation request, read from the HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) chat: bool,
    pub(crate) id: String,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) model: String,
    pub(crate) priority: i64,
    pub(crate) prompt: String,
}

/// Result of starting a request.
pub(crate) enum StartResult {
    /// More streams than a cold engine can run, or a request larger than the KV cache.
    Overloaded,
    /// The model is not loaded.
    ModelNotLoaded,
    /// The stream was started, now or by an earlier request with the same id.
    Running,
}

impl Engine {
    /// Returns an engine that is cold for the time in the options.
    pub(crate) fn new(options: options::Engine) -> Engine {
        let incarnation = format!("{:08x}", rand::random::<u32>());
        let state = State {
            cache: cache::Cache::default(),
            cold_until: tokio::time::Instant::now() + options.cold_time,
            orders: orders::Orders::new(&options),
            streams: collections::BTreeMap::new(),
            totals: Totals::default(),
            arrivals: 0,
        };
        Engine {
            incarnation: incarnation.into(),
            options: sync::Arc::new(options),
            state: sync::Arc::new(sync::Mutex::new(state)),
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Runs decoding steps until the task is cancelled.
    pub(crate) async fn run(self) {
        loop {
            let pause = self.step();
            tokio::time::sleep(pause).await;
        }
    }

    /// Empties the prefix cache and makes the engine cold, without notice to its clients.
    pub(crate) fn turn_cold(&self) {
        let mut state = self.lock();
        state.cold_until = tokio::time::Instant::now() + self.options.cold_time;
        while state.cache.evict() {}
    }

    /// Starts a request, unless a stream with its id exists.
    pub(crate) fn start(&self, request: Request) -> StartResult {
        let mut state = self.lock();
        if state.streams.contains_key(&request.id) {
            return StartResult::Running;
        }
        if !state.orders.models.contains(&request.model) {
            return StartResult::ModelNotLoaded;
        }
        let stream = self.build_stream(&mut state, request);
        let prompt_memory = stream.count_blocks(0) * stream::BLOCK_TOKENS;
        if prompt_memory > self.options.memory_tokens {
            return StartResult::Overloaded;
        }
        if self.exceeds_cold_limit(&state) {
            fail_all_streams(&mut state);
            return StartResult::Overloaded;
        }
        state.streams.insert(stream.id.clone(), stream);
        StartResult::Running
    }

    /// Cancels a stream and frees its memory; returns false if there is no such stream.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        self.lock().streams.remove(id).is_some()
    }

    fn build_stream(&self, state: &mut State, request: Request) -> stream::Stream {
        let options = &self.options;
        let drawn = length::draw_length(options.seed, options.median_tokens, &request.prompt);
        let length = drawn.min(request.max_tokens.unwrap_or(u64::MAX)).max(1);
        state.arrivals += 1;
        let progress = watch::Sender::new(stream::Progress {
            produced: 0,
            state: stream::State::Waiting,
        });
        stream::Stream {
            arrival: state.arrivals,
            cached_tokens: 0,
            chat: request.chat,
            block_hashes: prefix::hash_blocks(request.prompt.as_bytes()).into(),
            length,
            abandoned_at: None,
            model: request.model,
            prefilled: false,
            priority: request.priority,
            progress,
            prompt_hash: stream::hash_prompt(&request.prompt),
            prompt_tokens: stream::count_tokens(&request.prompt),
            latest_reader: 0,
            finish_reason: if length < drawn { "length" } else { "stop" },
            stalled_at: None,
            id: request.id,
        }
    }

    fn exceeds_cold_limit(&self, state: &State) -> bool {
        let cold = tokio::time::Instant::now() < state.cold_until;
        cold && count_active(state) >= self.options.cold_limit
    }

    /// Decodes one token of each running stream; returns the simulated duration of the step.
    fn step(&self) -> time::Duration {
        let mut state = self.lock();
        remove_abandoned(&mut state);
        let prefill_tokens = self.admit(&mut state);
        let running = list_running(&state);
        if running.is_empty() {
            return IDLE_INTERVAL;
        }
        for id in &running {
            self.decode(&mut state, id);
        }
        let cold = tokio::time::Instant::now() < state.cold_until;
        let other_streams = u32::try_from(running.len() - 1).unwrap_or(u32::MAX);
        let prefill_tokens = u32::try_from(prefill_tokens).unwrap_or(u32::MAX);
        let duration = self.options.step_time
            + self.options.stream_time.saturating_mul(other_streams)
            + self.options.prefill_time.saturating_mul(prefill_tokens);
        if cold {
            duration * COLD_FACTOR
        } else {
            duration
        }
    }

    /// Moves waiting streams into the batch while they fit; returns the number of tokens to prefill.
    fn admit(&self, state: &mut State) -> u64 {
        let mut computed = 0;
        let mut waiting: Vec<_> = state
            .streams
            .values()
            .filter(|stream| stream.state() == stream::State::Waiting)
            .map(|stream| (stream.priority, stream.arrival, stream.id.clone()))
            .collect();
        waiting.sort();
        for (_, _, id) in waiting {
            if list_running(state).len() >= self.options.max_batch {
                break;
            }
            let Some(needed) = state
                .streams
                .get(&id)
                .map(|stream| stream.count_blocks(stream.produced() + 1))
            else {
                continue;
            };
            if !self.free_blocks(state, needed) {
                break;
            }
            computed += add_to_batch(state, &id);
        }
        computed
    }

    /// Evicts cached blocks until `needed` blocks are free; returns false if running streams hold too
    /// many.
    fn free_blocks(&self, state: &mut State, needed: u64) -> bool {
        let total = self.options.memory_tokens / stream::BLOCK_TOKENS;
        let held_blocks = count_held_blocks(state);
        if held_blocks + needed > total {
            return false;
        }
        while held_blocks + needed + state.cache.len() as u64 > total {
            if !state.cache.evict() {
                return false;
            }
        }
        true
    }

    fn decode(&self, state: &mut State, id: &str) {
        let Some(stream) = state.streams.get(id) else {
            return;
        };
        if stream.state() != stream::State::Running {
            return;
        }
        let produced = stream.produced();
        let added = stream.count_blocks(produced + 1) - stream.count_blocks(produced);
        while added > 0 && !self.free_blocks(state, added) {
            let victim = pick_victim(state);
            preempt(state, &victim);
            if victim == id {
                return;
            }
        }
        state.totals.tokens += 1;
        let Some(stream) = state.streams.get(id) else {
            return;
        };
        let finished = produced + 1 >= stream.length;
        stream.progress.send_modify(|progress| {
            progress.produced += 1;
            if finished {
                progress.state = stream::State::Finished;
            }
        });
    }
}

/// Returns the KV cache memory of the running streams, in tokens.
pub(crate) fn count_used_tokens(state: &State) -> u64 {
    count_held_blocks(state) * stream::BLOCK_TOKENS
}

/// Returns the number of waiting and running streams.
pub(crate) fn count_active(state: &State) -> usize {
    state
        .streams
        .values()
        .filter(|stream| {
            matches!(
                stream.state(),
                stream::State::Running | stream::State::Waiting
            )
        })
        .count()
}

/// Returns the ids of the running streams in order of arrival.
pub(crate) fn list_running(state: &State) -> Vec<String> {
    let mut running: Vec<_> = state
        .streams
        .values()
        .filter(|stream| stream.state() == stream::State::Running)
        .collect();
    running.sort_by_key(|stream| stream.arrival);
    running.iter().map(|stream| stream.id.clone()).collect()
}

fn count_held_blocks(state: &State) -> u64 {
    state
        .streams
        .values()
        .filter(|stream| stream.state() == stream::State::Running)
        .map(|stream| stream.count_blocks(stream.produced()))
        .sum()
}

/// Moves a stream into the batch; returns the number of tokens to prefill. After a preemption these
/// include the tokens that the stream had produced.
fn add_to_batch(state: &mut State, id: &str) -> u64 {
    let Some(stream) = state.streams.get_mut(id) else {
        return 0;
    };
    let block_hashes = sync::Arc::clone(&stream.block_hashes);
    let cached = state.cache.touch(&block_hashes) as u64 * stream::BLOCK_TOKENS;
    let cached = cached.min(stream.prompt_tokens.saturating_sub(1));
    if !stream.prefilled {
        stream.cached_tokens = cached;
        stream.prefilled = true;
    }
    if let Some(since) = stream.stalled_at.take() {
        state.totals.stall += since.elapsed();
    }
    stream.set_state(stream::State::Running);
    let computed = stream.prompt_tokens + stream.produced() - cached;
    state.cache.store(&block_hashes);
    computed
}

/// Returns the running stream to preempt: the one of lowest urgency (largest `priority` value), the
/// newest among equals.
fn pick_victim(state: &State) -> String {
    state
        .streams
        .values()
        .filter(|stream| stream.state() == stream::State::Running)
        .max_by_key(|stream| (stream.priority, stream.arrival))
        .map(|stream| stream.id.clone())
        .unwrap_or_default()
}

fn preempt(state: &mut State, id: &str) {
    let Some(stream) = state.streams.get_mut(id) else {
        return;
    };
    stream.set_state(stream::State::Waiting);
    stream.stalled_at = Some(tokio::time::Instant::now());
    state.totals.preemptions += 1;
}

fn remove_abandoned(state: &mut State) {
    state.streams.retain(|_, stream| {
        stream
            .abandoned_at
            .is_none_or(|since| since.elapsed() < ABANDONED_GRACE)
    });
}

fn fail_all_streams(state: &mut State) {
    state.totals.overloads += 1;
    for stream in state.streams.values() {
        stream.set_state(stream::State::Failed);
    }
    state.streams.clear();
}
