//! One generation inside the stand-in engine.

use std::sync;

use tokio::sync::watch;
use xxhash_rust::xxh3;

/// Tokens in one block of KV memory.
pub(crate) const BLOCK_TOKENS: u64 = 16;
/// Bytes of prompt text in one token.
const TOKEN_BYTES: u64 = 4;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Decoded in each step.
    Running,
    /// Waits for memory, its memory is free.
    Waiting,
    /// All tokens produced.
    Finished,
    /// The engine fell over.
    Failed,
}

/// What readers of a stream see.
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
    pub(crate) hashes: sync::Arc<[u64]>,
    pub(crate) id: String,
    pub(crate) length: u64,
    pub(crate) lost_at: Option<tokio::time::Instant>,
    pub(crate) model: String,
    pub(crate) prefilled: bool,
    pub(crate) priority: i64,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) prompt_hash: u32,
    pub(crate) prompt_tokens: u64,
    /// Number of the reader that came last.
    pub(crate) reader: u64,
    pub(crate) reason: &'static str,
    pub(crate) stalled_at: Option<tokio::time::Instant>,
}

impl Stream {
    /// Returns the tokens produced so far.
    pub(crate) fn produced(&self) -> u64 {
        self.progress.borrow().produced
    }

    /// Returns where the stream stands.
    pub(crate) fn state(&self) -> State {
        self.progress.borrow().state
    }

    /// Sets where the stream stands.
    pub(crate) fn set_state(&self, state: State) {
        self.progress.send_modify(|progress| progress.state = state);
    }

    /// Returns the blocks it holds with `produced` tokens.
    pub(crate) fn count_blocks(&self, produced: u64) -> u64 {
        (self.prompt_tokens + produced).div_ceil(BLOCK_TOKENS)
    }

    /// Returns the text of the token at `offset`: prompt's hash, generation's hash, offset.
    pub(crate) fn format_token(&self, offset: u64) -> String {
        let generation = xxh3::xxh3_64(self.id.as_bytes()) as u16;
        format!("{:08x}.{generation:04x}.{offset} ", self.prompt_hash)
    }
}

/// Returns the tokens of a prompt.
pub(crate) fn count_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(TOKEN_BYTES).max(1)
}

/// Returns the hash that each token of the prompt's answer begins with.
pub(crate) fn hash_prompt(prompt: &str) -> u32 {
    xxh3::xxh3_64(prompt.as_bytes()) as u32
}
