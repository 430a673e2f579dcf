//! Stop of the process: until when requests may run.

use std::sync;

use peargap_core::drain;
use tokio::time;

use crate::generation;

/// The stop of the process, shared by all requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stop {
    /// When running requests are cut off; set once the process is told to stop.
    ends_at: sync::Arc<sync::OnceLock<time::Instant>>,
    pace: sync::Arc<sync::Mutex<drain::Pace>>,
}

impl Stop {
    /// Records that the process is told to stop, and cuts requests off at this time.
    pub(crate) fn begin(&self, ends_at: time::Instant) {
        // A process is told to stop once.
        let _ = self.ends_at.set(ends_at);
    }

    /// Records the time between two events of a generation, in milliseconds.
    pub(crate) fn record_gap(&self, gap_ms: u64) {
        self.lock().record(gap_ms);
    }

    /// Returns whether the stop of the process may cut off a generation.
    pub(crate) fn may_cut_off(&self, generation: &generation::Generation) -> bool {
        let Some(ends_at) = self.ends_at.get() else {
            return false;
        };
        let left = ends_at.saturating_duration_since(time::Instant::now());
        let usage = generation.request.head.usage;
        let max_output = usage.map(|usage| usage.max_output);
        let stride = generation.engine.stride;
        !self.lock().ends_within(left, max_output, stride)
    }

    fn lock(&self) -> sync::MutexGuard<'_, drain::Pace> {
        let locked = self.pace.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
