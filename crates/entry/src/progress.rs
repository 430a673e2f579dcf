//! How far a generation has come towards its caller.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;

/// What to do with a chunk that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Hand these tokens on.
    Deliver {
        /// Offset of the first.
        offset: u64,
        /// The tokens.
        tokens: Vec<Bytes>,
    },
    /// Tokens before it are missing.
    Gap,
    /// All of it was handed on before.
    Ignore,
}

/// What to do with the name of a generation that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Naming {
    /// It is the first: tell the caller.
    New,
    /// It is another one than before: nothing of it may be handed on.
    Other,
    /// It is known.
    Same,
}

/// Position in one generation. Tokens of two generations never pass.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    announced: bool,
    delivered: bool,
    generation: Option<sync::Arc<str>>,
    next: u64,
}

impl Progress {
    /// Returns the progress of a caller that already has the tokens below `offset`.
    pub fn resumed(generation: &str, offset: u64) -> Progress {
        Progress {
            announced: false,
            delivered: true,
            generation: Some(generation.into()),
            next: offset,
        }
    }

    /// Takes the generation's name.
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

    /// Takes consecutive tokens, the first with this offset.
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

    /// Notes that a token was handed to the caller.
    pub fn set_delivered(&mut self) {
        self.delivered = true;
    }

    /// Returns whether any token was handed to the caller.
    pub fn is_delivered(&self) -> bool {
        self.delivered
    }

    /// Returns whether the generation brought any token.
    pub fn has_tokens(&self) -> bool {
        self.next > 0
    }

    /// Returns the generation, once known.
    pub fn generation(&self) -> Option<sync::Arc<str>> {
        self.generation.clone()
    }

    /// Returns the offset of the next token that is due.
    pub fn next(&self) -> u64 {
        self.next
    }
}

/// Offset below which the caller's connection took every token; shared by clones.
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
