//! Forecast of how long outputs are, learned by route from those that were relayed.
//!
//! A caller's hint is right in the middle but often far off. It selects the class whose outputs are
//! looked at, and stands in for them until some of the class have ended.

use std::collections;

use crate::curve;
use crate::engine_room;

/// Ended outputs of a class that count as much as the caller's hint.
const HINT_WEIGHT: f32 = 6.0;
/// Classes that are kept; requests of later ones are not learned from.
const MAX_CLASSES: usize = 1024;

/// What a request says of its generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// Estimate of the output, in tokens.
    pub hint: Option<u64>,
    /// Limit of the output, in tokens.
    pub max_output: Option<u64>,
    /// Prompt, in tokens.
    pub prompt: u64,
}

/// Class of generations whose outputs are alike.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Class(curve::Class);

/// Learned lengths of outputs.
#[derive(Clone, Debug, Default)]
pub struct Forecasts {
    curves: curve::Curves,
    /// Ended outputs by class.
    ended: collections::HashMap<curve::Class, u32>,
}

impl Forecasts {
    /// Returns the class of a request on a route.
    pub fn classify(&mut self, route: &str, hint: Option<u64>) -> Class {
        let doubling = hint.map(|hint| hint.max(1).ilog2());
        let name = doubling.map_or_else(String::new, |doubling| doubling.to_string());
        Class(self.curves.class(route, &name))
    }

    /// Returns the number of classes that are kept.
    #[must_use]
    pub fn count_classes(&self) -> usize {
        self.curves.count_classes()
    }

    /// Records that an output has grown to `after` tokens from `before`.
    pub fn record_growth(&mut self, class: Class, before: u64, after: u64) {
        let Class(class) = class;
        self.curves
            .record_growth(class, narrow(before), narrow(after));
    }

    /// Records that an output has ended by itself after `tokens`.
    pub fn record_end(&mut self, class: Class, tokens: u64) {
        let Class(class) = class;
        self.curves.record_end(class, narrow(tokens));
        if self.ended.len() >= MAX_CLASSES && !self.ended.contains_key(&class) {
            return;
        }
        *self.ended.entry(class).or_default() += 1;
    }

    /// Returns what a generation is expected to hold later that has made `produced` tokens.
    #[must_use]
    pub fn later(&self, class: Class, request: Request, produced: u64) -> engine_room::Later {
        let held_after = |more: u32| {
            let length = produced + u64::from(more);
            let share = self.survival(class, request, produced, length);
            share_of(request.prompt + length, share)
        };
        engine_room::Later {
            far: held_after(engine_room::FAR_TOKENS),
            near: held_after(engine_room::NEAR_TOKENS),
        }
    }

    /// Returns the probability that an output of `produced` tokens becomes longer than `length`.
    fn survival(&self, class: Class, request: Request, produced: u64, length: u64) -> f32 {
        if request.max_output.is_some_and(|limit| length >= limit) {
            return 0.0;
        }
        let Class(class) = class;
        let more = narrow(length - produced);
        let learned = self
            .curves
            .conditional_survival(class, narrow(produced), more);
        let Some(hint) = request.hint else {
            return learned;
        };
        let ended = self.ended.get(&class).copied().unwrap_or_default();
        let weight = number(u64::from(ended)) / (number(u64::from(ended)) + HINT_WEIGHT);
        let hinted = survival_by_hint(hint, length) / survival_by_hint(hint, produced);
        weight * learned + (1.0 - weight) * hinted
    }
}

/// Returns the probability that an output is longer than `length` if half of those with this hint are
/// longer than the hint (a log-logistic distribution).
fn survival_by_hint(hint: u64, length: u64) -> f32 {
    let ratio = number(length) / number(hint.max(1));
    1.0 / (1.0 + ratio * ratio)
}

fn narrow(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "a forecast needs no more than three digits"
)]
fn number(count: u64) -> f32 {
    count as f32
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a number of tokens"
)]
fn share_of(tokens: u64, share: f32) -> u64 {
    (number(tokens) * share).round() as u64
}
