//! Upstreams whose process ends while it runs a plain call, or as a generation begins there.

use std::sync;

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_core::quarantine;

use crate::call;
use crate::events;
use crate::fleet;
use crate::placement;
use crate::pool;
use crate::response;

/// Events after which a generation no longer counts as beginning: an engine may send the first one
/// and end before it sends the next.
pub(crate) const BEGINNING_EVENTS: u64 = 2;

/// Returns whether a generation that has sent this many events is still beginning.
pub(crate) fn is_beginning(events: u64) -> bool {
    events < BEGINNING_EVENTS
}

/// A request that its upstream broke off: a plain call, or a generation that was beginning.
#[derive(Clone, Debug)]
pub(crate) struct Broken {
    attempt: Bytes,
    /// Start time of the upstream's process by its own clock, in Unix milliseconds.
    born_ms: u64,
    events: u64,
    fleet: fleet::Fleet,
    pool: sync::Arc<pool::Pool>,
    subjects: Vec<quarantine::Subject>,
    /// Name of the upstream.
    upstream: String,
}

impl Broken {
    /// Returns the request that the upstream at `placement` broke off after `events` events.
    pub(crate) fn new(
        fleet: &fleet::Fleet,
        request: &call::Request,
        placement: &placement::Placement,
        events: u64,
    ) -> Broken {
        Broken {
            attempt: request.head.attempt.clone(),
            born_ms: placement.notices.born_ms(),
            events,
            fleet: fleet.clone(),
            pool: placement.pool.clone(),
            subjects: crate::quarantine::list_subjects(request, true),
            upstream: placement.name.clone(),
        }
    }

    /// Returns the request if the upstream at `placement` broke it off before any response, and not the
    /// network.
    pub(crate) fn of(
        fleet: &fleet::Fleet,
        failure: &call::Failure,
        request: &call::Request,
        placement: &placement::Placement,
    ) -> Option<Broken> {
        match failure {
            call::Failure::Unknown(_) => Some(Broken::new(fleet, request, placement, 0)),
            call::Failure::Displaced
            | call::Failure::Late(_)
            | call::Failure::Lost(_)
            | call::Failure::NotRun(_)
            | call::Failure::NotSent(_)
            | call::Failure::Unreachable(_) => None,
        }
    }

    /// Finds out whether the upstream's process has ended, or only the connection to it. The end of a
    /// process is evidence against the request and the parts of its prompt.
    pub(crate) async fn examine(self) -> pool::Process {
        let process = self.pool.examine_process().await;
        logs::emit(
            events::REQUEST_BROKEN_OFF,
            format_args!(
                "request={} upstream={} process={process:?} events={} subjects={}",
                response::attempt_text(&self.attempt),
                self.upstream,
                self.events,
                quarantine::List(&self.subjects)
            ),
        );
        if process == pool::Process::Ended {
            self.fleet
                .record_crash(&self.subjects, &self.upstream, self.born_ms);
        }
        process
    }
}

/// Examines a request that was broken off, if there is one. What it finds is recorded even if the caller
/// leaves in the meantime.
pub(crate) async fn examine(broken: Option<Broken>) {
    if let Some(broken) = broken {
        // Fails only if the runtime shuts down.
        let _ = tokio::spawn(broken.examine()).await;
    }
}
