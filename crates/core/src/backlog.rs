//! Entries that are told on several links, each of which may be behind.

use std::collections;

/// The latest entries, oldest first.
#[derive(Clone, Debug)]
pub struct Backlog<T> {
    /// Entries that are no longer kept.
    dropped: usize,
    entries: collections::VecDeque<T>,
    max_entries: usize,
}

impl<T> Backlog<T> {
    /// Returns an empty backlog that keeps this many entries.
    #[must_use]
    pub fn new(max_entries: usize) -> Backlog<T> {
        Backlog {
            dropped: 0,
            entries: collections::VecDeque::new(),
            max_entries,
        }
    }

    /// Adds an entry; the oldest is dropped if there are too many.
    pub fn push(&mut self, entry: T) {
        self.entries.push_back(entry);
        if self.entries.len() > self.max_entries {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the number of entries so far.
    #[must_use]
    pub fn count(&self) -> usize {
        self.dropped + self.entries.len()
    }

    /// Returns the entries that are kept.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter()
    }

    /// Returns the entries after the first `known` ones, without those that were dropped.
    pub fn list_after(&self, known: usize) -> impl Iterator<Item = &T> {
        self.entries.iter().skip(known.saturating_sub(self.dropped))
    }
}
