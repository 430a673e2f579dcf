//! Upstreams that send heartbeats to this control host, and the gateways that follow it.
//!
//! An upstream's status is soft state: it is kept only by the host that the upstream calls, which
//! pushes changes to the gateways. Every gateway follows every control host.

use std::collections;
use std::sync;
use std::time;

use peargap_adapters::clock;
use peargap_adapters::logs;
use peargap_core::load_totals;
use peargap_core::named_limits;
use peargap_core::pace_table;
use peargap_core::quarantine;
use peargap_core::rollout::schedule;
use peargap_core::time::Instant;
use peargap_core::upstreams;
use peargap_core::waiting;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::documents;
use crate::events;
use crate::leaves;
use crate::replica;
use crate::rollout;

/// Time between checks for silent upstreams.
const EXPIRY_PERIOD: time::Duration = time::Duration::from_millis(500);
/// Time without a heartbeat after which an upstream counts as silent. It is long because a
/// heartbeat may be seconds late, and gateways notice a dead upstream much earlier by their own
/// failed calls.
const SILENCE_MS: u64 = 6000;
/// Time without a heartbeat after which an upstream is removed.
const FORGET_MS: u64 = 120_000;
/// Longest time that the reply to an upstream that stops taking work waits for the gateways to
/// apply its status. A gateway that does not confirm by then is assumed to be partitioned or
/// stopped. The time is below the upstream's own call timeout of one second.
pub(crate) const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Age from which on what waits at a gateway no longer counts: the gateway may have failed, and others
/// would leave room to its requests in vain.
const MAX_WAITING_AGE_MS: u64 = 600;

/// Identifies the link of a gateway; later links have higher keys.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct LinkKey(u64);

/// Statuses of upstreams and links of gateways; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) clock: clock::Clock,
    pub(crate) documents: documents::Documents,
    /// Number of the last change; links wait on it.
    pub(crate) last_change: sync::Arc<watch::Sender<u64>>,
    pub(crate) handle: replica::Handle,
    /// What a bad version may get in a rollout.
    pub(crate) rollout_bounds: schedule::Bounds,
    state: sync::Arc<sync::Mutex<State>>,
    /// Incremented when a gateway has applied a change or a link is removed.
    link_events: sync::Arc<watch::Sender<u64>>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    /// Number of the last change.
    last_change: u64,
    /// Number of the last change of each upstream's status, by upstream.
    pub(crate) changes_by_upstream: collections::HashMap<String, u64>,
    pub(crate) directory: upstreams::Directory,
    last_link: u64,
    /// Limits that upstreams named to gateways.
    limits: named_limits::Table,
    links: collections::BTreeMap<LinkKey, Link>,
    /// Paces of upstreams, from what gateways observe.
    pub(crate) paces: pace_table::Table,
    /// Evidence of gateways on what crashes upstreams.
    pub(crate) quarantine: quarantine::Table,
    /// Questions to gateways, by the number of the change with which each was asked.
    pub(crate) questions: collections::BTreeMap<u64, leaves::Question>,
    /// What gateways have counted of the rollouts in progress.
    pub(crate) rollouts: collections::BTreeMap<LinkKey, rollout::Reported>,
    /// Sums of the loads on all links.
    totals: load_totals::Totals,
    /// Sums of what waits at the gateways on all links.
    waiting: waiting::Table,
}

#[derive(Debug, Default)]
struct Link {
    /// Last change that the gateway has applied.
    applied: u64,
    /// Number of the last update that the gateway has applied.
    applied_number: u64,
    /// Loads in the gateway's last report of them.
    loads: load_totals::Loads,
    /// Whether the gateway reports its load to this host.
    reports_load: bool,
    /// Whether the gateway has no sums from this host yet.
    needs_sums: bool,
    /// What waits at the gateway.
    waiting: waiting::Table,
    /// When the gateway last confirmed what waits there.
    waiting_confirmed: Instant,
}

