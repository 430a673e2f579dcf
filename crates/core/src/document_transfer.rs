//! Transfers of a routing document in pieces, each of which is asked for when the last one has
//! arrived.
//!
//! A piece is small enough that a request on the same thin link hardly waits for it. One that is
//! still to come is on its way or lost: the bytes before it are never sent again.

use bytes::Bytes;
use bytes::BytesMut;

/// Most bytes of one piece: 5 ms on a link of 7.5 Mbit/s.
pub const PIECE_BYTES: usize = 4096;
/// Most bytes of a transfer that a receiver accepts.
pub const MAX_BYTES: usize = 16 << 20;

/// Which text a transfer carries, and how.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Version that the difference applies to; 0 for the whole text.
    pub base: u64,
    /// Digest of the text that results.
    pub digest: u64,
    /// Bytes of the transfer.
    pub total: usize,
    /// Version of the text that results.
    pub version: u64,
}

/// A piece of a transfer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// Its bytes.
    pub data: Bytes,
    /// The transfer.
    pub header: Header,
    /// Bytes of the transfer before it.
    pub offset: usize,
}

/// A transfer, whole on the sender's side and as far as it has arrived on the receiver's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transfer {
    /// Its bytes.
    pub data: Bytes,
    /// What it carries.
    pub header: Header,
}

/// A transfer that is arriving.
#[derive(Clone, Debug)]
pub struct Arrival {
    data: BytesMut,
    header: Header,
}

impl Piece {
    /// Returns whether it is the whole transfer.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.offset == 0 && self.data.len() == self.header.total
    }
}

impl Transfer {
    /// Returns the piece at an offset; an offset beyond the end counts as 0.
    #[must_use]
    pub fn cut(&self, offset: usize) -> Piece {
        let offset = if offset < self.data.len() { offset } else { 0 };
        let end = self.data.len().min(offset + PIECE_BYTES);
        Piece {
            data: self.data.slice(offset..end),
            header: self.header,
            offset,
        }
    }
}

impl Arrival {
    /// Starts with the first piece; `None` if it is not the first one or its transfer is too long.
    #[must_use]
    pub fn start(piece: &Piece) -> Option<Arrival> {
        if piece.offset > 0 || piece.header.total > MAX_BYTES {
            return None;
        }
        let mut arrival = Arrival {
            data: BytesMut::new(),
            header: piece.header,
        };
        arrival.add(piece).then_some(arrival)
    }

    /// Adds the next piece; returns whether it is the next one.
    pub fn add(&mut self, piece: &Piece) -> bool {
        let is_next = piece.header == self.header
            && piece.offset == self.data.len()
            && piece.data.len() <= self.header.total - self.data.len()
            && !piece.data.is_empty();
        if is_next {
            self.data.extend_from_slice(&piece.data);
        }
        is_next
    }

    /// Returns what the transfer carries.
    #[must_use]
    pub fn header(&self) -> Header {
        self.header
    }

    /// Returns the number of bytes that have arrived.
    #[must_use]
    pub fn received(&self) -> usize {
        self.data.len()
    }

    /// Returns whether all bytes have arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.data.len() == self.header.total
    }

    /// Returns the transfer as far as it has arrived.
    #[must_use]
    pub fn finish(self) -> Transfer {
        Transfer {
            data: self.data.freeze(),
            header: self.header,
        }
    }
}
