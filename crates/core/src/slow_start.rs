//! How many requests at once an upstream that has just started gets, from all gateways together.
//!
//! A process that has just started is slow, and it looks idle: each gateway that compares loads
//! would choose it. It begins with a few requests for the whole fleet. Each answer in time makes
//! room for another one; each that is late, refused or lost halves the room for a while. The room
//! follows from counts that gateways add up with their loads, and is shared by demand: each gateway
//! admits requests at random just so often that all together fill it.
//!
//! It answers the load of a restart, when the upstream cannot yet do what it could before. What the
//! routing document says of cold starts bounds it from above.

use core::time::Duration;

use rand::RngExt as _;

use crate::time::Instant;
use crate::window;

/// Requests at once that it gets before any answer.
const FIRST_ROOM: u32 = 2;
/// Answers in time for each request that it runs at once after which its start is over: it has run
/// full for a few rounds.
const ROUNDS: u32 = 4;
/// Window in which answers that were late, refused or lost count.
const SETBACK_WINDOW: window::Window = window::Window {
    length: Duration::from_secs(1),
    slots: 10,
};
/// Window in which requests are counted that could be sent to it.
const DEMAND_WINDOW: window::Window = window::Window {
    length: Duration::from_secs(1),
    slots: 5,
};
/// Time in which all gateways together fill the room. They know each other's requests some 100 ms
/// late.
const FILL_TIME: Duration = Duration::from_millis(150);

/// What gateways have seen of one start of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Answers in time.
    pub in_time: u32,
    /// Answers that were late, refused or lost lately.
    pub setbacks: u32,
    /// Requests in the last second that could have been sent there.
    pub wanted: u32,
}

impl Counts {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            in_time: self.in_time + other.in_time,
            setbacks: self.setbacks + other.setbacks,
            wanted: self.wanted + other.wanted,
        }
    }

    /// Returns this sum without `part`, which must be contained in it.
    #[must_use]
    pub fn minus(self, part: Counts) -> Counts {
        Counts {
            in_time: self.in_time - part.in_time,
            setbacks: self.setbacks - part.setbacks,
            wanted: self.wanted - part.wanted,
        }
    }

    /// Returns how many requests at once the upstream gets, up to those that it runs at once; one is
    /// always tried.
    #[must_use]
    pub fn room(&self, slots: u32) -> u32 {
        let grown = FIRST_ROOM.saturating_add(self.in_time).min(slots);
        grown.checked_shr(self.setbacks).unwrap_or_default().max(1)
    }

    /// Returns whether the upstream has answered in time so often that its start is over.
    #[must_use]
    pub fn is_over(&self, slots: u32) -> bool {
        self.setbacks == 0 && self.in_time >= slots.saturating_mul(ROUNDS)
    }

    /// Returns whether one more request may be sent while `running` are there; all gateways decide
    /// by these sums.
    #[must_use]
    pub fn may_send<R: rand::Rng + ?Sized>(
        &self,
        running: u32,
        slots: u32,
        random: &mut R,
    ) -> bool {
        let free = self.room(slots).saturating_sub(running);
        let expected = f64::from(self.wanted) * FILL_TIME.as_secs_f64();
        free > 0 && random.random_bool((f64::from(free) / expected.max(1.0)).min(1.0))
    }
}

/// What one gateway has seen of one start of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Starter {
    in_time: u32,
    setbacks: window::Counter,
    wanted: window::Counter,
}

impl Starter {
    /// Counts an answer in time.
    pub fn record_in_time(&mut self) {
        self.in_time = self.in_time.saturating_add(1);
    }

    /// Counts an answer that was late, refused or lost.
    pub fn record_setback(&mut self, now: Instant) {
        self.setbacks.record(now, &SETBACK_WINDOW);
    }

    /// Counts a request that could be sent there.
    pub fn record_wanted(&mut self, now: Instant) {
        self.wanted.record(now, &DEMAND_WINDOW);
    }

    /// Returns what this gateway tells the others.
    #[must_use]
    pub fn report(&self, now: Instant) -> Counts {
        Counts {
            in_time: self.in_time,
            setbacks: self.setbacks.count(now, &SETBACK_WINDOW),
            wanted: self.wanted.count(now, &DEMAND_WINDOW),
        }
    }
}
