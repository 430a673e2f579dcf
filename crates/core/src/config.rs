//! The configuration that every node follows.

use std::collections;
use std::sync;

use crate::manifest;
use crate::members;

/// A version of the configuration, never changed once published.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// Failure domains that operators took out.
    pub domains_out: collections::BTreeSet<String>,
    /// What operators declare.
    pub manifest: sync::Arc<manifest::Manifest>,
    /// Known nodes by name.
    pub members: members::Table,
    /// Orders to engines by upstream.
    pub orders: collections::BTreeMap<String, sync::Arc<Order>>,
    /// Revision of the manifest; grows with each accepted one.
    pub revision: u64,
    /// The manifest's INI text.
    pub text: bytes::Bytes,
    /// Upstreams that operators drain.
    pub upstreams_out: collections::BTreeSet<String>,
    /// Grows with each change of anything here.
    pub version: u64,
}

/// An order to one engine, numbered by the log.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Larger than that of every earlier order in the deployment.
    pub fence: u64,
    /// Models the engine shall have loaded.
    pub models: Vec<String>,
    /// Name of the upstream.
    pub upstream: String,
}

impl Config {
    /// Returns whether new work may go to `upstream` in `domain`, as far as operators say.
    pub fn is_open(&self, upstream: &str, domain: &str) -> bool {
        !self.domains_out.contains(domain) && !self.upstreams_out.contains(upstream)
    }
}
