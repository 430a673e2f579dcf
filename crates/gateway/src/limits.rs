//! Limits that upstreams name, and what all gateways have sent to these upstreams.

use core::time::Duration;

use peargap_adapters::limit as wire_limit;
use peargap_adapters::logs;
use peargap_core::aggregator;
use peargap_core::limit;
use peargap_core::rate_limit;
use peargap_core::time::Instant;
use peargap_wire::fleet as wire;
use rand::Rng;

use crate::events;
use crate::fleet;
use crate::fleet_state;
use crate::upstream;

/// When the sums over the other gateways were last current.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sums {
    /// When the host that sums up was last heard; `None` while its first sums are awaited.
    heard: Option<Instant>,
    /// When the sums were last current; the start of the process if they never were.
    last_current: Instant,
}

impl Sums {
    /// Records an update from the host that sums up; `has_all` is set if it lists every upstream.
    fn record_update(&mut self, now: Instant, has_all: bool) {
        if has_all || self.heard.is_some() {
            self.heard = Some(now);
            self.last_current = now;
        }
    }

    /// Awaits the first sums of another host.
    fn reset(&mut self) {
        self.heard = None;
    }

    fn are_current(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now < heard + aggregator::SILENCE_LIMIT)
    }

    fn alone_for(&self, now: Instant) -> Duration {
        Duration::from_millis(now.millis_since(self.last_current))
    }
}

impl fleet::Fleet {
    /// Records the limit that an upstream names in a response.
    pub(crate) fn record_limit(&self, key: fleet::UpstreamKey, born_ms: u64, named: limit::Named) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(upstream) = state.upstreams.get_mut(key) else {
            return;
        };
        if !upstream.is_start(born_ms) {
            return;
        }
        let name = upstream.status.name.clone();
        let per_s = limit::bound(named);
        let is_news = state.limits.name(&name, born_ms, Some(per_s));
        state.refresh_limit(now, &name);
        drop(state);
        if !is_news {
            return;
        }
        logs::emit(
            events::LIMIT_CHANGED,
            format_args!("upstream={name} source=response named={named:?} kept_per_s={per_s}"),
        );
        self.news.send_modify(|count| *count += 1);
    }

    /// Records that an upstream names no limit in the response to a request sent at this time. If the
    /// limit became known later, the upstream may have begun to name it after this response.
    pub(crate) fn record_no_limit(&self, key: fleet::UpstreamKey, born_ms: u64, sent_at: Instant) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(upstream) = state.upstreams.get_mut(key) else {
            return;
        };
        let is_later = upstream.limit_known_at.is_none_or(|known| sent_at > known);
        if upstream.limit_per_s.is_none() || !upstream.is_start(born_ms) || !is_later {
            return;
        }
        let name = upstream.status.name.clone();
        state.limits.name(&name, born_ms, None);
        state.refresh_limit(now, &name);
        drop(state);
        logs::emit(
            events::LIMIT_CHANGED,
            format_args!("upstream={name} source=response named=none"),
        );
        self.news.send_modify(|count| *count += 1);
    }

    /// Applies news of limits from a control host.
    pub(crate) fn apply_limits(&self, news: Vec<wire::Limit>) {
        let now = self.clock.now();
        let mut state = self.lock();
        for news in news.into_iter().map(wire_limit::decode) {
            let name = news.upstream.clone();
            let per_s = news.per_s;
            if state.limits.merge(news) {
                state.refresh_limit(now, &name);
                logs::emit(
                    events::LIMIT_CHANGED,
                    format_args!("upstream={name} source=control kept_per_s={per_s:?}"),
                );
            }
        }
    }

    /// Records an update from the host that sums up the gateways' load.
    pub(crate) fn record_sums(&self, has_all: bool) {
        let now = self.clock.now();
        self.lock().sums.record_update(now, has_all);
    }

    /// Awaits the first sums of another host.
    pub(crate) fn await_sums(&self) {
        self.lock().sums.reset();
    }

    /// Returns whether a generation may continue at its copy by the limit that the upstream names;
    /// `None` without a limit.
    pub(crate) fn may_resume(&self, key: fleet::UpstreamKey) -> Option<bool> {
        let now = self.clock.now();
        self.lock().may_resume(now, key)
    }

    /// Counts a request that is sent to an upstream for a generation placed there before.
    pub(crate) fn record_sent(&self, key: fleet::UpstreamKey) {
        let now = self.clock.now();
        if let Some(upstream) = self.lock().upstreams.get_mut(key) {
            upstream.limiter.record_sent(now);
        }
    }
}

