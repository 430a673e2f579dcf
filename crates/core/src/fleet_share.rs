//! This gateway's part of a bound that holds for all gateways together.
//!
//! Equal parts need no exchange between the gateways. They hold from the number of gateways alone,
//! and waste what gateways with little traffic do not use.

use core::time::Duration;

use crate::time::Instant;

/// Number of gateways that share a bound. A smaller number holds only after a window without a
/// larger one: a control host that was restarted or cut off knows few gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sharers {
    largest: u32,
    /// When `largest` was last confirmed.
    largest_at: Instant,
}

impl Sharers {
    /// Updates the number of gateways; `window` is the time for which the bound is counted.
    pub fn update(&mut self, now: Instant, gateways: u32, window: Duration) {
        if gateways >= self.largest || now >= self.largest_at + window {
            self.largest = gateways;
            self.largest_at = now;
        }
    }

    /// Returns the number of gateways; 0 while it is unknown.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.largest
    }

    /// Returns this gateway's equal part of an amount; none while the number of gateways is unknown.
    #[must_use]
    pub fn part_of(&self, amount: f64) -> f64 {
        match self.largest {
            0 => 0.0,
            gateways => amount / f64::from(gateways),
        }
    }
}

/// Place of this gateway among all, as a control host numbers them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position {
    /// Number of gateways; 0 if unknown.
    pub gateways: u32,
    /// Position of this gateway, from 1.
    pub position: u32,
}

impl Position {
    /// Returns whether the upstream at this index belongs to this gateway.
    #[must_use]
    pub fn owns(self, upstream_index: usize) -> bool {
        let gateways = usize::try_from(self.gateways).unwrap_or(usize::MAX);
        let position = usize::try_from(self.position).unwrap_or(usize::MAX);
        gateways > 0 && upstream_index % gateways + 1 == position
    }

    /// Returns the whole requests that this gateway may send of `amount`. If there are more gateways
    /// than requests, only some of them send to an upstream, others to another one: `upstream_index`
    /// is that of the upstream among those of its service.
    #[must_use]
    pub fn whole_share(&self, amount: f64, upstream_index: usize) -> u32 {
        if self.gateways == 0 {
            return 1;
        }
        let share = whole(amount / f64::from(self.gateways));
        if share > 0 {
            return share;
        }
        let gateways_per_sender = whole((f64::from(self.gateways) / amount).ceil()).max(1);
        let index = u32::try_from(upstream_index).unwrap_or(u32::MAX);
        // If there are no more upstreams than gateways, the one that an upstream is assigned to is
        // among its senders.
        let position = self.position.saturating_sub(1);
        u32::from(position % gateways_per_sender == index % gateways_per_sender)
    }
}

/// Returns the whole part of a number, within the range of the type.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
pub(crate) fn whole(number: f64) -> u32 {
    number as u32
}
