//! What control hosts know of upstreams that announce themselves, and the gateways that follow.
//!
//! Upstreams' words are soft state: each lives at the host that the upstream calls, which pushes
//! news to every gateway that follows it. Every gateway follows every control host.

use std::collections;
use std::sync;
use std::time;

use peargap_adapters::clock;
use peargap_adapters::logs;
use peargap_core::upstreams;
use peargap_wire::fleet as wire;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::events;
use crate::replica;

/// Time between looks for silent upstreams.
const EXPIRY_PERIOD: time::Duration = time::Duration::from_millis(500);
/// Time without a heartbeat after which an upstream counts as silent. A heartbeat may come seconds
/// late, and gateways notice a dead upstream by their own calls much earlier.
const SILENCE_MS: u64 = 6000;
/// Time without a heartbeat after which an upstream is forgotten.
const FORGET_MS: u64 = 120_000;
/// Time that an upstream waits for all gateways to know that it leaves. One that does not answer
/// by then is cut off or stopped; the upstream's own timeout is a second.
const SPREAD_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Number of a link from a gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct LinkKey(u64);

/// Upstreams and following gateways; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    clock: clock::Clock,
    /// Number of the last change, for links to wait on.
    changed: sync::Arc<watch::Sender<u64>>,
    pub(crate) handle: replica::Handle,
    state: sync::Arc<sync::Mutex<State>>,
    /// Bumped when a link has applied more.
    spread: sync::Arc<watch::Sender<u64>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of the last change.
    change: u64,
    /// Change in which an upstream's word became news.
    changes: collections::HashMap<String, u64>,
    directory: upstreams::Directory,
    last_link: u64,
    links: collections::BTreeMap<LinkKey, Link>,
}

#[derive(Debug, Default)]
struct Link {
    /// Last change that is in force at the gateway.
    applied: u64,
    /// Load that the gateway reported last.
    loads: Vec<wire::Load>,
}

/// News for one gateway.
#[derive(Debug)]
pub(crate) struct News {
    /// Number of the last change that the words include.
    pub(crate) change: u64,
    pub(crate) words: Vec<upstreams::Status>,
}

/// A gateway's place among those that follow this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Rank {
    /// How many they are.
    pub(crate) gateways: u32,
    /// Its place, from 1.
    pub(crate) position: u32,
}

impl Fleet {
    /// Returns an empty fleet that marks silent upstreams until `token` is cancelled.
    pub(crate) fn spawn(handle: replica::Handle, token: CancellationToken) -> Fleet {
        let fleet = Fleet {
            changed: sync::Arc::new(watch::Sender::new(0)),
            clock: clock::Clock::start(),
            handle,
            spread: sync::Arc::new(watch::Sender::new(0)),
            state: sync::Arc::default(),
        };
        tokio::spawn(expire(fleet.clone(), token));
        fleet
    }

    /// Takes an upstream's word. Where it takes no more work, returns once the gateways know.
    pub(crate) async fn hear(&self, word: upstreams::Status) {
        let is_ready = word.state == upstreams::State::Ready;
        let Some(change) = self.note(word) else {
            return;
        };
        if !is_ready {
            self.wait_spread(change).await;
        }
    }

    /// Notes that an upstream said that it goes; returns once the gateways know.
    pub(crate) async fn leave(&self, name: &str) {
        let change = {
            let mut state = self.lock();
            let Some(word) = state.directory.leave(self.clock.now(), name) else {
                return;
            };
            log_word(&word);
            state.note_change(word.name)
        };
        self.changed.send_replace(change);
        self.wait_spread(change).await;
    }

    fn note(&self, word: upstreams::Status) -> Option<u64> {
        let now = self.clock.now();
        let change = {
            let mut state = self.lock();
            match state.directory.merge(now, word.clone()) {
                upstreams::Outcome::Changed => {
                    log_word(&word);
                    state.note_change(word.name)
                }
                // A host that asks again after a lost answer waits for the same change.
                upstreams::Outcome::Known => {
                    return state.changes.get(&word.name).copied();
                }
                upstreams::Outcome::Stale => {
                    logs::emit(
                        events::WORD_STALE,
                        format_args!("upstream={} edition={:?}", word.name, word.edition),
                    );
                    return None;
                }
            }
        };
        self.changed.send_replace(change);
        Some(change)
    }

