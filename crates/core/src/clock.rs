//! Logical clock of the replicated state, advanced by committed ticks.
//!
//! A tick is applied only if it is the immediate successor of the last one, and its proposer
//! measures the elapsed time from when it applied that one. The clock therefore never runs faster
//! than real time, whatever the hosts' wall clocks say and however many hosts propose ticks.

/// Longest time that one tick may add, in milliseconds.
pub const MAX_TICK_MS: u32 = 5_000;

/// The replicated clock.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Clock {
    /// Milliseconds elapsed.
    pub millis: u64,
    /// Ticks applied.
    pub ticks: u64,
}

impl Clock {
    /// Advances the clock by `elapsed` milliseconds, at most [`MAX_TICK_MS`].
    ///
    /// Returns false and changes nothing if `number` is not the next tick.
    pub fn tick(&mut self, number: u64, elapsed: u32) -> bool {
        if number != self.ticks + 1 {
            return false;
        }
        self.ticks = number;
        self.millis += u64::from(elapsed.min(MAX_TICK_MS));
        true
    }
}
