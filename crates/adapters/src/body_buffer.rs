//! Buffer of a body that arrives, which counts to the budget of memory.

use bytes::Bytes;
use bytes::BytesMut;

use crate::body_budget;

/// The part of a body that has arrived.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    /// Counts the memory of the buffer; `None` once it doesn't count any more.
    hold: Option<body_budget::Hold>,
}

impl Buffer {
    /// Returns an empty buffer, whose memory `hold` counts.
    #[must_use]
    pub fn new(hold: body_budget::Hold) -> Buffer {
        Buffer {
            bytes: BytesMut::new(),
            hold: Some(hold),
        }
    }

    /// Adds bytes. The buffer grows only after its new size counts and what is ended because of it has
    /// been dropped, which may be this body.
    pub async fn push(&mut self, bytes: &[u8]) {
        let former = self.bytes.capacity();
        let needed = self.bytes.len() + bytes.len();
        if needed > former {
            let grown = needed.max(2 * former);
            self.count_growth(grown - former).await;
            self.bytes.reserve(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
    }

    async fn count_growth(&self, bytes: usize) {
        let Some(hold) = &self.hold else {
            return;
        };
        hold.arrive(bytes);
        hold.wait_freed().await;
    }

    /// Lets its memory count no longer.
    pub fn release(&mut self) {
        if let Some(hold) = self.hold.take() {
            hold.reset(0);
        }
    }

    /// Returns whether nothing has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes that have arrived.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns all that has arrived.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        self.bytes.freeze()
    }
}
