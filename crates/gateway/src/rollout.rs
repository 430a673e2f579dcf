//! Rollouts at a gateway: which versions of a service get a request, and what both versions answer.

use core::time::Duration;
use std::collections;

use peargap_adapters::logs;
use peargap_adapters::rollout as codec;
use peargap_core::rate_limit;
use peargap_core::rollout::counts;
use peargap_core::rollout::order;
use peargap_core::rollout::share;
use peargap_core::time::Instant;
use peargap_core::upstreams;
use peargap_wire::fleet as wire;
use rand::RngExt as _;

use crate::call;
use crate::events;
use crate::fleet;
use crate::fleet_state;
use crate::placement;
use crate::plain;
use crate::upstream;

/// Rank of upstreams that are used only if there are no others.
const LAST_RANK: u8 = 2;

/// Rollouts of all services, as last told by the control hosts.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// Number of the last change of the counts.
    changes: u64,
    revision: u64,
    services: collections::HashMap<String, Known>,
}

#[derive(Debug)]
struct Known {
    counts: counts::Counts,
    credit: share::Credit,
    /// Whether it was logged that the share has lapsed.
    has_lapsed: bool,
    service: order::Service,
    share: share::Leased,
}

/// What one link has told of the counts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Told {
    changes: u64,
    /// Whether the control host asks for counts.
    pub(crate) is_wanted: bool,
    running_elsewhere: u32,
}

/// Versions that may get a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Versions<'a> {
    /// All, as the service has had no rollout.
    All,
    /// None.
    None,
    /// Only this one.
    One(&'a str),
    /// By their part in the last rollout.
    Ranked {
        /// Whether an upstream of a current version takes work.
        has_current: bool,
        /// Whether the target is preferred.
        prefers_target: bool,
        /// The rollouts.
        service: &'a order::Service,
    },
}

impl Versions<'_> {
    /// Returns the rank of a version, the lowest first; `None` if it may not get the request.
    fn rank(self, version: &str) -> Option<u8> {
        match self {
            Versions::All => Some(0),
            Versions::None => None,
            Versions::One(only) => (version == only).then_some(0),
            Versions::Ranked {
                has_current,
                prefers_target,
                service,
            } => match service.part(version) {
                order::Part::Barred => None,
                order::Part::Current => Some(u8::from(prefers_target)),
                order::Part::Other => (!has_current).then_some(LAST_RANK),
                order::Part::Target if prefers_target => Some(0),
                order::Part::Target => (!has_current).then_some(1),
            },
        }
    }

    /// Returns whether a version may get the request.
    pub(crate) fn allows(self, upstream: &upstream::Upstream) -> bool {
        self.rank(&upstream.status.version).is_some()
    }

    /// Keeps the upstreams of the lowest rank.
    pub(crate) fn keep_preferred(
        self,
        candidates: &mut Vec<(usize, fleet::UpstreamKey, &upstream::Upstream)>,
    ) {
        if matches!(self, Versions::All) {
            return;
        }
        let rank = |upstream: &upstream::Upstream| self.rank(&upstream.status.version);
        let ranks = candidates
            .iter()
            .filter_map(|(_index, _key, upstream)| rank(upstream));
        let lowest = ranks.min();
        candidates.retain(|(_index, _key, upstream)| rank(upstream) == lowest);
    }
}

