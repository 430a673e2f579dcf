//! What the replica's thread is given.

use bytes::Bytes;
use peargap_core::log::message;
use tokio::time;

use crate::waits;

/// Something for the replica's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message of the log's protocol.
    Message {
        clocks: Clocks,
        message: Box<message::Message>,
    },
    /// Another host named these hosts as members.
    Meet(Vec<Bytes>),
    /// A command to be committed, if this host leads.
    Propose { command: Bytes, reply: waits::Reply },
    /// The process stops: hand over, then end.
    Stop,
}

/// Clocks of the envelope that a message came in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clocks {
    pub(crate) clock_ms: u64,
    pub(crate) echo_ms: u64,
    pub(crate) lease_ms: u32,
    pub(crate) received: time::Instant,
}
