//! Input events of a replica, and the effects that its caller carries out in order.

use std::collections;

use bytes::Bytes;

use crate::log::entry;
use crate::log::mark;
use crate::log::member;
use crate::log::message;

/// Persistent state besides the entries and the snapshot (the hard state).
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Hard {
    /// Number of process starts on this disk.
    pub generation: u64,
    /// Newest state seen from each other member's disk.
    pub seen: collections::BTreeMap<member::Member, mark::Seen>,
    /// Current term.
    pub term: u64,
    /// Member that received this member's vote in the current term.
    pub vote: Option<member::Member>,
}

/// Input to a replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The heartbeat interval has elapsed.
    HeartbeatTimeout,
    /// A random election timeout has elapsed since the last [`Effect::RestartElectionTimer`].
    ElectionTimeout,
    /// Replace the entries up to `index` with a snapshot of the state machine.
    Compact {
        /// Serialized state after `index`.
        data: Bytes,
        /// Last applied index.
        index: u64,
    },
    /// The process is about to stop; a leader transfers its leadership.
    TransferLeadership,
    /// Another host listed these hosts as members.
    AddPeers(Vec<Bytes>),
    /// A message arrived.
    Message(message::Message),
    /// Commands to append to the log.
    Propose(Vec<Proposal>),
    /// The minimum election timeout has elapsed since the last [`Effect::RestartElectionTimer`].
    LeaderTimeout,
    /// The minimum election timeout has elapsed since the last quorum check.
    CheckQuorum,
    /// Enter a later term. Raised only by the log itself.
    EnterTerm(u64),
    /// Decide whether to accept a message. Raised only by the log itself.
    ClassifyMessage(message::Message),
}

/// A command and the token that identifies its proposal.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Proposal {
    /// The command.
    pub command: Bytes,
    /// Returned in [`Effect::Proposed`] or [`Effect::Rejected`].
    pub token: u64,
}

/// Action to be carried out by the caller. Writes must be synced before the next effect starts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Effect {
    /// Every voter runs on a copied disk, so this one is kept: stop treating it as a copy.
    AcceptCopiedDisk,
    /// All entries up to this index are committed and can be applied.
    Commit(u64),
    /// A quorum has acknowledged this heartbeat round.
    ConfirmRound(u64),
    /// A leader was heard, an election started or a vote granted: restart the election timers.
    RestartElectionTimer,
    /// The command was appended at this position. It takes effect once that index is committed with
    /// the same term.
    Proposed {
        /// Token of the proposal.
        token: u64,
        /// Position of the entry.
        position: entry::Position,
    },
    /// The proposal with this token was rejected because this replica is not the leader.
    Rejected(u64),
    /// This disk is an old copy: set it aside and restart with a new one.
    ReplaceDisk,
    /// Store the hard state.
    SaveHard(Hard),
    /// Store the snapshot.
    SaveSnapshot {
        /// Whether it came from the leader and must be restored into the state machine.
        installed: bool,
        /// Whether the stored entries after it must be discarded.
        reset: bool,
        /// The snapshot.
        snapshot: entry::Snapshot,
    },
    /// Send a message.
    Send(message::Message),
    /// Store entries, replacing all stored entries from the index of the first one on.
    SaveEntries(Vec<entry::Entry>),
}

/// Effects and internal results of handling one event.
#[derive(Debug, Default)]
pub struct Effects {
    /// Whether the hard state changed.
    pub(crate) hard_changed: bool,
    pub(crate) list: Vec<Effect>,
    /// Decision on the message classified last.
    pub(crate) disposition: Disposition,
}

/// Whether to handle a message.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Disposition {
    /// Ignore it: not for this member, from an old copy of a disk, or not acceptable while this
    /// member's own copied disk is untrusted.
    #[default]
    Drop,
    /// Enter the message's later term, then handle it.
    EnterTerm,
    /// Handle it.
    Accept,
}

impl Effects {
    pub(crate) fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }
}
