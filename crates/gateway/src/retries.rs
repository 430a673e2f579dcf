//! Retry budgets of the services, shared by all requests of a gateway.

use std::collections;
use std::sync;

use peargap_adapters::logs;
use peargap_core::fleet_share;
use peargap_core::retry_budget;

use crate::call;
use crate::events;
use crate::fleet;
use crate::meters;
use crate::response;

/// Retry budgets; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Retries {
    fleet: fleet::Fleet,
    limits: retry_budget::Limits,
    meters: meters::Meters,
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Budgets by name of the service.
    budgets: collections::BTreeMap<String, retry_budget::Budget>,
    sharers: fleet_share::Sharers,
}

impl Retries {
    /// Returns empty budgets.
    pub(crate) fn new(
        fleet: fleet::Fleet,
        limits: retry_budget::Limits,
        meters: meters::Meters,
    ) -> Retries {
        Retries {
            fleet,
            limits,
            meters,
            state: sync::Arc::default(),
        }
    }

    /// Counts a caller's request for a service.
    pub(crate) fn record_request(&self, service: &str) {
        let now = self.fleet.clock.now();
        let gateways = self.fleet.count_gateways();
        let mut state = self.lock();
        state.sharers.update(now, gateways, self.limits.window);
        if !state.budgets.contains_key(service) {
            state
                .budgets
                .insert(service.to_owned(), retry_budget::Budget::default());
        }
        if let Some(budget) = state.budgets.get_mut(service) {
            budget.record_request(now, &self.limits);
        }
    }

    /// Decides whether a request that has reached an upstream is sent to another one, and counts
    /// the retry if it is.
    pub(crate) fn try_withdraw(&self, request: &call::Request, service: &str) -> bool {
        let now = self.fleet.clock.now();
        let upstreams = self.fleet.count_refusing(service);
        let mut state = self.lock();
        let State { budgets, sharers } = &mut *state;
        let budget = budgets.entry(service.to_owned()).or_default();
        let decision = budget.try_withdraw(now, &self.limits, sharers, upstreams);
        let usage = budget.usage(now, &self.limits, sharers);
        drop(state);
        self.meters.count_retry(service, decision);
        let is_allowed = decision == retry_budget::Decision::Allow;
        if !is_allowed {
            logs::emit(
                events::RETRY_DENIED,
                format_args!(
                    "request={} service={service} why={decision:?} {usage} ready={} refusing={}",
                    response::attempt_text(&request.head.attempt),
                    upstreams.ready,
                    upstreams.refusing
                ),
            );
        }
        is_allowed
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
