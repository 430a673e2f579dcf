//! How long calls to each service usually take.

use core::time;
use std::collections;
use std::sync;

/// Share of calls that are faster than the estimate.
const QUANTILE: f64 = 0.95;
/// Part of the estimate by which one sample may move it.
const STEP: f64 = 0.1;
/// Samples before the estimate counts.
const LEAST_SAMPLES: u32 = 20;
/// Shortest estimate.
const FLOOR: time::Duration = time::Duration::from_millis(5);

/// A running estimate of a quantile.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    samples: u32,
    seconds: f64,
}

impl Estimate {
    /// Takes one more sample into account.
    pub fn add(&mut self, sample: time::Duration) {
        let sample = sample.as_secs_f64();
        if self.samples == 0 {
            self.seconds = sample;
        }
        self.samples = self.samples.saturating_add(1);
        let step = self.seconds.max(FLOOR.as_secs_f64()) * STEP;
        if sample > self.seconds {
            self.seconds += step * QUANTILE;
        } else {
            self.seconds = (self.seconds - step * (1.0 - QUANTILE)).max(0.0);
        }
    }

    /// Returns the time that most samples stay below, once there are enough of them.
    pub fn get(&self) -> Option<time::Duration> {
        let known = self.samples >= LEAST_SAMPLES;
        known.then(|| time::Duration::from_secs_f64(self.seconds).max(FLOOR))
    }
}

/// The estimates of each service.
#[derive(Debug, Default)]
pub(crate) struct Latencies(sync::Mutex<collections::HashMap<String, Estimate>>);

impl Latencies {
    /// Takes a call's time into account.
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

    /// Returns the time that most calls stay below, if that is known.
    pub(crate) fn get(&self, service: &str) -> Option<time::Duration> {
        self.lock().get(service)?.get()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<String, Estimate>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
