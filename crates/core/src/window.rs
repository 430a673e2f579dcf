//! Counts of events in a sliding window.
//!
//! Events are counted in slots. A count includes a slot more than the window has, so that it is never
//! below the number of events in the window that ends now.

use core::time::Duration;
use std::collections;

use crate::time::Instant;

/// A window, and the slots into which it is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Window {
    /// Time from its start to its end.
    pub length: Duration,
    /// Number of slots.
    pub slots: u32,
}

impl Window {
    fn slot_number(&self, now: Instant) -> u64 {
        let slot = self.length / self.slots.max(1);
        let millis = u64::try_from(slot.as_millis()).unwrap_or(u64::MAX);
        now.0 / millis.max(1)
    }

    fn oldest_slot(&self, now: Instant) -> u64 {
        self.slot_number(now).saturating_sub(u64::from(self.slots))
    }

    /// Returns the part of a window, up to 1, that has passed at `now` since the start of the process.
    #[must_use]
    pub fn elapsed_part(&self, now: Instant) -> f64 {
        let uptime = Duration::from_millis(now.0);
        let length = self.length.max(Duration::from_millis(1));
        (uptime.as_secs_f64() / length.as_secs_f64()).min(1.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    events: u32,
    number: u64,
}

/// Counter of events. All calls must pass the same window.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    slots: collections::VecDeque<Slot>,
}

impl Counter {
    /// Returns the number of events in the window that ends now.
    #[must_use]
    pub fn count(&self, now: Instant, window: &Window) -> u32 {
        let oldest = window.oldest_slot(now);
        let recent = self.slots.iter().filter(|slot| slot.number >= oldest);
        recent.map(|slot| slot.events).sum()
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant, window: &Window) {
        let number = window.slot_number(now);
        let oldest = window.oldest_slot(now);
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
        match self.slots.back_mut() {
            Some(slot) if slot.number >= number => slot.events += 1,
            _ => self.slots.push_back(Slot { events: 1, number }),
        }
    }
}