/// Statuses that changed, and questions that were asked, since a given change.
#[derive(Debug)]
pub(crate) struct Changes {
    /// Number of the last change that the statuses and questions include.
    pub(crate) last_change: u64,
    pub(crate) questions: Vec<leaves::Question>,
    pub(crate) statuses: Vec<upstreams::Status>,
}

/// News of limits.
#[derive(Debug)]
pub(crate) struct Limits {
    /// Number of the last change that the news includes.
    pub(crate) last_change: u64,
    pub(crate) news: Vec<named_limits::News>,
}

/// Load of the other gateways, for a link whose gateway reports its own.
#[derive(Clone, Debug)]
pub(crate) struct Sums {
    /// Number of the last update that the gateway has applied.
    pub(crate) applied_number: u64,
    /// Whether the gateway has no sums from this host yet.
    pub(crate) is_first: bool,
    pub(crate) others: load_totals::Loads,
    /// What waits at the other gateways.
    pub(crate) waiting: waiting::Table,
}

/// Position of a gateway among those that follow this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Rank {
    /// Number of gateways that follow this host.
    pub(crate) gateways: u32,
    /// Position in order of attachment, from 1.
    pub(crate) position: u32,
}

impl Fleet {
    /// Returns an empty fleet and starts the task that marks silent upstreams until `token` is
    /// cancelled.
    pub(crate) fn spawn(
        handle: replica::Handle,
        rollout_bounds: schedule::Bounds,
        token: CancellationToken,
    ) -> Fleet {
        let fleet = Fleet {
            last_change: sync::Arc::new(watch::Sender::new(0)),
            clock: clock::Clock::start(),
            documents: documents::Documents::default(),
            handle,
            link_events: sync::Arc::new(watch::Sender::new(0)),
            rollout_bounds,
            state: sync::Arc::default(),
        };
        tokio::spawn(expire(fleet.clone(), token));
        fleet
    }

    /// Records an upstream's status; returns what it is compared with the known one. If the upstream
    /// is not ready, returns once the gateways have applied the status or did not in time.
    pub(crate) async fn record_status(&self, status: upstreams::Status) -> upstreams::Outcome {
        let is_ready = status.state == upstreams::State::Ready;
        let (outcome, change) = self.merge_status(status);
        if let Some(change) = change.filter(|_change| !is_ready) {
            let deadline = tokio::time::Instant::now() + CONFIRM_TIMEOUT;
            self.wait_until_applied(change, deadline).await;
        }
        outcome
    }

    /// Changes the status of an upstream and tells the gateways; returns the number of the change.
    pub(crate) fn publish(
        &self,
        change: impl FnOnce(Instant, &mut upstreams::Directory) -> Option<upstreams::Status>,
    ) -> Option<u64> {
        let now = self.clock.now();
        let number = {
            let mut state = self.lock();
            let status = change(now, &mut state.directory)?;
            log_status(&status);
            state.record_change(status.name)
        };
        self.last_change.send_replace(number);
        Some(number)
    }

    /// Records news of an upstream's limit, as it named it to a gateway, and tells all gateways.
    pub(crate) fn record_limit(&self, news: named_limits::News) {
        let upstream = news.upstream.clone();
        let per_s = news.per_s;
        if !self.lock().limits.merge(news) {
            return;
        }
        logs::emit(
            events::LIMIT_CHANGED,
            format_args!("upstream={upstream} per_s={per_s:?}"),
        );
        self.last_change.send_modify(|_change| {});
    }

    /// Returns the news of limits that came after `change`.
    pub(crate) fn list_limits(&self, change: u64) -> Limits {
        let state = self.lock();
        Limits {
            last_change: state.limits.last_change(),
            news: state.limits.list_after(change).cloned().collect(),
        }
    }

