//! Orders that configure the engine, with a fence that rejects those of an outdated sender.

use serde::Deserialize;

use crate::options;

/// An order in its JSON form.
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

/// Configuration set by the orders so far.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    pub(crate) adapters: Vec<String>,
    pub(crate) applied: u64,
    pub(crate) fence: u64,
    pub(crate) models: Vec<String>,
    pub(crate) role: String,
    pub(crate) version: String,
    checks_fences: bool,
}

impl Orders {
    /// Returns the configuration before the first order.
    pub(crate) fn new(options: &options::Engine) -> Orders {
        Orders {
            adapters: Vec::new(),
            applied: 0,
            checks_fences: options.checks_fences,
            fence: 0,
            models: options.models.clone(),
            role: String::new(),
            version: String::new(),
        }
    }

    /// Applies an order; returns false if fences are checked and its fence is outdated.
    pub(crate) fn apply(&mut self, order: Order) -> bool {
        if self.checks_fences && order.fence < self.fence {
            return false;
        }
        self.fence = order.fence;
        self.applied += 1;
        if !order.models.is_empty() {
            self.models = order.models;
        }
        self.adapters = order.adapters;
        self.version = order.version;
        self.role = order.role;
        true
    }
}
