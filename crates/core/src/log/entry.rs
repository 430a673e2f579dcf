//! Log entries and snapshots of the state machine.

use bytes::Bytes;

use crate::log::member;

/// Position of an entry. Of two logs, the one whose last position is greater is more up to date.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Index in the log, starting at 1.
    pub index: u64,
}

/// Content of an entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Payload {
    /// A command for the state machine.
    Command(Bytes),
    /// No operation; the first entry of a new leader.
    Noop,
    /// A new membership, in effect from this entry on.
    Roster(member::Roster),
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Entry {
    /// Content.
    pub payload: Payload,
    /// Term and index.
    pub position: Position,
}

impl Entry {
    /// Returns the size of the command in bytes; other payloads count as 0.
    pub(crate) fn count_bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => command.len(),
            Payload::Noop | Payload::Roster(_) => 0,
        }
    }
}

/// State of the state machine after all entries up to a position.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Snapshot {
    /// Serialized state.
    pub data: Bytes,
    /// Position of the last entry included.
    pub position: Position,
    /// Membership as of that position.
    pub roster: member::Roster,
}
