//! What the adapters do for a replica, in the order given.

use std::collections;

use bytes::Bytes;

use crate::log::entry;
use crate::log::mark;
use crate::log::member;
use crate::log::message;

/// What must be on disk besides entries and snapshot.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Hard {
    /// Starts of a process on this disk.
    pub generation: u64,
    /// The furthest each other disk was seen.
    pub seen: collections::BTreeMap<member::Member, mark::Seen>,
    /// Current term.
    pub term: u64,
    /// Vote given in this term.
    pub vote: Option<member::Member>,
}

/// Something that happens to a replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The heartbeat interval has elapsed.
    Beat,
    /// A random election timeout has elapsed since the last [`Effect::Heard`].
    Campaign,
    /// The state machine's state after `index`, to take the place of entries.
    Compact {
        /// The state.
        data: Bytes,
        /// Last applied index.
        index: u64,
    },
    /// The process stops soon.
    HandOver,
    /// Another host named these hosts as members.
    Meet(Vec<Bytes>),
    /// A message arrived.
    Message(message::Message),
    /// Commands to be ordered.
    Propose(Vec<Proposal>),
    /// The shortest election timeout has elapsed since the last [`Effect::Heard`].
    Quiet,
    /// The shortest election timeout has elapsed since the last review.
    Review,
    /// Enter a later term; the log raises it itself.
    Raise(u64),
    /// Decide whether a message is taken; the log raises it itself.
    Screen(message::Message),
}

/// A command with the proposer's number for it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Proposal {
    /// The command.
    pub command: Bytes,
    /// Returned in [`Effect::Proposed`] or [`Effect::Rejected`].
    pub token: u64,
}

/// Something the adapters do. Storage is synced before a later effect is begun.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Effect {
    /// The copied disk holds the newest there is: from now on it is no copy.
    Adopt,
    /// Everything up to this index is committed: apply it.
    Commit(u64),
    /// A quorum has answered this heartbeat round.
    Confirm(u64),
    /// A leader was heard or a vote given: start the election timeouts again.
    Heard,
    /// The command got this position; it counts once that is committed with the same term.
    Proposed {
        /// Number of the proposal.
        token: u64,
        /// Where it stands.
        position: entry::Position,
    },
    /// The command was not taken: this is not the leader.
    Rejected(u64),
    /// This disk is an old copy: set it aside and start on a new one.
    Renounce,
    /// Store the hard state.
    SaveHard(Hard),
    /// Store the snapshot.
    SaveSnapshot {
        /// It came from the leader: the state machine restores it.
        installed: bool,
        /// Entries after it are void.
        reset: bool,
        /// The snapshot.
        snapshot: entry::Snapshot,
    },
    /// Send a message.
    Send(message::Message),
    /// Store entries; they replace everything from the first one's index on.
    Store(Vec<entry::Entry>),
}

/// Effects of one event.
#[derive(Debug, Default)]
pub struct Effects {
    /// Whether the hard state changed.
    pub(crate) dirty: bool,
    pub(crate) list: Vec<Effect>,
    /// What to do with the message that was screened last.
    pub(crate) screened: Screened,
}

/// What to do with a message.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Screened {
    /// Not for this member, or from an old copy of a disk.
    #[default]
    Drop,
    /// Raise the term, then handle it.
    Raise,
    /// Handle it.
    Take,
}

impl Effects {
    /// Adds an effect after those already there.
    pub(crate) fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }
}
