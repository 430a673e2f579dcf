//! Forecast of an engine's memory over several horizons.

use crate::curve;

/// Decode steps ahead at which memory is forecast.
pub const HORIZONS: [u32; 8] = [8, 32, 64, 128, 256, 512, 1024, 2048];

/// What a forecast needs to know of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Class whose curve its length follows.
    pub class: curve::Class,
    /// Longest output in tokens.
    pub max_tokens: u32,
    /// Output tokens so far.
    pub produced: u32,
    /// Memory held now, in tokens.
    pub used_tokens: u32,
}

/// Mean and variance of the memory in use at each horizon, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    mean: [f32; HORIZONS.len()],
    variance: [f32; HORIZONS.len()],
}

impl Forecast {
    /// Adds one stream, ended by its horizon or not as its curve says.
    pub fn add(&mut self, curves: &curve::Curves, load: &Load) {
        let tail = curves.tail(load.class, load.produced);
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let length = load.produced.saturating_add(*horizon);
            if length > load.max_tokens {
                break;
            }
            let chance = tail.chance(*horizon);
            let memory = (load.used_tokens + horizon) as f32;
            self.mean[index] += chance * memory;
            self.variance[index] += chance * (1.0 - chance) * memory * memory;
        }
    }

    /// Returns the memory that is exceeded with a chance of `deviations` at no horizon, in tokens.
    ///
    /// `deviations` comes from [`deviations`].
    #[must_use]
    pub fn peak(&self, deviations: f32) -> f32 {
        let mut peak = 0.0_f32;
        for (mean, variance) in self.mean.iter().zip(&self.variance) {
            peak = peak.max(mean + deviations * variance.sqrt());
        }
        peak
    }
}

/// Returns the standard deviations above the mean that a normal value exceeds with `chance`.
///
/// Abramowitz and Stegun 26.2.23; `chance` is cut to 1e-6..0.5.
#[must_use]
pub fn deviations(chance: f32) -> f32 {
    let chance = chance.clamp(1e-6, 0.5);
    let t = (-2.0 * chance.ln()).sqrt();
    let above = 2.515_517 + t * (0.802_853 + t * 0.010_328);
    let below = 1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308));
    t - above / below
}
