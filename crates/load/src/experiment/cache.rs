//! Prefix cache of the stand-in engine: limited, least recently used first out.

use std::collections;

/// Prompt tokens in a cached block.
pub const BLOCK_TOKENS: u32 = 64;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// All blocks are gone.
    Cleared,
    /// The block is gone.
    Evicted(u64),
    /// The block is held.
    Stored(u64),
}

/// The cache.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: collections::HashMap<u64, u64>,
    capacity: usize,
    /// Events since they were last taken.
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

    /// Returns how many leading tokens are held.
    #[must_use]
    pub fn matched_tokens(&self, prefix: &[u64]) -> u32 {
        let held = prefix
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash));
        held.count() as u32 * BLOCK_TOKENS
    }

    /// Holds the blocks and evicts the oldest beyond the capacity.
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

    /// Drops everything.
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
