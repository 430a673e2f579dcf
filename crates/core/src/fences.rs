//! Fencing of orders to engines.

use std::sync;

use crate::config;
use crate::placement;

/// Refuses orders whose fence is smaller than one already seen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Gate(u64);

impl Gate {
    /// Returns whether an order with `fence` may be carried out; records the fence if so.
    pub fn admit(&mut self, fence: u64) -> bool {
        if fence < self.0 {
            return false;
        }
        self.0 = fence;
        true
    }

    /// Returns the largest fence seen.
    pub fn seen(&self) -> u64 {
        self.0
    }
}

/// Orders `upstream` to have `models` loaded, with `fence` from the log.
///
/// Returns false and keeps the existing order and its fence if that order lists the same models and
/// the upstream has already announced them as loaded.
pub fn give_order(
    config: &mut config::Config,
    upstream: &str,
    models: Vec<String>,
    fence: u64,
) -> bool {
    let current = config.orders.get(upstream);
    let has_same_models = current.is_some_and(|order| order.models == models);
    if has_same_models && placement::count_loads(config, upstream, &models) == 0 {
        return false;
    }
    let order = config::Order {
        fence,
        models,
        upstream: upstream.to_owned(),
    };
    config
        .orders
        .insert(upstream.to_owned(), sync::Arc::new(order));
    true
}
