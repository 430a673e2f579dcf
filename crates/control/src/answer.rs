//! Answers to a proposed command.

use bytes::Bytes;

/// Why a proposed command has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The leader's disk is full; the command will never be committed.
    DiskFull,
    /// There is no leader with a quorum; the command will never be committed.
    NoQuorum,
    /// The command may or may not be committed; propose it again under the same id.
    Unknown,
}

/// Answer of one host to a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    /// This host is not the leader; carries the leader's name when known.
    NotLeader(Option<String>),
    /// The command has no reply.
    Failed(Failure),
    /// The command was applied; carries the state machine's reply.
    Reply(Bytes),
}
