//! Shared state of a gateway: routes, failure domains out of service, upstreams and their load.

use std::collections;
use std::net;
use std::sync;

use peargap_adapters::clock;
use peargap_adapters::logs;
use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::routes;
use peargap_core::time;
use peargap_core::upstreams;
use peargap_wire::fleet as wire;
use slotmap::SlotMap;
use tokio::sync::watch;

use crate::events;
use crate::placement;
use crate::pool;
use crate::upstream;

slotmap::new_key_type! {
    /// Key of an upstream.
    pub(crate) struct UpstreamKey;
}

/// Time after the start of the process during which routes and upstreams may not be known yet.
const STARTUP_TIME: core::time::Duration = core::time::Duration::from_secs(3);
/// Time after which an upstream that has left or is silent is removed, in milliseconds.
const FORGET_MS: u64 = 30_000;
/// Reported token counts are rounded up to a multiple of this, so that growing generations do not
/// change the report with each event.
const REPORTED_TOKENS_STEP: u64 = 256;

/// State of the fleet at this gateway, shared by all clones.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) clock: clock::Clock,
    changed: sync::Arc<watch::Sender<u64>>,
    domain: sync::Arc<str>,
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    domains_out: collections::BTreeSet<String>,
    /// Latest request for a routing document.
    fetch: Option<Fetch>,
    /// Keys of the upstreams by name.
    names: collections::BTreeMap<String, UpstreamKey>,
    gateway_position: GatewayPosition,
    /// When the load from other gateways was last received.
    remote_loads_at: time::Instant,
    /// Revision of `domains_out`.
    revision: u64,
    table: Option<sync::Arc<routes::Table>>,
    upstreams: SlotMap<UpstreamKey, upstream::Upstream>,
    /// Version of `table`; 0 without one.
    version: u64,
}

/// Position of this gateway among all gateways.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct GatewayPosition {
    /// Number of gateways; 0 until a control host has sent it.
    pub(crate) gateways: u32,
    /// Position of this gateway, from 1.
    pub(crate) position: u32,
}

/// A routing document that was requested from a control host.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    requested_at: time::Instant,
    version: u64,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementError {
    /// All candidates are full.
    Full,
    /// No upstream takes new work.
    NoUpstream,
}

/// What the result of a call says about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Its process is not at its address.
    Absent,
    /// It broke the connection before a valid answer.
    Broken,
    /// It refused the request or failed.
    Failed,
    /// It answered.
    Succeeded,
    /// The network did not deliver the request or its answer.
    Unreachable,
}

/// Requirements for the choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Criteria<'a> {
    /// Upstreams to exclude.
    pub(crate) exclude: &'a [UpstreamKey],
    /// Upstream whose failure domain is preferred; `None` prefers the gateway's own domain.
    pub(crate) near: Option<UpstreamKey>,
    pub(crate) service: &'a routes::Service,
    /// Estimated tokens that a generation holds.
    pub(crate) tokens: u64,
}

impl Fleet {
    /// Returns an empty fleet for a gateway in a failure domain.
    pub(crate) fn new(domain: &str) -> Fleet {
        Fleet {
            changed: sync::Arc::new(watch::Sender::new(0)),
            clock: clock::Clock::start(),
            domain: sync::Arc::from(domain),
            state: sync::Arc::default(),
        }
    }

    /// Returns the current routing table, or `None` before the first document.
    pub(crate) fn table(&self) -> Option<sync::Arc<routes::Table>> {
        self.lock().table.clone()
    }

    /// Returns whether the process has started recently, so that missing routes and upstreams are
    /// expected to become known soon.
    pub(crate) fn is_starting(&self) -> bool {
        self.clock.now() < time::Instant(0) + STARTUP_TIME
    }

