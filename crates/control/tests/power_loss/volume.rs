//! A volume in memory with a page cache that a loss of power takes.

use std::collections;
use std::fs;
use std::io;
use std::path;
use std::sync;

use bytes::Bytes;
use peargap_control::volume;
use rand::rngs;
use rand::RngExt as _;
use rand::SeedableRng as _;

type Id = usize;

/// A change of a file's content that is not synced.
#[derive(Clone, Debug)]
enum Edit {
    Truncate(usize),
    Write { offset: usize, bytes: Vec<u8> },
}

#[derive(Clone, Debug, Default)]
struct Content {
    durable: Vec<u8>,
    edits: Vec<Edit>,
    shown: Vec<u8>,
}

/// A change of names that is not synced.
#[derive(Clone, Debug)]
struct Rename {
    /// Name that the file had before, if any.
    from: Option<path::PathBuf>,
    id: Id,
    /// Name that it has now, if any.
    to: Option<path::PathBuf>,
}

type Names = collections::BTreeMap<path::PathBuf, Id>;

impl Rename {
    fn apply(&self, names: &mut Names) {
        if let Some(from) = &self.from {
            names.remove(from);
        }
        if let Some(to) = &self.to {
            names.insert(to.clone(), self.id);
        }
    }

    fn is_in(&self, folder: &path::Path) -> bool {
        let path = self.to.as_ref().or(self.from.as_ref());
        path.and_then(|path| path.parent()) == Some(folder)
    }
}

/// What a full disk refuses, besides writes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Full {
    pub(crate) new_files: bool,
    pub(crate) syncs: bool,
    pub(crate) writes: bool,
}

#[derive(Debug)]
struct State {
    contents: Vec<Content>,
    durable_names: Names,
    full: Full,
    /// Operations until the disk is full.
    full_after: u64,
    names: Names,
    /// Operations until the process is killed.
    operations: Option<u64>,
    random: rngs::StdRng,
    renames: Vec<Rename>,
}

/// A simulated volume; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Simulated {
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug)]
struct Open {
    id: Id,
    state: sync::Arc<sync::Mutex<State>>,
}

impl Simulated {
    pub(crate) fn new(seed: u64) -> Simulated {
        let state = State {
            contents: Vec::new(),
            durable_names: collections::BTreeMap::new(),
            full: Full::default(),
            full_after: 0,
            names: collections::BTreeMap::new(),
            operations: None,
            random: rngs::StdRng::seed_from_u64(seed),
            renames: Vec::new(),
        };
        Simulated {
            state: sync::Arc::new(sync::Mutex::new(state)),
        }
    }

    /// Kills the process before the operation after so many more, or not at all.
    pub(crate) fn kill_after(&self, operations: Option<u64>) {
        self.lock_state().operations = operations;
    }

    pub(crate) fn is_killed(&self) -> bool {
        self.lock_state().operations == Some(0)
    }

    /// Fills the disk after so many operations.
    pub(crate) fn fill_after(&self, operations: u64, full: Full) {
        let mut state = self.lock_state();
        state.full = full;
        state.full_after = operations;
    }

    /// Loses power: each change that is not synced is kept, lost or torn.
    pub(crate) fn lose_power(&self) {
        self.lock_state().lose_power();
    }

    fn lock_state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("a state")
    }
}

