//! What a relay hands to its caller.

use core::time;
use std::sync;

use bytes::Bytes;
use peargap_wire::agent as wire;

use crate::refusal;

/// What the caller gets next.
#[derive(Clone, Debug)]
pub(crate) enum Piece {
    /// A generation was accepted; what an earlier one brought is void.
    Accepted(sync::Arc<str>),
    /// The generation ends without a whole answer.
    Failed(refusal::Refusal),
    /// The generation is complete.
    Finished(wire::Finished),
    /// The entry stops; the caller may resume elsewhere.
    Moved,
    /// Nothing has come for a while.
    Quiet,
    /// Consecutive tokens, the first with this offset.
    Tokens { offset: u64, tokens: Vec<Bytes> },
}

/// How the caller takes the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Audience {
    /// Token by token; a caller that left may come back within `grace`.
    Stream { grace: time::Duration },
    /// Whole, at the end.
    Whole,
}
