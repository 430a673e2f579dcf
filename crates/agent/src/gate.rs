//! The way to admission: what is asked, what is answered, what it is told.

use std::sync;
use std::sync::atomic;

use peargap_core::admit;
use peargap_core::ramp;
use peargap_core::time;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::engine;

/// What a request asks of the gate.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    /// When the caller gives up.
    pub(crate) deadline: time::Instant,
    /// Longest output in tokens; 0 for a plain call.
    pub(crate) max_tokens: u32,
    /// Model or service.
    pub(crate) model: String,
    /// Smaller runs first.
    pub(crate) priority: u8,
    /// Output tokens so far; counted by the stream.
    pub(crate) produced: sync::Arc<atomic::AtomicU32>,
    pub(crate) prompt_tokens: u32,
    pub(crate) request: String,
    pub(crate) team: String,
    /// Team's share against others of its priority.
    pub(crate) weight: u32,
}

/// The gate's answer to a request; `Queued` is followed by another.
#[derive(Debug)]
pub(crate) enum Verdict {
    Admitted(Permit),
    /// This many requests are ahead.
    Queued(u32),
    Refused {
        reason: wire::Reason,
        retry_after_ms: u32,
    },
}

/// Leave to use the upstream; given back when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    end: admit::End,
    produced: sync::Arc<atomic::AtomicU32>,
    sender: mpsc::UnboundedSender<Message>,
    stream: admit::Stream,
}

impl Permit {
    /// Returns leave for `stream`, whose tokens are counted in `produced`.
    pub(crate) fn new(
        stream: admit::Stream,
        produced: sync::Arc<atomic::AtomicU32>,
        sender: mpsc::UnboundedSender<Message>,
    ) -> Permit {
        Permit {
            end: admit::End::Cancelled,
            produced,
            sender,
            stream,
        }
    }

    /// Says how the work ended; without it, it counts as cancelled.
    pub(crate) fn set_end(&mut self, end: admit::End) {
        self.end = end;
    }

    /// Tells the gate of the first token.
    pub(crate) fn tell_first(&self) {
        let _ = self.sender.send(Message::First(self.stream));
    }

    /// Tells the gate of a plain call's answer, which counts as its first token.
    pub(crate) fn tell_answer(&self) {
        self.produced.fetch_add(1, atomic::Ordering::Relaxed);
        self.tell_first();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.sender.send(Message::Left {
            end: self.end,
            stream: self.stream,
        });
    }
}

/// What the gate is told.
#[derive(Debug)]
pub(crate) enum Message {
    Arrived(Ask, mpsc::UnboundedSender<Verdict>),
    /// The upstream closed an idle connection: it may have ended, or started anew.
    Doubted,
    First(admit::Stream),
    Left {
        end: admit::End,
        stream: admit::Stream,
    },
    /// A load report of the upstream; `None` when it does not answer.
    Reported(Option<engine::Report>),
    Sign(ramp::Sign),
}

/// The upstream as the gate sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Snapshot {
    pub(crate) healthy: bool,
    pub(crate) load: admit::Load,
    /// The upstream's last report.
    pub(crate) report: engine::Report,
}

/// Reaches the gate from other threads.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    snapshots: watch::Receiver<Snapshot>,
}

impl Handle {
    /// Returns a handle that sends to `sender` and shows `snapshots`.
    pub(crate) fn new(
        sender: mpsc::UnboundedSender<Message>,
        snapshots: watch::Receiver<Snapshot>,
    ) -> Handle {
        Handle { sender, snapshots }
    }

    /// Asks for leave to use the upstream; dropping the receiver takes the request back.
    pub(crate) fn ask(&self, ask: Ask) -> mpsc::UnboundedReceiver<Verdict> {
        let (answer, verdicts) = mpsc::unbounded_channel();
        self.tell(Message::Arrived(ask, answer));
        verdicts
    }

    /// Tells the gate something.
    pub(crate) fn tell(&self, message: Message) {
        let _ = self.sender.send(message);
    }

    /// Returns the gate's newest view and its changes.
    pub(crate) fn watch(&self) -> watch::Receiver<Snapshot> {
        self.snapshots.clone()
    }
}
