//! The versioned configuration that is distributed to every node.

use std::collections;
use std::sync;

use crate::manifest;
use crate::members;

/// One version of the configuration; immutable once published.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// Failure domains that operators have taken out of service.
    pub domains_out: collections::BTreeSet<String>,
    /// The manifest, declared by operators.
    pub manifest: sync::Arc<manifest::Manifest>,
    /// Known nodes by name.
    pub members: members::Table,
    /// Current order to each engine, by upstream.
    pub orders: collections::BTreeMap<String, sync::Arc<Order>>,
    /// Revision of the manifest; increases by one with each accepted manifest.
    pub revision: u64,
    /// INI source text of the manifest.
    pub text: bytes::Bytes,
    /// Upstreams that operators are draining.
    pub upstreams_out: collections::BTreeSet<String>,
    /// Version of the whole configuration; increases with each change to any part of it.
    pub version: u64,
}

/// An order to one engine, fenced by an index of the replicated log.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Fencing token; larger than that of every earlier order in the deployment.
    pub fence: u64,
    /// Models that the engine should have loaded.
    pub models: Vec<String>,
    /// Name of the upstream.
    pub upstream: String,
}

impl Config {
    /// Returns whether operators allow new work for `upstream` in `domain`.
    pub fn is_open(&self, upstream: &str, domain: &str) -> bool {
        !self.domains_out.contains(domain) && !self.upstreams_out.contains(upstream)
    }
}
