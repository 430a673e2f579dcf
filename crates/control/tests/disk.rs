//! The data folder: what is recovered, what is truncated, which damage is an error.

use std::fs;
use std::path;

use bytes::Bytes;
use peargap_control::disk;
use peargap_control::files;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::member;

const MEGABYTE: u64 = 1 << 20;
const LIMITS: disk::Limits = disk::Limits {
    max_bytes: 64 * MEGABYTE,
    reserve_bytes: MEGABYTE,
};

fn open(folder: &path::Path) -> Result<(disk::Disk, disk::Recovered), files::Error> {
    disk::Disk::open(folder, &Bytes::from_static(b"a"), 7, LIMITS)
}

fn entry(term: u64, index: u64) -> entry::Entry {
    entry::Entry {
        payload: entry::Payload::Command(Bytes::from(format!("command {index} of term {term}"))),
        position: entry::Position { term, index },
    }
}

fn snapshot(term: u64, index: u64) -> entry::Snapshot {
    entry::Snapshot {
        data: Bytes::from_static(b"state"),
        position: entry::Position { term, index },
        roster: member::Roster::default(),
    }
}

/// Returns the only segment that is not empty.
fn find_segment(folder: &path::Path) -> path::PathBuf {
    let items = fs::read_dir(folder).expect("a folder");
    let paths = items.map(|item| item.expect("an item").path());
    let mut segments = paths.filter(|path| {
        let name = path.file_name().expect("a name").to_string_lossy();
        name.starts_with("log-") && fs::metadata(path).expect("metadata").len() > 0
    });
    segments.next().expect("a segment")
}

/// Writes three batches; returns the folder and the segment's size after each batch.
fn write_batches() -> (tempfile::TempDir, Vec<u64>) {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut disk, _found) = open(folder.path()).expect("a disk");
    let mut sizes = Vec::new();
    for index in 1..=3 {
        disk.save_entries(&[entry(1, index)]).expect("stored");
        let segment = find_segment(folder.path());
        sizes.push(fs::metadata(segment).expect("metadata").len());
    }
    (folder, sizes)
}

#[test]
fn stored_state_is_recovered() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut disk, recovered) = open(folder.path()).expect("a disk");
    assert!(!recovered.copied);
    let hard = effect::Hard {
        generation: 3,
        term: 5,
        vote: Some(recovered.me),
        ..effect::Hard::default()
    };
    disk.save_hard(&hard).expect("saved");
    disk.save_entries(&[entry(1, 1), entry(1, 2), entry(1, 3)])
        .expect("stored");
    disk.save_entries(&[entry(2, 2)]).expect("stored");
    drop(disk);
    let (_disk, recovered) = open(folder.path()).expect("a disk");
    assert_eq!(recovered.hard, hard);
    assert_eq!(recovered.store.entry(1), Some(&entry(1, 1)));
    assert_eq!(recovered.store.entry(2), Some(&entry(2, 2)));
    assert_eq!(recovered.store.entry(3), None);
    assert_eq!(recovered.torn_bytes, 0);
}

#[test]
fn a_snapshot_replaces_the_entries_it_covers() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut disk, _found) = open(folder.path()).expect("a disk");
    disk.save_entries(&[entry(1, 1), entry(1, 2), entry(1, 3)])
        .expect("stored");
    disk.save_snapshot(&snapshot(1, 2), false).expect("saved");
    disk.save_entries(&[entry(1, 4)]).expect("stored");
    drop(disk);
    let (mut disk, recovered) = open(folder.path()).expect("a disk");
    assert_eq!(recovered.store.snapshot(), &snapshot(1, 2));
    assert_eq!(recovered.store.entry(2), None);
    assert_eq!(recovered.store.entry(4), Some(&entry(1, 4)));
    disk.save_snapshot(&snapshot(9, 3), true).expect("saved");
    drop(disk);
    let (_disk, recovered) = open(folder.path()).expect("a disk");
    assert_eq!(recovered.store.last(), snapshot(9, 3).position);
}

#[test]
fn a_tail_torn_at_any_byte_is_truncated() {
    let (folder, sizes) = write_batches();
    let segment = find_segment(folder.path());
    let segment_bytes = fs::read(&segment).expect("a segment");
    for length in sizes[1]..sizes[2] {
        let length = usize::try_from(length).expect("a small file");
        let copy = tempfile::tempdir().expect("a folder");
        fs::copy(folder.path().join("hard"), copy.path().join("hard")).expect("copied");
        let name = segment.file_name().expect("a name");
        fs::write(copy.path().join(name), &segment_bytes[..length]).expect("written");
        let (_disk, recovered) = open(copy.path()).expect("a disk");
        assert_eq!(recovered.store.last().index, 2, "cut at {length}");
        assert!(recovered.copied, "the birth file is missing");
    }
}

