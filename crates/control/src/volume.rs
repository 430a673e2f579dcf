//! File operations of the data folder, the edge of this process to its disk.

use core::fmt;
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt as _;
use std::path;
use std::sync;
use std::time;

use bytes::Bytes;

/// A volume that data folders are on.
pub type Shared = sync::Arc<dyn Volume>;

/// An open file.
pub trait File: fmt::Debug + Send {
    /// Writes after the current position, which is the end of a file that was opened to append.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file.
    fn set_len(&self, bytes: u64) -> io::Result<()>;

    /// Makes the file durable.
    fn sync_all(&self) -> io::Result<()>;

    /// Makes the content and the size durable.
    fn sync_data(&self) -> io::Result<()>;
}

/// How a file is opened to be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// After its end; the file is created if it does not exist.
    Append,
    /// As a new file; fails if it exists.
    New,
    /// From the start, without its former content.
    Replace,
}

/// An item of a folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Whether it is a folder.
    pub is_folder: bool,
    /// Name in the folder.
    pub name: String,
    /// Size of a file.
    pub bytes: u64,
}

/// Operations on files and folders. A name that was created, renamed or removed is durable once its
/// folder is synced.
pub trait Volume: fmt::Debug + Send + Sync {
    /// Creates a folder and those that it is in.
    fn create_folder(&self, path: &path::Path) -> io::Result<()>;

    /// Identifies a file; a copy of it has another identity.
    fn identify(&self, path: &path::Path) -> io::Result<String>;

    /// Returns the items of a folder.
    fn list(&self, folder: &path::Path) -> io::Result<Vec<Item>>;

    /// Locks a file until the returned one is closed; `None` if it is locked already.
    fn lock(&self, path: &path::Path) -> io::Result<Option<fs::File>>;

    /// Opens a file to write to it.
    fn open(&self, path: &path::Path, mode: Mode) -> io::Result<Box<dyn File>>;

    /// Returns the content of a file.
    fn read(&self, path: &path::Path) -> io::Result<Bytes>;

    /// Removes a file.
    fn remove(&self, path: &path::Path) -> io::Result<()>;

    /// Renames a file, which replaces one of the new name.
    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()>;

    /// Makes the names in a folder durable.
    fn sync_folder(&self, folder: &path::Path) -> io::Result<()>;
}

/// The file system of this machine.
#[derive(Clone, Copy, Debug)]
pub struct Local;

impl File for fs::File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        io::Write::write_all(self, bytes)
    }

    fn set_len(&self, bytes: u64) -> io::Result<()> {
        fs::File::set_len(self, bytes)
    }

    fn sync_all(&self) -> io::Result<()> {
        fs::File::sync_all(self)
    }

    fn sync_data(&self) -> io::Result<()> {
        fs::File::sync_data(self)
    }
}

impl Volume for Local {
    fn create_folder(&self, path: &path::Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn identify(&self, path: &path::Path) -> io::Result<String> {
        let metadata = fs::metadata(path)?;
        // Some file systems do not record the creation time.
        let created = metadata.created().ok();
        let created = created.and_then(|created| created.duration_since(time::UNIX_EPOCH).ok());
        let nanos = created.map_or(0, |created| created.as_nanos());
        Ok(format!("inode={} created={nanos}\n", metadata.ino()))
    }

    fn list(&self, folder: &path::Path) -> io::Result<Vec<Item>> {
        let mut found = Vec::new();
        for item in fs::read_dir(folder)? {
            let item = item?;
            // A file may be removed meanwhile.
            let metadata = item.metadata().ok();
            found.push(Item {
                is_folder: metadata.as_ref().is_some_and(fs::Metadata::is_dir),
                name: item.file_name().to_string_lossy().into_owned(),
                bytes: metadata.map_or(0, |metadata| metadata.len()),
            });
        }
        Ok(found)
    }

    fn lock(&self, path: &path::Path) -> io::Result<Option<fs::File>> {
        let file = fs::File::create(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(fs::TryLockError::WouldBlock) => Ok(None),
            Err(fs::TryLockError::Error(error)) => Err(error),
        }
    }

    fn open(&self, path: &path::Path, mode: Mode) -> io::Result<Box<dyn File>> {
        let mut options = fs::OpenOptions::new();
        let file = match mode {
            Mode::Append => options.append(true).create(true),
            Mode::New => options.append(true).create_new(true),
            Mode::Replace => options.write(true).create(true).truncate(true),
        };
        Ok(Box::new(file.open(path)?))
    }

    fn read(&self, path: &path::Path) -> io::Result<Bytes> {
        fs::read(path).map(Bytes::from)
    }

    fn remove(&self, path: &path::Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_folder(&self, folder: &path::Path) -> io::Result<()> {
        fs::File::open(folder)?.sync_all()
    }
}
