//! Replicated routing state: the current routing document, the failure domains out of service and
//! the rollouts.
//!
//! The document is stored verbatim; [`crate::routes`] defines its contents.

use std::collections;

use bytes::Bytes;

use crate::rollout::order;

/// Replicated routing state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Routing {
    /// Failure domains out of service, which get no new work.
    pub domains_out: collections::BTreeSet<String>,
    /// Log index of the last order on each domain that has had one, also if it changed nothing.
    pub orders: collections::BTreeMap<String, u64>,
    /// Log index of the last change to `domains_out`.
    pub revision: u64,
    /// Rollouts of services to other versions.
    pub rollouts: order::Orders,
    /// Text of the document; empty before the first.
    pub text: Bytes,
    /// Version of the document; 0 before the first.
    pub version: u64,
}

impl Routing {
    /// Replaces the document if `version` is higher than the current one.
    ///
    /// Returns whether it was replaced.
    pub fn publish(&mut self, version: u64, text: Bytes) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.text = text;
        true
    }

    /// Returns the log index of the last order on a domain; 0 before the first.
    #[must_use]
    pub fn last_order(&self, domain: &str) -> u64 {
        self.orders.get(domain).copied().unwrap_or_default()
    }

    /// Takes a domain out of service or returns it; `index` is the log index of the order.
    ///
    /// An order that names the one that it follows is applied only if that is still the last one on
    /// the domain. Otherwise it was overtaken on its way to the log. Returns whether it was applied.
    pub fn shift(&mut self, index: u64, order: &Order<'_>) -> bool {
        let last = self.last_order(order.domain);
        if order.follows.is_some_and(|follows| follows != last) {
            return false;
        }
        self.orders.insert(order.domain.to_owned(), index);
        let changed = match order.out {
            true => self.domains_out.insert(order.domain.to_owned()),
            false => self.domains_out.remove(order.domain),
        };
        if changed {
            self.revision = index;
        }
        true
    }
}

/// An operator's order on a failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order<'a> {
    /// Name of the domain.
    pub domain: &'a str,
    /// Log index of the last order on the domain that its host knew; `None` applies it in any case.
    pub follows: Option<u64>,
    /// Whether the domain is to be out of service.
    pub out: bool,
}
