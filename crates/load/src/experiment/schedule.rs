//! Events of an experiment in the order of their times.

use core::cmp;
use core::time::Duration;
use std::collections;

use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::RngExt as _;

use crate::experiment::numbers;

/// Events to come; those of one time come in the order in which they were added.
#[derive(Clone, Debug)]
pub(super) struct Schedule<E> {
    added: usize,
    queue: collections::BinaryHeap<cmp::Reverse<(Instant, usize, E)>>,
}

impl<E: Ord> Schedule<E> {
    pub(super) fn new() -> Schedule<E> {
        Schedule {
            added: 0,
            queue: collections::BinaryHeap::new(),
        }
    }

    pub(super) fn push(&mut self, at: Instant, event: E) {
        self.added += 1;
        self.queue.push(cmp::Reverse((at, self.added, event)));
    }

    /// Removes and returns the next event, if it comes before `end`.
    pub(super) fn pop_before(&mut self, end: Instant) -> Option<(Instant, E)> {
        let cmp::Reverse((at, _number, event)) = self.queue.pop()?;
        (at < end).then_some((at, event))
    }
}

/// Returns the time to the next of events that come at random, `per_s` a second.
pub(super) fn draw_wait(random: &mut SmallRng, per_s: f64) -> Duration {
    let wait = -(1.0 - random.random_range(0.0..1.0_f64)).ln() / per_s;
    Duration::from_millis(u64::try_from(numbers::whole(wait * 1000.0)).unwrap_or(u64::MAX))
}
