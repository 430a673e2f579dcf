//! Detects a data folder that is a copy of another one.
//!
//! The birth file contains its own inode number and creation time. A copy of the file has different
//! ones; a restart of the process or the machine changes neither.

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt as _;
use std::path;
use std::time;

use crate::files;

/// Writes a new birth file, replacing an old one.
pub(crate) fn write_birth(path: &path::Path) -> Result<(), files::Error> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            return Err(files::io_error(path, error));
        }
        Err(_) | Ok(()) => {}
    }
    let written = fs::File::create_new(path).and_then(|mut file| {
        let text = format_identity(&file.metadata()?);
        io::Write::write_all(&mut file, text.as_bytes())?;
        file.sync_all()
    });
    written.map_err(|error| files::io_error(path, error))
}

/// Returns whether the birth file is the original one; false for a copy or a missing file.
pub(crate) fn is_original(path: &path::Path) -> Result<bool, files::Error> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(error) => return Err(files::io_error(path, error)),
    };
    let metadata = fs::metadata(path).map_err(|error| files::io_error(path, error))?;
    Ok(text == format_identity(&metadata))
}

fn format_identity(metadata: &fs::Metadata) -> String {
    // Some file systems do not record the creation time.
    let created = metadata.created().ok();
    let created = created.and_then(|created| created.duration_since(time::UNIX_EPOCH).ok());
    let nanos = created.map_or(0, |created| created.as_nanos());
    format!("inode={} created={nanos}\n", metadata.ino())
}