    /// Merges a status; returns what it is, and the change that told the gateways of it.
    fn merge_status(&self, status: upstreams::Status) -> (upstreams::Outcome, Option<u64>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let outcome = state.directory.merge(now, status.clone());
        let change = match outcome {
            upstreams::Outcome::Changed => {
                log_status(&status);
                let change = state.record_change(status.name);
                drop(state);
                self.last_change.send_replace(change);
                Some(change)
            }
            upstreams::Outcome::Conflict => {
                logs::emit(events::HEARTBEAT_CONFLICT, format_args!("{status}"));
                None
            }
            // An upstream that repeats its call after a lost reply waits for the same change.
            upstreams::Outcome::Known => state.changes_by_upstream.get(&status.name).copied(),
            upstreams::Outcome::Stale => {
                logs::emit(
                    events::HEARTBEAT_STALE,
                    format_args!("upstream={} edition={:?}", status.name, status.edition),
                );
                None
            }
        };
        (outcome, change)
    }

    /// Waits until all gateways have applied a change; returns whether they did by `deadline`.
    pub(crate) async fn wait_until_applied(
        &self,
        change: u64,
        deadline: tokio::time::Instant,
    ) -> bool {
        let mut link_events = self.link_events.subscribe();
        let applied = async {
            while !self.lock().is_applied_by_all(change) {
                if link_events.changed().await.is_err() {
                    return;
                }
            }
        };
        let is_applied = tokio::time::timeout_at(deadline, applied).await.is_ok();
        if !is_applied {
            logs::emit(events::STATUS_UNCONFIRMED, format_args!("change={change}"));
        }
        is_applied
    }

    /// Adds the link of a gateway.
    pub(crate) fn attach(&self) -> LinkKey {
        let mut state = self.lock();
        state.last_link += 1;
        let key = LinkKey(state.last_link);
        state.links.insert(key, Link::default());
        key
    }

    /// Removes a link.
    pub(crate) fn detach(&self, key: LinkKey) {
        let mut state = self.lock();
        state.replace_loads(key, load_totals::Loads::default());
        state.replace_waiting(key, waiting::Table::default());
        state.links.remove(&key);
        state.rollouts.remove(&key);
        drop(state);
        self.link_events.send_modify(|count| *count += 1);
    }

    /// Records that a gateway has applied the update `number` and every change up to `change`.
    pub(crate) fn record_applied(&self, key: LinkKey, number: u64, change: u64) {
        let now = self.clock.now();
        if let Some(link) = self.lock().links.get_mut(&key) {
            link.waiting_confirmed = now;
            link.applied = link.applied.max(change);
            link.applied_number = link.applied_number.max(number);
        }
        self.link_events.send_modify(|count| *count += 1);
    }

    /// Records the loads that a gateway reported. `starts` is set if the gateway has just chosen
    /// this host to report to.
    pub(crate) fn record_loads(
        &self,
        key: LinkKey,
        loads: load_totals::Loads,
        waiting: waiting::Table,
        starts: bool,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.replace_loads(key, loads);
        state.replace_waiting(key, waiting);
        let Some(link) = state.links.get_mut(&key) else {
            return;
        };
        link.waiting_confirmed = now;
        link.needs_sums |= starts;
        let has_started = !core::mem::replace(&mut link.reports_load, true);
        drop(state);
        if has_started {
            // Wakes the links: they poll for sums only while their gateway reports its load.
            self.last_change.send_modify(|_change| {});
        }
    }

    /// Records that a gateway reports its load to another host from now on.
    pub(crate) fn stop_loads(&self, key: LinkKey) {
        let mut state = self.lock();
        state.replace_loads(key, load_totals::Loads::default());
        state.replace_waiting(key, waiting::Table::default());
        if let Some(link) = state.links.get_mut(&key) {
            link.reports_load = false;
        }
    }

    /// Returns what the link of a gateway that reports its load needs, or `None` for other links.
    pub(crate) fn read_sums(&self, key: LinkKey) -> Option<Sums> {
        let mut state = self.lock();
        let link = state.links.get_mut(&key).filter(|link| link.reports_load)?;
        let is_first = core::mem::take(&mut link.needs_sums);
        let applied_number = link.applied_number;
        let link = state.links.get(&key)?;
        Some(Sums {
            applied_number,
            is_first,
            others: state.totals.without(&link.loads),
            waiting: state.waiting.without(&link.waiting),
        })
    }

