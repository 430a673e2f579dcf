//! Estimated contents of an engine's prefix cache, from its events and the prompts sent to it.
//!
//! Events arrive late and some are missing, so this is only a hint for placement and never counts
//! as engine memory.

use std::collections;

use crate::time::Instant;

/// Limit on block hashes; beyond it the one stored first is dropped.
const MAX_HASHES: usize = 32_768;
/// Limit on prompts; beyond it the least recently used is dropped.
const MAX_CHAINS: usize = 64;

/// Shortest time between two prefix lists on one link, in milliseconds.
pub const LIST_PERIOD_MS: u64 = 2_000;

/// The prefixes in a load report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PrefixReport {
    /// The list sent last on the link still applies.
    Kept,
    /// A new list, which replaces the last one.
    List(Vec<u64>),
}

/// The prefix list sent last on one link, and when it was sent.
#[derive(Clone, Debug, Default)]
pub struct ReportedPrefixes {
    sent_at: Option<Instant>,
    prefixes: Vec<u64>,
}

impl ReportedPrefixes {
    /// Returns what the next load report contains, given the prefixes that are cached now.
    ///
    /// Lists are long, so one is sent only if it has changed, and at most once per
    /// [`LIST_PERIOD_MS`].
    pub fn next_report(&mut self, now: Instant, cached: Vec<u64>) -> PrefixReport {
        let early = self
            .sent_at
            .is_some_and(|sent_at| now.millis_since(sent_at) < LIST_PERIOD_MS);
        if self.sent_at.is_some() && (early || cached == self.prefixes) {
            return PrefixReport::Kept;
        }
        self.sent_at = Some(now);
        self.prefixes.clone_from(&cached);
        PrefixReport::List(cached)
    }
}

/// A change of the cache, by block hash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The block was evicted.
    Evicted(u64),
    /// The block was stored.
    Stored(u64),
}

/// Estimated contents of the cache.
#[derive(Clone, Debug, Default)]
pub struct CacheContents {
    /// Hash chains of prompts (see [`crate::prefix`]), the most recent prompt last.
    chains: collections::VecDeque<Vec<u64>>,
    cached: collections::HashSet<u64>,
    /// Hashes in the order they were stored; may contain hashes that have been evicted.
    insertion_order: collections::VecDeque<u64>,
}

impl CacheContents {
    /// Returns empty contents.
    #[must_use]
    pub fn new() -> CacheContents {
        CacheContents::default()
    }

    /// Clears the contents, for example after a restart of the engine.
    pub fn clear(&mut self) {
        *self = CacheContents::default();
    }

    /// Applies a change of the cache.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Evicted(hash) => {
                self.cached.remove(&hash);
            }
            Change::Stored(hash) => {
                if self.cached.insert(hash) {
                    self.insertion_order.push_back(hash);
                }
            }
        }
        while self.insertion_order.len() > MAX_HASHES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.cached.remove(&oldest);
            }
        }
    }

    /// Records the hash chain of a prompt, the shortest prefix first.
    pub fn record_chain(&mut self, chain: &[u64]) {
        let Some(last) = chain.last() else {
            return;
        };
        self.chains.retain(|known| known.last() != Some(last));
        self.chains.push_back(chain.to_vec());
        if self.chains.len() > MAX_CHAINS {
            self.chains.pop_front();
        }
    }

    /// Returns up to `most` cached prefix hashes, those of the most recent prompts first.
    ///
    /// Of each prompt, lists only the prefixes of 1, 2, 4, 8, … blocks and the whole chain.
    #[must_use]
    pub fn list_prefixes(&self, most: usize) -> Vec<u64> {
        let mut listed = collections::HashSet::new();
        let mut prefixes = Vec::new();
        for chain in self.chains.iter().rev() {
            for (index, hash) in chain.iter().enumerate().rev() {
                let blocks = index + 1;
                let selected = blocks.is_power_of_two() || blocks == chain.len();
                if !selected || !self.cached.contains(hash) || !listed.insert(*hash) {
                    continue;
                }
                if prefixes.len() == most {
                    return prefixes;
                }
                prefixes.push(*hash);
            }
        }
        prefixes
    }
}
