//! Replication state of the members, as tracked by the leader.

use std::collections;

use crate::log::entry;
use crate::log::member;

/// Volatile state of a leader.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct LeaderState {
    /// Latest heartbeat round acknowledged by a quorum.
    pub(crate) confirmed: u64,
    pub(crate) progress: collections::BTreeMap<member::Member, Progress>,
    /// Latest heartbeat round started.
    pub(crate) round: u64,
}

/// Replication state of one member.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Progress {
    /// Whether the member has answered since the last quorum check.
    pub(crate) active: bool,
    /// Transfer in progress if the member needs a snapshot.
    pub(crate) snapshot_transfer: Option<SnapshotTransfer>,
    /// Highest index known to be stored by the member and to match this log.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// Latest heartbeat round the member has answered.
    pub(crate) round: u64,
    /// Consecutive quorum checks without an answer; counted only if any host may join.
    pub(crate) missed_checks: u32,
}

/// Progress of sending the snapshot at `position`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct SnapshotTransfer {
    pub(crate) offset: u64,
    pub(crate) position: entry::Position,
}
