//! Upstreams whose process ends while it runs a plain call, or as a generation begins there.

use std::sync;

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_core::prompt;
use peargap_core::request;

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
    digest: request::Digest,
    events: u64,
    fleet: fleet::Fleet,
    pool: sync::Arc<pool::Pool>,
    prompt: prompt::Prompt,
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
            digest: request.digest(),
            events,
            fleet: fleet.clone(),
            pool: placement.pool.clone(),
            prompt: request.head.prompt.clone(),
            upstream: placement.name.clone(),
        }
    }

    /// Finds out whether the upstream's process has ended, or only the connection to it. The end of a
    /// process is evidence against the parts of the prompt.
    pub(crate) async fn examine(self) -> pool::Process {
        let process = self.pool.examine_process().await;
        logs::emit(
            events::REQUEST_BROKEN_OFF,
            format_args!(
                "request={} upstream={} process={process:?} events={} digest={} parts={}",
                response::attempt_text(&self.attempt),
                self.upstream,
                self.events,
                self.digest,
                self.prompt
            ),
        );
        if process == pool::Process::Ended && !self.prompt.parts().is_empty() {
            self.fleet
                .record_crash(&self.prompt, &self.upstream, self.born_ms);
        }
        process
    }
}
