//! Limits that upstreams name, as gateways and control hosts tell each other of them.
//!
//! Each change of a limit has a higher sequence number than all that its gateway had heard of before,
//! so that the news may arrive in any order and more than once.

use std::collections;

/// Upstreams that are kept. The one whose limit changed first is dropped.
const MAX_ENTRIES: usize = 1024;
/// Relative difference up to which another limit is no news.
const SAME_LIMIT: f64 = 0.05;

/// News of the limit of one start of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Start time of the process by its own clock, in Unix milliseconds.
    pub born_ms: u64,
    /// Requests a second from all gateways; `None` if it names no limit any longer.
    pub per_s: Option<f64>,
    /// Number that orders the news of one start.
    pub sequence: u64,
    /// Name of the upstream.
    pub upstream: String,
}

impl News {
    fn is_newer_than(&self, other: &News) -> bool {
        let order = (self.born_ms, self.sequence).cmp(&(other.born_ms, other.sequence));
        // Of two limits that gateways named at once, the lower one is kept.
        let limit = |news: &News| news.per_s.unwrap_or(f64::INFINITY);
        order.is_gt() || order.is_eq() && limit(self) < limit(other)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    /// Number of the change that brought the news.
    change: u64,
    /// Whether this process read the limit itself.
    is_own: bool,
    news: News,
}

/// Latest news of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: collections::BTreeMap<String, Entry>,
    last_change: u64,
}

impl Table {
    /// Returns whether no upstream ever named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the limit of one start of an upstream, in requests a second.
    #[must_use]
    pub fn get(&self, upstream: &str, born_ms: u64) -> Option<f64> {
        let entry = self.entries.get(upstream)?;
        (entry.news.born_ms == born_ms)
            .then_some(entry.news.per_s)
            .flatten()
    }

    /// Records the limit that this process has read in a response; returns whether it is news.
    pub fn name(&mut self, upstream: &str, born_ms: u64, per_s: Option<f64>) -> bool {
        let known = self.entries.get(upstream);
        let known = known.filter(|entry| entry.news.born_ms >= born_ms);
        if known.is_some_and(|entry| entry.news.born_ms > born_ms) {
            return false;
        }
        let former = known.and_then(|entry| entry.news.per_s);
        let is_same = match (former, per_s) {
            (None, None) => true,
            (Some(former), Some(per_s)) => (per_s - former).abs() <= SAME_LIMIT * former,
            (None, Some(_)) | (Some(_), None) => false,
        };
        if is_same {
            return false;
        }
        let news = News {
            born_ms,
            per_s,
            sequence: known.map_or(1, |entry| entry.news.sequence + 1),
            upstream: upstream.to_owned(),
        };
        self.insert(news, true);
        true
    }

    /// Merges news from another process; returns whether it was new.
    pub fn merge(&mut self, news: News) -> bool {
        let known = self.entries.get(&news.upstream);
        if known.is_some_and(|known| !news.is_newer_than(&known.news)) {
            return false;
        }
        self.insert(news, false);
        true
    }

    fn insert(&mut self, news: News, is_own: bool) {
        self.last_change += 1;
        let entry = Entry {
            change: self.last_change,
            is_own,
            news: news.clone(),
        };
        self.entries.insert(news.upstream, entry);
        if self.entries.len() > MAX_ENTRIES {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_name, entry)| entry.change);
            if let Some(name) = oldest.map(|(name, _entry)| name.clone()) {
                self.entries.remove(&name);
            }
        }
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the news that came after `change`.
    pub fn list_after(&self, change: u64) -> impl Iterator<Item = &News> {
        let entries = self.entries.values();
        let later = entries.filter(move |entry| entry.change > change);
        later.map(|entry| &entry.news)
    }

    /// Returns the news after `change` that this process has read itself.
    pub fn list_own_after(&self, change: u64) -> impl Iterator<Item = &News> {
        let entries = self.entries.values();
        let later = entries.filter(move |entry| entry.is_own && entry.change > change);
        later.map(|entry| &entry.news)
    }
}
