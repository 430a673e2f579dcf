//! Rate limit of an upstream during its cold start, kept by all gateways together.
//!
//! Gateways do not ask each other. Each sends its part of the rate; if there are more gateways than
//! requests in a second, only some of them send to an upstream, others to another one.

use std::collections;

use crate::time::Instant;

/// Time for which requests are counted together, in milliseconds.
const SLOT_MS: u64 = 200;
/// Slots of which each second that ends now touches at most these.
const SLOTS_PER_S: u64 = 1000 / SLOT_MS;

/// The rate, and who shares it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Number of gateways; 0 if unknown.
    pub gateways: u32,
    /// Requests per second from all gateways.
    pub per_s: f64,
    /// Position of this gateway, from 1.
    pub position: u32,
    /// Index of the upstream among those of its service.
    pub upstream_index: usize,
}

impl Rate {
    /// Returns the requests that this gateway may send in any second.
    #[must_use]
    pub fn share(&self) -> u32 {
        if self.gateways == 0 {
            return 1;
        }
        let share = whole(self.per_s / f64::from(self.gateways));
        if share > 0 {
            return share;
        }
        let gateways_per_sender = whole((f64::from(self.gateways) / self.per_s).ceil()).max(1);
        let index = u32::try_from(self.upstream_index).unwrap_or(u32::MAX);
        // If there are no more upstreams than gateways, the one that an upstream is assigned to is
        // among its senders.
        let position = self.position.saturating_sub(1);
        u32::from(position % gateways_per_sender == index % gateways_per_sender)
    }
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    requests: u32,
}

/// Requests that a gateway has sent to one upstream in the last second.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    slots: collections::VecDeque<Slot>,
}

impl Counter {
    /// Returns whether another request stays within the gateway's share of the rate.
    #[must_use]
    pub fn may_send(&self, now: Instant, rate: &Rate) -> bool {
        let oldest = (now.0 / SLOT_MS).saturating_sub(SLOTS_PER_S);
        let recent = self.slots.iter().filter(|slot| slot.number >= oldest);
        let sent: u32 = recent.map(|slot| slot.requests).sum();
        sent < rate.share()
    }

    /// Counts a request.
    pub fn record(&mut self, now: Instant) {
        let number = now.0 / SLOT_MS;
        let oldest = number.saturating_sub(SLOTS_PER_S);
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
        match self.slots.back_mut() {
            Some(slot) if slot.number == number => slot.requests += 1,
            _ => self.slots.push_back(Slot {
                number,
                requests: 1,
            }),
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn whole(number: f64) -> u32 {
    number as u32
}
