//! Forecast of how long outputs are, learned by route from those that were relayed.
//!
//! A caller's hint is right in the middle but often far off. It selects the class whose outputs are
//! looked at, and stands in for them until some of the class have ended.

use std::collections;

use crate::curve;
use crate::engine_room;

/// Ended outputs of a class that count as much as the caller's hint.
const HINT_WEIGHT: f32 = 6.0;
/// Steps in which the far future is looked at.
const GROWTH_STEPS: u64 = 8;
/// Routes that are kept; requests on later ones share what is learned from all of them.
const MAX_ROUTES: usize = 256;

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

slotmap::new_key_type! {
    /// Key of a route's lengths.
    struct RouteKey;
}

/// Class of generations whose outputs are alike.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Class {
    curve: curve::Class,
    /// `None` if the route's own lengths are not kept.
    route: Option<RouteKey>,
}

/// Lengths of one route's outputs. Routes have nothing in common: the short outputs of one would make
/// those of a new one look short.
#[derive(Clone, Debug, Default)]
struct Lengths {
    curves: curve::Curves,
    /// Ended outputs by class.
    ended: collections::HashMap<curve::Class, u32>,
}

/// Learned lengths of outputs.
#[derive(Clone, Debug, Default)]
pub struct Forecasts {
    /// Of routes whose own lengths are not kept.
    others: Lengths,
    names: collections::HashMap<String, RouteKey>,
    routes: slotmap::SlotMap<RouteKey, Lengths>,
}

impl Forecasts {
    /// Returns the class of a request on a route.
    pub fn classify(&mut self, route: &str, hint: Option<u64>) -> Class {
        let doubling = hint.map(|hint| hint.max(1).ilog2());
        let name = doubling.map_or_else(String::new, |doubling| doubling.to_string());
        let route = self.find_route(route);
        let lengths = self.lengths_mut(route);
        Class {
            curve: lengths.curves.class("", &name),
            route,
        }
    }

    fn find_route(&mut self, name: &str) -> Option<RouteKey> {
        let known = self.names.get(name).copied();
        if known.is_some() || self.routes.len() >= MAX_ROUTES {
            return known;
        }
        let key = self.routes.insert(Lengths::default());
        self.names.insert(name.to_owned(), key);
        Some(key)
    }

    fn lengths_mut(&mut self, route: Option<RouteKey>) -> &mut Lengths {
        let found = route.and_then(|key| self.routes.get_mut(key));
        found.unwrap_or(&mut self.others)
    }

    fn lengths(&self, route: Option<RouteKey>) -> &Lengths {
        let found = route.and_then(|key| self.routes.get(key));
        found.unwrap_or(&self.others)
    }

    /// Returns the number of classes that are kept.
    #[must_use]
    pub fn count_classes(&self) -> usize {
        let routes = self.routes.values();
        let counts = routes.map(|lengths| lengths.curves.count_classes());
        counts.sum::<usize>() + self.others.curves.count_classes()
    }

    /// Records that an output has grown to `after` tokens from `before`.
    pub fn record_growth(&mut self, class: Class, before: u64, after: u64) {
        let lengths = self.lengths_mut(class.route);
        lengths
            .curves
            .record_growth(class.curve, narrow(before), narrow(after));
    }

    /// Records that an output has ended by itself after `tokens`.
    pub fn record_end(&mut self, class: Class, tokens: u64) {
        let lengths = self.lengths_mut(class.route);
        lengths.curves.record_end(class.curve, narrow(tokens));
        *lengths.ended.entry(class.curve).or_default() += 1;
    }

    /// Returns what a generation is expected to hold later that has made `produced` tokens.
    #[must_use]
    pub fn later(&self, class: Class, request: Request, produced: u64) -> engine_room::Later {
        let held = request.prompt + produced;
        let limit = request
            .max_output
            .map_or(u64::MAX, |limit| limit.saturating_sub(produced));
        let near = u64::from(engine_room::NEAR_TOKENS);
        let lasts = self.survival(class, request, produced, produced + near);
        let grown = held + self.expected_growth(class, request, produced);
        engine_room::Later {
            far: share_of(grown, lasts),
            near: held + near.min(limit),
        }
    }

    /// Returns by how much an output is expected to grow that becomes longer than the near future, up to
    /// the end of the far one.
    fn expected_growth(&self, class: Class, request: Request, produced: u64) -> u64 {
        let near = u64::from(engine_room::NEAR_TOKENS);
        let far = u64::from(engine_room::FAR_TOKENS);
        let lasts = self.survival(class, request, produced, produced + near);
        let step = (far - near) / GROWTH_STEPS;
        let middles = (0..GROWTH_STEPS).map(|number| near + number * step + step / 2);
        let shares = middles.map(|more| self.survival(class, request, produced, produced + more));
        let sum: f32 = shares.sum();
        near + share_of(step, sum / lasts.max(f32::MIN_POSITIVE))
    }

    /// Returns the probability that an output of `produced` tokens becomes longer than `length`.
    fn survival(&self, class: Class, request: Request, produced: u64, length: u64) -> f32 {
        if request.max_output.is_some_and(|limit| length >= limit) {
            return 0.0;
        }
        let lengths = self.lengths(class.route);
        let more = narrow(length - produced);
        let produced_now = narrow(produced);
        let learned = lengths
            .curves
            .conditional_survival(class.curve, produced_now, more);
        let Some(hint) = request.hint else {
            return learned;
        };
        let ended = lengths.ended.get(&class.curve).copied().unwrap_or_default();
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