    /// Returns the current routing table. If the process has started recently, waits for the first
    /// document, until `deadline` at most.
    pub(crate) async fn wait_for_table(
        &self,
        deadline: tokio::time::Instant,
    ) -> Option<sync::Arc<routes::Table>> {
        let found = self.wait_at_start(|fleet| fleet.table());
        tokio::time::timeout_at(deadline, found)
            .await
            .ok()
            .flatten()
    }

    /// If the process has started recently, waits for the first upstream of a service, until
    /// `deadline` at most.
    pub(crate) async fn wait_for_upstream(&self, service: &str, deadline: tokio::time::Instant) {
        let found = self.wait_at_start(|fleet| fleet.has_upstream(service).then_some(()));
        // Without an upstream the request is refused when it is placed.
        let _ = tokio::time::timeout_at(deadline, found).await;
    }

    /// Returns what `find` finds. If the process has started recently, waits until it finds
    /// something.
    async fn wait_at_start<T>(&self, find: impl Fn(&Fleet) -> Option<T>) -> Option<T> {
        let mut changes = self.changes();
        loop {
            if let Some(found) = find(self) {
                return Some(found);
            }
            if !self.is_starting() || changes.changed().await.is_err() {
                return None;
            }
        }
    }

    fn has_upstream(&self, service: &str) -> bool {
        let state = self.lock();
        let mut upstreams = state.upstreams.values();
        upstreams.any(|upstream| {
            upstream.status.service == service && upstream.status.state == upstreams::State::Ready
        })
    }

    /// Replaces the routing table unless the current one is at least as new.
    pub(crate) fn apply_table(&self, table: routes::Table) {
        let mut state = self.lock();
        if table.version() <= state.version {
            return;
        }
        state.version = table.version();
        state.table = Some(sync::Arc::new(table));
        logs::emit(
            events::DOCUMENT_APPLIED,
            format_args!("version={}", state.version),
        );
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns whether to request a document, and notes the request: false if this version or a
    /// newer one was requested within `timeout`.
    pub(crate) fn start_fetch(&self, version: u64, timeout: core::time::Duration) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_pending = state
            .fetch
            .is_some_and(|fetch| fetch.version >= version && now < fetch.requested_at + timeout);
        if is_pending {
            return false;
        }
        state.fetch = Some(Fetch {
            requested_at: now,
            version,
        });
        true
    }

    /// Returns the version of the current routing table; 0 without one.
    pub(crate) fn version(&self) -> u64 {
        self.lock().version
    }

