//! Where the replica keeps what it stores: a data folder, or the process's memory.

use bytes::Bytes;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::member;
use peargap_core::log::store;

use crate::disk;
use crate::files;
use crate::settings;

/// Where the replica keeps what it stores.
#[derive(Debug)]
pub(crate) enum Medium {
    /// A data folder on a disk.
    Disk(Box<disk::Disk>),
    /// Nothing outlasts the process. The log itself lies in the replica; this counts its bytes.
    Memory {
        /// Bytes of commands since the last snapshot.
        bytes: u64,
    },
}

impl Medium {
    /// Opens the folder of the settings, or memory where there is none; `disk` is the id of a new
    /// disk.
    pub(crate) fn open(
        settings: &settings::Settings,
        name: &Bytes,
        disk: u64,
    ) -> Result<(Medium, disk::Found), files::Error> {
        if settings.volatile {
            let found = disk::Found {
                copied: false,
                hard: effect::Hard::default(),
                me: member::Member {
                    disk: disk | member::VOLATILE,
                    name: name.clone(),
                },
                store: store::Store::new(entry::Snapshot::default(), Vec::new()),
                torn_bytes: 0,
            };
            return Ok((Medium::Memory { bytes: 0 }, found));
        }
        let opened = disk::Disk::open(&settings.folder, name, disk, settings.disk_limits);
        let (disk, found) = opened?;
        Ok((Medium::Disk(Box::new(disk)), found))
    }

    /// Returns whether changes are refused because the disk is full.
    pub(crate) fn is_full(&self) -> bool {
        match self {
            Medium::Disk(disk) => disk.is_full(),
            Medium::Memory { .. } => false,
        }
    }

    /// Takes copied files for the original from now on.
    pub(crate) fn adopt(&mut self) -> Result<(), files::Error> {
        match self {
            Medium::Disk(disk) => disk.adopt(),
            Medium::Memory { .. } => Ok(()),
        }
    }

    /// Stores the hard state.
    pub(crate) fn save_hard(&mut self, hard: &effect::Hard) -> Result<(), files::Error> {
        match self {
            Medium::Disk(disk) => disk.save_hard(hard),
            Medium::Memory { .. } => Ok(()),
        }
    }

    /// Stores entries; they replace everything from the first one's index on.
    pub(crate) fn store(&mut self, entries: &[entry::Entry]) -> Result<(), files::Error> {
        match self {
            Medium::Disk(disk) => disk.store(entries),
            Medium::Memory { bytes } => {
                *bytes += entries.iter().map(count_command).sum::<u64>();
                Ok(())
            }
        }
    }

    /// Stores a snapshot; with `reset` the entries after it are void.
    pub(crate) fn save_snapshot(
        &mut self,
        snapshot: &entry::Snapshot,
        reset: bool,
    ) -> Result<(), files::Error> {
        match self {
            Medium::Disk(disk) => disk.save_snapshot(snapshot, reset),
            Medium::Memory { bytes } => {
                *bytes = 0;
                Ok(())
            }
        }
    }

    /// Sets the whole content aside, so that the host starts again on a new disk id.
    pub(crate) fn set_aside(self) -> Result<(), files::Error> {
        match self {
            Medium::Disk(disk) => disk.set_aside(),
            Medium::Memory { .. } => Ok(()),
        }
    }

    /// Takes changes again once there is room for the reserve; returns whether it does.
    pub(crate) fn take_reserve(&mut self) -> bool {
        match self {
            Medium::Disk(disk) => disk.take_reserve(),
            Medium::Memory { .. } => true,
        }
    }

    /// Returns whether this many bytes more would leave the reserve free.
    pub(crate) fn has_room(&self, bytes: u64) -> bool {
        match self {
            Medium::Disk(disk) => disk.has_room(bytes),
            Medium::Memory { .. } => true,
        }
    }

    /// Returns whether a snapshot of this many bytes can be stored.
    pub(crate) fn can_hold(&self, bytes: u64) -> bool {
        match self {
            Medium::Disk(disk) => disk.can_hold(bytes),
            Medium::Memory { .. } => true,
        }
    }

    /// Returns the bytes of the log.
    pub(crate) fn count_log(&self) -> u64 {
        match self {
            Medium::Disk(disk) => disk.count_log(),
            Medium::Memory { bytes } => *bytes,
        }
    }
}

fn count_command(entry: &entry::Entry) -> u64 {
    match &entry.payload {
        entry::Payload::Command(command) => u64::try_from(command.len()).unwrap_or(u64::MAX),
        entry::Payload::Noop | entry::Payload::Roster(_) => 0,
    }
}
