//! The prefix cache: whole leading blocks of prompts, in limited memory, least recently used out.

use std::collections;

use serde::Serialize;

/// Events kept for readers.
const EVENTS_KEPT: usize = 4_096;
/// Every so many events one is never published.
const GAP_PERIOD: u64 = 17;
/// Events younger than this many are not published yet.
const LATE_EVENTS: u64 = 4;

/// A change of the cache, as published.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    /// The block's hash as 16 hexadecimal digits.
    pub(crate) hash: String,
    /// `stored` or `evicted`.
    pub(crate) kind: &'static str,
    pub(crate) sequence: u64,
}

/// Cached blocks in order of use.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    clock: u64,
    events: collections::VecDeque<Event>,
    last: u64,
    used: collections::HashMap<u64, u64>,
}

impl Cache {
    /// Returns the blocks held.
    pub(crate) fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns how many leading blocks of `hashes` are held, and marks them as used.
    pub(crate) fn touch(&mut self, hashes: &[u64]) -> usize {
        self.clock += 1;
        let clock = self.clock;
        let mut found = 0;
        for hash in hashes {
            let Some(used) = self.used.get_mut(hash) else {
                break;
            };
            *used = clock;
            found += 1;
        }
        found
    }

    /// Holds the blocks of `hashes`.
    pub(crate) fn store(&mut self, hashes: &[u64]) {
        self.clock += 1;
        for hash in hashes {
            if self.used.insert(*hash, self.clock).is_none() {
                self.publish("stored", *hash);
            }
        }
    }

    /// Drops the least recently used block; returns false when none is held.
    pub(crate) fn evict(&mut self) -> bool {
        let oldest = self.used.iter().min_by_key(|(hash, used)| (**used, **hash));
        let Some((&hash, _)) = oldest else {
            return false;
        };
        self.used.remove(&hash);
        self.publish("evicted", hash);
        true
    }

    /// Returns the events after `after` that are old enough, with gaps.
    pub(crate) fn list_events(&self, after: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.sequence > after)
            .filter(|event| event.sequence + LATE_EVENTS <= self.last)
            .filter(|event| event.sequence % GAP_PERIOD != 0)
            .cloned()
            .collect()
    }

    /// Returns the sequence number of the last event.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    fn publish(&mut self, kind: &'static str, hash: u64) {
        self.last += 1;
        self.events.push_back(Event {
            hash: format!("{hash:016x}"),
            kind,
            sequence: self.last,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
