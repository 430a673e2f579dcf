//! Entries of the log and snapshots of what they lead to.

use bytes::Bytes;

use crate::log::member;

/// Place of an entry; of two logs the one with the larger last position is the more up to date.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Index in the log; the first entry has 1.
    pub index: u64,
}

/// What an entry does.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Payload {
    /// A command of the state machine.
    Command(Bytes),
    /// Nothing; a new leader's first entry.
    Noop,
    /// Changes the members from this entry on.
    Roster(member::Roster),
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Entry {
    /// What it does.
    pub payload: Payload,
    /// Its place.
    pub position: Position,
}

impl Entry {
    /// Returns the bytes of its command.
    pub(crate) fn count_bytes(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => command.len(),
            Payload::Noop | Payload::Roster(_) => 0,
        }
    }
}

/// The state after all entries up to a position.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Snapshot {
    /// The state machine's state.
    pub data: Bytes,
    /// Position of the last entry in it.
    pub position: Position,
    /// Members as of that position.
    pub roster: member::Roster,
}
