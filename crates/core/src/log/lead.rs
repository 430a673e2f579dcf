//! Leader side of replication: entries, snapshots, commits and heartbeats.

use bytes::Bytes;

use crate::log::effect;
use crate::log::entry;
use crate::log::member;
use crate::log::message;
use crate::log::progress;
use crate::log::replica;

impl replica::Replica {
    /// Initializes the leader state and appends a no-op: an entry of the new term must be committed
    /// to commit the entries of earlier terms.
    pub(crate) fn init_leader(
        &mut self,
        leader_state: &mut progress::LeaderState,
        effects: &mut effect::Effects,
    ) {
        self.sync_progress(leader_state);
        // The members have just voted, so they count as active.
        for progress in leader_state.progress.values_mut() {
            progress.active = true;
        }
        self.append_local(vec![entry::Payload::Noop], effects);
        leader_state.round += 1;
        self.replicate_all(leader_state, effects);
        self.advance_commit(leader_state, effects);
    }

    /// Adds and removes progress entries so that they match the roster.
    pub(crate) fn sync_progress(&self, leader_state: &mut progress::LeaderState) {
        let roster = self.store.roster();
        leader_state
            .progress
            .retain(|member, _progress| roster.contains(member));
        let next = self.store.last().index + 1;
        for member in roster.others(&self.me) {
            let fresh = progress::Progress {
                next,
                ..progress::Progress::default()
            };
            leader_state.progress.entry(member.clone()).or_insert(fresh);
        }
    }

    /// Appends entries of the current term to the local log. Returns the last position.
    pub(crate) fn append_local(
        &mut self,
        payloads: Vec<entry::Payload>,
        effects: &mut effect::Effects,
    ) -> entry::Position {
        let term = self.hard.term;
        let first = self.store.last().index + 1;
        let entries: Vec<entry::Entry> = (first..)
            .zip(payloads)
            .map(|(index, payload)| entry::Entry {
                payload,
                position: entry::Position { term, index },
            })
            .collect();
        self.store.append(&entries);
        effects.push(effect::Effect::SaveEntries(entries));
        self.acked = self.store.last().index;
        self.store.last()
    }

    /// Appends commands to the local log and replicates them.
    pub(crate) fn propose(
        &mut self,
        leader_state: &mut progress::LeaderState,
        proposals: &[effect::Proposal],
        effects: &mut effect::Effects,
    ) {
        let term = self.hard.term;
        let first = self.store.last().index + 1;
        let payloads = proposals
            .iter()
            .map(|proposal| entry::Payload::Command(proposal.command.clone()));
        self.append_local(payloads.collect(), effects);
        for (index, proposal) in (first..).zip(proposals) {
            effects.push(effect::Effect::Proposed {
                token: proposal.token,
                position: entry::Position { term, index },
            });
        }
        self.replicate_all(leader_state, effects);
        self.advance_commit(leader_state, effects);
    }

    /// Starts a heartbeat round.
    pub(crate) fn start_heartbeat_round(
        &mut self,
        leader_state: &mut progress::LeaderState,
        effects: &mut effect::Effects,
    ) {
        leader_state.round += 1;
        self.confirm_round(leader_state, effects);
        self.change_roster(leader_state, effects);
        self.replicate_all(leader_state, effects);
        self.advance_commit(leader_state, effects);
    }

    /// Sends every member the next entries or snapshot chunk it needs, or a heartbeat.
    pub(crate) fn replicate_all(
        &self,
        leader_state: &mut progress::LeaderState,
        effects: &mut effect::Effects,
    ) {
        let round = leader_state.round;
        for (member, progress) in &mut leader_state.progress {
            self.replicate(round, member, progress, effects);
        }
    }

    /// Sends one member the next entries or snapshot chunk it needs, or a heartbeat.
    pub(crate) fn replicate(
        &self,
        round: u64,
        member: &member::Member,
        progress: &mut progress::Progress,
        effects: &mut effect::Effects,
    ) {
        if progress.snapshot_transfer.is_some() || progress.next <= self.store.base().index {
            self.send_chunk(round, member, progress, effects);
            return;
        }
        let index = progress.next - 1;
        let term = self.store.term(index).unwrap_or_default();
        let settings = &self.settings;
        let entries = self
            .store
            .slice(progress.next, settings.batch_entries, settings.chunk_bytes);
        progress.next += u64::try_from(entries.len()).unwrap_or_default();
        let append = message::Append {
            commit: self.commit,
            entries,
            previous: entry::Position { term, index },
            round,
        };
        self.send(member.clone(), message::Kind::Append(append), effects);
    }

    fn send_chunk(
        &self,
        round: u64,
        member: &member::Member,
        progress: &mut progress::Progress,
        effects: &mut effect::Effects,
    ) {
        let snapshot = self.store.snapshot();
        let started = progress
            .snapshot_transfer
            .filter(|transfer| transfer.position == snapshot.position);
        let transfer = started.unwrap_or(progress::SnapshotTransfer {
            offset: 0,
            position: snapshot.position,
        });
        progress.snapshot_transfer = Some(transfer);
        let install = message::Install {
            chunk: cut_chunk(&snapshot.data, transfer.offset, self.settings.chunk_bytes),
            offset: transfer.offset,
            position: snapshot.position,
            roster: snapshot.roster.clone(),
            round,
            total: u64::try_from(snapshot.data.len()).unwrap_or(u64::MAX),
        };
        self.send(member.clone(), message::Kind::Install(install), effects);
    }

