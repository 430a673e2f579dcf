//! Engines whose process ends while a generation begins to be written there.

use std::sync;

use peargap_adapters::logs;

use crate::events;
use crate::fleet;
use crate::generation;
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

/// A generation whose stream broke as it began.
#[derive(Clone, Debug)]
pub(crate) struct Broken {
    /// Start time of the engine's process by its own clock, in Unix milliseconds.
    born_ms: u64,
    events: u64,
    fleet: fleet::Fleet,
    generation: sync::Arc<generation::Generation>,
    pool: sync::Arc<pool::Pool>,
    /// Name of the engine.
    upstream: String,
}

impl Broken {
    /// Returns the generation whose stream from the engine at `placement` broke after `events` events.
    pub(crate) fn new(
        fleet: &fleet::Fleet,
        generation: &sync::Arc<generation::Generation>,
        placement: &placement::Placement,
        events: u64,
    ) -> Broken {
        Broken {
            born_ms: placement.notices.born_ms(),
            events,
            fleet: fleet.clone(),
            generation: generation.clone(),
            pool: placement.pool.clone(),
            upstream: placement.name.clone(),
        }
    }

    /// Finds out whether the engine's process has ended, or only the connection to it. The end of a
    /// process is evidence against the parts of the prompt.
    pub(crate) async fn examine(self) -> pool::Process {
        let process = self.pool.examine_process().await;
        let request = &self.generation.request;
        logs::emit(
            events::BROKEN_AT_BEGIN,
            format_args!(
                "request={} upstream={} process={process:?} events={} parts={}",
                response::attempt_text(&request.head.attempt),
                self.upstream,
                self.events,
                request.head.prompt
            ),
        );
        if process == pool::Process::Ended {
            let prompt = &request.head.prompt;
            self.fleet
                .record_crash(prompt, &self.upstream, self.born_ms);
        }
        process
    }
}
