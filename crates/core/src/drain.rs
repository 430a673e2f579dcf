//! Whether a stopping gateway takes a generation: only one that is likely to end before the process.

use core::time::Duration;

/// Time between two events before any was measured, in milliseconds.
const DEFAULT_GAP_MS: f64 = 40.0;
/// Weight of the latest gap in the mean.
const GAP_WEIGHT: f64 = 0.02;
/// Longest gap that counts; longer ones are pauses of single generations.
const MAX_GAP_MS: f64 = 1000.0;
/// Factor by which an output may be longer than its estimate.
const ESTIMATE_MARGIN: f64 = 1.5;

/// Output of a generation as its request declares it, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Output {
    /// The caller's estimate.
    pub estimate: Option<u64>,
    /// Upper bound.
    pub max: Option<u64>,
}

impl Output {
    /// Returns the tokens to expect; `None` if nothing is declared.
    fn expected_tokens(self) -> Option<f64> {
        let estimate = self.estimate.map(|tokens| number(tokens) * ESTIMATE_MARGIN);
        let max = self.max.map(number);
        match (estimate, max) {
            (Some(estimate), Some(max)) => Some(estimate.min(max)),
            (estimate, max) => estimate.or(max),
        }
    }
}

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

    /// Returns whether a generation is likely to end within `left`, if its engine puts `stride`
    /// tokens into an event. One of unknown length is not.
    #[must_use]
    pub fn may_end_within(&self, left: Duration, output: Output, stride: u64) -> bool {
        let Some(tokens) = output.expected_tokens() else {
            return false;
        };
        let events = tokens / number(stride.max(1));
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
