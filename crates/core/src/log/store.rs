//! In-memory copy of the entries and the snapshot.

use crate::log::entry;
use crate::log::member;

/// The retained entries and the latest snapshot.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Store {
    /// Position of the last entry dropped; the first retained entry follows it.
    base: entry::Position,
    entries: Vec<entry::Entry>,
    roster: member::Roster,
    roster_index: u64,
    snapshot: entry::Snapshot,
}

impl Store {
    /// Creates a store from the snapshot and the entries after it, as loaded from disk.
    #[must_use]
    pub fn new(snapshot: entry::Snapshot, entries: Vec<entry::Entry>) -> Store {
        let mut store = Store {
            base: snapshot.position,
            entries,
            roster: member::Roster::default(),
            roster_index: 0,
            snapshot,
        };
        store.reload_roster();
        store
    }

    /// Returns the position of the last entry.
    #[must_use]
    pub fn last(&self) -> entry::Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the latest snapshot; its position is 0 if there is none.
    #[must_use]
    pub fn snapshot(&self) -> &entry::Snapshot {
        &self.snapshot
    }

    /// Returns the membership as of the last entry, committed or not.
    #[must_use]
    pub fn roster(&self) -> &member::Roster {
        &self.roster
    }

    /// Returns the index of the entry that set the current membership.
    pub(crate) fn roster_index(&self) -> u64 {
        self.roster_index
    }

    /// Returns the position of the last entry dropped.
    pub(crate) fn base(&self) -> entry::Position {
        self.base
    }

    /// Returns the entry at an index, or `None` if it was dropped or does not exist yet.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&entry::Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at an index, or `None` if it is unknown or the entry does not exist yet.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// Returns consecutive entries starting at `index`, up to `limit` entries and `limit_bytes` of
    /// commands. The first entry is returned even if it exceeds `limit_bytes`.
    pub(crate) fn slice(&self, index: u64, limit: usize, limit_bytes: usize) -> Vec<entry::Entry> {
        let offset = index.saturating_sub(self.base.index + 1);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = self.entries.iter().skip(offset).take(limit);
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in rest {
            bytes += entry.count_bytes();
            if bytes > limit_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Appends entries, replacing all existing ones from the index of the first one on.
    pub(crate) fn append(&mut self, entries: &[entry::Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let keep = first.position.index.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        if self.roster_index >= first.position.index {
            self.reload_roster();
        }
        for entry in entries {
            self.update_roster(entry);
        }
        self.entries.extend_from_slice(entries);
    }

    /// Stores a snapshot and drops the entries it covers, except for the last `keep` entries with
    /// at most `keep_bytes` of commands.
    pub(crate) fn compact(&mut self, snapshot: entry::Snapshot, keep: u64, keep_bytes: usize) {
        let last = snapshot.position.index;
        self.snapshot = snapshot;
        let mut base = last;
        let mut bytes = 0;
        while base > self.base.index && last - base < keep {
            bytes += self.entry(base).map_or(0, entry::Entry::count_bytes);
            if bytes > keep_bytes {
                break;
            }
            base -= 1;
        }
        let Some(term) = self.term(base) else {
            return;
        };
        let dropped = base - self.base.index;
        self.entries
            .drain(..usize::try_from(dropped).unwrap_or(usize::MAX));
        self.base = entry::Position { term, index: base };
    }

    /// Installs the leader's snapshot. Returns whether the entries after it were discarded because
    /// they do not follow from it.
    pub(crate) fn install(&mut self, snapshot: entry::Snapshot) -> bool {
        let position = snapshot.position;
        let reset = self.term(position.index) != Some(position.term);
        let rest = if reset {
            Vec::new()
        } else {
            self.slice(position.index + 1, usize::MAX, usize::MAX)
        };
        *self = Store::new(snapshot, rest);
        reset
    }

    /// Returns the membership as of an index.
    pub(crate) fn roster_at(&self, index: u64) -> member::Roster {
        let entries = self.entries.iter().rev();
        let mut older = entries.filter(|entry| entry.position.index <= index);
        older
            .find_map(|entry| match &entry.payload {
                entry::Payload::Roster(roster) => Some(roster.clone()),
                entry::Payload::Command(_) | entry::Payload::Noop => None,
            })
            .unwrap_or_else(|| self.snapshot.roster.clone())
    }

    fn update_roster(&mut self, entry: &entry::Entry) {
        if let entry::Payload::Roster(roster) = &entry.payload {
            self.roster = roster.clone();
            self.roster_index = entry.position.index;
        }
    }

    fn reload_roster(&mut self) {
        self.roster = self.snapshot.roster.clone();
        self.roster_index = self.snapshot.position.index;
        let entries = std::mem::take(&mut self.entries);
        for entry in &entries {
            if entry.position.index > self.snapshot.position.index {
                self.update_roster(entry);
            }
        }
        self.entries = entries;
    }
}