    async fn wait_spread(&self, change: u64) {
        let mut spread = self.spread.subscribe();
        let known = async {
            while !self.lock().is_spread(change) {
                if spread.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(SPREAD_TIMEOUT, known).await.is_err() {
            logs::emit(events::SPREAD_LATE, format_args!("change={change}"));
        }
    }

    /// Adds a link.
    pub(crate) fn attach(&self) -> LinkKey {
        let mut state = self.lock();
        state.last_link += 1;
        let key = LinkKey(state.last_link);
        state.links.insert(key, Link::default());
        key
    }

    /// Removes a link.
    pub(crate) fn detach(&self, key: LinkKey) {
        self.lock().links.remove(&key);
        self.spread.send_modify(|count| *count += 1);
    }

    /// Notes that everything up to a change is in force at a link's gateway.
    pub(crate) fn note_applied(&self, key: LinkKey, change: u64) {
        if let Some(link) = self.lock().links.get_mut(&key) {
            link.applied = link.applied.max(change);
        }
        self.spread.send_modify(|count| *count += 1);
    }

    /// Takes a gateway's load.
    pub(crate) fn note_loads(&self, key: LinkKey, loads: Vec<wire::Load>) {
        let was_summing = self.has_loads();
        if let Some(link) = self.lock().links.get_mut(&key) {
            link.loads = loads;
        }
        if !was_summing {
            // Wakes the links, which look after sums only where there are any.
            self.changed.send_modify(|_change| {});
        }
    }

    /// Returns whether gateways report their load to this host.
    pub(crate) fn has_loads(&self) -> bool {
        let state = self.lock();
        state.links.values().any(|link| !link.loads.is_empty())
    }

    /// Returns the load of all gateways but the one on this link.
    pub(crate) fn sum_others(&self, key: LinkKey) -> Vec<wire::Load> {
        let state = self.lock();
        let mut sums: collections::BTreeMap<&String, wire::Load> = collections::BTreeMap::new();
        let others = state.links.iter().filter(|(other, _link)| **other != key);
        for load in others.flat_map(|(_key, link)| &link.loads) {
            let sum = sums.entry(&load.upstream).or_default();
            sum.copied += load.copied;
            sum.running += load.running;
            sum.tokens += load.tokens;
            sum.waiting += load.waiting;
        }
        let named = sums.into_iter().map(|(upstream, mut sum)| {
            sum.upstream = upstream.clone();
            sum
        });
        named.collect()
    }

    /// Returns the place of the gateway on this link.
    pub(crate) fn find_rank(&self, key: LinkKey) -> Rank {
        let state = self.lock();
        let before = state.links.range(..=key).count();
        Rank {
            gateways: u32::try_from(state.links.len()).unwrap_or(u32::MAX),
            position: u32::try_from(before).unwrap_or(u32::MAX),
        }
    }

    /// Returns the words that are news after a change, with what is left of their cold time.
    pub(crate) fn list_news(&self, after: u64) -> News {
        let now = self.clock.now();
        let state = self.lock();
        let is_news = |word: &upstreams::Status| {
            state
                .changes
                .get(&word.name)
                .is_some_and(|change| *change > after)
        };
        let news = state
            .directory
            .entries()
            .filter(|entry| is_news(&entry.status));
        let words = news.map(|entry| {
            let mut word = entry.status.clone();
            word.cold_ms = word.cold_ms.saturating_sub(now.millis_since(entry.heard));
            word
        });
        News {
            change: state.change,
            words: words.collect(),
        }
    }

    /// Returns the number of the last change, updated with each.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn note_change(&mut self, name: String) -> u64 {
        self.change += 1;
        self.changes.insert(name, self.change);
        self.change
    }

    fn is_spread(&self, change: u64) -> bool {
        self.links.values().all(|link| link.applied >= change)
    }
}

fn log_word(word: &upstreams::Status) {
    logs::emit(events::UPSTREAM_HEARD, format_args!("{word}"));
}

/// Marks upstreams silent that stopped their heartbeats.
async fn expire(fleet: Fleet, token: CancellationToken) {
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(EXPIRY_PERIOD) => {}
        }
        let now = fleet.clock.now();
        let change = {
            let mut state = fleet.lock();
            let expired = state.directory.expire(now, SILENCE_MS);
            state.directory.forget(now, FORGET_MS);
            for word in expired {
                log_word(&word);
                state.note_change(word.name);
            }
            state.change
        };
        fleet.changed.send_if_modified(|seen| {
            let changed = *seen != change;
            *seen = change;
            changed
        });
    }
}
