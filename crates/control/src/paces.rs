//! Paces of upstreams, summed up from what the gateways observe.

use peargap_adapters::logs;
use peargap_adapters::pace;
use peargap_wire::fleet as wire;

use crate::events;
use crate::fleet;

/// News of paces.
#[derive(Debug)]
pub(crate) struct Paces {
    /// Number of the last change that the news includes.
    pub(crate) last_change: u64,
    pub(crate) news: Vec<wire::Pace>,
}

impl fleet::Fleet {
    /// Adds what a gateway has observed. Links pass on what follows when they next send sums.
    pub(crate) fn record_observations(&self, told: Vec<wire::Observation>) {
        if told.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let changed = told.into_iter().filter_map(|told| {
            let observed = pace::decode_observation(told);
            let upstream = observed.upstream.clone();
            let is_news = state.paces.record(now, observed);
            is_news.then_some(upstream)
        });
        let changed: Vec<String> = changed.collect();
        drop(state);
        if !changed.is_empty() {
            logs::emit(events::PACES_CHANGED, format_args!("upstreams={changed:?}"));
        }
    }

    /// Returns the paces that changed after `after`.
    pub(crate) fn list_paces(&self, after: u64) -> Paces {
        let state = self.lock();
        let last_change = state.paces.last_change();
        let news = match last_change == after {
            true => Vec::new(),
            false => state.paces.list_after(after).map(pace::encode).collect(),
        };
        Paces { last_change, news }
    }
}
