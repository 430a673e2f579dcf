//! Latency estimates of the services, used as hedging delays.

use core::time;
use std::collections;
use std::sync;

/// Quantile that is estimated.
const QUANTILE: f64 = 0.95;
/// Step of the estimate per sample, relative to its value.
const STEP: f64 = 0.1;
/// Number of samples before the estimate is used.
const MIN_SAMPLES: u32 = 20;
/// Lower bound of the estimate.
const MIN_ESTIMATE: time::Duration = time::Duration::from_millis(5);

/// A running estimate of a quantile.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    samples: u32,
    seconds: f64,
}

impl Estimate {
    /// Updates the estimate with a sample.
    pub fn add(&mut self, sample: time::Duration) {
        let sample = sample.as_secs_f64();
        if self.samples == 0 {
            self.seconds = sample;
        }
        self.samples = self.samples.saturating_add(1);
        let step = self.seconds.max(MIN_ESTIMATE.as_secs_f64()) * STEP;
        if sample > self.seconds {
            self.seconds += step * QUANTILE;
        } else {
            self.seconds = (self.seconds - step * (1.0 - QUANTILE)).max(0.0);
        }
    }

    /// Returns the estimated quantile once there are enough samples.
    pub fn get(&self) -> Option<time::Duration> {
        let known = self.samples >= MIN_SAMPLES;
        known.then(|| time::Duration::from_secs_f64(self.seconds).max(MIN_ESTIMATE))
    }
}

/// Latency estimates by service.
#[derive(Debug, Default)]
pub(crate) struct Latencies(sync::Mutex<collections::HashMap<String, Estimate>>);

impl Latencies {
    /// Updates a service's estimate with the latency of a call.
    pub(crate) fn add(&self, service: &str, sample: time::Duration) {
        let mut estimates = self.lock();
        if let Some(estimate) = estimates.get_mut(service) {
            estimate.add(sample);
            return;
        }
        let mut estimate = Estimate::default();
        estimate.add(sample);
        estimates.insert(service.to_owned(), estimate);
    }

    /// Returns a service's estimate once there are enough samples.
    pub(crate) fn get(&self, service: &str) -> Option<time::Duration> {
        self.lock().get(service)?.get()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<String, Estimate>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
