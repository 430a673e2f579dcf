//! Time of the replicated state, made of committed ticks.
//!
//! A tick counts only as the next after the last one, and its proposer measures from when it
//! applied that one. So the state's time never runs faster than real time, whatever the hosts'
//! wall clocks say and however many hosts propose ticks.

/// Longest time one tick may count, in milliseconds.
pub const TICK_MS: u32 = 5_000;

/// The state's time.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Clock {
    /// Milliseconds that have passed.
    pub millis: u64,
    /// Ticks that have been applied.
    pub ticks: u64,
}

impl Clock {
    /// Lets `elapsed` milliseconds pass; returns false when `number` is not the next tick.
    pub fn tick(&mut self, number: u64, elapsed: u32) -> bool {
        if number != self.ticks + 1 {
            return false;
        }
        self.ticks = number;
        self.millis += u64::from(elapsed.min(TICK_MS));
        true
    }
}