#[test]
fn a_corrupt_synced_record_is_an_error_with_its_offset() {
    let (folder, sizes) = write_batches();
    let segment = find_segment(folder.path());
    let mut bytes = fs::read(&segment).expect("a segment");
    let corrupt_offset = usize::try_from(sizes[0] + 30).expect("a small file");
    bytes[corrupt_offset] ^= 1;
    fs::write(&segment, bytes).expect("written");
    let error = open(folder.path()).expect_err("a corrupt segment");
    let text = error.to_string();
    let name = segment
        .file_name()
        .expect("a name")
        .to_string_lossy()
        .into_owned();
    assert!(text.contains(&name), "{text}");
    assert!(text.contains(&format!("offset {}", sizes[0])), "{text}");
}

#[test]
fn a_corrupt_record_of_a_closed_segment_is_an_error() {
    let (folder, sizes) = write_batches();
    let segment = find_segment(folder.path());
    // Opening the folder again closes this segment and starts the next one.
    drop(open(folder.path()).expect("a disk"));
    let mut bytes = fs::read(&segment).expect("a segment");
    let corrupt_offset = usize::try_from(sizes[1] + 30).expect("a small file");
    bytes[corrupt_offset] ^= 1;
    fs::write(&segment, bytes).expect("written");
    let error = open(folder.path()).expect_err("a corrupt segment");
    assert!(matches!(error, files::Error::Corrupt { .. }), "{error}");
}

#[test]
fn a_corrupt_hard_state_or_snapshot_is_an_error() {
    for name in ["hard", "snapshot"] {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut disk, _found) = open(folder.path()).expect("a disk");
        disk.save_entries(&[entry(1, 1)]).expect("stored");
        disk.save_snapshot(&snapshot(1, 1), false).expect("saved");
        drop(disk);
        let path = folder.path().join(name);
        let mut bytes = fs::read(&path).expect("a file");
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        fs::write(&path, bytes).expect("written");
        let error = open(folder.path()).expect_err("a corrupt file");
        assert!(error.to_string().contains(name), "{error}");
    }
}

#[test]
fn a_log_without_its_hard_state_is_an_error() {
    let (folder, _sizes) = write_batches();
    fs::remove_file(folder.path().join("hard")).expect("removed");
    let error = open(folder.path()).expect_err("a lost hard state");
    assert!(matches!(error, files::Error::Corrupt { .. }), "{error}");
}

#[test]
fn a_folder_is_locked_while_it_is_open() {
    let folder = tempfile::tempdir().expect("a folder");
    let _first = open(folder.path()).expect("a disk");
    let error = open(folder.path()).expect_err("a folder in use");
    assert!(matches!(error, files::Error::InUse(_)), "{error}");
}

#[test]
fn a_copied_folder_is_detected_until_it_is_accepted() {
    let (folder, _sizes) = write_batches();
    let copy = tempfile::tempdir().expect("a folder");
    for item in fs::read_dir(folder.path()).expect("a folder") {
        let item = item.expect("an item");
        fs::copy(item.path(), copy.path().join(item.file_name())).expect("copied");
    }
    let (_disk, recovered) = open(folder.path()).expect("the original");
    assert!(!recovered.copied);
    let (mut disk, recovered) = open(copy.path()).expect("the copy");
    assert!(recovered.copied);
    disk.accept_copy().expect("accepted");
    drop(disk);
    let (_disk, recovered) = open(copy.path()).expect("the copy");
    assert!(!recovered.copied);
}

#[test]
fn a_full_disk_uses_its_reserve_and_reports_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut disk, _found) = open(folder.path()).expect("a disk");
    let ballast = folder.path().join("ballast");
    let file = fs::File::create(&ballast).expect("a file");
    file.set_len(LIMITS.max_bytes - LIMITS.reserve_bytes / 2)
        .expect("a size");
    assert!(!disk.allocate_reserve());
    assert!(disk.is_full());
    assert!(!disk.has_room(1));
    // The log protocol may still write within the reserve.
    disk.save_entries(&[entry(1, 1)]).expect("stored");
    let large = entry::Entry {
        payload: entry::Payload::Command(Bytes::from(vec![0; 2 << 20])),
        position: entry::Position { term: 1, index: 2 },
    };
    let error = disk
        .save_entries(std::slice::from_ref(&large))
        .expect_err("a full disk");
    assert!(matches!(error, files::Error::Full), "{error}");
    fs::remove_file(ballast).expect("removed");
    assert!(disk.allocate_reserve());
    disk.save_entries(std::slice::from_ref(&large))
        .expect("stored");
    drop(disk);
    let (_disk, recovered) = open(folder.path()).expect("a disk");
    assert_eq!(recovered.store.entry(1), Some(&entry(1, 1)));
    assert_eq!(recovered.store.entry(2), Some(&large));
}

#[test]
fn a_disk_set_aside_leaves_an_empty_folder() {
    let (folder, _sizes) = write_batches();
    let (disk, _found) = open(folder.path()).expect("a disk");
    disk.set_aside().expect("set aside");
    let name = Bytes::from_static(b"a");
    let (_disk, recovered) = disk::Disk::open(folder.path(), &name, 8, LIMITS).expect("a disk");
    assert_eq!(recovered.me.disk, 8);
    assert_eq!(recovered.store.last().index, 0);
    assert!(!recovered.copied);
}
