//! Storage of the replica: a data folder or memory.

use bytes::Bytes;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::member;
use peargap_core::log::store;

use crate::disk;
use crate::files;
use crate::settings;

/// Storage of the replica.
#[derive(Debug)]
pub(crate) enum Storage {
    /// A data folder on a disk.
    Disk(Box<disk::Disk>),
    /// Nothing is stored beyond the process; the replica holds the log, here only its size is kept.
    Memory {
        /// Size of the commands since the last snapshot.
        bytes: u64,
    },
}

impl Storage {
    /// Opens the data folder, or memory if the settings say that the host is volatile; `disk` is
    /// the disk id if there is none yet.
    pub(crate) fn open(
        settings: &settings::Settings,
        name: &Bytes,
        disk: u64,
    ) -> Result<(Storage, disk::Recovered), files::Error> {
        if settings.volatile {
            let recovered = disk::Recovered {
                copied: false,
                hard: effect::Hard::default(),
                me: member::Member {
                    disk: disk | member::VOLATILE,
                    name: name.clone(),
                },
                store: store::Store::new(entry::Snapshot::default(), Vec::new()),
                torn_bytes: 0,
            };
            return Ok((Storage::Memory { bytes: 0 }, recovered));
        }
        let volume = settings.volume.clone();
        let limits = settings.disk_limits;
        let opened = disk::Disk::open_on(volume, &settings.folder, name, disk, limits);
        let (disk, recovered) = opened?;
        Ok((Storage::Disk(Box::new(disk)), recovered))
    }

    /// Returns whether changes are refused because the disk is full.
    pub(crate) fn is_full(&self) -> bool {
        match self {
            Storage::Disk(disk) => disk.is_full(),
            Storage::Memory { .. } => false,
        }
    }

    /// Accepts a copied folder as the original.
    pub(crate) fn accept_copy(&mut self) -> Result<(), files::Error> {
        match self {
            Storage::Disk(disk) => disk.accept_copy(),
            Storage::Memory { .. } => Ok(()),
        }
    }

    /// Stores the hard state.
    pub(crate) fn save_hard(&mut self, hard: &effect::Hard) -> Result<(), files::Error> {
        match self {
            Storage::Disk(disk) => disk.save_hard(hard),
            Storage::Memory { .. } => Ok(()),
        }
    }

    /// Appends entries to the log; they replace all stored entries from the first one's index on.
    pub(crate) fn save_entries(&mut self, entries: &[entry::Entry]) -> Result<(), files::Error> {
        match self {
            Storage::Disk(disk) => disk.save_entries(entries),
            Storage::Memory { bytes } => {
                *bytes += entries.iter().map(count_command_bytes).sum::<u64>();
                Ok(())
            }
        }
    }

    /// Stores a snapshot; `reset` discards the entries after it too.
    pub(crate) fn save_snapshot(
        &mut self,
        snapshot: &entry::Snapshot,
        reset: bool,
    ) -> Result<(), files::Error> {
        match self {
            Storage::Disk(disk) => disk.save_snapshot(snapshot, reset),
            Storage::Memory { bytes } => {
                *bytes = 0;
                Ok(())
            }
        }
    }

    /// Moves log, snapshot and hard state into a subfolder; the next start uses a new disk id.
    pub(crate) fn set_aside(self) -> Result<(), files::Error> {
        match self {
            Storage::Disk(disk) => disk.set_aside(),
            Storage::Memory { .. } => Ok(()),
        }
    }

    /// Allocates the reserve if there is room for it, so that changes are accepted again; returns
    /// whether it is allocated.
    pub(crate) fn allocate_reserve(&mut self) -> bool {
        match self {
            Storage::Disk(disk) => disk.allocate_reserve(),
            Storage::Memory { .. } => true,
        }
    }

    /// Returns whether this many more bytes fit without using the reserve.
    pub(crate) fn has_room(&self, bytes: u64) -> bool {
        match self {
            Storage::Disk(disk) => disk.has_room(bytes),
            Storage::Memory { .. } => true,
        }
    }

    /// Returns whether a snapshot of this size can be stored.
    pub(crate) fn can_store_snapshot(&self, bytes: u64) -> bool {
        match self {
            Storage::Disk(disk) => disk.can_store_snapshot(bytes),
            Storage::Memory { .. } => true,
        }
    }

    /// Returns the size of the stored log.
    pub(crate) fn count_log_bytes(&self) -> u64 {
        match self {
            Storage::Disk(disk) => disk.count_log_bytes(),
            Storage::Memory { bytes } => *bytes,
        }
    }
}

fn count_command_bytes(entry: &entry::Entry) -> u64 {
    match &entry.payload {
        entry::Payload::Command(command) => u64::try_from(command.len()).unwrap_or(u64::MAX),
        entry::Payload::Noop | entry::Payload::Roster(_) => 0,
    }
}
