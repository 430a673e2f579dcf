//! The data folder: segments of log records, the hard state and the snapshot.
//!
//! Every write is synced before the function returns. A torn tail of the last segment is truncated;
//! any other damage is an error that names the file and the offset.

use std::fs;
use std::path;
use std::sync;

use bytes::Bytes;
use bytes::BytesMut;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::member;
use peargap_core::log::store;
use peargap_wire::peer as wire;
use prost::Message as _;

use crate::copy_detection;
use crate::files;
use crate::log_codec;
use crate::record;
use crate::replay;
use crate::room;
use crate::volume;

pub(crate) const BIRTH_FILE: &str = "birth";
pub(crate) const HARD_STATE_FILE: &str = "hard";
pub(crate) const LOCK_FILE: &str = "lock";
/// Start of the name of a subfolder that holds the files of a replaced disk.
const REPLACED_PREFIX: &str = "old-";
/// Size after which a segment is closed and the next one started.
const SEGMENT_BYTES: u64 = 8 << 20;
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";

/// Size limits of the data folder.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest total size of the folder.
    pub max_bytes: u64,
    /// Space that only the log protocol may use, so that it can go on when changes are refused.
    pub reserve_bytes: u64,
}

/// State recovered from the folder when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// The folder is a copy, which may be older than the state that this host acknowledged.
    pub copied: bool,
    /// Hard state.
    pub hard: effect::Hard,
    /// Name of this host and id of its disk.
    pub me: member::Member,
    /// Snapshot and the log entries after it.
    pub store: store::Store,
    /// Size of the torn tail that was truncated.
    pub torn_bytes: u64,
}

/// The data folder, open and locked.
#[derive(Debug)]
pub struct Disk {
    folder: path::PathBuf,
    /// Size of files that the log does not manage, such as those of replaced disks.
    foreign_bytes: u64,
    /// The reserve is not allocated, so changes are refused.
    full: bool,
    /// The name of the current segment is on the disk.
    has_durable_name: bool,
    limits: Limits,
    // Holds the lock until it is dropped.
    _lock: fs::File,
    me: member::Member,
    segment: Box<dyn volume::File>,
    segments: Vec<replay::Segment>,
    /// Size of the snapshot file.
    snapshot_bytes: u64,
    volume: volume::Shared,
}

impl Disk {
    /// Opens and locks the folder; `disk` becomes its disk id if it is empty.
    pub fn open(
        folder: &path::Path,
        name: &Bytes,
        disk: u64,
        limits: Limits,
    ) -> Result<(Disk, Recovered), files::Error> {
        Disk::open_on(sync::Arc::new(volume::Local), folder, name, disk, limits)
    }

    /// Does the same as [`Disk::open`] on a given volume.
    pub fn open_on(
        volume: volume::Shared,
        folder: &path::Path,
        name: &Bytes,
        disk: u64,
        limits: Limits,
    ) -> Result<(Disk, Recovered), files::Error> {
        let created = volume.create_folder(folder);
        created.map_err(|error| files::io_error(folder, error))?;
        let lock = lock_folder(&*volume, folder)?;
        let (me, hard) = match read_hard_state(&*volume, folder)? {
            Some(recovered) => recovered,
            None => create_hard_state(&*volume, folder, name, disk)?,
        };
        let (snapshot, snapshot_bytes) = read_snapshot(&*volume, folder)?;
        let mut replay = replay::Replay::new(snapshot);
        let mut segments = replay.read_segments(&*volume, folder)?;
        let number = segments.last().map_or(1, |segment| segment.number + 1);
        // An empty segment is used, or each start would leave another one.
        let empty = segments.last().filter(|segment| segment.bytes == 0);
        let (number, mode) = match empty.map(|segment| segment.number) {
            Some(number) => (number, volume::Mode::Append),
            None => (number, volume::Mode::New),
        };
        segments.retain(|segment| segment.number != number);
        let copied = !copy_detection::is_original(&*volume, &folder.join(BIRTH_FILE))?;
        let mut disk = Disk {
            folder: folder.to_owned(),
            foreign_bytes: 0,
            full: false,
            has_durable_name: false,
            limits,
            _lock: lock,
            me: me.clone(),
            segment: open_segment(&*volume, folder, number, mode)?,
            segments,
            snapshot_bytes,
            volume,
        };
        disk.segments.push(replay::Segment {
            bytes: 0,
            last_index: 0,
            number,
        });
        disk.sync_segment_name()?;
        disk.allocate_reserve();
        let recovered = Recovered {
            copied,
            hard,
            me,
            store: store::Store::new(replay.snapshot, replay.entries),
            torn_bytes: replay.torn_bytes,
        };
        Ok((disk, recovered))
    }

