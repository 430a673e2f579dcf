//! Checks the tokens of the fake engine: they answer the right prompt, come from one generation,
//! and arrive in order, each exactly once.
//!
//! A token reads `{hash of the prompt}.{generation}.{offset}`.

use core::fmt;

use xxhash_rust::xxh3;

/// What is wrong with an answer's tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Text that is not a token of the fake engine.
    Unrecognized(String),
    /// The tokens belong to the answer to another prompt.
    WrongPrompt,
    /// A token is missing, repeated or out of order.
    OutOfOrder {
        /// Offset received.
        found: u64,
        /// Offset expected.
        expected: u64,
    },
    /// The answer mixes tokens of two generations.
    MixedGenerations,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unrecognized(text) => write!(formatter, "not a token: {text:?}"),
            Fault::WrongPrompt => write!(formatter, "token belongs to another prompt"),
            Fault::OutOfOrder { found, expected } => {
                write!(formatter, "expected token {expected}, got {found}")
            }
            Fault::MixedGenerations => write!(formatter, "tokens of two generations in one answer"),
        }
    }
}

/// Checks the tokens of one answer incrementally.
#[derive(Clone, Debug)]
pub struct Checker {
    generation: Option<String>,
    next: u64,
    prompt_hash: String,
}

impl Checker {
    /// Returns a checker for the answer to `prompt`, given as the engine hashes it.
    #[must_use]
    pub fn new(prompt: &str) -> Checker {
        let hash = xxh3::xxh3_64(prompt.as_bytes()) as u32;
        Checker {
            generation: None,
            next: 0,
            prompt_hash: format!("{hash:08x}"),
        }
    }

    /// Returns the number of tokens checked.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.next
    }

    /// Checks the text of the next tokens; returns the first fault.
    pub fn check(&mut self, text: &str) -> Result<(), Fault> {
        for word in text.split_whitespace() {
            self.check_word(word)?;
        }
        Ok(())
    }

    fn check_word(&mut self, word: &str) -> Result<(), Fault> {
        let unrecognized = || Fault::Unrecognized(word.to_owned());
        let mut parts = word.split('.');
        let prompt = parts.next().ok_or_else(unrecognized)?;
        let generation = parts.next().ok_or_else(unrecognized)?;
        let offset = parts.next().ok_or_else(unrecognized)?;
        let found: u64 = offset.parse().map_err(|_| unrecognized())?;
        if prompt != self.prompt_hash {
            return Err(Fault::WrongPrompt);
        }
        let first = self.generation.get_or_insert_with(|| generation.to_owned());
        if first != generation {
            return Err(Fault::MixedGenerations);
        }
        if found != self.next {
            return Err(Fault::OutOfOrder {
                found,
                expected: self.next,
            });
        }
        self.next += 1;
        Ok(())
    }
}
