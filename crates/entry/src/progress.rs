//! Delivery progress of a generation.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;

/// What to do with a received chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChunkAction {
    /// Deliver these tokens.
    Deliver {
        /// Offset of the first token.
        offset: u64,
        /// The tokens not delivered before.
        tokens: Vec<Bytes>,
    },
    /// Tokens before the chunk are missing.
    Gap,
    /// All tokens of the chunk were delivered before.
    Ignore,
}

/// How the generation that a link names relates to the one in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GenerationCheck {
    /// It is named for the first time on this request: announce it to the caller.
    New,
    /// It differs from the one in progress: nothing of it may be delivered.
    Mismatch,
    /// It was announced before.
    Known,
}

/// Position in one generation; tokens of another generation are never accepted.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    announced: bool,
    delivered: bool,
    generation: Option<sync::Arc<str>>,
    next_offset: u64,
}

impl Progress {
    /// Returns the progress of a caller that resumes at `offset`.
    pub fn resumed(generation: &str, offset: u64) -> Progress {
        Progress {
            announced: false,
            delivered: true,
            generation: Some(generation.into()),
            next_offset: offset,
        }
    }

    /// Checks the generation that a link names.
    pub fn check_generation(&mut self, generation: &str) -> GenerationCheck {
        match &self.generation {
            Some(known) if **known != *generation => return GenerationCheck::Mismatch,
            Some(_) => {}
            None => self.generation = Some(generation.into()),
        }
        if core::mem::replace(&mut self.announced, true) {
            GenerationCheck::Known
        } else {
            GenerationCheck::New
        }
    }

    /// Accepts consecutive tokens; `offset` is that of the first.
    pub fn accept_chunk(&mut self, offset: u64, mut tokens: Vec<Bytes>) -> ChunkAction {
        if offset > self.next_offset {
            return ChunkAction::Gap;
        }
        let known = usize::try_from(self.next_offset - offset).unwrap_or(usize::MAX);
        if known >= tokens.len() {
            return ChunkAction::Ignore;
        }
        tokens.drain(..known);
        let offset = self.next_offset;
        self.next_offset += tokens.len() as u64;
        ChunkAction::Deliver { offset, tokens }
    }

    /// Records that a token was delivered to the caller.
    pub fn set_delivered(&mut self) {
        self.delivered = true;
    }

    /// Returns whether any token was delivered to the caller.
    pub fn is_delivered(&self) -> bool {
        self.delivered
    }

    /// Returns whether any token of the generation was received.
    pub fn has_tokens(&self) -> bool {
        self.next_offset > 0
    }

    /// Returns the generation's id once it is known.
    pub fn generation(&self) -> Option<sync::Arc<str>> {
        self.generation.clone()
    }

    /// Returns the offset of the next expected token.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }
}

/// Offset below which all tokens were written to the caller's connection; shared by clones.
#[derive(Clone, Debug, Default)]
pub struct WrittenOffset(sync::Arc<atomic::AtomicU64>);

impl WrittenOffset {
    /// Returns the offset.
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Acquire)
    }

    /// Sets the offset.
    pub fn set(&self, offset: u64) {
        self.0.store(offset, atomic::Ordering::Release);
    }
}
