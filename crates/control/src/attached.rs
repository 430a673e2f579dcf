//! Nodes attached to this control host.

use std::collections;
use std::sync;

use tokio::time;

/// What is known of an attached node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Row {
    /// Configuration version in force on it.
    pub(crate) applied_version: u64,
    /// When its last report arrived.
    pub(crate) heard: time::Instant,
    /// Its incarnation.
    pub(crate) incarnation: String,
    /// Its name.
    pub(crate) name: String,
    /// Its role, as in the protocol.
    pub(crate) role: i32,
}

/// Attached nodes; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nodes(sync::Arc<sync::Mutex<collections::BTreeMap<u64, Row>>>);

impl Nodes {
    /// Sets what is known of the node on `link`.
    pub(crate) fn set(&self, link: u64, row: Row) {
        self.lock().insert(link, row);
    }

    /// Records a report on `link`.
    pub(crate) fn hear(&self, link: u64, applied_version: u64) {
        if let Some(row) = self.lock().get_mut(&link) {
            row.applied_version = applied_version;
            row.heard = time::Instant::now();
        }
    }

    /// Forgets the node on `link`.
    pub(crate) fn remove(&self, link: u64) {
        self.lock().remove(&link);
    }

    /// Returns the attached nodes.
    pub(crate) fn list(&self) -> Vec<Row> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<u64, Row>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
