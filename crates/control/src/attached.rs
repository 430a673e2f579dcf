//! Nodes that hold an open `Watch` stream to this control host.

use std::collections;
use std::sync;

use tokio::time;

/// An attached node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    /// Configuration version that the node has applied.
    pub(crate) applied_version: u64,
    /// When its last report arrived.
    pub(crate) last_report: time::Instant,
    pub(crate) incarnation: String,
    pub(crate) name: String,
    /// Value of `control::Role`.
    pub(crate) role: i32,
}

/// All attached nodes by link number; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nodes(sync::Arc<sync::Mutex<collections::BTreeMap<u64, Node>>>);

impl Nodes {
    /// Adds or replaces the node on `link`.
    pub(crate) fn set(&self, link: u64, node: Node) {
        self.lock().insert(link, node);
    }

    /// Records that the node on `link` sent a report.
    pub(crate) fn record_report(&self, link: u64, applied_version: u64) {
        if let Some(node) = self.lock().get_mut(&link) {
            node.applied_version = applied_version;
            node.last_report = time::Instant::now();
        }
    }

    /// Removes the node on `link`.
    pub(crate) fn remove(&self, link: u64) {
        self.lock().remove(&link);
    }

    pub(crate) fn list(&self) -> Vec<Node> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u64, Node>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
