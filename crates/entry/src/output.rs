//! Messages from a relay to the response that it feeds.

use core::time;
use std::sync;

use bytes::Bytes;
use peargap_wire::agent as wire;

use crate::refusal;

/// The next part of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Output {
    /// The agent accepted a generation; it replaces the output of any earlier one.
    Accepted(sync::Arc<str>),
    /// The generation ended without a complete answer.
    Failed(refusal::Refusal),
    /// The generation is complete.
    Finished(wire::Finished),
    /// The entry is stopping; the caller may resume on another entry.
    ResumeElsewhere,
    /// Nothing has arrived for a while; keeps the connection alive.
    KeepAlive,
    /// Consecutive tokens; `offset` is that of the first.
    Tokens { offset: u64, tokens: Vec<Bytes> },
}

/// How the answer is delivered to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// As a stream of tokens; a disconnected caller may resume within `grace`.
    Stream { grace: time::Duration },
    /// In one response at the end.
    Buffered,
}
