//! Room in the data folder: what is in it besides the log, the reserve, and whether a file would fit.

use std::io;
use std::path;

use crate::disk;
use crate::files;
use crate::replay;
use crate::volume;

/// Size of the writes that fill a file.
const FILLER_BLOCK_BYTES: usize = 8 << 10;
/// Files, besides segments, that are not counted as foreign.
const MANAGED_FILES: [&str; 6] = [
    disk::BIRTH_FILE,
    disk::HARD_STATE_FILE,
    disk::LOCK_FILE,
    PROBE_FILE,
    RESERVE_FILE,
    disk::SNAPSHOT_FILE,
];
const PROBE_FILE: &str = "probe";
const RESERVE_FILE: &str = "reserve";

/// Returns the total size of the files and folders that the log does not manage.
pub(crate) fn count_foreign_bytes(volume: &dyn volume::Volume, folder: &path::Path) -> u64 {
    let Ok(items) = volume.list(folder) else {
        return 0;
    };
    let foreign = items.iter().filter(|item| {
        let is_managed = MANAGED_FILES.contains(&item.name.as_str());
        !is_managed && !item.name.starts_with(replay::SEGMENT_PREFIX)
    });
    foreign
        .map(|item| match item.is_folder {
            true => count_foreign_bytes(volume, &folder.join(&item.name)),
            false => item.bytes,
        })
        .sum()
}

/// Allocates the reserve, unless it is allocated.
pub(crate) fn write_reserve(
    volume: &dyn volume::Volume,
    folder: &path::Path,
    bytes: u64,
) -> io::Result<()> {
    let items = volume.list(folder)?;
    let mut reserves = items.iter().filter(|item| item.name == RESERVE_FILE);
    if reserves.any(|item| item.bytes == bytes) {
        return Ok(());
    }
    write_filler(volume, &folder.join(RESERVE_FILE), bytes)
}

/// Frees the reserve. There may be none.
pub(crate) fn remove_reserve(volume: &dyn volume::Volume, folder: &path::Path) {
    let _ = volume.remove(&folder.join(RESERVE_FILE));
}

/// Returns whether a file of this size fits, by writing one.
pub(crate) fn probe(volume: &dyn volume::Volume, folder: &path::Path, bytes: u64) -> bool {
    let path = folder.join(PROBE_FILE);
    let fits = write_filler(volume, &path, bytes).is_ok();
    // It was not created if the disk is full.
    let _ = volume.remove(&path);
    fits
}

/// Fills a file with data rather than extending it, so that every file system allocates the space.
fn write_filler(volume: &dyn volume::Volume, path: &path::Path, bytes: u64) -> io::Result<()> {
    let mut file = volume.open(path, volume::Mode::Replace)?;
    let block = [0x5a; FILLER_BLOCK_BYTES];
    let mut left = bytes;
    while left > 0 {
        let length = usize::try_from(left).map_or(block.len(), |left| left.min(block.len()));
        file.write_all(&block[..length])?;
        left -= files::count_bytes(&block[..length]);
    }
    file.sync_all()
}
