//! File operations in the data folder and their errors.

use std::io;
use std::path;

use bytes::Bytes;
use bytes::BytesMut;

use crate::record;
use crate::volume;

const TEMPORARY_SUFFIX: &str = ".tmp";

/// An error of the data folder.
#[derive(Debug)]
pub enum Error {
    /// Data that had been synced is damaged.
    Corrupt {
        /// The file.
        file: path::PathBuf,
        /// Offset of the damage in bytes.
        offset: u64,
        /// Description of the damage.
        problem: &'static str,
    },
    /// The disk is full, or the folder has reached the size limit of the settings.
    Full,
    /// Another process has locked the folder.
    InUse(path::PathBuf),
    /// The operating system reported an error.
    Io(path::PathBuf, io::Error),
}

impl core::fmt::Display for Error {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            Error::Corrupt {
                file,
                offset,
                problem,
            } => write!(
                formatter,
                "{} is corrupt at offset {offset}: {problem}; move the data folder away and the \
                 host comes back as a new member",
                file.display()
            ),
            Error::Full => write!(formatter, "the disk is full"),
            Error::InUse(folder) => {
                write!(formatter, "{}: in use by another process", folder.display())
            }
            Error::Io(file, error) => write!(formatter, "{}: {error}", file.display()),
        }
    }
}

impl std::error::Error for Error {}

/// Converts an I/O error at `path`.
pub(crate) fn io_error(path: &path::Path, error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::Full,
        _ => Error::Io(path.to_owned(), error),
    }
}

pub(crate) fn corrupt(file: &path::Path, problem: &'static str) -> Error {
    Error::Corrupt {
        file: file.to_owned(),
        offset: 0,
        problem,
    }
}

pub(crate) fn count_bytes(buffer: &[u8]) -> u64 {
    u64::try_from(buffer.len()).unwrap_or(u64::MAX)
}

/// Moves a file to another folder if it exists.
pub(crate) fn move_file(
    volume: &dyn volume::Volume,
    from: &path::Path,
    to: &path::Path,
    name: &str,
) -> Result<(), Error> {
    match volume.rename(&from.join(name), &to.join(name)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(io_error(from, error)),
        Err(_) | Ok(()) => Ok(()),
    }
}

pub(crate) fn sync_folder(volume: &dyn volume::Volume, folder: &path::Path) -> Result<(), Error> {
    let synced = volume.sync_folder(folder);
    synced.map_err(|error| io_error(folder, error))
}

/// Replaces a file atomically: after a crash it has either the old or the new content. Returns its
/// size.
pub(crate) fn replace_file(
    volume: &dyn volume::Volume,
    folder: &path::Path,
    name: &str,
    payload: &[u8],
) -> Result<u64, Error> {
    let mut buffer = BytesMut::new();
    record::write_record(&mut buffer, 0, payload);
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let opened = volume.open(&temporary, volume::Mode::Replace);
    let written = opened.and_then(|mut file| {
        file.write_all(&buffer)?;
        file.sync_all()
    });
    written.map_err(|error| io_error(&temporary, error))?;
    let renamed = volume.rename(&temporary, &path);
    renamed.map_err(|error| io_error(&path, error))?;
    sync_folder(volume, folder)?;
    Ok(count_bytes(&buffer))
}

/// Returns the content of a file that [`replace_file`] wrote, or `None` if there is no such file.
pub(crate) fn read_file(
    volume: &dyn volume::Volume,
    path: &path::Path,
) -> Result<Option<Bytes>, Error> {
    let bytes = match volume.read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(io_error(path, error)),
    };
    match record::read_record(&bytes, 0) {
        record::ReadResult::Complete(record) if record.end == count_bytes(&bytes) => {
            Ok(Some(record.payload))
        }
        record::ReadResult::Invalid
        | record::ReadResult::EndOfFile
        | record::ReadResult::Complete(_) => {
            Err(corrupt(path, "the file does not match its checksum"))
        }
    }
}
