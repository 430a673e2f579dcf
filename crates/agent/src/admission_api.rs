//! Interface of the admission task: requests, verdicts, permits, messages and snapshots.

use std::sync;
use std::sync::atomic;

use peargap_core::admit;
use peargap_core::ramp;
use peargap_core::time;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::engine;

/// A request for admission.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Deadline of the caller.
    pub(crate) deadline: time::Instant,
    /// Output limit in tokens; 0 for a service call.
    pub(crate) max_tokens: u32,
    /// Model or service name.
    pub(crate) model: String,
    /// Smaller values are admitted first.
    pub(crate) priority: u8,
    /// Number of output tokens so far, updated by the stream.
    pub(crate) produced: sync::Arc<atomic::AtomicU32>,
    pub(crate) prompt_tokens: u32,
    pub(crate) id: String,
    pub(crate) team: String,
    /// Share of the team relative to others of the same priority.
    pub(crate) weight: u32,
}

/// Decision on a request; `Queued` is followed by a final one.
#[derive(Debug)]
pub(crate) enum Verdict {
    Admitted(Permit),
    /// Number of requests ahead in the queue.
    Queued(u32),
    Refused {
        reason: wire::Reason,
        retry_after_ms: u32,
    },
}

/// Permission to use the upstream, released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    end: admit::End,
    produced: sync::Arc<atomic::AtomicU32>,
    sender: mpsc::UnboundedSender<Message>,
    stream: admit::Stream,
}

impl Permit {
    /// Returns a permit for `stream`, whose tokens are counted in `produced`.
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

    /// Sets how the work ended; a permit dropped without it counts as cancelled.
    pub(crate) fn set_end(&mut self, end: admit::End) {
        self.end = end;
    }

    /// Reports the first token.
    pub(crate) fn report_first_token(&self) {
        let _ = self.sender.send(Message::FirstToken(self.stream));
    }

    /// Reports the response to a service call, which counts as its first token.
    pub(crate) fn report_response(&self) {
        self.produced.fetch_add(1, atomic::Ordering::Relaxed);
        self.report_first_token();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.sender.send(Message::Finished {
            end: self.end,
            stream: self.stream,
        });
    }
}

/// Message to the admission task.
#[derive(Debug)]
pub(crate) enum Message {
    Request(Request, mpsc::UnboundedSender<Verdict>),
    /// The upstream closed an idle connection: it may have exited or restarted.
    ConnectionClosed,
    FirstToken(admit::Stream),
    Finished {
        end: admit::End,
        stream: admit::Stream,
    },
    /// Load report of the upstream; `None` if it does not respond.
    Report(Option<engine::Report>),
    Sign(ramp::Sign),
}

/// State of admission and the upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Snapshot {
    pub(crate) healthy: bool,
    pub(crate) load: admit::Load,
    /// The upstream's last report.
    pub(crate) report: engine::Report,
}

/// Sends messages to the admission task, from any thread.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    sender: mpsc::UnboundedSender<Message>,
    snapshots: watch::Receiver<Snapshot>,
}

impl Handle {
    /// Returns a handle that sends to `sender` and watches `snapshots`.
    pub(crate) fn new(
        sender: mpsc::UnboundedSender<Message>,
        snapshots: watch::Receiver<Snapshot>,
    ) -> Handle {
        Handle { sender, snapshots }
    }

    /// Requests a permit; dropping the receiver withdraws the request.
    pub(crate) fn request(&self, request: Request) -> mpsc::UnboundedReceiver<Verdict> {
        let (reply, verdicts) = mpsc::unbounded_channel();
        self.send(Message::Request(request, reply));
        verdicts
    }

    pub(crate) fn send(&self, message: Message) {
        let _ = self.sender.send(message);
    }

    /// Returns a receiver of the newest snapshot and its changes.
    pub(crate) fn watch(&self) -> watch::Receiver<Snapshot> {
        self.snapshots.clone()
    }
}
