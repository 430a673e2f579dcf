//! What has arrived of a stream of events and is not forwarded yet.

use core::future;

use peargap_adapters::body_budget;
use peargap_core::sse;

/// Bytes of a stream. Those of an event that has not arrived whole count to the budget of memory.
#[derive(Debug)]
pub(crate) struct EventBuffer {
    buffer: sse::Buffer,
    /// Bytes that `hold` counts.
    counted: usize,
    /// Whether an event was taken since the bytes were counted.
    has_taken: bool,
    /// `None` once the stream is no longer read.
    hold: Option<body_budget::Hold>,
}

impl EventBuffer {
    /// Returns the empty buffer of a stream, whose bytes `hold` counts.
    pub(crate) fn new(hold: body_budget::Hold) -> EventBuffer {
        EventBuffer {
            buffer: sse::Buffer::default(),
            counted: 0,
            has_taken: false,
            hold: Some(hold),
        }
    }

    /// Adds bytes that have arrived.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Takes the first complete event, if there is one.
    pub(crate) fn take_event(&mut self) -> Option<sse::Event> {
        let event = self.buffer.take_event();
        self.has_taken |= event.is_some();
        event
    }

    /// Counts the bytes that are left once all complete events have been taken.
    pub(crate) fn count_rest(&mut self) {
        let rest = body_budget::BUFFER_FACTOR * self.buffer.len();
        let has_begun_anew = core::mem::take(&mut self.has_taken);
        let counted = core::mem::replace(&mut self.counted, rest);
        let Some(hold) = &self.hold else {
            return;
        };
        match has_begun_anew {
            true if rest + counted == 0 => {}
            true => {
                hold.reset(0);
                hold.arrive(rest);
            }
            false => hold.arrive(rest - counted),
        }
    }

    /// Returns the length of the event that is not complete, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no event has begun that is not complete.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops all bytes of a stream that is no longer read.
    pub(crate) fn close(&mut self) {
        self.buffer.clear();
        self.counted = 0;
        self.hold = None;
    }

    /// Returns once more of the stream may be read: what was ended as the budget of memory is exceeded has
    /// been dropped.
    pub(crate) async fn wait_freed(&self) {
        if let Some(hold) = &self.hold {
            hold.wait_freed().await;
        }
    }

    /// Returns once the stream has to end, as the budget of memory is exceeded.
    pub(crate) async fn ended(&self) {
        match &self.hold {
            Some(hold) => hold.ended().await,
            None => future::pending().await,
        }
    }
}
