//! Recovers the log from its segments.

use std::path;

use bytes::Bytes;
use peargap_core::log::entry;
use peargap_wire::peer as wire;
use prost::Message as _;

use crate::files;
use crate::log_codec;
use crate::record;
use crate::volume;

/// Start of a segment's file name.
pub(crate) const SEGMENT_PREFIX: &str = "log-";

/// A file of log records.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) bytes: u64,
    /// Highest log index in it.
    pub(crate) last_index: u64,
    pub(crate) number: u64,
}

/// State recovered from the segments read so far.
pub(crate) struct Replay {
    pub(crate) entries: Vec<entry::Entry>,
    pub(crate) snapshot: entry::Snapshot,
    /// Size of the torn tail that was truncated.
    pub(crate) torn_bytes: u64,
}

impl Replay {
    pub(crate) fn new(snapshot: entry::Snapshot) -> Replay {
        Replay {
            entries: Vec::new(),
            snapshot,
            torn_bytes: 0,
        }
    }

    /// Reads all segments and makes what was read durable: a process that was killed may have left
    /// records that no sync covers, and this one acknowledges them.
    pub(crate) fn read_segments(
        &mut self,
        volume: &dyn volume::Volume,
        folder: &path::Path,
    ) -> Result<Vec<Segment>, files::Error> {
        let numbers = list_segments(volume, folder)?;
        let mut segments = Vec::new();
        for number in &numbers {
            let is_last = Some(number) == numbers.last();
            let segment = self.read_segment(volume, folder, *number, is_last)?;
            sync_segment(volume, folder, &segment)?;
            segments.push(segment);
        }
        Ok(segments)
    }

    fn read_segment(
        &mut self,
        volume: &dyn volume::Volume,
        folder: &path::Path,
        number: u64,
        is_last: bool,
    ) -> Result<Segment, files::Error> {
        let path = folder.join(name_segment(number));
        let read = volume.read(&path);
        let bytes = read.map_err(|error| files::io_error(&path, error))?;
        let mut segment = Segment {
            bytes: 0,
            last_index: 0,
            number,
        };
        loop {
            let offset = usize::try_from(segment.bytes).unwrap_or(usize::MAX);
            match record::read_record(&bytes, offset) {
                record::ReadResult::EndOfFile => return Ok(segment),
                record::ReadResult::Complete(record) => {
                    let last = self.apply_record(&record.payload).map_err(|problem| {
                        files::Error::Corrupt {
                            file: path.clone(),
                            offset: segment.bytes,
                            problem,
                        }
                    })?;
                    segment.last_index = segment.last_index.max(last);
                    segment.bytes = record.end;
                }
                record::ReadResult::Invalid if is_last && !record::was_synced(&bytes, offset) => {
                    self.torn_bytes = files::count_bytes(&bytes) - segment.bytes;
                    truncate_file(volume, &path, segment.bytes)?;
                    return Ok(segment);
                }
                record::ReadResult::Invalid => {
                    return Err(files::Error::Corrupt {
                        file: path,
                        offset: segment.bytes,
                        problem: "a synced record does not match its checksum",
                    })
                }
            }
        }
    }

    /// Applies one record; returns its log index.
    fn apply_record(&mut self, payload: &Bytes) -> Result<u64, &'static str> {
        let record = wire::Record::decode(payload.clone())
            .map_err(|_error| "the log record cannot be decoded")?;
        match record.kind.ok_or("the log record is empty")? {
            wire::record::Kind::Cut(index) => {
                self.truncate(index + 1);
                Ok(index)
            }
            wire::record::Kind::Entry(entry) => {
                let entry =
                    log_codec::decode_entry(entry).map_err(|_error| "the log entry is invalid")?;
                let index = entry.position.index;
                self.truncate(index);
                let base = self.snapshot.position.index;
                if index > base {
                    let next = base + 1 + u64::try_from(self.entries.len()).unwrap_or(u64::MAX);
                    if index != next {
                        return Err("the log entries before it are missing");
                    }
                    self.entries.push(entry);
                }
                Ok(index)
            }
        }
    }

    /// Removes the entries from `index` on.
    fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.position.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }
}

pub(crate) fn name_segment(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

/// Truncates a file; the caller syncs it.
fn truncate_file(
    volume: &dyn volume::Volume,
    path: &path::Path,
    bytes: u64,
) -> Result<(), files::Error> {
    let opened = volume.open(path, volume::Mode::Append);
    let truncated = opened.and_then(|file| file.set_len(bytes));
    truncated.map_err(|error| files::io_error(path, error))
}

fn sync_segment(
    volume: &dyn volume::Volume,
    folder: &path::Path,
    segment: &Segment,
) -> Result<(), files::Error> {
    let path = folder.join(name_segment(segment.number));
    let opened = volume.open(&path, volume::Mode::Append);
    let synced = opened.and_then(|file| file.sync_all());
    synced.map_err(|error| files::io_error(&path, error))
}

pub(crate) fn list_segments(
    volume: &dyn volume::Volume,
    folder: &path::Path,
) -> Result<Vec<u64>, files::Error> {
    let items = volume.list(folder);
    let items = items.map_err(|error| files::io_error(folder, error))?;
    let numbers = items.iter().filter_map(|item| {
        let number = item.name.strip_prefix(SEGMENT_PREFIX)?;
        number.parse::<u64>().ok()
    });
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    Ok(numbers)
}
