//! Messages between members.

use bytes::Bytes;

use crate::log::entry;
use crate::log::mark;
use crate::log::member;

/// One message. The protocol tolerates lost, duplicated and reordered messages.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Message {
    /// Sender.
    pub from: member::Member,
    /// Content.
    pub kind: Kind,
    /// Proof of the state of the sender's disk.
    pub stamp: mark::Stamp,
    /// Term of the sender; for a pre-vote and its grant, the term that the candidate would start.
    pub term: u64,
    /// Receiver; [`member::ANY_DISK`] matches any disk of the host.
    pub to: member::Member,
}

/// Content of a message.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// Entries from the leader; a heartbeat if there are none.
    Append(Append),
    /// Answers an [`Append`].
    Appended(Appended),
    /// Answers a [`Poll`].
    Ballot(Ballot),
    /// Whether the sender, a voter, also runs on a copied disk. Answers a [`Kind::Hello`] from a
    /// host on a copied disk.
    Copied(bool),
    /// The sender has been part of a log, so one exists already. Answers a fresh host's
    /// [`Kind::Hello`].
    Founded,
    /// The sender has never been part of a log. Answers a fresh host's [`Kind::Hello`].
    Fresh,
    /// The sender has started, or asks to join.
    Hello(Hello),
    /// A chunk of the leader's snapshot.
    Install(Install),
    /// Answers an [`Install`].
    Installed(Installed),
    /// Asks for a vote.
    Poll(Poll),
    /// Tells the process identified by this random number that its disk is an old copy.
    Refused(u64),
    /// The leader asks the receiver to start an election immediately and replace it.
    TakeOver,
}

/// State of the sender's disk.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Hello {
    /// The data files are a copy and may be older than the state the host once had.
    pub copied: bool,
    /// The host has never been part of a log.
    pub fresh: bool,
}

/// Entries that follow `previous`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Append {
    /// The leader's last committed index.
    pub commit: u64,
    /// Consecutive entries.
    pub entries: Vec<entry::Entry>,
    /// Position of the entry preceding the first one.
    pub previous: entry::Position,
    /// The leader's heartbeat round.
    pub round: u64,
}

/// Reply to an [`Append`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Appended {
    /// Whether the receiver's log contains `previous`.
    pub accepted: bool,
    /// If accepted, the last index that matches the leader's log; otherwise the index of the
    /// `previous` to try next.
    pub index: u64,
    /// Round of the `Append`.
    pub round: u64,
}

/// Asks for a vote.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Poll {
    /// Last position in the candidate's log.
    pub last: entry::Position,
    /// Whether this is a pre-vote, which only asks if the vote would be granted.
    pub pre: bool,
}

/// Reply to a [`Poll`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ballot {
    /// Whether the vote is granted.
    pub granted: bool,
    /// Same as in the `Poll`.
    pub pre: bool,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Install {
    /// Data starting at `offset`.
    pub chunk: Bytes,
    /// Offset of the chunk in the snapshot.
    pub offset: u64,
    /// Position of the snapshot.
    pub position: entry::Position,
    /// Membership as of that position.
    pub roster: member::Roster,
    /// The leader's heartbeat round.
    pub round: u64,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
}

/// Reply to an [`Install`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Installed {
    /// Whether the snapshot is complete and stored.
    pub complete: bool,
    /// Offset of the next chunk to send.
    pub offset: u64,
    /// Position of the snapshot.
    pub position: entry::Position,
    /// Round of the `Install`.
    pub round: u64,
}
