//! Detects a data folder that is a copy of another one.
//!
//! The birth file contains its own inode number and creation time. A copy of the file has different
//! ones; a restart of the process or the machine changes neither.

use std::io;
use std::path;

use crate::files;
use crate::volume;

/// Writes a new birth file, replacing an old one.
pub(crate) fn write_birth(
    volume: &dyn volume::Volume,
    path: &path::Path,
) -> Result<(), files::Error> {
    match volume.remove(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            return Err(files::io_error(path, error));
        }
        Err(_) | Ok(()) => {}
    }
    let written = volume.open(path, volume::Mode::New).and_then(|mut file| {
        let text = volume.identify(path)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()
    });
    written.map_err(|error| files::io_error(path, error))
}

/// Returns whether the birth file is the original one; false for a copy or a missing file.
pub(crate) fn is_original(
    volume: &dyn volume::Volume,
    path: &path::Path,
) -> Result<bool, files::Error> {
    let text = match volume.read(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(error) => return Err(files::io_error(path, error)),
    };
    let identity = volume.identify(path);
    let identity = identity.map_err(|error| files::io_error(path, error))?;
    Ok(text == identity.as_bytes())
}
