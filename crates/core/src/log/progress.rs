//! How far the members have come, as their leader knows it.

use std::collections;

use crate::log::entry;
use crate::log::member;

/// State of a leader.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Leading {
    /// Last round that a quorum answered.
    pub(crate) confirmed: u64,
    pub(crate) progress: collections::BTreeMap<member::Member, Progress>,
    /// Last round begun.
    pub(crate) round: u64,
}

/// How far a member has come.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Progress {
    /// Answered since the last review.
    pub(crate) active: bool,
    /// Next byte of the snapshot at a position, while one is sent.
    pub(crate) install: Option<Transfer>,
    /// Last index stored there and equal to this log.
    pub(crate) matched: u64,
    /// Next index to send.
    pub(crate) next: u64,
    /// Last round answered.
    pub(crate) round: u64,
    /// Reviews in a row without an answer; counted where any host may take part.
    pub(crate) silent: u32,
}

/// A snapshot on its way.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Transfer {
    pub(crate) offset: u64,
    pub(crate) position: entry::Position,
}
