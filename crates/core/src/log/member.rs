//! Members of the log.

use std::collections;

use bytes::Bytes;

/// Disk id that matches any disk of a host.
pub const ANY_DISK: u64 = 0;

/// A host with one particular disk. The same host with a new disk is a different member.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Name of the host.
    pub name: Bytes,
    /// Random id generated when the data folder was first used.
    pub disk: u64,
}

/// Bit in a disk id that marks a data folder that is lost with the process.
pub const VOLATILE: u64 = 1 << 63;

impl Member {
    /// Returns whether the data folder is lost with the process. Such a host receives the log
    /// but never votes.
    #[must_use]
    pub fn is_volatile(&self) -> bool {
        self.disk & VOLATILE != 0
    }

    /// Returns whether a message addressed to `self` is for `member`.
    pub(crate) fn matches(&self, member: &Member) -> bool {
        self.name == member.name && (self.disk == ANY_DISK || self.disk == member.disk)
    }
}

/// Membership of the log as of some index.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Roster {
    /// Members that receive the log but do not vote.
    pub learners: collections::BTreeSet<Member>,
    /// Members of which a majority elects leaders and commits entries.
    pub voters: collections::BTreeSet<Member>,
}

impl Roster {
    /// Returns the number of voters in a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `member` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        self.voters.contains(member) || self.learners.contains(member)
    }

    /// Returns the voter with this host name, regardless of its disk.
    #[must_use]
    pub fn find_voter(&self, name: &Bytes) -> Option<&Member> {
        self.voters.iter().find(|voter| voter.name == *name)
    }

    /// Returns every member but `me`.
    pub(crate) fn others<'a>(&'a self, me: &'a Member) -> impl Iterator<Item = &'a Member> {
        let members = self.voters.iter().chain(&self.learners);
        members.filter(move |member| *member != me)
    }
}
