//! Inputs of the replica's thread.

use bytes::Bytes;
use peargap_core::log::message;
use tokio::time;

use crate::pending;

/// An input of the replica's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A message of the log's protocol.
    Message {
        clocks: Clocks,
        message: Box<message::Message>,
    },
    /// Names of other hosts, from a peer's reply or from reloaded settings.
    AddPeers(Vec<Bytes>),
    /// A command to commit if this host is the leader.
    Propose {
        command: Bytes,
        reply: pending::ReplySender,
    },
    /// The process stops: hand over the leadership, then end.
    Stop,
}

/// Clock values of the envelope that carried a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clocks {
    /// Sender's clock when it sent the envelope; 0 if absent.
    pub(crate) clock_ms: u64,
    /// Last clock of this host that the sender had received.
    pub(crate) echo_ms: u64,
    /// How long after `echo_ms` this host may grant freshness leases; 0 grants none.
    pub(crate) lease_ms: u32,
    /// When the envelope arrived.
    pub(crate) received: time::Instant,
}