impl fleet_state::State {
    /// Takes over the limit of an upstream from the news.
    pub(crate) fn refresh_limit(&mut self, now: Instant, name: &str) {
        let key = self.names.get(name).copied();
        let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(key)) else {
            return;
        };
        let born_ms = upstream.status.edition.born_ms;
        let limit_per_s = self.limits.get(name, born_ms);
        let is_in_window = |known| now < known + rate_limit::WINDOW.length;
        if limit_per_s.is_some() && !upstream.limit_known_at.is_some_and(is_in_window) {
            // The limit does not hold for what was sent before it was known.
            upstream.limiter = rate_limit::Limiter::default();
            upstream.limit_since = now;
        }
        upstream.limit_per_s = limit_per_s;
        upstream.limit_known_at = Some(now);
    }

    fn view_of(
        &self,
        now: Instant,
        upstream: &upstream::Upstream,
        index: usize,
    ) -> rate_limit::View {
        let limited_for = Duration::from_millis(now.millis_since(upstream.limit_since));
        let is_new = limited_for < rate_limit::START_TIME;
        let are_current = self.sums.are_current(now) && !is_new;
        rate_limit::View {
            alone_for: match is_new {
                true => limited_for,
                false => self.sums.alone_for(now),
            },
            gateways: self.sharers.count(),
            others: are_current.then_some(upstream.remote_load.limited),
            position: self.gateway_position,
            upstream_index: index,
        }
    }

    /// Counts a request for which each upstream of its service with a limit could be chosen.
    pub(crate) fn record_wanted(&mut self, now: Instant, criteria: &fleet::Criteria<'_>) {
        let counts = match criteria.purpose {
            rate_limit::Purpose::Copy | rate_limit::Purpose::Resume => false,
            rate_limit::Purpose::First | rate_limit::Purpose::Repeat => true,
        };
        if !counts || self.limits.is_empty() {
            return;
        }
        let limited = self.list_ready(&criteria.service.name);
        let limited = limited.filter(|(key, upstream)| {
            upstream.limit_per_s.is_some() && !criteria.exclude.contains(key)
        });
        let keys: Vec<_> = limited.map(|(key, _upstream)| key).collect();
        for key in keys {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.limiter.record_wanted(now);
            }
        }
    }

    /// Returns whether a request may be sent to an upstream by the limit that it names; true without
    /// a limit.
    pub(crate) fn is_within_limit<R: Rng + ?Sized>(
        &self,
        now: Instant,
        upstream: &upstream::Upstream,
        index: usize,
        purpose: rate_limit::Purpose,
        random: &mut R,
    ) -> bool {
        let Some(limit_per_s) = upstream.limit_per_s else {
            return true;
        };
        let view = self.view_of(now, upstream, index);
        let limiter = &upstream.limiter;
        limiter.may_send(now, limit_per_s, &view, purpose, random)
    }

    /// Returns the milliseconds after which a caller may try again whose request found no upstream
    /// within its limit; `None` if no upstream that takes work has a limit.
    pub(crate) fn limited_retry_after_ms<R: Rng + ?Sized>(
        &self,
        now: Instant,
        criteria: &fleet::Criteria<'_>,
        random: &mut R,
    ) -> Option<u64> {
        let ready = self.list_ready(&criteria.service.name).enumerate();
        let usable = ready.filter(|(_index, (key, upstream))| {
            !criteria.exclude.contains(key) && upstream.paused_until(now).is_none()
        });
        let mut sum_per_s = 0.0;
        let mut demand: f64 = 0.0;
        for (index, (_key, upstream)) in usable {
            let Some(limit_per_s) = upstream.limit_per_s else {
                continue;
            };
            let view = self.view_of(now, upstream, index);
            let usage = upstream.limiter.usage(now, limit_per_s, &view);
            sum_per_s += limit_per_s;
            demand = demand.max(usage.demand);
        }
        (sum_per_s > 0.0).then(|| rate_limit::retry_after_ms(sum_per_s, demand, random))
    }

    /// Returns the figures of an upstream's limit for the log.
    pub(crate) fn explain_limit(
        &self,
        now: Instant,
        key: fleet::UpstreamKey,
    ) -> Option<rate_limit::Usage> {
        let upstream = self.upstreams.get(key)?;
        let limit_per_s = upstream.limit_per_s?;
        let view = self.view_of(now, upstream, self.index_of(key, upstream));
        Some(upstream.limiter.usage(now, limit_per_s, &view))
    }

    /// Returns the index of an upstream among those of its service that take work; 0 for others.
    fn index_of(&self, key: fleet::UpstreamKey, upstream: &upstream::Upstream) -> usize {
        let mut ready = self.list_ready(&upstream.status.service);
        let index = ready.position(|(ready, _upstream)| ready == key);
        index.unwrap_or_default()
    }

    /// Returns whether a generation may continue at its copy by the limit that the upstream names;
    /// `None` without a limit.
    fn may_resume(&self, now: Instant, key: fleet::UpstreamKey) -> Option<bool> {
        let upstream = self.upstreams.get(key)?;
        upstream.limit_per_s?;
        let index = self.index_of(key, upstream);
        let purpose = rate_limit::Purpose::Resume;
        let random = &mut rand::rng();
        Some(self.is_within_limit(now, upstream, index, purpose, random))
    }
}
