//! Prefix cache of the simulated engine, with least-recently-used eviction.

use std::collections;

/// Prompt tokens in a cached block.
pub const BLOCK_TOKENS: u32 = 64;

/// A change of the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// All blocks were removed.
    Cleared,
    /// The block with this hash was evicted.
    Evicted(u64),
    /// The block with this hash was stored.
    Stored(u64),
}

/// A prefix cache of limited capacity.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: collections::HashMap<u64, u64>,
    capacity: usize,
    /// Events that have not been consumed yet.
    pub events: Vec<Event>,
    order: collections::VecDeque<(u64, u64)>,
    stamp: u64,
}

impl Cache {
    /// Returns an empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Cache {
        Cache {
            capacity,
            ..Cache::default()
        }
    }

    /// Returns the length in tokens of the longest cached prefix.
    #[must_use]
    pub fn matched_tokens(&self, prefix: &[u64]) -> u32 {
        let held = prefix
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash));
        held.count() as u32 * BLOCK_TOKENS
    }

    /// Stores the blocks and evicts the least recently stored ones beyond the capacity.
    pub fn store(&mut self, prefix: &[u64]) {
        for hash in prefix {
            self.stamp += 1;
            self.order.push_back((*hash, self.stamp));
            if self.blocks.insert(*hash, self.stamp).is_none() {
                self.events.push(Event::Stored(*hash));
            }
        }
        while self.blocks.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
        self.events.push(Event::Cleared);
    }

    fn evict_oldest(&mut self) {
        let Some((hash, stamp)) = self.order.pop_front() else {
            return;
        };
        if self.blocks.get(&hash) == Some(&stamp) {
            self.blocks.remove(&hash);
            self.events.push(Event::Evicted(hash));
        }
    }
}
