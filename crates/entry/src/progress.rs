//! Delivery progress of a generation.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;

/// What to do with a received chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
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
pub enum Naming {
    /// It is named for the first time on this request: announce it to the caller.
    New,
    /// It differs from the one in progress: nothing of it may be delivered.
    Other,
    /// It was announced before.
    Same,
}

/// Position in one generation; tokens of another generation are never accepted.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    announced: bool,
    delivered: bool,
    generation: Option<sync::Arc<str>>,
    next: u64,
}

impl Progress {
    /// Returns the progress of a caller that resumes at `offset`.
    pub fn resumed(generation: &str, offset: u64) -> Progress {
        Progress {
            announced: false,
            delivered: true,
            generation: Some(generation.into()),
            next: offset,
        }
    }

    /// Checks the generation that a link names.
    pub fn take_name(&mut self, generation: &str) -> Naming {
        match &self.generation {
            Some(known) if **known != *generation => return Naming::Other,
            Some(_) => {}
            None => self.generation = Some(generation.into()),
        }
        if core::mem::replace(&mut self.announced, true) {
            Naming::Same
        } else {
            Naming::New
        }
    }

    /// Accepts consecutive tokens; `offset` is that of the first.
    pub fn take_chunk(&mut self, offset: u64, mut tokens: Vec<Bytes>) -> Step {
        if offset > self.next {
            return Step::Gap;
        }
        let known = usize::try_from(self.next - offset).unwrap_or(usize::MAX);
        if known >= tokens.len() {
            return Step::Ignore;
        }
        tokens.drain(..known);
        let offset = self.next;
        self.next += tokens.len() as u64;
        Step::Deliver { offset, tokens }
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
        self.next > 0
    }

    /// Returns the generation's id once it is known.
    pub fn generation(&self) -> Option<sync::Arc<str>> {
        self.generation.clone()
    }

    /// Returns the offset of the next expected token.
    pub fn next(&self) -> u64 {
        self.next
    }
}

/// Offset below which all tokens were written to the caller's connection; shared by clones.
#[derive(Clone, Debug, Default)]
pub struct Written(sync::Arc<atomic::AtomicU64>);

impl Written {
    /// Returns the offset.
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Acquire)
    }

    /// Sets the offset.
    pub fn set(&self, offset: u64) {
        self.0.store(offset, atomic::Ordering::Release);
    }
}
