//! Whether a stopping gateway takes a generation: only one that ends before the process, even if its
//! output is as long as it may be. A refused caller goes to another gateway at once, while a generation
//! that is cut off is lost.

use core::time::Duration;

/// Time between two events before any was measured, in milliseconds.
const DEFAULT_GAP_MS: f64 = 40.0;
/// Weight of the latest gap in the mean.
const GAP_WEIGHT: f64 = 0.02;
/// Longest gap that counts; longer ones are pauses of single generations.
const MAX_GAP_MS: f64 = 1000.0;
/// Time to the first event that is reckoned with.
const FIRST_EVENT: Duration = Duration::from_secs(1);

/// Mean time between the events of generations at this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    gap_ms: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            gap_ms: DEFAULT_GAP_MS,
        }
    }
}

impl Pace {
    /// Records the time between two events, in milliseconds.
    pub fn record(&mut self, gap_ms: u64) {
        let gap_ms = number(gap_ms).min(MAX_GAP_MS);
        self.gap_ms += GAP_WEIGHT * (gap_ms - self.gap_ms);
    }

    /// Returns whether a generation of at most `max_output` tokens ends within `left`, if its engine
    /// puts `stride` tokens into an event. One of unknown length may not.
    #[must_use]
    pub fn ends_within(&self, left: Duration, max_output: Option<u64>, stride: u64) -> bool {
        let Some(tokens) = max_output else {
            return false;
        };
        let events = number(tokens) / number(stride.max(1));
        let left = left.saturating_sub(FIRST_EVENT);
        events * self.gap_ms <= left.as_secs_f64() * 1000.0
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "tokens and milliseconds are far below 2^52"
)]
fn number(count: u64) -> f64 {
    count as f64
}
