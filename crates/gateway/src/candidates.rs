//! Upstreams that a request may be sent to now.

use peargap_core::balance;
use peargap_core::breaker;
use peargap_core::cold_rate;
use peargap_core::pace;
use peargap_core::rate_limit;
use peargap_core::time::Instant;
use rand::Rng;

use crate::fleet;
use crate::fleet_state;
use crate::upstream;

/// Whether a request may be sent to an upstream now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    Allow,
    /// Its circuit breaker is open.
    Broken,
    /// Other gateways and this one send as many as it takes: it names a limit.
    Limited,
    /// It has just started and has as many requests as its answers allow.
    Starting,
    /// It is in a pause that it asked for, or in a cold start and has its rate of requests.
    NotNow,
}

impl fleet_state::State {
    /// Returns whether a request may be sent to the upstream at this index of its service.
    pub(crate) fn admit<R: Rng + ?Sized>(
        &self,
        now: Instant,
        criteria: &fleet::Criteria<'_>,
        index: usize,
        upstream: &upstream::Upstream,
        random: &mut R,
    ) -> Admission {
        let cold_rate = criteria.service.cold_per_s.map(|per_s| cold_rate::Rate {
            per_s,
            position: self.gateway_position,
            upstream_index: index,
        });
        if upstream.paused_until(now).is_some() || !upstream.allows_cold_request(now, cold_rate) {
            return Admission::NotNow;
        }
        if let breaker::Decision::Reject { .. } = upstream.breaker.check(now) {
            return Admission::Broken;
        }
        if !upstream.allows_start_request(now, criteria.purpose, random) {
            return Admission::Starting;
        }
        match self.is_within_limit(now, upstream, index, criteria.purpose, random) {
            true => Admission::Allow,
            false => Admission::Limited,
        }
    }

    /// Returns the upstreams that may be chosen. Those in the failure domain of `criteria.near`, or
    /// else in `domain`, are near.
    pub(crate) fn list_candidates(
        &self,
        now: Instant,
        criteria: fleet::Criteria<'_>,
        domain: &str,
    ) -> Vec<balance::Candidate<fleet::UpstreamKey>> {
        let near = criteria.near.and_then(|key| self.upstreams.get(key));
        let domain = near.map_or(domain, |near| &near.status.domain);
        let mut random = rand::rng();
        // All gateways number the upstreams in the order of their names, so that each gateway gets
        // other upstreams as its own.
        let versions = self.choose_versions(now, &criteria);
        let ready = self.list_ready(&criteria.service.name).enumerate();
        let ready = ready.filter(|(_index, (_key, upstream))| versions.allows(upstream));
        let untried = ready.filter(|(_index, (key, _upstream))| !criteria.exclude.contains(key));
        let mut allowed = Vec::new();
        let mut broken = Vec::new();
        let mut starting = Vec::new();
        let mut has_limited = false;
        for (index, (key, upstream)) in untried {
            match self.admit(now, &criteria, index, upstream, &mut random) {
                Admission::Allow => allowed.push((index, key, upstream)),
                Admission::Broken => broken.push((index, key, upstream)),
                Admission::Limited => has_limited = true,
                Admission::Starting => starting.push((index, key, upstream)),
                Admission::NotNow => {}
            }
        }
        // Nothing is refused because upstreams have just started.
        if allowed.is_empty() && !has_limited {
            allowed = starting;
        }
        // If every upstream fails, each may still serve some requests.
        if allowed.is_empty() && !has_limited {
            allowed = broken;
        }
        versions.keep_preferred(&mut allowed);
        if criteria.purpose == rate_limit::Purpose::Copy {
            prefer_unlimited(&mut allowed);
        }
        let middle = self.middles.get(&criteria.service.name).copied();
        let middle = middle.unwrap_or_default();
        let engine = criteria.service.engine;
        let candidates = allowed.into_iter().map(|(index, key, upstream)| {
            let load = upstream.local_load.plus(upstream.remote_load);
            let pace = middle.factor(&upstream.pace);
            let need = &criteria.need;
            let tokens = criteria.tokens;
            balance::Candidate {
                expected: engine.and_then(|engine| {
                    middle.expect(pace, &load, engine.stride, tokens, need.span)
                }),
                fit: engine.map_or(pace::Fit::Long, |engine| {
                    middle.fit(&upstream.pace, &load, engine.stride, need.gap_ms)
                }),
                is_near: upstream.status.domain == domain,
                is_own: self.gateway_position.owns(index),
                key,
                load,
                memory: engine.map_or(0, |engine| engine.memory_tokens),
                pace,
                slots: upstream.status.slots,
            }
        });
        candidates.collect()
    }
}

/// Removes the engines that name a limit, unless all do: an engine with a limit is in need.
fn prefer_unlimited(candidates: &mut Vec<(usize, fleet::UpstreamKey, &upstream::Upstream)>) {
    let mut limits = candidates
        .iter()
        .map(|(_index, _key, upstream)| upstream.limit_per_s);
    if limits.any(|limit_per_s| limit_per_s.is_none()) {
        candidates.retain(|(_index, _key, upstream)| upstream.limit_per_s.is_none());
    }
}