    /// Returns whether the gateway reports its load to this host.
    pub(crate) fn reports_load(&self, key: LinkKey) -> bool {
        let state = self.lock();
        state.links.get(&key).is_some_and(|link| link.reports_load)
    }

    /// Returns the position of this link's gateway.
    pub(crate) fn find_rank(&self, key: LinkKey) -> Rank {
        let state = self.lock();
        let position = state.links.range(..=key).count();
        Rank {
            gateways: u32::try_from(state.links.len()).unwrap_or(u32::MAX),
            position: u32::try_from(position).unwrap_or(u32::MAX),
        }
    }

    /// Returns the statuses that changed, with their remaining cold-start time, and the questions that
    /// were asked after `after`.
    pub(crate) fn list_changes(&self, after: u64) -> Changes {
        let now = self.clock.now();
        let state = self.lock();
        let is_changed = |status: &upstreams::Status| {
            state
                .changes_by_upstream
                .get(&status.name)
                .is_some_and(|change| *change > after)
        };
        let changed = state
            .directory
            .entries()
            .filter(|entry| is_changed(&entry.status));
        let statuses = changed.map(|entry| {
            let mut status = entry.status.clone();
            status.cold_ms = status.cold_ms.saturating_sub(now.millis_since(entry.heard));
            status
        });
        let questions = state.questions.range(after + 1..);
        Changes {
            last_change: state.last_change,
            questions: questions.map(|(_change, one)| one.clone()).collect(),
            statuses: statuses.collect(),
        }
    }

    /// Returns a receiver of the number of the last change.
    pub(crate) fn watch_changes(&self) -> watch::Receiver<u64> {
        self.last_change.subscribe()
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn replace_loads(&mut self, key: LinkKey, loads: load_totals::Loads) {
        if let Some(link) = self.links.get_mut(&key) {
            self.totals.replace(&link.loads, &loads);
            link.loads = loads;
        }
    }

    fn replace_waiting(&mut self, key: LinkKey, waiting: waiting::Table) {
        if let Some(link) = self.links.get_mut(&key) {
            self.waiting.replace(&link.waiting, &waiting);
            link.waiting = waiting;
        }
    }

    /// Drops what waits at gateways that have not confirmed it lately; returns how many there are.
    fn drop_unconfirmed_waiting(&mut self, now: Instant) -> usize {
        let is_old = |link: &Link| {
            link.waiting != waiting::Table::default()
                && now.millis_since(link.waiting_confirmed) > MAX_WAITING_AGE_MS
        };
        let links = self.links.iter();
        let old = links.filter(|(_key, link)| is_old(link));
        let old: Vec<LinkKey> = old.map(|(key, _link)| *key).collect();
        for key in &old {
            self.replace_waiting(*key, waiting::Table::default());
        }
        old.len()
    }

    /// Returns the number of a new change.
    pub(crate) fn next_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }

    fn record_change(&mut self, name: String) -> u64 {
        let change = self.next_change();
        self.changes_by_upstream.insert(name, change);
        change
    }

    fn is_applied_by_all(&self, change: u64) -> bool {
        self.links.values().all(|link| link.applied >= change)
    }
}

fn log_status(status: &upstreams::Status) {
    logs::emit(events::UPSTREAM_CHANGED, format_args!("{status}"));
}

/// Marks upstreams silent whose heartbeats have stopped, and removes them later.
async fn expire(fleet: Fleet, token: CancellationToken) {
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(EXPIRY_PERIOD) => {}
        }
        let now = fleet.clock.now();
        let change = {
            let mut state = fleet.lock();
            let dropped = state.drop_unconfirmed_waiting(now);
            if dropped > 0 {
                logs::emit(events::WAITING_DROPPED, format_args!("gateways={dropped}"));
            }
            let expired = state.directory.expire(now, SILENCE_MS);
            state.directory.forget(now, FORGET_MS);
            for status in expired {
                log_status(&status);
                state.record_change(status.name);
            }
            state.last_change
        };
        fleet.last_change.send_if_modified(|last| {
            let changed = *last != change;
            *last = change;
            changed
        });
    }
}
