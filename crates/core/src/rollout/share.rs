//! The share of a rollout's target among the new requests of one gateway.

use core::time::Duration;

use crate::rollout::order;
use crate::time::Instant;

/// Credit that the share may accumulate while the target takes no requests.
const MAX_SAVED: f64 = 2.0;

/// Requests that this gateway may send to the target of a rollout.
///
/// Each request to the service adds the share of the target; each one that goes to the target takes
/// one away. So the target gets no more than the share of the requests so far. With an offset drawn
/// at random below one, many gateways with few requests each still send it that share on average.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    left: f64,
}

impl Credit {
    /// Returns a credit that begins with an `offset` from 0 to 1.
    #[must_use]
    pub fn new(offset: f64) -> Credit {
        Credit { left: offset }
    }

    /// Returns whether a request may go to the target.
    #[must_use]
    pub fn may_send(&self, share_ppm: u32) -> bool {
        share_ppm >= order::WHOLE_PPM || (share_ppm > 0 && self.left >= 1.0)
    }

    /// Records a request to the service.
    pub fn record(&mut self, share_ppm: u32, to_target: bool) {
        let share = f64::from(share_ppm) / f64::from(order::WHOLE_PPM);
        let taken = f64::from(u8::from(to_target));
        self.left = (self.left + share - taken).clamp(0.0, MAX_SAVED);
    }
}

/// Share that a gateway applies, which it last heard at some moment.
#[derive(Clone, Copy, Debug)]
pub struct Leased {
    /// When a newer revision of the orders was last heard of.
    pub heard: Instant,
    /// Time for which the share holds.
    pub lease: Duration,
    /// Millionths of new requests that go to the target.
    pub share_ppm: u32,
}

impl Leased {
    /// Returns the share that holds now: none once the gateway has not heard of a newer revision for
    /// the lease, as the target may have been found bad meanwhile.
    #[must_use]
    pub fn share_ppm(&self, now: Instant) -> u32 {
        match now <= self.heard + self.lease {
            true => self.share_ppm,
            false => 0,
        }
    }
}
