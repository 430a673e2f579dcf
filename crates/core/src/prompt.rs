//! Identity of a prompt: the model that it is for, and the parts that it may share with others.

use core::fmt;

use xxhash_rust::xxh3;

/// Parts of one prompt that are kept; later ones are ignored.
pub const MAX_PARTS: usize = 256;
/// Parts of a prompt that are written in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// A part of prompts for one model.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Part {
    /// ID that callers gave it.
    pub id: u64,
    /// Hash of the model's name.
    pub model: u64,
}

impl Part {
    /// Returns the part that has this ID, for a model of this name.
    #[must_use]
    pub fn new(model: &[u8], id: u64) -> Part {
        Part {
            id,
            model: xxh3::xxh3_64(model),
        }
    }
}

/// Returns the number that stands for a part's ID which is no number itself.
#[must_use]
pub fn hash_id(id: &[u8]) -> u64 {
    xxh3::xxh3_64(id)
}

impl fmt::Debug for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.id)
    }
}

/// The parts of one prompt that other prompts may have as well, in their order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt(Vec<Part>);

impl Prompt {
    /// Returns the prompt with these parts, each of them once; at most [`MAX_PARTS`] are kept.
    #[must_use]
    pub fn new(parts: impl IntoIterator<Item = Part>) -> Prompt {
        let mut kept = Vec::new();
        for part in parts.into_iter().take(MAX_PARTS) {
            if !kept.contains(&part) {
                kept.push(part);
            }
        }
        Prompt(kept)
    }

    /// Returns the parts.
    #[must_use]
    pub fn parts(&self) -> &[Part] {
        &self.0
    }
}

impl fmt::Display for Prompt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().take(MAX_LOGGED_PARTS).enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(formatter, "{separator}{part}")?;
        }
        let more = self.0.len().saturating_sub(MAX_LOGGED_PARTS);
        match more {
            0 => Ok(()),
            more => write!(formatter, ",+{more}"),
        }
    }
}
