//! Waits of requests that arrive before the gateway knows routes and upstreams.

use core::time;
use std::sync;

use peargap_core::routes;
use peargap_core::time::Instant;
use peargap_core::upstreams;

use crate::fleet;

/// Time after the start of the process during which routes and upstreams may not be known yet.
const STARTUP_TIME: time::Duration = time::Duration::from_secs(3);

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

    /// If the process has started recently, waits for the first upstream of a service, until
    /// `deadline` at most.
    pub(crate) async fn wait_for_upstream(&self, service: &str, deadline: tokio::time::Instant) {
        let found = self.wait_at_start(|fleet| fleet.has_upstream(service).then_some(()));
        // Without an upstream the request is refused when it is placed.
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
            if !self.is_starting() || changes.changed().await.is_err() {
                return None;
            }
        }
    }

    fn has_upstream(&self, service: &str) -> bool {
        let state = self.lock();
        let mut upstreams = state.upstreams.values();
        upstreams.any(|upstream| {
            upstream.status.service == service && upstream.status.state == upstreams::State::Ready
        })
    }
}
