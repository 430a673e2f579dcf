//! Stop of the process: until when requests may run.

use std::sync;

use peargap_core::drain;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::generation;

/// Time before the end of the process at which calls that still run are answered.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(200);

/// The stop of the process, shared by all requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stop {
    begun: CancellationToken,
    /// When running requests are cut off; set once the process is told to stop.
    ends_at: sync::Arc<sync::OnceLock<time::Instant>>,
    /// Cancelled once the gateway takes no new connections.
    is_closed: CancellationToken,
    pace: sync::Arc<sync::Mutex<drain::Pace>>,
}

impl Stop {
    /// Records that the process is told to stop, and cuts requests off at this time.
    pub(crate) fn begin(&self, ends_at: time::Instant) {
        // A process is told to stop once.
        let _ = self.ends_at.set(ends_at);
        self.begun.cancel();
    }

    /// Records that the gateway takes no new connections.
    pub(crate) fn close(&self) {
        self.is_closed.cancel();
    }

    /// Waits until calls that still run must be answered, as the process ends.
    pub(crate) async fn wait_for_last_answers(&self) {
        self.begun.cancelled().await;
        if let Some(ends_at) = self.ends_at.get() {
            time::sleep_until(*ends_at - ANSWER_MARGIN).await;
        }
    }

    /// Returns whether the stop of the process may cut off a call that is about to be sent, if it may
    /// last until `deadline`. While callers still find the gateway, calls of usual length are taken.
    pub(crate) fn may_cut_off_call(&self, deadline: time::Instant) -> bool {
        let Some(ends_at) = self.ends_at.get() else {
            return false;
        };
        let is_over = time::Instant::now() >= *ends_at - ANSWER_MARGIN;
        is_over || (self.is_closed.is_cancelled() && deadline > *ends_at)
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
        let stride = generation.stride();
        !self.lock().ends_within(left, max_output, stride)
    }

    fn lock(&self) -> sync::MutexGuard<'_, drain::Pace> {
        let locked = self.pace.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
