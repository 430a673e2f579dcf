//! A generation in the simulated engine.

use std::sync;

use tokio::sync::watch;
use xxhash_rust::xxh3;

/// Tokens in one block of the KV cache.
pub(crate) const BLOCK_TOKENS: u64 = 16;
/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: u64 = 4;

/// State of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// In the batch: each step decodes a token.
    Running,
    /// Waits for a place in the batch, at first or after a preemption; holds no memory.
    Waiting,
    /// All tokens have been produced.
    Finished,
    /// The cold engine was overloaded, which fails all streams.
    Failed,
}

/// Progress of a stream, as its readers observe it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Progress {
    pub(crate) produced: u64,
    pub(crate) state: State,
}

/// A generation.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) arrival: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) chat: bool,
    pub(crate) block_hashes: sync::Arc<[u64]>,
    pub(crate) id: String,
    pub(crate) length: u64,
    pub(crate) abandoned_at: Option<tokio::time::Instant>,
    pub(crate) model: String,
    pub(crate) prefilled: bool,
    pub(crate) priority: i64,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) prompt_hash: u32,
    pub(crate) prompt_tokens: u64,
    /// Number of the latest reader.
    pub(crate) latest_reader: u64,
    pub(crate) finish_reason: &'static str,
    pub(crate) stalled_at: Option<tokio::time::Instant>,
}

impl Stream {
    /// Returns the number of tokens produced so far.
    pub(crate) fn produced(&self) -> u64 {
        self.progress.borrow().produced
    }

    pub(crate) fn state(&self) -> State {
        self.progress.borrow().state
    }

    /// Sets the state and notifies readers.
    pub(crate) fn set_state(&self, state: State) {
        self.progress.send_modify(|progress| progress.state = state);
    }

    /// Returns the number of blocks that the stream needs with `produced` output tokens.
    pub(crate) fn count_blocks(&self, produced: u64) -> u64 {
        (self.prompt_tokens + produced).div_ceil(BLOCK_TOKENS)
    }

    /// Returns the text of the token at `offset`: hash of the prompt, hash of the stream's id, offset.
    pub(crate) fn format_token(&self, offset: u64) -> String {
        let generation = xxh3::xxh3_64(self.id.as_bytes()) as u16;
        format!("{:08x}.{generation:04x}.{offset} ", self.prompt_hash)
    }
}

/// Returns the number of tokens in a prompt, at least one.
pub(crate) fn count_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(TOKEN_BYTES).max(1)
}

/// Returns the prompt's hash, with which the text of each output token begins.
pub(crate) fn hash_prompt(prompt: &str) -> u32 {
    xxh3::xxh3_64(prompt.as_bytes()) as u32
}
