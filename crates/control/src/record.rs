//! Checksummed records of the files in the data folder.
//!
//! A record is a magic number, the payload's length, a crc32c of what follows it, the file offset
//! that was synced when the record was written, and the payload. The synced offset tells a torn
//! tail from a corrupt middle: a bad record that a later record calls synced was once whole.

use bytes::Buf as _;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;

const MAGIC: u32 = 0x7067_6c72;
const HEADER_BYTES: usize = 20;
/// Start of the part of the header that the checksum covers.
const CHECKED_FROM: usize = 12;

/// A record as found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Record {
    /// Offset of the byte after it.
    pub(crate) end: u64,
    pub(crate) payload: Bytes,
    /// Offset that was synced before it was written.
    pub(crate) synced: u64,
}

/// What stands at an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Found {
    /// No whole record.
    Bad,
    /// The end of the file.
    End,
    /// A whole record.
    Whole(Record),
}

/// Adds a record to a buffer.
pub(crate) fn write_record(buffer: &mut BytesMut, synced: u64, payload: &[u8]) {
    let start = buffer.len();
    buffer.put_u32(MAGIC);
    buffer.put_u32(u32::try_from(payload.len()).unwrap_or(u32::MAX));
    buffer.put_u32(0);
    buffer.put_u64(synced);
    buffer.put_slice(payload);
    let checksum = crc32c::crc32c(&buffer[start + CHECKED_FROM..]);
    buffer[start + 8..start + CHECKED_FROM].copy_from_slice(&checksum.to_be_bytes());
}

/// Reads the record at an offset.
pub(crate) fn read_record(file: &Bytes, offset: usize) -> Found {
    if offset >= file.len() {
        return Found::End;
    }
    let mut rest = file.slice(offset..);
    if rest.len() < HEADER_BYTES || rest.get_u32() != MAGIC {
        return Found::Bad;
    }
    let length = usize::try_from(rest.get_u32()).unwrap_or(usize::MAX);
    let checksum = rest.get_u32();
    let body = HEADER_BYTES - CHECKED_FROM;
    if length > rest.len() - body {
        return Found::Bad;
    }
    rest.truncate(body + length);
    if crc32c::crc32c(&rest) != checksum {
        return Found::Bad;
    }
    let synced = rest.get_u64();
    let end = u64::try_from(offset + HEADER_BYTES + length).unwrap_or(u64::MAX);
    Found::Whole(Record {
        end,
        payload: rest,
        synced,
    })
}

/// Returns whether any whole record after `offset` says that `offset` was synced.
pub(crate) fn was_synced(file: &Bytes, offset: usize) -> bool {
    let magic = MAGIC.to_be_bytes();
    let starts = file.windows(magic.len()).enumerate().skip(offset + 1);
    let mut starts = starts.filter(|(_start, window)| *window == magic);
    starts.any(|(start, _window)| match read_record(file, start) {
        Found::Whole(record) => record.synced > u64::try_from(offset).unwrap_or(u64::MAX),
        Found::Bad | Found::End => false,
    })
}
