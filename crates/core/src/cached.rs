//! What is known of an engine's prefix cache, from its events and the prompts sent to it.
//!
//! Events come late and with gaps, so this is a hint for placement and never counted as memory.

use std::collections;

use crate::time::Instant;

/// Hashes remembered at most; the one stored first goes first.
const MAX_HASHES: usize = 32_768;
/// Prompts remembered at most; the one used last stays longest.
const MAX_CHAINS: usize = 64;

/// Shortest time between two lists of prefixes on one link, in milliseconds.
pub const LIST_PERIOD_MS: u64 = 2_000;

/// What a load report says of the prefixes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Naming {
    /// They are those named last on the link.
    Kept,
    /// They are these.
    Named(Vec<u64>),
}

/// What was named last on one link.
#[derive(Clone, Debug, Default)]
pub struct Told {
    named: Option<Instant>,
    prefixes: Vec<u64>,
}

impl Told {
    /// Returns what the next report says when `held` are the prefixes now.
    ///
    /// Lists are long, so one goes out only when it changed, and at most each [`LIST_PERIOD_MS`].
    pub fn name(&mut self, now: Instant, held: Vec<u64>) -> Naming {
        let early = self
            .named
            .is_some_and(|named| now.millis_since(named) < LIST_PERIOD_MS);
        if self.named.is_some() && (early || held == self.prefixes) {
            return Naming::Kept;
        }
        self.named = Some(now);
        self.prefixes.clone_from(&held);
        Naming::Named(held)
    }
}

/// A change of the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The block was dropped.
    Evicted(u64),
    /// The block was stored.
    Stored(u64),
}

/// What the cache is known to hold.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Hashes of leading blocks of prompts, the newest prompt last.
    chains: collections::VecDeque<Vec<u64>>,
    held: collections::HashSet<u64>,
    /// Order of storing; may name hashes that were evicted since.
    order: collections::VecDeque<u64>,
}

impl Known {
    /// Returns nothing known.
    #[must_use]
    pub fn new() -> Known {
        Known::default()
    }

    /// Forgets the cache, as after a new start of the engine.
    pub fn clear(&mut self) {
        *self = Known::default();
    }

    /// Notes a change of the cache.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Evicted(hash) => {
                self.held.remove(&hash);
            }
            Change::Stored(hash) => {
                if self.held.insert(hash) {
                    self.order.push_back(hash);
                }
            }
        }
        while self.order.len() > MAX_HASHES {
            if let Some(oldest) = self.order.pop_front() {
                self.held.remove(&oldest);
            }
        }
    }

    /// Notes the hashes of a prompt's leading blocks, the shortest prefix first.
    pub fn note_chain(&mut self, chain: &[u64]) {
        let Some(last) = chain.last() else {
            return;
        };
        self.chains.retain(|known| known.last() != Some(last));
        self.chains.push_back(chain.to_vec());
        if self.chains.len() > MAX_CHAINS {
            self.chains.pop_front();
        }
    }

    /// Returns up to `most` hashes that are held, those of the newest prompts first.
    ///
    /// Of each prompt only the prefixes of 1, 2, 4, 8, … blocks and the whole are named.
    #[must_use]
    pub fn list_prefixes(&self, most: usize) -> Vec<u64> {
        let mut listed = collections::HashSet::new();
        let mut prefixes = Vec::new();
        for chain in self.chains.iter().rev() {
            for (index, hash) in chain.iter().enumerate().rev() {
                let blocks = index + 1;
                let named = blocks.is_power_of_two() || blocks == chain.len();
                if !named || !self.held.contains(hash) || !listed.insert(*hash) {
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