    /// Returns whether changes are refused because the disk is full.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Accepts a copied folder as the original.
    pub fn accept_copy(&mut self) -> Result<(), files::Error> {
        copy_detection::write_birth(&*self.volume, &self.folder.join(BIRTH_FILE))?;
        files::sync_folder(&*self.volume, &self.folder)
    }

    /// Stores the hard state.
    pub fn save_hard(&mut self, hard: &effect::Hard) -> Result<(), files::Error> {
        let payload = log_codec::encode_hard(&self.me, hard).encode_to_vec();
        self.retry_without_reserve(|disk| {
            files::replace_file(&*disk.volume, &disk.folder, HARD_STATE_FILE, &payload)
        })?;
        Ok(())
    }

    /// Appends entries to the log; they replace all stored entries from the first one's index on.
    pub fn save_entries(&mut self, entries: &[entry::Entry]) -> Result<(), files::Error> {
        let records: Vec<wire::Record> = entries
            .iter()
            .map(|entry| wire::Record {
                kind: Some(wire::record::Kind::Entry(log_codec::encode_entry(entry))),
            })
            .collect();
        let last = entries.last().map_or(0, |entry| entry.position.index);
        self.append_records(&records, last)
    }

    /// Stores a snapshot and deletes the segments it covers; `reset` discards later entries too.
    pub fn save_snapshot(
        &mut self,
        snapshot: &entry::Snapshot,
        reset: bool,
    ) -> Result<(), files::Error> {
        let index = snapshot.position.index;
        if reset {
            let cut = wire::Record {
                kind: Some(wire::record::Kind::Cut(index)),
            };
            self.append_records(&[cut], index)?;
        }
        let payload = log_codec::encode_snapshot(snapshot).encode_to_vec();
        self.snapshot_bytes = self.retry_without_reserve(|disk| {
            files::replace_file(&*disk.volume, &disk.folder, SNAPSHOT_FILE, &payload)
        })?;
        self.start_next_segment()?;
        self.delete_segments(index)
    }

    /// Moves log, snapshot and hard state into a subfolder; the next start uses a new disk id.
    pub fn set_aside(self) -> Result<(), files::Error> {
        let target = self
            .folder
            .join(format!("{REPLACED_PREFIX}{:016x}", self.me.disk));
        let volume = &*self.volume;
        let created = volume.create_folder(&target);
        created.map_err(|error| files::io_error(&target, error))?;
        // What is left after each move can be started on: an earlier state of the log, then none.
        // While the hard state is there, the folder still belongs to the old member.
        for segment in self.segments.iter().rev() {
            let name = replay::name_segment(segment.number);
            self.set_file_aside(&target, &name)?;
        }
        self.set_file_aside(&target, SNAPSHOT_FILE)?;
        self.set_file_aside(&target, HARD_STATE_FILE)
    }

    /// Moves a file; the move is durable before this returns.
    fn set_file_aside(&self, target: &path::Path, name: &str) -> Result<(), files::Error> {
        let volume = &*self.volume;
        files::move_file(volume, &self.folder, target, name)?;
        files::sync_folder(volume, target)?;
        files::sync_folder(volume, &self.folder)
    }

