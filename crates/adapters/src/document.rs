//! Transfers of routing documents in the messages between gateways and control hosts, compressed.

use core::fmt;
use std::io;
use std::io::Read as _;

use bytes::Bytes;
use flate2::bufread;
use peargap_core::document_delta;
use peargap_core::document_history;
use peargap_core::document_transfer;
use peargap_wire::fleet as wire;
use prost::Message as _;

/// Most bytes of a text or of the message of a difference.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// A transfer does not give the text that it should.
#[derive(Debug)]
pub enum Error {
    /// The difference does not apply to the base.
    Apply(document_delta::Error),
    /// The text has another digest.
    Digest,
    /// The transfer is not compressed as expected.
    Inflate(io::Error),
    /// The message of the difference cannot be decoded.
    Message(prost::DecodeError),
    /// The base of the difference is not the text at hand.
    OtherBase,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Apply(error) => error.fmt(formatter),
            Error::Digest => formatter.write_str("the text has another digest"),
            Error::Inflate(error) => error.fmt(formatter),
            Error::Message(error) => error.fmt(formatter),
            Error::OtherBase => formatter.write_str("the base is another text"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns the transfer of a whole text.
///
/// # Errors
///
/// Fails if the text cannot be compressed.
pub fn encode_whole(
    text: &document_history::Text,
) -> Result<document_transfer::Transfer, io::Error> {
    build_transfer(0, text, &text.bytes)
}

/// Returns the transfer of what differs between two texts.
///
/// # Errors
///
/// Fails if the difference cannot be compressed.
pub fn encode_difference(
    pair: &document_history::Pair,
) -> Result<document_transfer::Transfer, io::Error> {
    let steps = document_delta::diff(&pair.base.bytes, &pair.text.bytes);
    let difference = wire::Difference {
        steps: steps.into_iter().map(encode_step).collect(),
    };
    build_transfer(pair.base.version, &pair.text, &difference.encode_to_vec())
}

/// Returns the text that a transfer carries, given the one that the gateway has.
///
/// # Errors
///
/// Fails if the transfer is damaged, or is a difference from another text.
pub fn decode(
    transfer: &document_transfer::Transfer,
    held: Option<&document_history::Text>,
) -> Result<document_history::Text, Error> {
    let header = transfer.header;
    let content = inflate(&transfer.data).map_err(Error::Inflate)?;
    let bytes = match header.base {
        0 => content,
        version => {
            let base = held.filter(|held| held.version == version);
            apply(base.ok_or(Error::OtherBase)?, content)?
        }
    };
    let text = document_history::Text::new(header.version, bytes);
    match text.digest == header.digest {
        true => Ok(text),
        false => Err(Error::Digest),
    }
}

fn apply(base: &document_history::Text, content: Bytes) -> Result<Bytes, Error> {
    let difference = wire::Difference::decode(content).map_err(Error::Message)?;
    let steps: Vec<_> = difference.steps.into_iter().map(decode_step).collect();
    document_delta::apply(&base.bytes, &steps, MAX_TEXT_BYTES).map_err(Error::Apply)
}

fn build_transfer(
    base: u64,
    text: &document_history::Text,
    content: &[u8],
) -> Result<document_transfer::Transfer, io::Error> {
    let mut data = Vec::new();
    let level = flate2::Compression::default();
    bufread::DeflateEncoder::new(content, level).read_to_end(&mut data)?;
    Ok(document_transfer::Transfer {
        header: document_transfer::Header {
            base,
            digest: text.digest,
            total: data.len(),
            version: text.version,
        },
        data: Bytes::from(data),
    })
}

fn inflate(data: &[u8]) -> Result<Bytes, io::Error> {
    let mut content = Vec::new();
    let limit = u64::try_from(MAX_TEXT_BYTES).unwrap_or(u64::MAX);
    let mut decoder = bufread::DeflateDecoder::new(data).take(limit);
    decoder.read_to_end(&mut content)?;
    Ok(Bytes::from(content))
}

fn encode_step(step: document_delta::Step) -> wire::Step {
    match step {
        document_delta::Step::Copy(range) => wire::Step {
            length: narrow(range.length),
            offset: narrow(range.offset),
            ..wire::Step::default()
        },
        document_delta::Step::Insert(inserted) => wire::Step {
            inserted,
            ..wire::Step::default()
        },
    }
}

fn decode_step(step: wire::Step) -> document_delta::Step {
    match step.length {
        0 => document_delta::Step::Insert(step.inserted),
        length => document_delta::Step::Copy(document_delta::Range {
            length: widen(length),
            offset: widen(step.offset),
        }),
    }
}

/// Returns the message for a piece.
#[must_use]
pub fn encode_piece(piece: document_transfer::Piece) -> wire::Piece {
    wire::Piece {
        data: piece.data,
        offset: narrow(piece.offset),
        transfer: Some(encode_header(piece.header)),
    }
}

/// Returns the piece in a message, or `None` if it does not tell its transfer.
#[must_use]
pub fn decode_piece(piece: wire::Piece) -> Option<document_transfer::Piece> {
    Some(document_transfer::Piece {
        data: piece.data,
        header: decode_header(piece.transfer?),
        offset: widen(piece.offset),
    })
}

/// Returns the message for what a gateway has.
#[must_use]
pub fn encode_held(held: &document_history::Held) -> wire::Held {
    wire::Held {
        digest: held.digest,
        received: narrow(held.received),
        transfer: held.transfer.map(encode_header),
        version: held.version,
    }
}

/// Returns what a gateway has by its message.
#[must_use]
pub fn decode_held(held: &wire::Held) -> document_history::Held {
    document_history::Held {
        digest: held.digest,
        received: widen(held.received),
        transfer: held.transfer.map(decode_header),
        version: held.version,
    }
}

fn encode_header(header: document_transfer::Header) -> wire::Transfer {
    wire::Transfer {
        base: header.base,
        digest: header.digest,
        total: narrow(header.total),
        version: header.version,
    }
}

fn decode_header(transfer: wire::Transfer) -> document_transfer::Header {
    document_transfer::Header {
        base: transfer.base,
        digest: transfer.digest,
        total: widen(transfer.total),
        version: transfer.version,
    }
}

/// Lengths are bounded far below 32 bits.
fn narrow(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn widen(length: u32) -> usize {
    usize::try_from(length).unwrap_or(usize::MAX)
}
