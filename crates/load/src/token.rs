//! Checks the tokens of the stand-in engine: right prompt, one generation, in order, each once.

use core::fmt;

use xxhash_rust::xxh3;

/// What is wrong with an answer's tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Text that is no token of the stand-in engine.
    Foreign(String),
    /// The tokens answer another prompt.
    Crossed,
    /// A token is missing, repeated or out of order: the offset wanted and the one that came.
    Order {
        /// Offset that came.
        found: u64,
        /// Offset wanted.
        wanted: u64,
    },
    /// The tokens come from two generations.
    Spliced,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Foreign(text) => write!(formatter, "not a token: {text:?}"),
            Fault::Crossed => write!(formatter, "answers another prompt"),
            Fault::Order { found, wanted } => {
                write!(formatter, "token {found} in place of {wanted}")
            }
            Fault::Spliced => write!(formatter, "tokens of two generations"),
        }
    }
}

/// Checks an answer's tokens as they come.
#[derive(Clone, Debug)]
pub struct Checker {
    generation: Option<String>,
    next: u64,
    prompt: String,
}

impl Checker {
    /// Returns a checker for the answer to `prompt`, as the engine sees the prompt.
    #[must_use]
    pub fn new(prompt: &str) -> Checker {
        let hash = xxh3::xxh3_64(prompt.as_bytes()) as u32;
        Checker {
            generation: None,
            next: 0,
            prompt: format!("{hash:08x}"),
        }
    }

    /// Returns the tokens seen.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.next
    }

    /// Checks the text of further tokens; returns the first fault.
    pub fn check(&mut self, text: &str) -> Result<(), Fault> {
        for word in text.split_whitespace() {
            self.check_word(word)?;
        }
        Ok(())
    }

    fn check_word(&mut self, word: &str) -> Result<(), Fault> {
        let foreign = || Fault::Foreign(word.to_owned());
        let mut parts = word.split('.');
        let prompt = parts.next().ok_or_else(foreign)?;
        let generation = parts.next().ok_or_else(foreign)?;
        let offset = parts.next().ok_or_else(foreign)?;
        let found: u64 = offset.parse().map_err(|_| foreign())?;
        if prompt != self.prompt {
            return Err(Fault::Crossed);
        }
        let first = self.generation.get_or_insert_with(|| generation.to_owned());
        if first != generation {
            return Err(Fault::Spliced);
        }
        if found != self.next {
            return Err(Fault::Order {
                found,
                wanted: self.next,
            });
        }
        self.next += 1;
        Ok(())
    }
}