    /// Allocates the reserve if there is room for it, so that changes are accepted again; returns
    /// whether it is allocated.
    pub fn allocate_reserve(&mut self) -> bool {
        self.foreign_bytes = room::count_foreign_bytes(&*self.volume, &self.folder);
        let bytes = self.limits.reserve_bytes;
        let fits = self.count_used_bytes() + bytes <= self.limits.max_bytes;
        let taken = fits && room::write_reserve(&*self.volume, &self.folder, bytes).is_ok();
        if !taken {
            room::remove_reserve(&*self.volume, &self.folder);
        }
        self.full = !taken;
        taken
    }

    /// Returns whether this many more bytes fit without using the reserve.
    pub fn has_room(&self, bytes: u64) -> bool {
        !self.full
            && self.count_used_bytes() + bytes + self.limits.reserve_bytes <= self.limits.max_bytes
    }

    /// Returns whether a snapshot of this size can be written, by writing a file of that size.
    pub fn can_store_snapshot(&self, bytes: u64) -> bool {
        if self.count_used_bytes() + bytes > self.limits.max_bytes {
            return false;
        }
        room::probe(&*self.volume, &self.folder, bytes)
    }

    /// Returns the size of the log's segments.
    pub fn count_log_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    fn count_used_bytes(&self) -> u64 {
        self.count_log_bytes() + self.snapshot_bytes + self.foreign_bytes
    }

    fn append_records(&mut self, records: &[wire::Record], last: u64) -> Result<(), files::Error> {
        let Some(current) = self.segments.last() else {
            return Ok(());
        };
        if current.bytes > SEGMENT_BYTES {
            self.start_next_segment()?;
        }
        let synced = self.segments.last().map_or(0, |segment| segment.bytes);
        let mut buffer = BytesMut::new();
        for record in records {
            record::write_record(&mut buffer, synced, &record.encode_to_vec());
        }
        self.retry_without_reserve(|disk| disk.write_segment(synced, &buffer))?;
        if let Some(current) = self.segments.last_mut() {
            current.bytes = synced + files::count_bytes(&buffer);
            current.last_index = current.last_index.max(last);
        }
        Ok(())
    }

    fn write_segment(&mut self, synced: u64, buffer: &[u8]) -> Result<(), files::Error> {
        let reserve = if self.full {
            0
        } else {
            self.limits.reserve_bytes
        };
        if self.count_used_bytes() + files::count_bytes(buffer) + reserve > self.limits.max_bytes {
            return Err(files::Error::Full);
        }
        self.sync_segment_name()?;
        let written = self.segment.write_all(buffer);
        let written = written.and_then(|()| self.segment.sync_data());
        if let Err(error) = written {
            // A partial write must not remain before the records of the next attempt.
            let truncated = self.segment.set_len(synced);
            truncated.map_err(|error| files::io_error(&self.folder, error))?;
            return Err(files::io_error(&self.folder, error));
        }
        Ok(())
    }

    /// Retries a write once after deleting the reserve if the disk is full.
    fn retry_without_reserve<T>(
        &mut self,
        write: impl Fn(&mut Disk) -> Result<T, files::Error>,
    ) -> Result<T, files::Error> {
        match write(self) {
            Err(files::Error::Full) if !self.full => {
                self.full = true;
                room::remove_reserve(&*self.volume, &self.folder);
                write(self)
            }
            result => result,
        }
    }

    /// Closes the current segment and starts the next one, unless the current one is empty.
    fn start_next_segment(&mut self) -> Result<(), files::Error> {
        let current = self.segments.last();
        if current.is_none_or(|segment| segment.bytes > 0) {
            let number = current.map_or(1, |segment| segment.number + 1);
            self.segment = self.retry_without_reserve(|disk| {
                open_segment(&*disk.volume, &disk.folder, number, volume::Mode::New)
            })?;
            self.has_durable_name = false;
            self.segments.push(replay::Segment {
                bytes: 0,
                last_index: 0,
                number,
            });
        }
        self.sync_segment_name()
    }

    /// Makes the name of the current segment durable. This may fail on a full disk; the segment before is
    /// closed all the same, and nothing is written to this one until it succeeds.
    fn sync_segment_name(&mut self) -> Result<(), files::Error> {
        if !self.has_durable_name {
            files::sync_folder(&*self.volume, &self.folder)?;
            self.has_durable_name = true;
        }
        Ok(())
    }

