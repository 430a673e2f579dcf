//! Forecast of an engine's memory use at several horizons.

use crate::curve;

/// Decode steps ahead at which memory is forecast.
pub const HORIZONS: [u32; 8] = [8, 32, 64, 128, 256, 512, 1024, 2048];

/// Memory use and length limits of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Class whose survival curve predicts its output length.
    pub class: curve::Class,
    /// Limit on output tokens.
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
    /// Adds one stream, which is still running at each horizon with the probability that its curve
    /// gives.
    pub fn add(&mut self, curves: &curve::Curves, load: &Load) {
        let tail = curves.tail(load.class, load.produced);
        for (index, horizon) in HORIZONS.iter().enumerate() {
            let length = load.produced.saturating_add(*horizon);
            if length > load.max_tokens {
                break;
            }
            let probability = tail.survival(*horizon);
            let memory = (load.used_tokens + horizon) as f32;
            self.mean[index] += probability * memory;
            self.variance[index] += probability * (1.0 - probability) * memory * memory;
        }
    }

    /// Returns the largest over all horizons of the mean plus `deviations` standard deviations, in
    /// tokens.
    ///
    /// [`upper_normal_quantile`] gives the factor for the probability with which this may be
    /// exceeded.
    #[must_use]
    pub fn peak(&self, deviations: f32) -> f32 {
        let mut peak = 0.0_f32;
        for (mean, variance) in self.mean.iter().zip(&self.variance) {
            peak = peak.max(mean + deviations * variance.sqrt());
        }
        peak
    }
}

/// Returns the upper quantile of the standard normal distribution: the value that is exceeded with
/// the given probability, which is clamped to 1e-6..0.5.
///
/// Rational approximation 26.2.23 of Abramowitz and Stegun.
#[must_use]
pub fn upper_normal_quantile(probability: f32) -> f32 {
    let probability = probability.clamp(1e-6, 0.5);
    let t = (-2.0 * probability.ln()).sqrt();
    let above = 2.515_517 + t * (0.802_853 + t * 0.010_328);
    let below = 1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308));
    t - above / below
}
