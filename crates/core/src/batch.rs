//! Bound on the streams decoded together, so that the time between tokens holds.
//!
//! Fits gap = base + slope × streams by decayed least squares and bounds the streams so that the
//! gap stays within a factor of that of one stream, or below what callers notice.

/// Gap that holds no stream back, in milliseconds; callers are promised 26.
const FREE_GAP_MS: f64 = 24.0;
/// Share of an observation that is left after the next one.
const KEEP: f64 = 0.99999;
/// Observations before the fit is trusted.
const MIN_OBSERVATIONS: f64 = 400.0;
/// Spread of the batch sizes (variance) before the slope is trusted.
const MIN_SPREAD: f64 = 2.0;
/// Longest gap that is counted, in milliseconds; longer ones are stalls.
const MAX_GAP_MS: u64 = 200;

/// Decayed sums of a straight-line fit.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    ceiling: u32,
    max_stretch: f64,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl Bound {
    /// Returns a bound that is `ceiling` until enough was seen, then keeps the gap below
    /// `max_stretch` times that of one stream, or below [`FREE_GAP_MS`] where that is more.
    #[must_use]
    pub fn new(ceiling: u32, max_stretch: f64) -> Bound {
        Bound {
            ceiling,
            max_stretch,
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
        }
    }

    /// Notes the gap between two tokens of one stream while `running` were decoded.
    pub fn observe(&mut self, running: u32, gap_ms: u64) {
        if gap_ms > MAX_GAP_MS {
            return;
        }
        let x = f64::from(running);
        let y = gap_ms as f64;
        self.weight = self.weight * KEEP + 1.0;
        self.sum_x = self.sum_x * KEEP + x;
        self.sum_y = self.sum_y * KEEP + y;
        self.sum_xx = self.sum_xx * KEEP + x * x;
        self.sum_xy = self.sum_xy * KEEP + x * y;
    }

    /// Returns the mean gap in milliseconds, or `default` when nothing was seen.
    #[must_use]
    pub fn gap_ms(&self, default: f64) -> f64 {
        if self.weight < 1.0 {
            return default;
        }
        self.sum_y / self.weight
    }

    /// Returns how many streams may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        if self.weight < MIN_OBSERVATIONS {
            return self.ceiling;
        }
        let mean_x = self.sum_x / self.weight;
        let mean_y = self.sum_y / self.weight;
        let spread = self.sum_xx / self.weight - mean_x * mean_x;
        if spread < MIN_SPREAD {
            return self.ceiling;
        }
        let slope = (self.sum_xy / self.weight - mean_x * mean_y) / spread;
        if slope <= 0.0 {
            return self.ceiling;
        }
        let single = mean_y - slope * (mean_x - 1.0);
        let single = single.max(0.0);
        let gap = (single * self.max_stretch).max(FREE_GAP_MS);
        let streams = 1.0 + (gap - single).max(0.0) / slope;
        (streams as u32).clamp(1, self.ceiling)
    }
}