impl State {
    fn count_operation(&mut self) -> io::Result<()> {
        self.full_after = self.full_after.saturating_sub(1);
        match &mut self.operations {
            Some(0) => Err(io::Error::other("killed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn check_room(&self, refused: bool) -> io::Result<()> {
        match refused && self.full_after == 0 {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }

    fn find(&self, path: &path::Path) -> io::Result<Id> {
        let id = self.names.get(path);
        id.copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, rename: Rename) {
        rename.apply(&mut self.names);
        self.renames.push(rename);
    }

    fn write(&mut self, id: Id, bytes: &[u8]) {
        let content = &mut self.contents[id];
        content.edits.push(Edit::Write {
            offset: content.shown.len(),
            bytes: bytes.to_owned(),
        });
        content.shown.extend_from_slice(bytes);
    }

    fn lose_power(&mut self) {
        let loses_all = self.random.random_bool(0.3);
        for rename in core::mem::take(&mut self.renames) {
            if loses_all || self.random.random_bool(0.5) {
                continue;
            }
            rename.apply(&mut self.durable_names);
        }
        self.names = self.durable_names.clone();
        for content in &mut self.contents {
            for edit in core::mem::take(&mut content.edits) {
                let keeps = !loses_all && self.random.random_bool(0.5);
                let is_torn = self.random.random_bool(0.5);
                match edit {
                    Edit::Truncate(bytes) if keeps => content.durable.truncate(bytes),
                    Edit::Write { offset, mut bytes } if keeps => {
                        if is_torn {
                            bytes.truncate(self.random.random_range(0..=bytes.len()));
                        }
                        let end = content.durable.len().max(offset + bytes.len());
                        content.durable.resize(end, 0);
                        content.durable[offset..offset + bytes.len()].copy_from_slice(&bytes);
                    }
                    Edit::Truncate(_) | Edit::Write { .. } => {}
                }
            }
            content.shown = content.durable.clone();
        }
    }
}

impl volume::File for Open {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state.lock().expect("a state");
        state.count_operation()?;
        if state.full.writes && state.full_after == 0 {
            let part = state.random.random_range(0..=bytes.len());
            state.write(self.id, &bytes[..part]);
        }
        state.check_room(state.full.writes)?;
        state.write(self.id, bytes);
        Ok(())
    }

    fn set_len(&self, bytes: u64) -> io::Result<()> {
        let mut state = self.state.lock().expect("a state");
        state.count_operation()?;
        let content = &mut state.contents[self.id];
        let bytes = usize::try_from(bytes).expect("a small file");
        content.shown.truncate(bytes);
        content.edits.push(Edit::Truncate(bytes));
        Ok(())
    }

    fn sync_all(&self) -> io::Result<()> {
        self.sync_data()
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state.lock().expect("a state");
        state.count_operation()?;
        state.check_room(state.full.syncs)?;
        let content = &mut state.contents[self.id];
        content.durable = content.shown.clone();
        content.edits.clear();
        Ok(())
    }
}

impl volume::Volume for Simulated {
    fn create_folder(&self, _path: &path::Path) -> io::Result<()> {
        self.lock_state().count_operation()
    }

    fn identify(&self, path: &path::Path) -> io::Result<String> {
        let state = self.lock_state();
        state.find(path).map(|id| id.to_string())
    }

    fn list(&self, folder: &path::Path) -> io::Result<Vec<volume::Item>> {
        let state = self.lock_state();
        let files = state.names.iter().filter_map(|(path, id)| {
            let name = path.strip_prefix(folder).ok()?;
            (name.components().count() == 1).then(|| volume::Item {
                is_folder: false,
                name: name.to_string_lossy().into_owned(),
                bytes: u64::try_from(state.contents[*id].shown.len()).expect("a size"),
            })
        });
        Ok(files.collect())
    }

    fn lock(&self, _path: &path::Path) -> io::Result<Option<fs::File>> {
        tempfile::tempfile().map(Some)
    }

    fn open(&self, path: &path::Path, mode: volume::Mode) -> io::Result<Box<dyn volume::File>> {
        let mut state = self.lock_state();
        state.count_operation()?;
        let id = match state.find(path) {
            Ok(_) if mode == volume::Mode::New => return Err(io::ErrorKind::AlreadyExists.into()),
            Ok(id) => id,
            Err(_not_found) => {
                state.check_room(state.full.new_files)?;
                state.contents.push(Content::default());
                let id = state.contents.len() - 1;
                state.change_names(Rename {
                    from: None,
                    id,
                    to: Some(path.to_owned()),
                });
                id
            }
        };
        if mode == volume::Mode::Replace {
            state.contents[id].shown.clear();
            state.contents[id].edits.push(Edit::Truncate(0));
        }
        Ok(Box::new(Open {
            id,
            state: self.state.clone(),
        }))
    }

    fn read(&self, path: &path::Path) -> io::Result<Bytes> {
        let state = self.lock_state();
        let id = state.find(path)?;
        Ok(Bytes::from(state.contents[id].shown.clone()))
    }

    fn remove(&self, path: &path::Path) -> io::Result<()> {
        let mut state = self.lock_state();
        state.count_operation()?;
        let id = state.find(path)?;
        state.change_names(Rename {
            from: Some(path.to_owned()),
            id,
            to: None,
        });
        Ok(())
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        let mut state = self.lock_state();
        state.count_operation()?;
        let id = state.find(from)?;
        state.check_room(state.full.new_files)?;
        state.change_names(Rename {
            from: Some(from.to_owned()),
            id,
            to: Some(to.to_owned()),
        });
        Ok(())
    }

    fn sync_folder(&self, folder: &path::Path) -> io::Result<()> {
        let mut state = self.lock_state();
        state.count_operation()?;
        state.check_room(state.full.syncs)?;
        let renames = core::mem::take(&mut state.renames);
        let (synced, others): (Vec<Rename>, Vec<Rename>) =
            renames.into_iter().partition(|rename| rename.is_in(folder));
        state.renames = others;
        for rename in synced {
            rename.apply(&mut state.durable_names);
        }
        Ok(())
    }
}
