//! Pace of upstreams: what this gateway observes, and what it hears of the observations of all.

use core::time::Duration;

use opentelemetry::metrics as otel;
use peargap_adapters::logs;
use peargap_adapters::metrics;
use peargap_adapters::pace as wire_pace;
use peargap_core::pace;
use peargap_wire::fleet as wire;

use crate::events;
use crate::fleet;
use crate::fleet_state;
use crate::upstream;

/// Time between two reports of observations.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Registers the gauge of upstreams by their pace.
pub(crate) fn observe(registry: &metrics::Registry, fleet: &fleet::Fleet) {
    let fleet = fleet.clone();
    let observe = move |gauge: &dyn otel::AsyncInstrument<u64>| {
        for comparison in pace::Comparison::ALL {
            let labels = [opentelemetry::KeyValue::new("pace", comparison.as_str())];
            gauge.observe(fleet.count_paces(comparison), &labels);
        }
    };
    let _gauge = registry
        .meter()
        .u64_observable_gauge("peargap_gateway_upstreams")
        .with_description("Upstreams by their pace, compared with the middle of their service")
        .with_callback(observe)
        .build();
}

impl fleet::Fleet {
    /// Records how long one start of an upstream took for a first event or a plain call, as a ratio
    /// to its reference, and whether that was in time.
    pub(crate) fn record_first(
        &self,
        key: fleet::UpstreamKey,
        born_ms: u64,
        ratio: f64,
        is_in_time: bool,
    ) {
        let now = self.clock.now();
        if let Some(upstream) = self.lock().upstreams.get_mut(key) {
            if upstream.is_start(born_ms) {
                upstream.observed.first.record(ratio);
                upstream.record_start_answer(now, is_in_time);
            }
        }
    }

    /// Records the time between two events of a generation at one start of an engine, in
    /// milliseconds.
    pub(crate) fn record_gap(
        &self,
        key: fleet::UpstreamKey,
        born_ms: u64,
        pauses: &mut pace::Pauses,
        gap_ms: u32,
        stride: u64,
    ) {
        let mut state = self.lock();
        let Some(upstream) = state.upstreams.get_mut(key) else {
            return;
        };
        if !upstream.is_start(born_ms) {
            return;
        }
        let running = upstream.local_load.plus(upstream.remote_load).running;
        let ratio = f64::from(gap_ms) / pace::gap_reference_ms(running, stride);
        if let Some(window) = pauses.record(ratio) {
            upstream.observed.gap.record(window.usual);
            upstream.observed.longest.record(window.longest);
        }
    }

    /// Returns the number of upstreams that compare so with their service.
    fn count_paces(&self, comparison: pace::Comparison) -> u64 {
        let state = self.lock();
        let is_counted = |upstream: &&upstream::Upstream| {
            let middle = state.middles.get(&upstream.status.service);
            let middle = middle.copied().unwrap_or_default();
            middle.compare(&upstream.pace) == comparison
        };
        let counted = state.upstreams.values().filter(is_counted);
        u64::try_from(counted.count()).unwrap_or(u64::MAX)
    }

    /// Returns the report of what has been observed since the last one, if it is due.
    pub(crate) fn take_observations(&self) -> Option<wire::Report> {
        let now = self.clock.now();
        let mut state = self.lock();
        if now < state.observations_due {
            return None;
        }
        state.observations_due = now + REPORT_PERIOD;
        let upstreams = state.upstreams.values_mut();
        let observed = upstreams.filter(|upstream| !upstream.observed.is_empty());
        let observations = observed.map(|upstream| {
            let samples = core::mem::take(&mut upstream.observed);
            let status = &upstream.status;
            wire_pace::encode_observation(&status.name, status.edition.born_ms, &samples)
        });
        let observations: Vec<_> = observations.collect();
        (!observations.is_empty()).then(|| wire::Report {
            observations,
            ..wire::Report::default()
        })
    }

    /// Applies news of paces from the control host that sums up the observations.
    pub(crate) fn apply_paces(&self, news: Vec<wire::Pace>) {
        if news.is_empty() {
            return;
        }
        let mut state = self.lock();
        for news in news.into_iter().map(wire_pace::decode) {
            let key = state.names.get(&news.upstream).copied();
            let Some(upstream) = key.and_then(|key| state.upstreams.get_mut(key)) else {
                continue;
            };
            if upstream.is_start(news.born_ms) {
                upstream.pace = news.pace;
                logs::emit(
                    events::PACE_CHANGED,
                    format_args!(
                        "upstream={} first={:.2} answers={} gap={:.2} longest={:.2} windows={}",
                        news.upstream,
                        news.pace.first.value,
                        news.pace.first.count,
                        news.pace.gap.value,
                        news.pace.longest.value,
                        news.pace.gap.count
                    ),
                );
            }
        }
        state.refresh_middles();
    }
}

impl fleet_state::State {
    /// Computes the middle of each service's paces.
    fn refresh_middles(&mut self) {
        self.middles.clear();
        let services = self.upstreams.values();
        let mut services: Vec<String> = services
            .map(|upstream| upstream.status.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            let paces = self.upstreams.values();
            let paces = paces.filter(|upstream| upstream.status.service == service);
            let paces: Vec<pace::Pace> = paces.map(|upstream| upstream.pace).collect();
            self.middles.insert(service, pace::Middle::of(&paces));
        }
    }
}