    /// Handles a member's reply to entries or a heartbeat.
    pub(crate) fn handle_appended(
        &mut self,
        leader_state: &mut progress::LeaderState,
        message: &message::Message,
        appended: message::Appended,
        effects: &mut effect::Effects,
    ) {
        let last = self.store.last().index;
        let round = leader_state.round;
        let Some(progress) = self.record_answer(leader_state, message, appended.round) else {
            return;
        };
        if appended.accepted {
            progress.matched = progress.matched.max(appended.index);
            progress.next = progress.next.max(progress.matched + 1);
            if progress.matched >= self.store.base().index {
                progress.snapshot_transfer = None;
            }
        } else {
            progress.next = (appended.index + 1).max(progress.matched + 1);
        }
        if progress.next <= last && progress.snapshot_transfer.is_none() {
            self.replicate(round, &message.from, progress, effects);
        }
        self.confirm_round(leader_state, effects);
        self.advance_commit(leader_state, effects);
    }

    /// Handles a member's reply to a snapshot chunk.
    pub(crate) fn handle_installed(
        &mut self,
        leader_state: &mut progress::LeaderState,
        message: &message::Message,
        installed: message::Installed,
        effects: &mut effect::Effects,
    ) {
        let round = leader_state.round;
        let Some(progress) = self.record_answer(leader_state, message, installed.round) else {
            return;
        };
        let current = progress
            .snapshot_transfer
            .is_some_and(|transfer| transfer.position == installed.position);
        if installed.complete {
            progress.matched = progress.matched.max(installed.position.index);
            progress.next = progress.next.max(progress.matched + 1);
            if current {
                progress.snapshot_transfer = None;
            }
            self.replicate(round, &message.from, progress, effects);
        } else if current {
            progress.snapshot_transfer = Some(progress::SnapshotTransfer {
                offset: installed.offset,
                position: installed.position,
            });
            self.replicate(round, &message.from, progress, effects);
        }
        self.confirm_round(leader_state, effects);
        self.advance_commit(leader_state, effects);
    }

    /// Marks the sender as active and returns its progress, or `None` if the message is from
    /// another term or the sender is not a member.
    fn record_answer<'a>(
        &self,
        leader_state: &'a mut progress::LeaderState,
        message: &message::Message,
        round: u64,
    ) -> Option<&'a mut progress::Progress> {
        if message.term != self.hard.term {
            return None;
        }
        let progress = leader_state.progress.get_mut(&message.from)?;
        progress.active = true;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    /// Emits [`effect::Effect::ConfirmRound`] when a quorum has answered a later heartbeat round.
    fn confirm_round(
        &self,
        leader_state: &mut progress::LeaderState,
        effects: &mut effect::Effects,
    ) {
        let own = leader_state.round;
        let confirmed = self.quorum_value(leader_state, own, |progress| progress.round);
        if confirmed > leader_state.confirmed {
            leader_state.confirmed = confirmed;
            effects.push(effect::Effect::ConfirmRound(confirmed));
        }
    }

    /// Advances the commit index to the last entry stored by a quorum, if that entry is of the
    /// current term.
    pub(crate) fn advance_commit(
        &mut self,
        leader_state: &mut progress::LeaderState,
        effects: &mut effect::Effects,
    ) {
        let own = self.store.last().index;
        let commit = self.quorum_value(leader_state, own, |progress| progress.matched);
        if commit <= self.commit || self.store.term(commit) != Some(self.hard.term) {
            return;
        }
        self.commit_to(commit, effects);
        self.replicate_all(leader_state, effects);
    }

    /// Returns the highest value that a quorum of voters has reached.
    fn quorum_value(
        &self,
        leader_state: &progress::LeaderState,
        own: u64,
        read: fn(&progress::Progress) -> u64,
    ) -> u64 {
        let roster = self.store.roster();
        let mut values: Vec<u64> = roster
            .voters
            .iter()
            .map(|voter| match leader_state.progress.get(voter) {
                Some(progress) => read(progress),
                None if *voter == self.me => own,
                None => 0,
            })
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(roster.quorum() - 1).copied().unwrap_or_default()
    }

    /// Returns whether a quorum has answered since the last quorum check, and starts the next
    /// period.
    pub(crate) fn check_quorum(&self, leader_state: &mut progress::LeaderState) -> bool {
        let active = self.quorum_value(leader_state, 1, |progress| u64::from(progress.active));
        for progress in leader_state.progress.values_mut() {
            progress.missed_checks = self.count_missed_checks(*progress);
            progress.active = false;
        }
        active > 0
    }

    /// Returns the number of consecutive quorum checks without an answer, capped at the number
    /// after which a voter is removed.
    fn count_missed_checks(&self, progress: progress::Progress) -> u32 {
        match self.settings.open_membership {
            Some(open) if !progress.active => {
                (progress.missed_checks + 1).min(open.missed_check_limit)
            }
            _ => 0,
        }
    }

    /// Transfers leadership to the active voter with the most complete log.
    pub(crate) fn transfer_leadership(
        &self,
        leader_state: &progress::LeaderState,
        effects: &mut effect::Effects,
    ) {
        let voters = &self.store.roster().voters;
        let ready = leader_state
            .progress
            .iter()
            .filter(|(member, progress)| voters.contains(*member) && progress.active);
        let best = ready.max_by_key(|(_member, progress)| progress.matched);
        if let Some((member, _progress)) = best {
            self.send(member.clone(), message::Kind::TakeOver, effects);
        }
    }
}

fn cut_chunk(data: &Bytes, offset: u64, limit: usize) -> Bytes {
    let start = usize::try_from(offset).map_or(data.len(), |offset| offset.min(data.len()));
    let end = start.saturating_add(limit).min(data.len());
    data.slice(start..end)
}
