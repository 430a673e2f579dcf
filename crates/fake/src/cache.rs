//! Prefix cache: the full blocks of prompts, evicted in order of least recent use.

use std::collections;

use serde::Serialize;

/// Largest number of events that are kept.
const MAX_EVENTS: usize = 4_096;
/// Every event whose sequence number is a multiple of this is withheld, to test clients with gaps.
const GAP_PERIOD: u64 = 17;
/// Number of latest events that are withheld, to simulate a delayed feed.
const DELAYED_EVENTS: u64 = 4;

/// A change of the cache, in its JSON form.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    /// The block's hash as 16 hexadecimal digits.
    pub(crate) hash: String,
    /// `stored` or `evicted`.
    pub(crate) kind: &'static str,
    pub(crate) sequence: u64,
}

/// Cached blocks and the events of their changes.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    clock: u64,
    events: collections::VecDeque<Event>,
    last_sequence: u64,
    last_used: collections::HashMap<u64, u64>,
}

impl Cache {
    /// Returns the number of cached blocks.
    pub(crate) fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns how many leading blocks of `hashes` are cached, and updates their time of use.
    pub(crate) fn touch(&mut self, hashes: &[u64]) -> usize {
        self.clock += 1;
        let clock = self.clock;
        let mut found = 0;
        for hash in hashes {
            let Some(last_used) = self.last_used.get_mut(hash) else {
                break;
            };
            *last_used = clock;
            found += 1;
        }
        found
    }

    /// Adds the blocks of `hashes` to the cache, or updates their time of use.
    pub(crate) fn store(&mut self, hashes: &[u64]) {
        self.clock += 1;
        for hash in hashes {
            if self.last_used.insert(*hash, self.clock).is_none() {
                self.record("stored", *hash);
            }
        }
    }

    /// Evicts the least recently used block; returns false if the cache is empty.
    pub(crate) fn evict(&mut self) -> bool {
        let oldest = self
            .last_used
            .iter()
            .min_by_key(|(hash, last_used)| (**last_used, **hash));
        let Some((&hash, _)) = oldest else {
            return false;
        };
        self.last_used.remove(&hash);
        self.record("evicted", hash);
        true
    }

    /// Returns the events with sequence numbers above `after`, except those withheld.
    pub(crate) fn list_events(&self, after: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.sequence > after)
            .filter(|event| event.sequence + DELAYED_EVENTS <= self.last_sequence)
            .filter(|event| event.sequence % GAP_PERIOD != 0)
            .cloned()
            .collect()
    }

    /// Returns the sequence number of the last event.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    fn record(&mut self, kind: &'static str, hash: u64) {
        self.last_sequence += 1;
        self.events.push_back(Event {
            hash: format!("{hash:016x}"),
            kind,
            sequence: self.last_sequence,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
