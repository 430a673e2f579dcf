//! Monotonic clock of the process.

use peargap_core::time;

/// Counts milliseconds from the call of [`Clock::start`].
#[derive(Clone, Copy, Debug)]
pub struct Clock(tokio::time::Instant);

impl Clock {
    /// Returns a clock at zero.
    pub fn start() -> Clock {
        Clock(tokio::time::Instant::now())
    }

    /// Returns the time since the start.
    pub fn now(&self) -> time::Instant {
        let elapsed = self.0.elapsed().as_millis();
        time::Instant(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}
