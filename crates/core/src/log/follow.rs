//! Follower side of replication: entries and snapshots received from the leader.

use bytes::Bytes;
use bytes::BytesMut;

use crate::log::effect;
use crate::log::entry;
use crate::log::member;
use crate::log::message;
use crate::log::replica;

impl replica::Replica {
    /// Rejects a message from the leader of an earlier term; the reply carries the current term.
    pub(crate) fn reject_leader(&self, message: &message::Message, effects: &mut effect::Effects) {
        let appended = message::Appended {
            accepted: false,
            index: 0,
            round: 0,
        };
        let kind = message::Kind::Appended(appended);
        self.send(message.from.clone(), kind, effects);
    }

    /// Stores the leader's entries if the local log contains the position before them, and replies.
    pub(crate) fn handle_append(
        &mut self,
        leader: &member::Member,
        append: &message::Append,
        effects: &mut effect::Effects,
    ) {
        effects.push(effect::Effect::RestartElectionTimer);
        let appended = match self.find_mismatch(append.previous) {
            Some(index) => message::Appended {
                accepted: false,
                index,
                round: append.round,
            },
            None => message::Appended {
                accepted: true,
                index: self.store_entries(append, effects),
                round: append.round,
            },
        };
        if appended.accepted {
            self.acked = self.acked.max(appended.index);
            self.commit_to(append.commit.min(appended.index), effects);
        }
        self.send(leader.clone(), message::Kind::Appended(appended), effects);
    }

    /// Returns the index that the leader should try next if the local log does not contain
    /// `previous`.
    fn find_mismatch(&self, previous: entry::Position) -> Option<u64> {
        // Committed entries are identical on all members.
        if previous.index <= self.commit {
            return None;
        }
        let last = self.store.last().index;
        if previous.index > last {
            return Some(last);
        }
        let same = self.store.term(previous.index) == Some(previous.term);
        (!same).then_some(self.commit)
    }

    /// Stores the entries that the local log lacks. Returns the last index that matches the
    /// leader's log.
    fn store_entries(&mut self, append: &message::Append, effects: &mut effect::Effects) -> u64 {
        let matched = append
            .entries
            .last()
            .map_or(append.previous.index, |entry| entry.position.index);
        let known = append.entries.iter().take_while(|entry| {
            let index = entry.position.index;
            index <= self.commit || self.store.term(index) == Some(entry.position.term)
        });
        let known = known.count();
        let new = append.entries.get(known..).unwrap_or_default();
        if !new.is_empty() {
            self.store.append(new);
            effects.push(effect::Effect::SaveEntries(new.to_vec()));
        }
        matched
    }

    /// Advances the commit index. Once it has advanced, a replica on a copied disk no longer
    /// reports itself as copied.
    pub(crate) fn commit_to(&mut self, commit: u64, effects: &mut effect::Effects) {
        if commit > self.commit {
            self.commit = commit;
            self.copied = false;
            effects.push(effect::Effect::Commit(commit));
        }
    }

    /// Handles a chunk of the leader's snapshot and replies with the next offset to send.
    pub(crate) fn handle_install(
        &mut self,
        leader: &member::Member,
        install: &message::Install,
        effects: &mut effect::Effects,
    ) {
        effects.push(effect::Effect::RestartElectionTimer);
        let complete = install.position.index <= self.commit || self.add_chunk(install);
        if complete && install.position.index > self.commit {
            self.install(install, effects);
        }
        if complete {
            self.acked = self.acked.max(install.position.index);
            self.incoming_snapshot = None;
        }
        let offset = self.incoming_snapshot.as_ref().map_or(0, count_bytes);
        let installed = message::Installed {
            complete,
            offset,
            position: install.position,
            round: install.round,
        };
        self.send(leader.clone(), message::Kind::Installed(installed), effects);
    }

    /// Appends a chunk to the incoming snapshot. Returns whether the snapshot is complete.
    fn add_chunk(&mut self, install: &message::Install) -> bool {
        let started = self
            .incoming_snapshot
            .as_ref()
            .filter(|incoming| incoming.position == install.position);
        let received = started.map_or(0, count_bytes);
        if install.offset != received {
            if started.is_none() {
                self.incoming_snapshot = None;
            }
            return false;
        }
        let mut data = BytesMut::new();
        data.extend_from_slice(started.map_or(&[], |incoming| &incoming.chunk));
        data.extend_from_slice(&install.chunk);
        let mut incoming = install.clone();
        incoming.chunk = data.freeze();
        let complete = count_bytes(&incoming) >= install.total;
        self.incoming_snapshot = Some(incoming);
        complete
    }

    fn install(&mut self, install: &message::Install, effects: &mut effect::Effects) {
        let data = self
            .incoming_snapshot
            .take()
            .map_or_else(Bytes::new, |incoming| incoming.chunk);
        let snapshot = entry::Snapshot {
            data,
            position: install.position,
            roster: install.roster.clone(),
        };
        let reset = self.store.install(snapshot.clone());
        self.commit = install.position.index;
        effects.push(effect::Effect::SaveSnapshot {
            installed: true,
            reset,
            snapshot,
        });
        effects.push(effect::Effect::Commit(self.commit));
    }

    /// Replaces the entries up to `index` with a snapshot of the state machine.
    pub(crate) fn compact(&mut self, index: u64, data: &Bytes, effects: &mut effect::Effects) {
        if index > self.commit || index <= self.store.snapshot().position.index {
            return;
        }
        let Some(term) = self.store.term(index) else {
            return;
        };
        let snapshot = entry::Snapshot {
            data: data.clone(),
            position: entry::Position { term, index },
            roster: self.store.roster_at(index),
        };
        let keep = self.settings.keep_entries;
        let keep_bytes = self.settings.keep_bytes;
        self.store.compact(snapshot.clone(), keep, keep_bytes);
        effects.push(effect::Effect::SaveSnapshot {
            installed: false,
            reset: false,
            snapshot,
        });
    }
}

fn count_bytes(install: &message::Install) -> u64 {
    u64::try_from(install.chunk.len()).unwrap_or(u64::MAX)
}
