//! Writes the replica's state to storage and compacts the log.

use std::path;

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_core::log::effect;
use peargap_core::log::entry;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::disk;
use crate::events;
use crate::files;
use crate::replica_thread;
use crate::settings;
use crate::state_machine;
use crate::storage;

/// Size of the log after which a snapshot replaces it, however large the disk limit is.
const SNAPSHOT_BYTES: u64 = 64 << 20;
/// A snapshot also replaces the log when it exceeds the disk limit divided by this.
const SNAPSHOT_LIMIT_DIVISOR: u64 = 4;
/// Number of applied entries after which a snapshot replaces them.
const SNAPSHOT_ENTRIES: u64 = 4096;
/// Delay between attempts to write to a full disk.
const FULL_DISK_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Whether the data of effects was stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Saved {
    /// All of it.
    Complete,
    /// The process is told to stop while the disk is full; the effects must not be carried out.
    Stopped,
}

/// What to do after a wait for room on the disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Wait {
    Retry,
    Stop,
}

/// Waits before a full disk is tried again, or until the process is told to stop.
async fn wait_for_room(stopping: &CancellationToken) -> Wait {
    logs::emit(events::DISK_FULL, format_args!("retry_ms=200"));
    tokio::select! {
        () = time::sleep(FULL_DISK_RETRY_DELAY) => Wait::Retry,
        () = stopping.cancelled() => Wait::Stop,
    }
}

/// Opens the storage; retries while the disk is full, and fails if the process is told to stop then.
pub(crate) async fn open_with_retry(
    settings: &settings::Settings,
    name: &Bytes,
    disk: u64,
    stopping: &CancellationToken,
) -> Result<(storage::Storage, disk::Recovered), files::Error> {
    loop {
        match storage::Storage::open(settings, name, disk) {
            Err(files::Error::Full) if wait_for_room(stopping).await == Wait::Retry => {}
            result => return result,
        }
    }
}

impl replica_thread::ReplicaThread {
    /// Stores the data of the effects; retries while the disk is full, the reserve included.
    pub(crate) async fn save_with_retry(
        &mut self,
        effects: &[effect::Effect],
    ) -> Result<Saved, files::Error> {
        let mut saved = 0;
        while let Some(effect) = effects.get(saved) {
            match self.save_effect(effect) {
                Ok(()) => saved += 1,
                Err(files::Error::Full) => {
                    if wait_for_room(&self.stopping).await == Wait::Stop {
                        return Ok(Saved::Stopped);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(Saved::Complete)
    }

    fn save_effect(&mut self, effect: &effect::Effect) -> Result<(), files::Error> {
        match effect {
            effect::Effect::AcceptCopiedDisk => self.storage.accept_copy(),
            effect::Effect::SaveHard(hard) => self.storage.save_hard(hard),
            effect::Effect::SaveSnapshot {
                installed,
                reset,
                snapshot,
            } => {
                self.storage.save_snapshot(snapshot, *reset)?;
                if *installed {
                    self.install_snapshot(snapshot)?;
                }
                Ok(())
            }
            effect::Effect::SaveEntries(entries) => self.storage.save_entries(entries),
            effect::Effect::Commit(_)
            | effect::Effect::ConfirmRound(_)
            | effect::Effect::RestartElectionTimer
            | effect::Effect::Proposed { .. }
            | effect::Effect::Rejected(_)
            | effect::Effect::ReplaceDisk
            | effect::Effect::Send(_) => Ok(()),
        }
    }

    fn install_snapshot(&mut self, snapshot: &entry::Snapshot) -> Result<(), files::Error> {
        self.machine = restore_machine(&self.settings.folder, snapshot)?;
        self.applied = snapshot.position.index;
        logs::emit(
            events::SNAPSHOT_INSTALLED,
            format_args!("index={}", self.applied),
        );
        Ok(())
    }

    /// Replaces applied entries with a snapshot once they exceed a number or a size.
    pub(crate) async fn compact(&mut self) -> Result<Saved, files::Error> {
        let snapshot_index = self.log.store().snapshot().position.index;
        let limit = self.settings.disk_limits.max_bytes / SNAPSHOT_LIMIT_DIVISOR;
        let is_large = self.storage.count_log_bytes() > limit.min(SNAPSHOT_BYTES)
            && self.applied > snapshot_index;
        if self.applied < snapshot_index + SNAPSHOT_ENTRIES && !is_large {
            return Ok(Saved::Complete);
        }
        let data = self.machine.snapshot();
        // The log drops the entries in memory, so storing the snapshot must not fail afterwards.
        if !self
            .storage
            .can_store_snapshot(replica_thread::count_bytes(&data))
        {
            logs::emit(
                events::SNAPSHOT_NOT_TAKEN,
                format_args!(
                    "index={} bytes={} log_bytes={} why=no room",
                    self.applied,
                    data.len(),
                    self.storage.count_log_bytes()
                ),
            );
            return Ok(Saved::Complete);
        }
        logs::emit(
            events::SNAPSHOT_TAKEN,
            format_args!("index={} bytes={}", self.applied, data.len()),
        );
        let index = self.applied;
        let effects = self.log.handle(effect::Event::Compact { data, index });
        self.save_with_retry(&effects).await
    }
}

/// Restores the state machine from a snapshot.
pub(crate) fn restore_machine(
    folder: &path::Path,
    snapshot: &entry::Snapshot,
) -> Result<state_machine::StateMachine, files::Error> {
    if snapshot.position.index == 0 {
        return Ok(state_machine::StateMachine::new());
    }
    let restored = state_machine::StateMachine::restore(&snapshot.data);
    restored.map_err(|_error| files::corrupt(folder, "the snapshot cannot be restored"))
}
