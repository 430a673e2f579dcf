//! What a gateway knows of upstreams and of its position among all gateways.

use std::collections;
use std::net;
use std::sync;

use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::cold_rate;
use peargap_core::departures;
use peargap_core::document_fetch;
use peargap_core::document_history;
use peargap_core::fleet_share;
use peargap_core::named_limits;
use peargap_core::pace;
use peargap_core::pause;
use peargap_core::quarantine;
use peargap_core::rate_limit;
use peargap_core::retry_budget;
use peargap_core::routes;
use peargap_core::slow_start;
use peargap_core::time;
use peargap_core::upstreams;
use slotmap::SlotMap;

use crate::fleet;
use crate::limits;
use crate::pool;
use crate::rollout;
use crate::upstream;

/// Time after which an upstream that takes no work and is no longer heard of is removed, in
/// milliseconds.
const FORGET_MS: u64 = 30_000;
/// Time after the first upstream of a service within which those that have been serving become
/// known too.
const ALL_KNOWN_TIME: core::time::Duration = core::time::Duration::from_secs(3);

/// State that is shared by all clones of a [`fleet::Fleet`].
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Upstreams that said in a response that they are leaving.
    pub(crate) departures: departures::Departures,
    /// The routing document in force, from which the next one may differ.
    pub(crate) document: Option<sync::Arc<document_history::Text>>,
    pub(crate) domains_out: collections::BTreeSet<String>,
    /// Offers and requests of routing documents.
    pub(crate) fetch: document_fetch::Fetch,
    /// Keys of the upstreams by name.
    pub(crate) names: collections::BTreeMap<String, fleet::UpstreamKey>,
    pub(crate) gateway_position: fleet_share::Position,
    /// Limits that upstreams name.
    pub(crate) limits: named_limits::Table,
    /// Middle of the paces of each service's upstreams.
    pub(crate) middles: collections::BTreeMap<String, pace::Middle>,
    /// When the next report of observed times is due.
    pub(crate) observations_due: time::Instant,
    /// Evidence on what crashes upstreams.
    pub(crate) quarantine: quarantine::Table,
    /// Departures of which a control host told, for the others.
    pub(crate) relayed: departures::Relayed,
    /// When the load from other gateways was last received.
    pub(crate) remote_loads_at: time::Instant,
    /// Revision of `domains_out`.
    pub(crate) revision: u64,
    /// Rollouts of services to other versions.
    pub(crate) rollouts: rollout::Rollouts,
    /// Number of gateways that share the limits.
    pub(crate) sharers: fleet_share::Sharers,
    /// Answered requests with suspected subjects.
    pub(crate) successes: crate::quarantine::Successes,
    pub(crate) sums: limits::Sums,
    pub(crate) table: Option<sync::Arc<routes::Table>>,
    pub(crate) upstreams: SlotMap<fleet::UpstreamKey, upstream::Upstream>,
    /// Version of `table`; 0 without one.
    pub(crate) version: u64,
}

impl State {
    /// Merges a received status; one that takes work and has no valid address is ignored.
    pub(crate) fn merge_status(
        &mut self,
        now: time::Instant,
        mut status: upstreams::Status,
    ) -> upstreams::Outcome {
        self.forget(now);
        let departure = status.state.is_leaving().then(|| departures::Departure {
            born_ms: status.edition.born_ms,
            upstream: status.name.clone(),
        });
        self.departures.correct(&mut status);
        let outcome = match status.address.parse::<net::SocketAddr>() {
            Err(_none) => self.merge_departed(now, &status),
            Ok(address) => self.merge_located(now, address, status),
        };
        if outcome == upstreams::Outcome::Changed {
            if let Some(departure) = departure {
                self.relayed.push(now, departure);
            }
        }
        outcome
    }

    fn merge_located(
        &mut self,
        now: time::Instant,
        address: net::SocketAddr,
        status: upstreams::Status,
    ) -> upstreams::Outcome {
        let name = status.name.clone();
        let outcome = self.merge_at_address(now, address, status);
        if outcome == upstreams::Outcome::Changed {
            self.mark_displaced(now, &name);
        }
        outcome
    }

