//! Messages between members.

use bytes::Bytes;

use crate::log::entry;
use crate::log::mark;
use crate::log::member;

/// One message; it may be lost, repeated or overtaken by later ones.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Message {
    /// Sender.
    pub from: member::Member,
    /// What it says.
    pub kind: Kind,
    /// How far the sender's disk has come.
    pub stamp: mark::Stamp,
    /// Term that it belongs to: the sender's, but for pre-votes the one after it.
    pub term: u64,
    /// Receiver; with [`member::ANY_DISK`] whichever disk it has.
    pub to: member::Member,
}

/// What a message says.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// Entries from the leader; without entries a heartbeat.
    Append(Append),
    /// Answers an [`Append`].
    Appended(Appended),
    /// Answers a [`Poll`].
    Ballot(Ballot),
    /// Whether the sender, a voter, runs on a copied disk as well; answers a [`Kind::Hello`] of a
    /// host that does.
    Copied(bool),
    /// The sender has taken part: there is a log already; answers a fresh host's [`Kind::Hello`].
    Founded,
    /// The sender has never taken part; answers a fresh host's [`Kind::Hello`].
    Fresh,
    /// The sender has started, or waits to be let in.
    Hello(Hello),
    /// A part of the leader's snapshot.
    Install(Install),
    /// Answers an [`Install`].
    Installed(Installed),
    /// Asks for a vote.
    Poll(Poll),
    /// The process with this random number runs on an old copy of its disk.
    Refused(u64),
    /// The leader asks the receiver to replace it at once.
    TakeOver,
}

/// How a host that starts describes its disk.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Hello {
    /// The files were copied, so they may be older than what the host once had.
    pub copied: bool,
    /// It has never taken part.
    pub fresh: bool,
}

/// Entries that follow `previous`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Append {
    /// The leader's last committed index.
    pub commit: u64,
    /// Consecutive entries.
    pub entries: Vec<entry::Entry>,
    /// Position before the first entry.
    pub previous: entry::Position,
    /// The leader's heartbeat round.
    pub round: u64,
}

/// Outcome of an [`Append`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Appended {
    /// Whether `previous` was found.
    pub accepted: bool,
    /// Last index equal to the leader's log, or where to try next.
    pub index: u64,
    /// Round of the `Append`.
    pub round: u64,
}

/// Asks for a vote.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Poll {
    /// The candidate's last position.
    pub last: entry::Position,
    /// Only asks whether the vote would be given.
    pub pre: bool,
}

/// Outcome of a [`Poll`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ballot {
    /// Whether the vote is given.
    pub granted: bool,
    /// Copied from the `Poll`.
    pub pre: bool,
}

/// A part of a snapshot.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Install {
    /// Bytes from `offset` on.
    pub chunk: Bytes,
    /// Place of the first byte.
    pub offset: u64,
    /// Position of the snapshot.
    pub position: entry::Position,
    /// Members as of that position.
    pub roster: member::Roster,
    /// The leader's heartbeat round.
    pub round: u64,
    /// Bytes of the whole snapshot.
    pub total: u64,
}

/// How much of a snapshot has arrived.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Installed {
    /// Whether the snapshot is complete and stored.
    pub complete: bool,
    /// Next byte wanted.
    pub offset: u64,
    /// Position of the snapshot.
    pub position: entry::Position,
    /// Round of the `Install`.
    pub round: u64,
}
