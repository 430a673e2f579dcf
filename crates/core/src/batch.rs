//! Limit on the batch size (concurrently decoded streams) that keeps the gap between tokens short.
//!
//! Fits gap = base + slope × streams by exponentially weighted least squares and limits the streams
//! so that the gap stays within a factor of that of one stream, or below what callers notice.

/// Gap up to which the batch size is never limited, in milliseconds; 2 ms below the 26 ms that
/// callers are promised.
const UNLIMITED_GAP_MS: f64 = 24.0;
/// Factor by which each observation decays the weight of the earlier ones.
const DECAY: f64 = 0.99999;
/// Total weight of observations from which on the fit is used.
const MIN_WEIGHT: f64 = 400.0;
/// Variance of the batch sizes from which on the slope is used.
const MIN_VARIANCE: f64 = 2.0;
/// Longest gap that is recorded, in milliseconds; longer ones are stalls.
const MAX_GAP_MS: u64 = 200;

/// Limit on the batch size, derived from exponentially weighted sums of the observed batch sizes and
/// gaps.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    ceiling: u32,
    max_gap_ratio: f64,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl Limiter {
    /// Returns a limiter whose limit is `ceiling` until the fit is usable, then keeps the gap below
    /// `max_gap_ratio` times that of one stream, or below `UNLIMITED_GAP_MS` where that is more.
    #[must_use]
    pub fn new(ceiling: u32, max_gap_ratio: f64) -> Limiter {
        Limiter {
            ceiling,
            max_gap_ratio,
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
        }
    }

    /// Records a gap between two tokens of one stream while `running` streams were decoded.
    pub fn observe(&mut self, running: u32, gap_ms: u64) {
        if gap_ms > MAX_GAP_MS {
            return;
        }
        let x = f64::from(running);
        let y = gap_ms as f64;
        self.weight = self.weight * DECAY + 1.0;
        self.sum_x = self.sum_x * DECAY + x;
        self.sum_y = self.sum_y * DECAY + y;
        self.sum_xx = self.sum_xx * DECAY + x * x;
        self.sum_xy = self.sum_xy * DECAY + x * y;
    }

    /// Returns the mean gap in milliseconds, or `default` if none was recorded.
    #[must_use]
    pub fn gap_ms(&self, default: f64) -> f64 {
        if self.weight < 1.0 {
            return default;
        }
        self.sum_y / self.weight
    }

    /// Returns the limit on concurrent streams.
    #[must_use]
    pub fn limit(&self) -> u32 {
        if self.weight < MIN_WEIGHT {
            return self.ceiling;
        }
        let mean_x = self.sum_x / self.weight;
        let mean_y = self.sum_y / self.weight;
        let variance = self.sum_xx / self.weight - mean_x * mean_x;
        if variance < MIN_VARIANCE {
            return self.ceiling;
        }
        let slope = (self.sum_xy / self.weight - mean_x * mean_y) / variance;
        if slope <= 0.0 {
            return self.ceiling;
        }
        let single_gap = mean_y - slope * (mean_x - 1.0);
        let single_gap = single_gap.max(0.0);
        let gap = (single_gap * self.max_gap_ratio).max(UNLIMITED_GAP_MS);
        let streams = 1.0 + (gap - single_gap).max(0.0) / slope;
        (streams as u32).clamp(1, self.ceiling)
    }
}
