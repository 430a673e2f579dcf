//! Recent routing documents of a control host, and the transfers that are made of them.
//!
//! A transfer is made once and shared by all gateways that have the same base.

use std::collections;

use bytes::Bytes;

use crate::document_delta;
use crate::document_transfer;

/// Most texts kept.
const MAX_TEXTS: usize = 32;
/// Most bytes of all texts kept; the newest one is kept whatever its size.
const MAX_TEXTS_BYTES: usize = 4 << 20;
/// Most transfers kept.
const MAX_TRANSFERS: usize = 32;
/// Most bytes of all transfers kept; the newest one is kept whatever its size.
const MAX_TRANSFERS_BYTES: usize = 1 << 20;

/// A document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Text {
    /// Its bytes.
    pub bytes: Bytes,
    /// Digest of its bytes.
    pub digest: u64,
    /// Its version.
    pub version: u64,
}

/// What a gateway has when it asks for the next piece.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// Digest of the text that it has.
    pub digest: u64,
    /// Bytes of the transfer that it has.
    pub received: usize,
    /// The transfer that it goes on with.
    pub transfer: Option<document_transfer::Header>,
    /// Version of the text that it has; 0 without one.
    pub version: u64,
}

/// What a control host sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// What differs from a base, then to be kept as a transfer.
    Difference(Pair),
    /// A piece of a transfer that was made before.
    Piece(document_transfer::Piece),
    /// The whole text, then to be kept as a transfer.
    Whole(Text),
}

/// Two documents.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pair {
    /// The one that the gateway has.
    pub base: Text,
    /// The newest one.
    pub text: Text,
}

/// Recent documents, and transfers made of them.
#[derive(Clone, Debug, Default)]
pub struct History {
    texts: collections::VecDeque<Text>,
    transfers: collections::VecDeque<document_transfer::Transfer>,
}

impl Text {
    /// Returns the text with its digest.
    #[must_use]
    pub fn new(version: u64, bytes: Bytes) -> Text {
        Text {
            digest: document_delta::digest(&bytes),
            bytes,
            version,
        }
    }
}

impl History {
    /// Records a document, unless one at least as new is known.
    pub fn record(&mut self, version: u64, bytes: &Bytes) {
        if self
            .texts
            .back()
            .is_some_and(|text| text.version >= version)
        {
            return;
        }
        self.texts.push_back(Text::new(version, bytes.clone()));
        let sizes = self.texts.iter().map(|text| text.bytes.len());
        let kept = count_kept(sizes.rev(), MAX_TEXTS, MAX_TEXTS_BYTES);
        self.texts.drain(..self.texts.len() - kept);
    }

    /// Keeps a transfer for the gateways that ask for it next; returns the piece of it to send.
    pub fn keep(
        &mut self,
        transfer: document_transfer::Transfer,
        held: &Held,
    ) -> document_transfer::Piece {
        let piece = cut_next(&transfer, held);
        self.transfers.push_back(transfer);
        let sizes = self.transfers.iter().map(|transfer| transfer.data.len());
        let kept = count_kept(sizes.rev(), MAX_TRANSFERS, MAX_TRANSFERS_BYTES);
        self.transfers.drain(..self.transfers.len() - kept);
        piece
    }

    /// Returns what to send to a gateway, or `None` without a document.
    ///
    /// A transfer that has begun is finished although a newer document is known: the difference to
    /// that one is short, and a gateway whose link is slower than changes come would else never end
    /// one.
    #[must_use]
    pub fn plan(&self, held: &Held) -> Option<Source> {
        let begun = held.transfer;
        let begun = begun.and_then(|header| self.find(|known| known == header));
        if let Some(transfer) = begun {
            return Some(Source::Piece(cut_next(transfer, held)));
        }
        let text = self.texts.back()?;
        let base = self.texts.iter().find(|base| {
            base.version == held.version && base.digest == held.digest && held.version > 0
        });
        let base_version = base.map_or(0, |base| base.version);
        let made = self.find(|one| one.version == text.version && one.base == base_version);
        let text = text.clone();
        Some(match (made, base.cloned()) {
            (Some(transfer), _) => Source::Piece(cut_next(transfer, held)),
            (None, Some(base)) => Source::Difference(Pair { base, text }),
            (None, None) => Source::Whole(text),
        })
    }

    fn find(
        &self,
        matches: impl Fn(document_transfer::Header) -> bool,
    ) -> Option<&document_transfer::Transfer> {
        let mut transfers = self.transfers.iter();
        transfers.find(|transfer| matches(transfer.header))
    }
}

/// Returns the piece that a gateway lacks next: one that goes on with a transfer from another host, if
/// that host made the same one, else the first one.
fn cut_next(transfer: &document_transfer::Transfer, held: &Held) -> document_transfer::Piece {
    match held.transfer == Some(transfer.header) {
        true => transfer.cut(held.received),
        false => transfer.cut(0),
    }
}

/// Returns how many of the newest items to keep, given their sizes from the newest one: at least one
/// and at most `max`, of `max_bytes` together.
fn count_kept(sizes: impl Iterator<Item = usize>, max: usize, max_bytes: usize) -> usize {
    let mut bytes = 0;
    let kept = sizes.take(max).take_while(|size| {
        bytes += size;
        bytes <= max_bytes
    });
    kept.count().max(1)
}