impl fleet_state::State {
    /// Returns the versions that may get a request.
    pub(crate) fn choose_versions<'a>(
        &'a self,
        now: Instant,
        criteria: &fleet::Criteria<'_>,
    ) -> Versions<'a> {
        let Some(known) = self.rollouts.services.get(&criteria.service.name) else {
            return Versions::All;
        };
        let share_ppm = known.share.share_ppm(now);
        if criteria.purpose == rate_limit::Purpose::Copy {
            return self.choose_copy_version(known, share_ppm, criteria);
        }
        let name = &known.service.last.request.service;
        let mut ready = self.list_ready(name);
        let has_current = ready.any(|(_key, upstream)| {
            known.service.part(&upstream.status.version) == order::Part::Current
        });
        let is_repeat = criteria.purpose == rate_limit::Purpose::Repeat;
        let may_try = !is_repeat || share_ppm >= order::WHOLE_PPM;
        Versions::Ranked {
            has_current,
            prefers_target: may_try && known.credit.may_send(share_ppm),
            service: &known.service,
        }
    }

    /// The memory of a generation is of use to its own version only.
    fn choose_copy_version<'a>(
        &'a self,
        known: &Known,
        share_ppm: u32,
        criteria: &fleet::Criteria<'_>,
    ) -> Versions<'a> {
        let source = criteria.near.and_then(|key| self.upstreams.get(key));
        let Some(source) = source else {
            return Versions::None;
        };
        let version = source.status.version.as_str();
        match known.service.part(version) {
            order::Part::Barred => Versions::None,
            order::Part::Target if share_ppm == 0 => Versions::None,
            order::Part::Current | order::Part::Other | order::Part::Target => {
                Versions::One(version)
            }
        }
    }

    /// Records that a request is sent to an upstream of a service.
    pub(crate) fn record_version(&mut self, now: Instant, key: fleet::UpstreamKey) {
        let Some(upstream) = self.upstreams.get(key) else {
            return;
        };
        let status = &upstream.status;
        let Some(known) = self.rollouts.services.get_mut(&status.service) else {
            return;
        };
        let is_target = known.service.part(&status.version) == order::Part::Target;
        let share_ppm = known.share.share_ppm(now);
        known.credit.record(share_ppm, is_target);
        let has_lapsed = share_ppm < known.share.share_ppm;
        if has_lapsed && !known.has_lapsed {
            logs::emit(
                events::ROLLOUT_LAPSED,
                format_args!(
                    "service={} target={:?} unheard_ms={}",
                    status.service,
                    known.service.last.request.target,
                    now.millis_since(known.share.heard)
                ),
            );
        }
        known.has_lapsed = has_lapsed;
    }
}

impl fleet::Fleet {
    /// Applies the rollouts that a control host has told, unless a newer state is known.
    pub(crate) fn apply_rollouts(&self, told: wire::Rollouts) {
        let now = self.clock.now();
        let revision = told.revision;
        let count = told.rollouts.len();
        let services = codec::decode_services(told.rollouts);
        if services.len() < count {
            logs::emit(
                events::ROLLOUT_IGNORED,
                format_args!("count={} why=unknown state", count - services.len()),
            );
        }
        let mut state = self.lock();
        if revision <= state.rollouts.revision {
            return;
        }
        state.rollouts.revision = revision;
        for told in services {
            state.rollouts.apply(now, told);
        }
        drop(state);
        self.notify_changed();
    }

