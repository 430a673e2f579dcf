//! What upstreams say of themselves, merged from several control hosts.
//!
//! Nothing here is replicated: an upstream repeats its word with each heartbeat. Of two words of
//! one name the one from the later start wins, then the one with the higher heartbeat number.

use std::collections;

use crate::time;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Takes no new work and leaves soon.
    Draining,
    /// Said that it is going; takes no new work.
    Left,
    /// Takes new work.
    Ready,
    /// Not heard of for several heartbeats.
    Silent,
}

/// Which of an upstream's words is meant.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Edition {
    /// Start of the process by its own clock, in Unix milliseconds.
    pub born_ms: u64,
    /// Number of the heartbeat.
    pub sequence: u64,
}

/// What an upstream said of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Word {
    /// IP address and port.
    pub address: String,
    /// How much longer it carries only little, in milliseconds from when this was heard.
    pub cold_ms: u64,
    /// Failure domain.
    pub domain: String,
    /// Which word this is.
    pub edition: Edition,
    /// Name of this start of the upstream.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
}

impl Word {
    /// Returns whether both say the same but for the heartbeat's number and the cold time left.
    #[must_use]
    pub fn agrees(&self, other: &Word) -> bool {
        let mut other = other.clone();
        other.cold_ms = self.cold_ms;
        other.edition.sequence = self.edition.sequence;
        *self == other
    }
}

impl core::fmt::Display for Word {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(
            formatter,
            "upstream={} service={} address={} domain={} state={:?} cold_ms={} born_ms={} \
             sequence={}",
            self.name,
            self.service,
            self.address,
            self.domain,
            self.state,
            self.cold_ms,
            self.edition.born_ms,
            self.edition.sequence
        )
    }
}

/// What became of a word that was heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It says something new.
    Changed,
    /// It is as new as what was known, or newer, and says the same.
    Known,
    /// It is older than what is known.
    Stale,
}

/// An upstream as it is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// When it was heard of last.
    pub heard: time::Instant,
    /// What it said.
    pub word: Word,
}

/// The upstreams that one process knows.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: collections::HashMap<String, Entry>,
}

impl Directory {
    /// Takes a word.
    pub fn hear(&mut self, now: time::Instant, word: Word) -> Outcome {
        let Some(known) = self.entries.get_mut(&word.name) else {
            let name = word.name.clone();
            self.entries.insert(name, Entry { heard: now, word });
            return Outcome::Changed;
        };
        match judge(&known.word, &word) {
            Outcome::Stale => Outcome::Stale,
            outcome => {
                *known = Entry { heard: now, word };
                outcome
            }
        }
    }

    /// Notes that an upstream said that it is going; returns its last word when that is news.
    pub fn leave(&mut self, now: time::Instant, name: &str) -> Option<Word> {
        let known = self.entries.get_mut(name)?;
        if known.word.state == State::Left {
            return None;
        }
        known.heard = now;
        known.word.state = State::Left;
        Some(known.word.clone())
    }

    /// Marks upstreams silent that were not heard of for `silence_ms`; returns their words.
    pub fn expire(&mut self, now: time::Instant, silence_ms: u64) -> Vec<Word> {
        let mut expired = Vec::new();
        for entry in self.entries.values_mut() {
            let is_over = now.millis_since(entry.heard) > silence_ms;
            if is_over && entry.word.state != State::Silent {
                entry.word.state = State::Silent;
                expired.push(entry.word.clone());
            }
        }
        expired
    }

    /// Forgets upstreams that were not heard of for `after_ms`.
    pub fn forget(&mut self, now: time::Instant, after_ms: u64) {
        self.entries
            .retain(|_name, entry| now.millis_since(entry.heard) <= after_ms);
    }

    /// Returns all that are known.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }
}

/// Compares a word with the one that is known of the same name.
#[must_use]
pub fn judge(known: &Word, word: &Word) -> Outcome {
    if word.edition < known.edition {
        return Outcome::Stale;
    }
    let is_same_start = word.edition.born_ms == known.edition.born_ms;
    // After its goodbye, a start takes no work again, whatever arrives late.
    if is_same_start && known.state == State::Left && word.state != State::Left {
        return Outcome::Stale;
    }
    // Silence is what one listener noticed; another one may know better.
    let is_same_word = word.edition == known.edition;
    if is_same_word && known.state != State::Silent && word.state == State::Ready {
        return match known.state {
            State::Ready => Outcome::Known,
            _ => Outcome::Stale,
        };
    }
    match known.agrees(word) {
        true => Outcome::Known,
        false => Outcome::Changed,
    }
}
