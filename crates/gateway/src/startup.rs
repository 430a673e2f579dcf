//! Waits of requests that arrive before the gateway knows routes and upstreams.

use core::time;
use std::sync;

use peargap_core::balance;
use peargap_core::routes;
use peargap_core::time::Instant;

use crate::fleet;

/// Time after the start of the process during which routes and upstreams may not be known yet.
const STARTUP_TIME: time::Duration = time::Duration::from_secs(3);

/// Time between two looks for what a request waits for.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl fleet::Fleet {
    /// Returns whether the process has started recently, so that missing routes and upstreams are
    /// expected to become known soon.
    pub(crate) fn is_starting(&self) -> bool {
        self.clock.now() < Instant(0) + STARTUP_TIME
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

    /// If the process has started recently, waits until a request may be sent to an upstream of a
    /// service, until `deadline` at most.
    pub(crate) async fn wait_for_upstream(
        &self,
        service: &routes::Service,
        deadline: tokio::time::Instant,
    ) {
        let found = self.wait_at_start(|fleet| fleet.may_send_at_start(service).then_some(()));
        // A request that still may not be sent is placed or refused like any other.
        let _ = tokio::time::timeout_at(deadline, found).await;
    }

    /// Returns what `find` finds. If the process has started recently, waits until it finds
    /// something.
    async fn wait_at_start<T>(&self, find: impl Fn(&fleet::Fleet) -> Option<T>) -> Option<T> {
        let mut changes = self.changes();
        loop {
            if let Some(found) = find(self) {
                return Some(found);
            }
            if !self.is_starting() {
                return None;
            }
            // Requests that end change nothing that is announced.
            match tokio::time::timeout(POLL_INTERVAL, changes.changed()).await {
                Ok(Ok(())) | Err(_) => {}
                Ok(Err(_closed)) => return None,
            }
        }
    }

    fn may_send_at_start(&self, service: &routes::Service) -> bool {
        let state = self.lock();
        let ready = state.list_ready(&service.name);
        let totals = ready.fold((0, 0), |(running, slots), (_key, upstream)| {
            let slots = u32::saturating_add(slots, upstream.status.slots);
            (running + upstream.local_load.running, slots)
        });
        let (running, slots) = totals;
        slots > 0 && balance::may_send_at_start(running, slots, state.gateway_position.gateways)
    }
}
