//! Checksummed records of the files in the data folder.
//!
//! A record consists of a magic number, the payload's length, a CRC-32C of all that follows, the
//! offset up to which the file was synced when the record was written, and the payload. The synced
//! offset distinguishes a torn tail from corruption: if a later record says that an invalid record
//! was synced, that record was once complete.

use bytes::Buf as _;
use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;

const MAGIC: u32 = 0x7067_6c72;
const HEADER_BYTES: usize = 20;
/// Offset in the header from which on the checksum covers the record.
const CHECKSUM_START: usize = 12;

/// A record read from a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Record {
    /// Offset of its end.
    pub(crate) end: u64,
    pub(crate) payload: Bytes,
    /// Offset up to which the file was synced when it was written.
    pub(crate) synced: u64,
}

/// Result of reading a record at an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ReadResult {
    /// The record is incomplete or corrupt.
    Invalid,
    /// The end of the file.
    EndOfFile,
    /// A complete, valid record.
    Complete(Record),
}

/// Appends a record to a buffer.
pub(crate) fn write_record(buffer: &mut BytesMut, synced: u64, payload: &[u8]) {
    let start = buffer.len();
    buffer.put_u32(MAGIC);
    buffer.put_u32(u32::try_from(payload.len()).unwrap_or(u32::MAX));
    buffer.put_u32(0);
    buffer.put_u64(synced);
    buffer.put_slice(payload);
    let checksum = crc32c::crc32c(&buffer[start + CHECKSUM_START..]);
    buffer[start + 8..start + CHECKSUM_START].copy_from_slice(&checksum.to_be_bytes());
}

/// Reads the record at an offset.
pub(crate) fn read_record(file: &Bytes, offset: usize) -> ReadResult {
    if offset >= file.len() {
        return ReadResult::EndOfFile;
    }
    let mut rest = file.slice(offset..);
    if rest.len() < HEADER_BYTES || rest.get_u32() != MAGIC {
        return ReadResult::Invalid;
    }
    let length = usize::try_from(rest.get_u32()).unwrap_or(usize::MAX);
    let checksum = rest.get_u32();
    let checked_header = HEADER_BYTES - CHECKSUM_START;
    if length > rest.len() - checked_header {
        return ReadResult::Invalid;
    }
    rest.truncate(checked_header + length);
    if crc32c::crc32c(&rest) != checksum {
        return ReadResult::Invalid;
    }
    let synced = rest.get_u64();
    let end = u64::try_from(offset + HEADER_BYTES + length).unwrap_or(u64::MAX);
    ReadResult::Complete(Record {
        end,
        payload: rest,
        synced,
    })
}

/// Returns whether a valid record after `offset` says that the data at `offset` was synced.
pub(crate) fn was_synced(file: &Bytes, offset: usize) -> bool {
    let magic = MAGIC.to_be_bytes();
    let starts = file.windows(magic.len()).enumerate().skip(offset + 1);
    let mut starts = starts.filter(|(_start, window)| *window == magic);
    starts.any(|(start, _window)| match read_record(file, start) {
        ReadResult::Complete(record) => record.synced > u64::try_from(offset).unwrap_or(u64::MAX),
        ReadResult::Invalid | ReadResult::EndOfFile => false,
    })
}
