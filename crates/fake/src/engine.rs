//! The stand-in engine: continuous batching in block-wise KV memory.

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

/// How long a stream runs on after its reader is gone.
const GRACE: time::Duration = time::Duration::from_secs(10);
/// Pause of an engine with nothing to do.
const IDLE: time::Duration = time::Duration::from_millis(2);
/// A cold engine's steps take this many times as long.
const COLD_FACTOR: u32 = 4;

/// Totals for the load report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    /// Times that it fell over.
    pub(crate) falls: u64,
    pub(crate) preemptions: u64,
    pub(crate) stall: time::Duration,
    pub(crate) tokens: u64,
}

/// What the engine holds.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) cache: cache::Cache,
    pub(crate) cold_until: tokio::time::Instant,
    pub(crate) orders: orders::Orders,
    pub(crate) streams: collections::BTreeMap<String, stream::Stream>,
    pub(crate) totals: Totals,
    arrivals: u64,
}

/// A stand-in engine; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) incarnation: sync::Arc<str>,
    pub(crate) options: sync::Arc<options::Engine>,
    state: sync::Arc<sync::Mutex<State>>,
}

/// A request as read from its body.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) chat: bool,
    pub(crate) id: String,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) model: String,
    pub(crate) priority: i64,
    pub(crate) prompt: String,
}

/// What became of a request.
pub(crate) enum Started {
    /// Too many streams for a cold engine, or too large for its memory.
    Overloaded,
    /// The model is not loaded.
    NoModel,
    /// It runs, or did already.
    Running,
}

impl Engine {
    /// Returns an engine that is cold as long as the options say.
    pub(crate) fn new(options: options::Engine) -> Engine {
        let incarnation = format!("{:08x}", rand::random::<u32>());
        let state = State {
            cache: cache::Cache::default(),
            cold_until: tokio::time::Instant::now() + options.cold,
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

    /// Gives access to what the engine holds.
    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Runs steps for ever.
    pub(crate) async fn run(self) {
        loop {
            let pause = self.step();
            tokio::time::sleep(pause).await;
        }
    }

    /// Makes the engine cold with no announcement.
    pub(crate) fn turn_cold(&self) {
        let mut state = self.lock();
        state.cold_until = tokio::time::Instant::now() + self.options.cold;
        while state.cache.evict() {}
    }

    /// Starts a request; a request id that is known is not started again.
    pub(crate) fn start(&self, request: Request) -> Started {
        let mut state = self.lock();
        if state.streams.contains_key(&request.id) {
            return Started::Running;
        }
        if !state.orders.models.contains(&request.model) {
            return Started::NoModel;
        }
        let stream = self.build_stream(&mut state, request);
        let whole = stream.count_blocks(0) * stream::BLOCK_TOKENS;
        if whole > self.options.memory_tokens {
            return Started::Overloaded;
        }
        if self.is_over_cold(&state) {
            fall_over(&mut state);
            return Started::Overloaded;
        }
        state.streams.insert(stream.id.clone(), stream);
        Started::Running
    }

    /// Cancels a stream and frees its memory; returns false when it is not known.
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
            hashes: prefix::hash_blocks(request.prompt.as_bytes()).into(),
            length,
            lost_at: None,
            model: request.model,
            prefilled: false,
            priority: request.priority,
            progress,
            prompt_hash: stream::hash_prompt(&request.prompt),
            prompt_tokens: stream::count_tokens(&request.prompt),
            reader: 0,
            reason: if length < drawn { "length" } else { "stop" },
            stalled_at: None,
            id: request.id,
        }
    }

    fn is_over_cold(&self, state: &State) -> bool {
        let cold = tokio::time::Instant::now() < state.cold_until;
        cold && count_active(state) >= self.options.cold_limit
    }

    /// Decodes one token of each running stream; returns the time that it takes.
    fn step(&self) -> time::Duration {
        let mut state = self.lock();
        drop_lost(&mut state);
        let prefilled = self.admit(&mut state);
        let running = list_running(&state);
        if running.is_empty() {
            return IDLE;
        }
        for id in &running {
            self.decode(&mut state, id);
        }
        let cold = tokio::time::Instant::now() < state.cold_until;
        let further = u32::try_from(running.len() - 1).unwrap_or(u32::MAX);
        let prefill = u32::try_from(prefilled).unwrap_or(u32::MAX);
        let took = self.options.step
            + self.options.stream.saturating_mul(further)
            + self.options.prefill.saturating_mul(prefill);
        if cold {
            took * COLD_FACTOR
        } else {
            took
        }
    }

    /// Takes waiting streams in while they fit; returns the prompt tokens to compute.
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
            if !self.make_room(state, needed) {
                break;
            }
            computed += take_in(state, &id);
        }
        computed
    }

    /// Evicts cached blocks until `needed` blocks are free; returns false when that is not enough.
    fn make_room(&self, state: &mut State, needed: u64) -> bool {
        let total = self.options.memory_tokens / stream::BLOCK_TOKENS;
        let held = count_held(state);
        if held + needed > total {
            return false;
        }
        while held + needed + state.cache.len() as u64 > total {
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
        while added > 0 && !self.make_room(state, added) {
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

/// Returns the tokens of memory that running streams hold.
pub(crate) fn count_used(state: &State) -> u64 {
    count_held(state) * stream::BLOCK_TOKENS
}

/// Returns the streams that wait or run.
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

/// Returns the ids of running streams in the order of their arrival.
pub(crate) fn list_running(state: &State) -> Vec<String> {
    let mut running: Vec<_> = state
        .streams
        .values()
        .filter(|stream| stream.state() == stream::State::Running)
        .collect();
    running.sort_by_key(|stream| stream.arrival);
    running.iter().map(|stream| stream.id.clone()).collect()
}

fn count_held(state: &State) -> u64 {
    state
        .streams
        .values()
        .filter(|stream| stream.state() == stream::State::Running)
        .map(|stream| stream.count_blocks(stream.produced()))
        .sum()
}

/// Moves a stream into the batch; returns the prompt tokens to compute.
fn take_in(state: &mut State, id: &str) -> u64 {
    let Some(stream) = state.streams.get_mut(id) else {
        return 0;
    };
    let hashes = sync::Arc::clone(&stream.hashes);
    let cached = state.cache.touch(&hashes) as u64 * stream::BLOCK_TOKENS;
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
    state.cache.store(&hashes);
    computed
}

/// Returns the running stream that gives way: least urgent, then newest.
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

fn drop_lost(state: &mut State) {
    state
        .streams
        .retain(|_, stream| stream.lost_at.is_none_or(|lost| lost.elapsed() < GRACE));
}

fn fall_over(state: &mut State) {
    state.totals.falls += 1;
    for stream in state.streams.values() {
        stream.set_state(stream::State::Failed);
    }
    state.streams.clear();
}