    /// Merges what a control host says of an upstream of which it knows only that it leaves.
    fn merge_departed(
        &mut self,
        now: time::Instant,
        status: &upstreams::Status,
    ) -> upstreams::Outcome {
        if !status.state.is_leaving() {
            return upstreams::Outcome::Stale;
        }
        let known = self.names.get(&status.name).copied();
        if let Some(known) = known.and_then(|key| self.upstreams.get_mut(key)) {
            known.last_heard = now;
            return upstreams::depart(&mut known.status, status);
        }
        // Another host may still announce it as ready.
        let departure = departures::Departure {
            born_ms: status.edition.born_ms,
            upstream: status.name.clone(),
        };
        if !self.departures.contains(&departure) {
            self.departures.push(departure);
        }
        upstreams::Outcome::Known
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

    fn merge_at_address(
        &mut self,
        now: time::Instant,
        address: net::SocketAddr,
        status: upstreams::Status,
    ) -> upstreams::Outcome {
        let is_new_among_known = self.knows_for_long(now, &status.service);
        let cold_until = now + core::time::Duration::from_millis(status.cold_ms);
        let known = self.names.get(&status.name).copied();
        let known = known.and_then(|key| self.upstreams.get_mut(key));
        let Some(known) = known else {
            let name = status.name.clone();
            let key = self.upstreams.insert(upstream::Upstream {
                breaker: breaker::Breaker::new(),
                cold_requests: cold_rate::Counter::default(),
                cold_until,
                last_heard: now,
                limit_known_at: None,
                limit_since: now,
                limit_per_s: self.limits.get(&name, status.edition.born_ms),
                limiter: rate_limit::Limiter::default(),
                observed: pace::Samples::default(),
                pace: pace::Pace::default(),
                pause: None,
                refused_at: None,
                remote_load: balance::Load::default(),
                starting: is_new_among_known.then(slow_start::Starter::default),
                started_at: None,
                known_since: now,
                local_load: balance::Load::default(),
                pool: sync::Arc::new(pool::Pool::new(address)),
                status,
            });
            self.names.insert(name, key);
            return upstreams::Outcome::Changed;
        };
        let outcome = upstreams::compare(&known.status, &status);
        match outcome {
            upstreams::Outcome::Conflict | upstreams::Outcome::Stale => return outcome,
            upstreams::Outcome::Changed | upstreams::Outcome::Known => {}
        }
        // A restarted process or another address invalidates connections and failure history.
        let is_same_process = known.status.edition.born_ms == status.edition.born_ms
            && known.status.address == status.address;
        if !is_same_process {
            known.breaker = breaker::Breaker::new();
            known.limit_known_at = None;
            known.limit_since = now;
            known.limit_per_s = self.limits.get(&status.name, status.edition.born_ms);
            known.limiter = rate_limit::Limiter::default();
            known.observed = pace::Samples::default();
            known.starting = Some(slow_start::Starter::default());
            known.started_at = None;
            known.pace = pace::Pace::default();
            known.pause = None;
            known.refused_at = None;
            known.pool = sync::Arc::new(pool::Pool::new(address));
        }
        let is_cold_again = status.cold_ms > 0 && now >= known.cold_until;
        if is_same_process && is_cold_again {
            known.starting = Some(slow_start::Starter::default());
            known.started_at = None;
        }
        known.cold_until = cold_until;
        known.last_heard = now;
        known.status = status;
        outcome
    }

    /// Returns whether the gateway has known an upstream of this service for so long that it would
    /// know the others, had they not just started.
    fn knows_for_long(&self, now: time::Instant, service: &str) -> bool {
        self.upstreams.values().any(|upstream| {
            upstream.status.service == service && now >= upstream.known_since + ALL_KNOWN_TIME
        })
    }

    fn forget(&mut self, now: time::Instant) {
        let names = &mut self.names;
        self.upstreams.retain(|_key, upstream| {
            let is_gone = match upstream.status.state {
                upstreams::State::Draining | upstreams::State::Left | upstreams::State::Silent => {
                    upstream.local_load == balance::Load::default()
                        && now.millis_since(upstream.last_heard) > FORGET_MS
                }
                upstreams::State::Ready => false,
            };
            if is_gone {
                names.remove(&upstream.status.name);
            }
            !is_gone
        });
    }

    /// Returns how many upstreams of a service take work, and how many of them refuse requests.
    pub(crate) fn count_refusing(
        &self,
        now: time::Instant,
        service: &str,
    ) -> retry_budget::Upstreams {
        let ready = self.list_ready(service).map(|(_key, upstream)| upstream);
        ready.fold(retry_budget::Upstreams::default(), |counted, upstream| {
            retry_budget::Upstreams {
                ready: counted.ready + 1,
                refusing: counted.refusing
                    + u32::from(upstream.is_refusing(now) || upstream.remote_load.is_refusing()),
            }
        })
    }

    /// Returns the upstreams of a service that take new work, in the order of their names.
    pub(crate) fn list_ready<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (fleet::UpstreamKey, &'a upstream::Upstream)> {
        let keys = self.names.values().copied();
        let known = keys.filter_map(|key| Some((key, self.upstreams.get(key)?)));
        known.filter(move |(_key, upstream)| {
            upstream.status.service == service
                && upstream.status.state == upstreams::State::Ready
                && !self.domains_out.contains(&upstream.status.domain)
        })
    }

    /// Returns why there are no candidates.
    pub(crate) fn explain_no_candidates(
        &self,
        now: time::Instant,
        criteria: fleet::Criteria<'_>,
    ) -> fleet::PlacementError {
        let mut random = rand::rng();
        let limited = self.limited_retry_after_ms(now, &criteria, &mut random);
        if let Some(retry_after_ms) = limited {
            return fleet::PlacementError::Limited { retry_after_ms };
        }
        let ready = self.list_ready(&criteria.service.name);
        let ends = ready.filter_map(|(_key, upstream)| upstream.paused_until(now));
        match pause::retry_after_ms(now, ends, &mut random) {
            Some(retry_after_ms) => fleet::PlacementError::Paused { retry_after_ms },
            None => fleet::PlacementError::NoUpstream,
        }
    }
}