    /// Counts what an upstream answered on a route, if a rollout of its service is in progress.
    pub(crate) fn count_sample(
        &self,
        route: &str,
        request: &call::Request,
        placement: &placement::Placement,
        sample: counts::Sample,
    ) {
        if self.lock().rollouts.services.is_empty() {
            return;
        }
        // A request that crashes upstreams says nothing of their version.
        let is_failed = sample == counts::Sample::Failed;
        if is_failed && self.is_quarantined(request) {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        if let Some(upstream) = state.upstreams.get(placement.key) {
            // A cold upstream is slow in any version.
            let sample = match now < upstream.cold_until {
                true => without_time(sample),
                false => sample,
            };
            state.rollouts.record(&upstream.status, route, sample);
        }
    }

    /// Returns the report of the counts, if they changed since the last one on a link that asks for
    /// them.
    pub(crate) fn next_counts(&self, told: &mut Told) -> Option<wire::Report> {
        let mut state = self.lock();
        let running = state.count_running_elsewhere();
        if state.rollouts.changes == told.changes && running == told.running_elsewhere {
            return None;
        }
        told.changes = state.rollouts.changes;
        told.running_elsewhere = running;
        let known = state.rollouts.services.values();
        let in_progress = known.filter(|known| known.is_in_progress());
        let rollouts: Vec<wire::RolloutCounts> = in_progress
            .map(|known| codec::encode_counts(known.service.last.number, &known.counts))
            .collect();
        (!rollouts.is_empty()).then(|| wire::Report {
            rollouts,
            ..wire::Report::default()
        })
    }
}

impl fleet_state::State {
    /// Counts the requests from here that run on other versions than the target of a rollout; returns
    /// the sum for all services.
    fn count_running_elsewhere(&mut self) -> u32 {
        let mut sum = 0;
        for (name, known) in &mut self.rollouts.services {
            if !known.is_in_progress() {
                continue;
            }
            let upstreams = self.upstreams.values();
            let elsewhere = upstreams.filter(|upstream| {
                upstream.status.service == *name
                    && known.service.part(&upstream.status.version) != order::Part::Target
            });
            let running = elsewhere.map(|upstream| upstream.local_load.running);
            known.counts.running_elsewhere = running.sum();
            sum += known.counts.running_elsewhere;
        }
        sum
    }
}

impl Rollouts {
    fn apply(&mut self, now: Instant, told: codec::Told) {
        let order = &told.service.last;
        let name = order.request.service.clone();
        let leased = share::Leased {
            heard: now,
            lease: Duration::from_millis(told.lease_ms),
            share_ppm: order.share_ppm,
        };
        let former = self.services.get(&name);
        let has_changed = former.is_none_or(|former| former.service != told.service);
        if has_changed {
            logs::emit(
                events::ROLLOUT_APPLIED,
                format_args!(
                    "service={name} target={:?} state={:?} share_ppm={}",
                    order.request.target, order.state, order.share_ppm
                ),
            );
        }
        match self.services.get_mut(&name) {
            Some(known) if known.service.last.number == order.number => {
                known.share = leased;
                known.service = told.service;
            }
            Some(_) | None => {
                let known = Known {
                    counts: counts::Counts::default(),
                    credit: share::Credit::new(rand::rng().random()),
                    has_lapsed: false,
                    service: told.service,
                    share: leased,
                };
                self.services.insert(name, known);
            }
        }
    }

    fn record(&mut self, status: &upstreams::Status, route: &str, sample: counts::Sample) {
        let known = self.services.get_mut(&status.service);
        let Some(known) = known.filter(|known| known.is_in_progress()) else {
            return;
        };
        let of_target = match known.service.part(&status.version) {
            order::Part::Target => true,
            order::Part::Current => false,
            order::Part::Barred | order::Part::Other => return,
        };
        known.counts.record(route, of_target, sample);
        self.changes += 1;
    }
}

impl Known {
    fn is_in_progress(&self) -> bool {
        self.service.last.state == order::State::InProgress
    }
}

fn without_time(sample: counts::Sample) -> counts::Sample {
    match sample {
        counts::Sample::Answered(_) => counts::Sample::Answered(None),
        counts::Sample::Began(_) => counts::Sample::Began(None),
        counts::Sample::Ended(_) => counts::Sample::Ended(None),
        counts::Sample::Failed => counts::Sample::Failed,
    }
}

/// Returns what the result of a plain call says of its upstream's version, if anything.
pub(crate) fn sample_plain(
    result: &Result<plain::FullResponse, call::Failure>,
    elapsed: Duration,
) -> Option<counts::Sample> {
    let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    match result {
        Ok((head, _body)) if head.status.is_server_error() => Some(counts::Sample::Failed),
        Ok(_answer) => Some(counts::Sample::Answered(Some(millis))),
        Err(failure) => is_own_failure(failure).then_some(counts::Sample::Failed),
    }
}

/// Returns whether an upstream failed the start of a stream.
pub(crate) fn is_failure(result: Result<&http::response::Parts, &call::Failure>) -> bool {
    match result {
        Ok(head) => head.status.is_server_error(),
        Err(failure) => is_own_failure(failure),
    }
}

/// Returns whether the upstream failed, and not the network or its capacity.
fn is_own_failure(failure: &call::Failure) -> bool {
    match failure {
        call::Failure::Late(_) | call::Failure::Unknown(_) => true,
        call::Failure::Displaced
        | call::Failure::Lost(_)
        | call::Failure::NotRun(_)
        | call::Failure::NotSent(_)
        | call::Failure::Unreachable(_) => false,
    }
}
