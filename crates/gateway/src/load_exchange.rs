//! Load of this gateway and of the others on the upstreams.

use peargap_adapters::load;
use peargap_adapters::waiting;
use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::fleet_share;
use peargap_core::rate_limit;
use peargap_wire::fleet as wire;

use crate::fleet;
use crate::upstream;

/// Reported token counts are rounded up to a multiple of this, so that growing generations do not
/// change the report with each event.
const REPORTED_TOKENS_STEP: u64 = 256;

impl fleet::Fleet {
    /// Clears the load from other gateways, as another control host reports it from now on.
    pub(crate) fn clear_remote_loads(&self) {
        for upstream in self.lock().upstreams.values_mut() {
            upstream.remote_load = balance::Load::default();
        }
    }

    /// Sets the position of this gateway.
    pub(crate) fn set_position(&self, position: fleet_share::Position) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.gateway_position = position;
        let sharers = &mut state.sharers;
        sharers.update(now, position.gateways, rate_limit::COUNT_TIME);
    }

    /// Updates what waits at other gateways.
    pub(crate) fn update_remote_waiting(&self, figures: &[wire::Waiting]) {
        self.room.set_others(waiting::decode(figures));
    }

    /// Updates the load from other gateways; upstreams that are not listed are unchanged.
    pub(crate) fn update_remote_loads(&self, loads: &[wire::Load]) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.remote_loads_at = now;
        for reported in loads {
            let Some(key) = state.names.get(&reported.upstream).copied() else {
                continue;
            };
            if let Some(upstream) = state.upstreams.get_mut(key) {
                upstream.remote_load = load::decode(reported);
            }
        }
        drop(state);
        self.room.notify();
    }

    /// Returns what waits at this gateway.
    pub(crate) fn list_local_waiting(&self) -> Vec<wire::Waiting> {
        waiting::encode(&self.room.figures(self.clock.now()))
    }

    /// Returns the load from this gateway on each upstream that has any.
    pub(crate) fn list_local_loads(&self) -> Vec<wire::Load> {
        let now = self.clock.now();
        let mut state = self.lock();
        for upstream in state.upstreams.values_mut() {
            upstream.update_start(now);
        }
        let is_failing = |upstream: &upstream::Upstream| {
            upstream.breaker.is_upstream_failing() || upstream.paused_until(now).is_some()
        };
        let with_load = state.upstreams.values().filter(|upstream| {
            upstream.local_load != balance::Load::default()
                || is_failing(upstream)
                || upstream.limit_per_s.is_some()
                || upstream.is_refusing(now)
                || upstream.starting.is_some()
        });
        let gateways = state.sharers.count();
        let loads = with_load.map(|upstream| {
            let limited = upstream
                .limit_per_s
                .map(|per_s| upstream.limiter.report(now, per_s, gateways));
            let local = balance::Load {
                copied: round_up(upstream.local_load.copied),
                failing: u32::from(is_failing(upstream)),
                later: engine_room::Later {
                    far: round_up(upstream.local_load.later.far),
                    near: round_up(upstream.local_load.later.near),
                },
                limited: limited.unwrap_or_default(),
                refusing: u32::from(upstream.is_refusing(now)),
                starting: upstream
                    .starting
                    .as_ref()
                    .map(|starting| starting.report(now))
                    .unwrap_or_default(),
                tokens: round_up(upstream.local_load.tokens),
                ..upstream.local_load
            };
            load::encode(&upstream.status.name, local)
        });
        loads.collect()
    }
}

fn round_up(tokens: u64) -> u64 {
    tokens.div_ceil(REPORTED_TOKENS_STEP) * REPORTED_TOKENS_STEP
}
