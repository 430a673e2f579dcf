//! Nodes that hold an open `Watch` stream to this control host.

use std::collections;
use std::sync;

use tokio::time;

/// An attached node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Row {
    /// Configuration version that the node has applied.
    pub(crate) applied_version: u64,
    /// When its last report arrived.
    pub(crate) heard: time::Instant,
    pub(crate) incarnation: String,
    pub(crate) name: String,
    /// Value of `control::Role`.
    pub(crate) role: i32,
}

/// All attached nodes by link number; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nodes(sync::Arc<sync::Mutex<collections::BTreeMap<u64, Row>>>);

impl Nodes {
    /// Adds or replaces the node on `link`.
    pub(crate) fn set(&self, link: u64, row: Row) {
        self.lock().insert(link, row);
    }

    /// Records that the node on `link` sent a report.
    pub(crate) fn hear(&self, link: u64, applied_version: u64) {
        if let Some(row) = self.lock().get_mut(&link) {
            row.applied_version = applied_version;
            row.heard = time::Instant::now();
        }
    }

    /// Removes the node on `link`.
    pub(crate) fn remove(&self, link: u64) {
        self.lock().remove(&link);
    }

    pub(crate) fn list(&self) -> Vec<Row> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u64, Row>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
