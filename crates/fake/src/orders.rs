//! Orders to the engine, numbered by a fence.

use serde::Deserialize;

use crate::options;

/// An order as it arrives.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    #[serde(default)]
    pub(crate) adapters: Vec<String>,
    pub(crate) fence: u64,
    #[serde(default)]
    pub(crate) models: Vec<String>,
    #[serde(default)]
    pub(crate) role: String,
    #[serde(default)]
    pub(crate) version: String,
}

/// What the engine was last ordered.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    pub(crate) adapters: Vec<String>,
    pub(crate) carried_out: u64,
    pub(crate) fence: u64,
    pub(crate) models: Vec<String>,
    pub(crate) role: String,
    pub(crate) version: String,
    checks: bool,
}

impl Orders {
    /// Returns the orders of a fresh engine.
    pub(crate) fn new(options: &options::Engine) -> Orders {
        Orders {
            adapters: Vec::new(),
            carried_out: 0,
            checks: options.checks_fences,
            fence: 0,
            models: options.models.clone(),
            role: String::new(),
            version: String::new(),
        }
    }

    /// Carries out an order; returns false when its fence is old and fences are checked.
    pub(crate) fn carry_out(&mut self, order: Order) -> bool {
        if self.checks && order.fence < self.fence {
            return false;
        }
        self.fence = order.fence;
        self.carried_out += 1;
        if !order.models.is_empty() {
            self.models = order.models;
        }
        self.adapters = order.adapters;
        self.version = order.version;
        self.role = order.role;
        true
    }
}
