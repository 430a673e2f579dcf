//! Shared state of a gateway: routes, failure domains out of service, upstreams and their load.

use std::sync;

use peargap_adapters::clock;
use peargap_adapters::logs;
use peargap_adapters::upstream;
use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::engine_room;
use peargap_core::pace;
use peargap_core::rate_limit;
use peargap_core::retry_budget;
use peargap_core::routes;
use peargap_core::upstreams;
use peargap_wire::fleet as wire;
use tokio::sync::watch;

use crate::events;
use crate::fleet_state;
use crate::placement;
use crate::room;

slotmap::new_key_type! {
    /// Key of an upstream.
    pub(crate) struct UpstreamKey;
}

/// State of the fleet at this gateway, shared by all clones.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) clock: clock::Clock,
    changed: sync::Arc<watch::Sender<u64>>,
    pub(crate) domain: sync::Arc<str>,
    /// Counter that increases with what control hosts are to be told: departures, changes of limits that
    /// upstreams name, evidence on what crashes upstreams.
    pub(crate) news: sync::Arc<watch::Sender<u64>>,
    /// Counter that increases when something comes into quarantine or out of it.
    pub(crate) quarantine_changes: sync::Arc<watch::Sender<u64>>,
    /// Generations that wait for room at engines.
    pub(crate) room: room::Room,
    state: sync::Arc<sync::Mutex<fleet_state::State>>,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementError {
    /// All candidates are full.
    Full,
    /// There is room, but it is left to more urgent requests at other gateways.
    HeldBack,
    /// No upstream takes new work.
    NoUpstream,
    /// The upstreams that take new work get as many requests as the limits that they name allow.
    Limited {
        /// Time after which a caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// All upstreams that take new work have asked for a pause.
    Paused {
        /// Time after which a caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
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
    /// What a generation needs.
    pub(crate) need: pace::Need,
    pub(crate) purpose: rate_limit::Purpose,
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
            news: sync::Arc::new(watch::Sender::new(0)),
            quarantine_changes: sync::Arc::new(watch::Sender::new(0)),
            room: room::Room::default(),
            state: sync::Arc::default(),
        }
    }

    /// Returns the current routing table, or `None` before the first document.
    pub(crate) fn table(&self) -> Option<sync::Arc<routes::Table>> {
        self.lock().table.clone()
    }

    /// Records that a control host has a document of this version.
    pub(crate) fn record_offer(&self, host: &str, version: u64) {
        let now = self.clock.now();
        self.lock().fetch.record_offer(now, host, version);
    }

    /// Forgets what a control host has offered, as its link has ended.
    pub(crate) fn forget_offer(&self, host: &str) {
        self.lock().fetch.forget(host);
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
        self.notify_changed();
    }

    /// Merges a received upstream status.
    pub(crate) fn merge_status(&self, status: upstreams::Status) {
        let now = self.clock.now();
        let outcome = self.lock().merge_status(now, status.clone());
        match outcome {
            upstreams::Outcome::Changed => {
                logs::emit(events::UPSTREAM_CHANGED, format_args!("{status}"));
                self.notify_changed();
                if status.state.is_leaving() {
                    self.news.send_modify(|count| *count += 1);
                }
            }
            upstreams::Outcome::Conflict => {
                logs::emit(events::UPSTREAM_CONFLICT, format_args!("{status}"));
            }
            upstreams::Outcome::Known | upstreams::Outcome::Stale => {}
        }
    }

    /// Returns the upstreams among those asked about of which this gateway knows a later start.
    pub(crate) fn answer(&self, questions: &[wire::Question]) -> Vec<wire::Upstream> {
        let state = self.lock();
        let known = questions.iter().filter_map(|question| {
            let key = *state.names.get(&question.upstream)?;
            let status = &state.upstreams.get(key)?.status;
            (status.edition.born_ms > question.born_ms).then(|| upstream::encode(status))
        });
        known.collect()
    }

    /// Wakes those who wait for changes.
    pub(crate) fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
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
            balance::choose_plain(candidates, &mut rand::rng()).into()
        })
    }

    /// Chooses an engine for a generation that needs this room.
    pub(crate) fn place_generation(
        &self,
        criteria: Criteria<'_>,
        need: engine_room::Need,
    ) -> Result<placement::Placement, PlacementError> {
        let need = engine_room::Need {
            pace: criteria.need,
            ..need
        };
        let load = balance::Load {
            later: need.later,
            running: 1,
            tokens: need.tokens,
            waiting: need.tokens,
            ..balance::Load::default()
        };
        self.place(criteria, load, |candidates| {
            engine_room::choose(candidates, need, &mut rand::rng())
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
            balance::choose_copy(candidates, criteria.tokens, purpose, &mut rand::rng()).into()
        })
    }

    fn place(
        &self,
        criteria: Criteria<'_>,
        load: balance::Load,
        choose: impl FnOnce(&[balance::Candidate<UpstreamKey>]) -> engine_room::Choice<UpstreamKey>,
    ) -> Result<placement::Placement, PlacementError> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.record_wanted(now, &criteria);
        if load.running > 0 {
            state.record_start_wanted(now, &criteria);
        }
        let candidates = state.list_candidates(now, criteria, &self.domain);
        let key = match choose(&candidates) {
            engine_room::Choice::Full => return Err(PlacementError::Full),
            engine_room::Choice::HeldBack => return Err(PlacementError::HeldBack),
            engine_room::Choice::NoCandidates => {
                return Err(state.explain_no_candidates(now, criteria));
            }
            engine_room::Choice::Take(key) => key,
        };
        let chosen = candidates.iter().find(|candidate| candidate.key == key);
        let view = placement::View {
            expected: chosen.and_then(|chosen| chosen.expected),
            limit: state.explain_limit(now, key),
            load: chosen.map(|chosen| chosen.load).unwrap_or_default(),
            load_age_ms: now.millis_since(state.remote_loads_at),
            pace: chosen.map_or(1.0, |chosen| chosen.pace),
        };
        let upstream = state
            .upstreams
            .get_mut(key)
            .ok_or(PlacementError::NoUpstream)?;
        if load.running > 0 {
            upstream.cold_requests.record(now);
            upstream.limiter.record_sent(now);
            if upstream.breaker.check(now) == breaker::Decision::Probe {
                upstream.breaker.record_probe(now);
            }
        }
        let stride = criteria.service.engine.map(|engine| engine.stride);
        let objective_ms = criteria.need.objective_ms;
        let timing = placement::Timing::start(now, stride, objective_ms);
        let placement = placement::Placement::reserve(self, key, upstream, load, view, timing);
        if load.running > 0 {
            state.record_version(now, key);
        }
        Ok(placement)
    }

    /// Returns the address of another upstream of a service, in the same failure domain if there is one.
    pub(crate) fn find_other(&self, key: UpstreamKey, service: &str) -> Option<String> {
        let state = self.lock();
        let upstream = state.upstreams.get(key);
        let domain = upstream.map(|upstream| upstream.status.domain.as_str());
        let others = state
            .list_ready(service)
            .filter(|(other, _upstream)| *other != key)
            .map(|(_key, upstream)| &upstream.status);
        let found = others.min_by_key(|status| Some(status.domain.as_str()) != domain);
        found.map(|status| status.address.clone())
    }

    /// Records the outcome of a call in the upstream's circuit breaker.
    pub(crate) fn record_outcome(&self, key: UpstreamKey, outcome: Outcome) {
        let now = self.clock.now();
        if let Some(upstream) = self.lock().upstreams.get_mut(key) {
            upstream.record_refusal(now, outcome == Outcome::Failed);
            if outcome != Outcome::Succeeded {
                upstream.record_start_answer(now, false);
            }
            match outcome {
                Outcome::Absent => upstream.breaker.record_absence(now),
                Outcome::Broken => upstream.breaker.record_break(now),
                Outcome::Failed => upstream.breaker.record_failure(now),
                Outcome::Succeeded => upstream.breaker.record_success(),
                Outcome::Unreachable => upstream.breaker.record_unreachable(now),
            }
        }
    }

    /// Returns the number of gateways; 0 if it is not known yet.
    pub(crate) fn count_gateways(&self) -> u32 {
        self.lock().gateway_position.gateways
    }

    /// Returns how many upstreams of a service take work, and how many of them refuse requests.
    pub(crate) fn count_refusing(&self, service: &str) -> retry_budget::Upstreams {
        let now = self.clock.now();
        self.lock().count_refusing(now, service)
    }

    /// Replaces a part of the load from this gateway; returns whether the upstream is still known.
    pub(crate) fn replace_load(
        &self,
        key: UpstreamKey,
        former: balance::Load,
        load: balance::Load,
    ) -> bool {
        let is_known = match self.lock().upstreams.get_mut(key) {
            Some(upstream) => {
                upstream.local_load = upstream.local_load.minus(former).plus(load);
                true
            }
            None => false,
        };
        if load.tokens + load.copied + load.waiting < former.tokens + former.copied + former.waiting
        {
            self.room.notify();
        }
        is_known
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, fleet_state::State> {
        let locked = self.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