    /// Deletes the oldest closed segments that contain nothing after `index`.
    fn delete_segments(&mut self, index: u64) -> Result<(), files::Error> {
        let closed = self.segments.len() - 1;
        let old = self.segments.iter().take(closed);
        let old = old
            .take_while(|segment| segment.last_index <= index)
            .count();
        for segment in self.segments.drain(..old) {
            let path = self.folder.join(replay::name_segment(segment.number));
            let removed = self.volume.remove(&path);
            removed.map_err(|error| files::io_error(&path, error))?;
        }
        files::sync_folder(&*self.volume, &self.folder)
    }
}

fn lock_folder(volume: &dyn volume::Volume, folder: &path::Path) -> Result<fs::File, files::Error> {
    let path = folder.join(LOCK_FILE);
    let locked = volume.lock(&path);
    let locked = locked.map_err(|error| files::io_error(&path, error))?;
    locked.ok_or_else(|| files::Error::InUse(folder.to_owned()))
}

fn open_segment(
    volume: &dyn volume::Volume,
    folder: &path::Path,
    number: u64,
    mode: volume::Mode,
) -> Result<Box<dyn volume::File>, files::Error> {
    let path = folder.join(replay::name_segment(number));
    let file = volume.open(&path, mode);
    file.map_err(|error| files::io_error(&path, error))
}

fn read_hard_state(
    volume: &dyn volume::Volume,
    folder: &path::Path,
) -> Result<Option<(member::Member, effect::Hard)>, files::Error> {
    let path = folder.join(HARD_STATE_FILE);
    let Some(payload) = files::read_file(volume, &path)? else {
        return Ok(None);
    };
    let mut hard = wire::Hard::decode(payload)
        .map_err(|_error| files::corrupt(&path, "the hard state cannot be decoded"))?;
    let me = log_codec::decode_member(hard.me.take());
    let me = me.map_err(|_error| files::corrupt(&path, "the member is missing or invalid"))?;
    let hard = log_codec::decode_hard(hard)
        .map_err(|_error| files::corrupt(&path, "the hard state is invalid"))?;
    Ok(Some((me, hard)))
}

fn create_hard_state(
    volume: &dyn volume::Volume,
    folder: &path::Path,
    name: &Bytes,
    disk: u64,
) -> Result<(member::Member, effect::Hard), files::Error> {
    let me = member::Member {
        disk,
        name: name.clone(),
    };
    let has_snapshot = files::read_file(volume, &folder.join(SNAPSHOT_FILE))?.is_some();
    if has_snapshot || !replay::list_segments(volume, folder)?.is_empty() {
        let path = folder.join(HARD_STATE_FILE);
        return Err(files::corrupt(
            &path,
            "the file is missing although there is a log or snapshot",
        ));
    }
    let hard = effect::Hard::default();
    let payload = log_codec::encode_hard(&me, &hard).encode_to_vec();
    copy_detection::write_birth(volume, &folder.join(BIRTH_FILE))?;
    files::replace_file(volume, folder, HARD_STATE_FILE, &payload)?;
    Ok((me, hard))
}

/// Returns the snapshot and the size of its file.
fn read_snapshot(
    volume: &dyn volume::Volume,
    folder: &path::Path,
) -> Result<(entry::Snapshot, u64), files::Error> {
    let path = folder.join(SNAPSHOT_FILE);
    let Some(payload) = files::read_file(volume, &path)? else {
        return Ok((entry::Snapshot::default(), 0));
    };
    let bytes = files::count_bytes(&payload);
    let snapshot = wire::Snapshot::decode(payload);
    let snapshot =
        snapshot.map_err(|_error| files::corrupt(&path, "the snapshot cannot be decoded"))?;
    let snapshot = log_codec::decode_snapshot(snapshot)
        .map_err(|_error| files::corrupt(&path, "the snapshot is invalid"))?;
    Ok((snapshot, bytes))
}