    /// Replaces the set of failure domains out of service unless the current one is at least as
    /// new.
    pub(crate) fn apply_outage(&self, revision: u64, domains: Vec<String>) {
        let mut state = self.lock();
        if revision <= state.revision {
            return;
        }
        state.revision = revision;
        state.domains_out = domains.into_iter().collect();
        logs::emit(
            events::OUTAGE_APPLIED,
            format_args!("revision={revision} domains={:?}", state.domains_out),
        );
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Merges a received upstream status.
    pub(crate) fn merge_status(&self, status: upstreams::Status) {
        let now = self.clock.now();
        let outcome = self.lock().merge_status(now, status.clone());
        if outcome == upstreams::Outcome::Changed {
            logs::emit(events::UPSTREAM_CHANGED, format_args!("{status}"));
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Clears the load from other gateways, as another control host reports it from now on.
    pub(crate) fn clear_remote_loads(&self) {
        for upstream in self.lock().upstreams.values_mut() {
            upstream.remote_load = balance::Load::default();
        }
    }

    /// Sets the position of this gateway.
    pub(crate) fn set_position(&self, position: GatewayPosition) {
        self.lock().gateway_position = position;
    }

    /// Updates the load from other gateways; upstreams that are not listed are unchanged.
    pub(crate) fn update_remote_loads(&self, loads: &[wire::Load]) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.remote_loads_at = now;
        for load in loads {
            let Some(key) = state.names.get(&load.upstream).copied() else {
                continue;
            };
            if let Some(upstream) = state.upstreams.get_mut(key) {
                upstream.remote_load = balance::Load {
                    copied: u64::from(load.copied),
                    failing: load.failing,
                    running: load.running,
                    tokens: u64::from(load.tokens),
                    waiting: u64::from(load.waiting),
                };
            }
        }
    }

    /// Returns the load from this gateway on each upstream that has any.
    pub(crate) fn list_local_loads(&self) -> Vec<wire::Load> {
        let state = self.lock();
        let with_load = state.upstreams.values().filter(|upstream| {
            upstream.local_load != balance::Load::default()
                || upstream.breaker.is_upstream_failing()
        });
        let loads = with_load.map(|upstream| wire::Load {
            copied: u32::try_from(round_up(upstream.local_load.copied)).unwrap_or(u32::MAX),
            failing: u32::from(upstream.breaker.is_upstream_failing()),
            running: upstream.local_load.running,
            tokens: u32::try_from(round_up(upstream.local_load.tokens)).unwrap_or(u32::MAX),
            upstream: upstream.status.name.clone(),
            waiting: u32::try_from(upstream.local_load.waiting).unwrap_or(u32::MAX),
        });
        loads.collect()
    }

    /// Subscribes to a counter that increases when the routing table, an upstream or the domains out
    /// of service change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns whether an upstream is leaving, has left or is unknown.
    pub(crate) fn is_leaving(&self, key: UpstreamKey) -> bool {
        let state = self.lock();
        let Some(upstream) = state.upstreams.get(key) else {
            return true;
        };
        match upstream.status.state {
            upstreams::State::Draining | upstreams::State::Left => true,
            upstreams::State::Ready | upstreams::State::Silent => false,
        }
    }

    /// Returns whether an upstream is ready and its failure domain is in service, so that copies
    /// there are expected to last.
    pub(crate) fn is_in_service(&self, key: UpstreamKey) -> bool {
        let state = self.lock();
        let upstream = state.upstreams.get(key);
        upstream.is_some_and(|upstream| {
            upstream.status.state == upstreams::State::Ready
                && !upstream.breaker.is_open()
                && !state.domains_out.contains(&upstream.status.domain)
        })
    }

    /// Chooses an upstream for a plain call.
    pub(crate) fn place_plain(
        &self,
        criteria: Criteria<'_>,
    ) -> Result<placement::Placement, PlacementError> {
        let load = balance::Load {
            running: 1,
            ..balance::Load::default()
        };
        self.place(criteria, load, |candidates| {
            balance::choose_plain(candidates, &mut rand::rng())
        })
    }

    /// Chooses an engine for a generation.
    pub(crate) fn place_generation(
        &self,
        criteria: Criteria<'_>,
    ) -> Result<placement::Placement, PlacementError> {
        let load = balance::Load {
            running: 1,
            tokens: criteria.tokens,
            waiting: criteria.tokens,
            ..balance::Load::default()
        };
        self.place(criteria, load, |candidates| {
            balance::choose_engine(candidates, criteria.tokens, &mut rand::rng())
        })
    }

    /// Chooses an engine for the copy of a generation.
    pub(crate) fn place_copy(
        &self,
        criteria: Criteria<'_>,
        purpose: balance::Purpose,
    ) -> Result<placement::Placement, PlacementError> {
        let load = balance::Load {
            copied: criteria.tokens,
            ..balance::Load::default()
        };
        self.place(criteria, load, |candidates| {
            balance::choose_copy(candidates, criteria.tokens, purpose, &mut rand::rng())
        })
    }

    fn place(
        &self,
        criteria: Criteria<'_>,
        load: balance::Load,
        choose: impl FnOnce(&[balance::Candidate<UpstreamKey>]) -> balance::Choice<UpstreamKey>,
    ) -> Result<placement::Placement, PlacementError> {
        let now = self.clock.now();
        let mut state = self.lock();
        let candidates = state.list_candidates(now, criteria, &self.domain);
        let key = match choose(&candidates) {
            balance::Choice::Full => return Err(PlacementError::Full),
            balance::Choice::NoCandidates => return Err(PlacementError::NoUpstream),
            balance::Choice::Take(key) => key,
        };
        let view = placement::View {
            load_age_ms: now.millis_since(state.remote_loads_at),
            load: candidates
                .iter()
                .find(|candidate| candidate.key == key)
                .map(|candidate| candidate.load)
                .unwrap_or_default(),
        };
        let upstream = state
            .upstreams
            .get_mut(key)
            .ok_or(PlacementError::NoUpstream)?;
        if load.running > 0 {
            upstream.count_cold_request(now);
            if upstream.breaker.check(now) == breaker::Decision::Probe {
                upstream.breaker.record_probe(now);
            }
        }
        Ok(placement::Placement::reserve(
            self, key, upstream, load, view,
        ))
    }

    /// Records the outcome of a call in the upstream's circuit breaker.
    pub(crate) fn record_outcome(&self, key: UpstreamKey, outcome: Outcome) {
        let now = self.clock.now();
        if let Some(upstream) = self.lock().upstreams.get_mut(key) {
            match outcome {
                Outcome::Absent => upstream.breaker.record_absence(now),
                Outcome::Broken => upstream.breaker.record_break(now),
                Outcome::Failed => upstream.breaker.record_failure(now),
                Outcome::Succeeded => upstream.breaker.record_success(),
                Outcome::Unreachable => upstream.breaker.record_unreachable(now),
            }
        }
    }

    /// Replaces a part of the load from this gateway; returns whether the upstream is still known.
    pub(crate) fn replace_load(
        &self,
        key: UpstreamKey,
        former: balance::Load,
        load: balance::Load,
    ) -> bool {
        match self.lock().upstreams.get_mut(key) {
            Some(upstream) => {
                upstream.local_load = upstream.local_load.minus(former).plus(load);
                true
            }
            None => false,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn round_up(tokens: u64) -> u64 {
    tokens.div_ceil(REPORTED_TOKENS_STEP) * REPORTED_TOKENS_STEP
}

impl State {
    fn merge_status(
        &mut self,
        now: time::Instant,
        status: upstreams::Status,
    ) -> upstreams::Outcome {
        self.forget(now);
        let Ok(address) = status.address.parse::<net::SocketAddr>() else {
            return upstreams::Outcome::Stale;
        };
        let name = status.name.clone();
        let outcome = self.merge_known_address(now, address, status);
        if outcome == upstreams::Outcome::Changed {
            self.mark_displaced(now, &name);
        }
        outcome
    }

    /// Marks the upstreams as absent at whose address a later process has started, among them the
    /// named one. The breaker admits probes, as the clock of an upstream's host may have been set
    /// back between two starts.
    fn mark_displaced(&mut self, now: time::Instant, name: &str) {
        let Some(key) = self.names.get(name).copied() else {
            return;
        };
        let Some(status) = self
            .upstreams
            .get(key)
            .map(|upstream| upstream.status.clone())
        else {
            return;
        };
        let statuses = self.upstreams.values().map(|upstream| &upstream.status);
        let is_displaced = statuses
            .clone()
            .any(|other| upstreams::is_displaced(&status, other));
        for upstream in self.upstreams.values_mut() {
            let is_named = upstream.status.name == status.name;
            if is_named && is_displaced || upstreams::is_displaced(&upstream.status, &status) {
                upstream.breaker.record_absence(now);
            }
        }
    }

    fn merge_known_address(
        &mut self,
        now: time::Instant,
        address: net::SocketAddr,
        status: upstreams::Status,
    ) -> upstreams::Outcome {
        let cold_until = now + core::time::Duration::from_millis(status.cold_ms);
        let known = self.names.get(&status.name).copied();
        let known = known.and_then(|key| self.upstreams.get_mut(key));
        let Some(known) = known else {
            let name = status.name.clone();
            let key = self.upstreams.insert(upstream::Upstream {
                breaker: breaker::Breaker::new(),
                cold_window_start: now,
                cold_window_requests: 0,
                cold_until,
                last_heard: now,
                remote_load: balance::Load::default(),
                local_load: balance::Load::default(),
                pool: sync::Arc::new(pool::Pool::new(address)),
                status,
            });
            self.names.insert(name, key);
            return upstreams::Outcome::Changed;
        };
        let outcome = upstreams::compare(&known.status, &status);
        if outcome == upstreams::Outcome::Stale {
            return outcome;
        }
        // A restarted process or another address invalidates connections and failure history.
        let is_same_process = known.status.edition.born_ms == status.edition.born_ms
            && known.status.address == status.address;
        if !is_same_process {
            known.breaker = breaker::Breaker::new();
            known.pool = sync::Arc::new(pool::Pool::new(address));
        }
        known.cold_until = cold_until;
        known.last_heard = now;
        known.status = status;
        outcome
    }

    fn forget(&mut self, now: time::Instant) {
        let names = &mut self.names;
        self.upstreams.retain(|_key, upstream| {
            let is_gone = match upstream.status.state {
                upstreams::State::Left | upstreams::State::Silent => {
                    upstream.local_load == balance::Load::default()
                        && now.millis_since(upstream.last_heard) > FORGET_MS
                }
                upstreams::State::Draining | upstreams::State::Ready => false,
            };
            if is_gone {
                names.remove(&upstream.status.name);
            }
            !is_gone
        });
    }

    fn list_candidates(
        &self,
        now: time::Instant,
        criteria: Criteria<'_>,
        domain: &str,
    ) -> Vec<balance::Candidate<UpstreamKey>> {
        let gateways = f64::from(self.gateway_position.gateways.max(1));
        let near = criteria.near.and_then(|key| self.upstreams.get(key));
        let domain = near.map_or(domain, |near| &near.status.domain);
        // All gateways number the upstreams in the order of their names, so that each gateway gets
        // other upstreams as its own.
        let keys = self.names.values().copied();
        let known = keys.filter_map(|key| Some((key, self.upstreams.get(key)?)));
        let ready = known.filter(|(_key, upstream)| {
            upstream.status.service == criteria.service.name
                && upstream.status.state == upstreams::State::Ready
                && !self.domains_out.contains(&upstream.status.domain)
        });
        let untried = ready.enumerate().filter(|(_index, (key, upstream))| {
            !criteria.exclude.contains(key)
                && upstream.allows_cold_request(now, criteria.service.cold_per_s, gateways)
        });
        let untried: Vec<_> = untried.collect();
        let is_rejected = |upstream: &upstream::Upstream| {
            matches!(
                upstream.breaker.check(now),
                breaker::Decision::Reject { .. }
            )
        };
        // If every upstream fails, each may still serve some requests.
        let are_all_rejected = untried
            .iter()
            .all(|(_index, (_key, upstream))| is_rejected(upstream));
        let available = untried
            .into_iter()
            .filter(|(_index, (_key, upstream))| are_all_rejected || !is_rejected(upstream));
        let candidates = available.map(|(index, (key, upstream))| balance::Candidate {
            is_near: upstream.status.domain == domain,
            is_own: self.gateway_position.owns(index),
            key,
            load: upstream.local_load.plus(upstream.remote_load),
            memory: criteria
                .service
                .engine
                .map_or(0, |engine| engine.memory_tokens),
            slots: upstream.status.slots,
        });
        candidates.collect()
    }
}

impl GatewayPosition {
    /// Returns whether the upstream at this index belongs to this gateway.
    fn owns(self, index: usize) -> bool {
        let gateways = usize::try_from(self.gateways).unwrap_or(usize::MAX);
        let position = usize::try_from(self.position).unwrap_or(usize::MAX);
        gateways > 0 && index % gateways + 1 == position
    }
}
