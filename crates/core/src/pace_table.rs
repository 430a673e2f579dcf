//! Paces of upstreams as a control host sums them up for all gateways.
//!
//! Gateways tell what they have observed since they told it before; a host adds it up and tells
//! paces that have changed. Observations age in two parts: once the newer part has enough, or is
//! old, it takes the place of the older one. Thus an upstream that gets requests shows what it does
//! now, and one that gets none is remembered for a while.

use std::collections;

use crate::pace;
use crate::time::Instant;

/// Upstreams that are kept. The one that was told of first is dropped.
const MAX_ENTRIES: usize = 2048;
/// Time after which a part with enough observations becomes the older one, in milliseconds.
const PART_MS: u64 = 5_000;
/// Time after which any part becomes the older one, in milliseconds.
const LONGEST_PART_MS: u64 = 30_000;
/// Observations that are enough.
const ENOUGH: u32 = 4;
/// Relative difference up to which another pace is no news.
const SAME_PACE: f64 = 0.15;
/// Observations from which on twice as many are no news.
const SETTLED: u32 = 8;

/// Pace of one start of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Start time of the process by its own clock, in Unix milliseconds.
    pub born_ms: u64,
    /// Its pace.
    pub pace: pace::Pace,
    /// Name of the upstream.
    pub upstream: String,
}

/// What one gateway has observed of one start of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Observed {
    /// Start time of the process by its own clock, in Unix milliseconds.
    pub born_ms: u64,
    /// The observations.
    pub samples: pace::Samples,
    /// Name of the upstream.
    pub upstream: String,
}

#[derive(Clone, Debug)]
struct Entry {
    born_ms: u64,
    /// Number of the change that brought the pace.
    change: u64,
    newer: pace::Samples,
    newer_since: Instant,
    older: pace::Samples,
    /// Pace as it was told.
    told: pace::Pace,
}

impl Entry {
    fn new(now: Instant, born_ms: u64) -> Entry {
        Entry {
            born_ms,
            change: 0,
            newer: pace::Samples::default(),
            newer_since: now,
            older: pace::Samples::default(),
            told: pace::Pace::default(),
        }
    }

    fn add(&mut self, now: Instant, samples: &pace::Samples) {
        let age_ms = now.millis_since(self.newer_since);
        let has_enough = self.newer.first.total() >= ENOUGH;
        if age_ms >= LONGEST_PART_MS || age_ms >= PART_MS && has_enough {
            self.older = core::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer = self.newer.plus(samples);
    }

    fn pace(&self) -> pace::Pace {
        self.older.plus(&self.newer).pace()
    }
}

/// Paces by the names of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: collections::BTreeMap<String, Entry>,
    last_change: u64,
}

impl Table {
    /// Adds what a gateway has observed; returns whether the pace has changed. What belongs to an
    /// earlier start of the upstream is ignored.
    pub fn record(&mut self, now: Instant, observed: Observed) -> bool {
        let born_ms = observed.born_ms;
        let entry = self.entries.entry(observed.upstream);
        let entry = entry.or_insert_with(|| Entry::new(now, born_ms));
        if entry.born_ms > born_ms {
            return false;
        }
        if entry.born_ms < born_ms {
            *entry = Entry::new(now, born_ms);
        }
        entry.add(now, &observed.samples);
        let pace = entry.pace();
        let is_news = is_news(&entry.told, &pace);
        if is_news {
            self.last_change += 1;
            entry.told = pace;
            entry.change = self.last_change;
        }
        self.limit_entries();
        is_news
    }

    fn limit_entries(&mut self) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_name, entry)| entry.change);
        if let Some(name) = oldest.map(|(name, _entry)| name.clone()) {
            self.entries.remove(&name);
        }
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the paces that have changed after `change`.
    pub fn list_after(&self, change: u64) -> impl Iterator<Item = News> + '_ {
        let later = self
            .entries
            .iter()
            .filter(move |(_name, entry)| entry.change > change);
        later.map(|(name, entry)| News {
            born_ms: entry.born_ms,
            pace: entry.told,
            upstream: name.clone(),
        })
    }
}

/// Returns whether a pace differs so much from the one that was told that it is to be told.
fn is_news(told: &pace::Pace, pace: &pace::Pace) -> bool {
    let differs = |told: pace::Ratio, now: pace::Ratio| {
        let difference = (now.value - told.value).abs();
        let is_surer = told.count < SETTLED && now.count >= told.count * 2;
        difference > SAME_PACE * told.value || is_surer && now.count > told.count
    };
    differs(told.first, pace.first)
        || differs(told.gap, pace.gap)
        || differs(told.longest, pace.longest)
}
