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

    /// Takes a domain out of service or returns it; `index` is the log index of the command.
    ///
    /// Returns whether the state changed.
    pub fn shift(&mut self, index: u64, domain: &str, out: bool) -> bool {
        let changed = match out {
            true => self.domains_out.insert(domain.to_owned()),
            false => self.domains_out.remove(domain),
        };
        if changed {
            self.revision = index;
        }
        changed
    }
}
