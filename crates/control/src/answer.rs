//! What becomes of a proposal.

use bytes::Bytes;

/// Why a command was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The leader's disk is full; the command will never be committed.
    DiskFull,
    /// There is no leader with a quorum; the command will never be committed.
    NoQuorum,
    /// The command may or may not be committed; propose it again under the same id.
    Unknown,
}

/// What one host says to a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    /// It is not the leader; the leader's name when known.
    NotLeader(Option<String>),
    /// It refuses.
    Refused(Refusal),
    /// The state machine's reply.
    Reply(Bytes),
}
