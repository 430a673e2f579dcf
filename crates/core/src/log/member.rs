//! Who takes part in the log.

use std::collections;

use bytes::Bytes;

/// Disk id that stands for any disk of a host.
pub const ANY_DISK: u64 = 0;

/// A host with one particular disk; the same host with a new disk is another member.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Name of the host.
    pub name: Bytes,
    /// Id drawn when the data folder was first used.
    pub disk: u64,
}

/// Bit of a disk's id that says that the data folder does not last.
pub const VOLATILE: u64 = 1 << 63;

impl Member {
    /// Returns whether its data folder is lost with the process; such a host follows the log and
    /// never votes.
    #[must_use]
    pub fn is_volatile(&self) -> bool {
        self.disk & VOLATILE != 0
    }

    /// Returns whether a message to `self` is meant for `member`.
    pub(crate) fn means(&self, member: &Member) -> bool {
        self.name == member.name && (self.disk == ANY_DISK || self.disk == member.disk)
    }
}

/// The members of the log at some index.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Roster {
    /// Members that receive the log and do not vote.
    pub learners: collections::BTreeSet<Member>,
    /// Members whose majority elects and commits.
    pub voters: collections::BTreeSet<Member>,
}

impl Roster {
    /// Returns how many voters make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `member` receives the log.
    #[must_use]
    pub fn contains(&self, member: &Member) -> bool {
        self.voters.contains(member) || self.learners.contains(member)
    }

    /// Returns the voter of this host name, whatever its disk.
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
