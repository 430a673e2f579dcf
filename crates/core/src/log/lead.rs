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
    pub(crate) fn begin_lead(
        &mut self,
        leading: &mut progress::Leading,
        effects: &mut effect::Effects,
    ) {
        self.fit_progress(leading);
        // The members have just voted, so they count as active.
        for progress in leading.progress.values_mut() {
            progress.active = true;
        }
        self.order(vec![entry::Payload::Noop], effects);
        leading.round += 1;
        self.replicate_all(leading, effects);
        self.advance_commit(leading, effects);
    }

    /// Adds and removes progress entries so that they match the roster.
    pub(crate) fn fit_progress(&self, leading: &mut progress::Leading) {
        let roster = self.store.roster();
        leading
            .progress
            .retain(|member, _progress| roster.contains(member));
        let next = self.store.last().index + 1;
        for member in roster.others(&self.me) {
            let fresh = progress::Progress {
                next,
                ..progress::Progress::default()
            };
            leading.progress.entry(member.clone()).or_insert(fresh);
        }
    }

    /// Appends entries of the current term to the local log. Returns the last position.
    pub(crate) fn order(
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
        effects.push(effect::Effect::Store(entries));
        self.acked = self.store.last().index;
        self.store.last()
    }

    /// Appends commands to the local log and replicates them.
    pub(crate) fn propose(
        &mut self,
        leading: &mut progress::Leading,
        proposals: &[effect::Proposal],
        effects: &mut effect::Effects,
    ) {
        let term = self.hard.term;
        let first = self.store.last().index + 1;
        let payloads = proposals
            .iter()
            .map(|proposal| entry::Payload::Command(proposal.command.clone()));
        self.order(payloads.collect(), effects);
        for (index, proposal) in (first..).zip(proposals) {
            effects.push(effect::Effect::Proposed {
                token: proposal.token,
                position: entry::Position { term, index },
            });
        }
        self.replicate_all(leading, effects);
        self.advance_commit(leading, effects);
    }

    /// Starts a heartbeat round.
    pub(crate) fn beat(&mut self, leading: &mut progress::Leading, effects: &mut effect::Effects) {
        leading.round += 1;
        self.confirm_round(leading, effects);
        self.change_roster(leading, effects);
        self.replicate_all(leading, effects);
        self.advance_commit(leading, effects);
    }

    /// Sends every member the next entries or snapshot chunk it needs, or a heartbeat.
    pub(crate) fn replicate_all(
        &self,
        leading: &mut progress::Leading,
        effects: &mut effect::Effects,
    ) {
        let round = leading.round;
        for (member, progress) in &mut leading.progress {
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
        if progress.install.is_some() || progress.next <= self.store.base().index {
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
            .install
            .filter(|transfer| transfer.position == snapshot.position);
        let transfer = started.unwrap_or(progress::Transfer {
            offset: 0,
            position: snapshot.position,
        });
        progress.install = Some(transfer);
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
    pub(crate) fn take_appended(
        &mut self,
        leading: &mut progress::Leading,
        message: &message::Message,
        appended: message::Appended,
        effects: &mut effect::Effects,
    ) {
        let last = self.store.last().index;
        let round = leading.round;
        let Some(progress) = self.record_answer(leading, message, appended.round) else {
            return;
        };
        if appended.accepted {
            progress.matched = progress.matched.max(appended.index);
            progress.next = progress.next.max(progress.matched + 1);
            if progress.matched >= self.store.base().index {
                progress.install = None;
            }
        } else {
            progress.next = (appended.index + 1).max(progress.matched + 1);
        }
        if progress.next <= last && progress.install.is_none() {
            self.replicate(round, &message.from, progress, effects);
        }
        self.confirm_round(leading, effects);
        self.advance_commit(leading, effects);
    }

    /// Handles a member's reply to a snapshot chunk.
    pub(crate) fn take_installed(
        &mut self,
        leading: &mut progress::Leading,
        message: &message::Message,
        installed: message::Installed,
        effects: &mut effect::Effects,
    ) {
        let round = leading.round;
        let Some(progress) = self.record_answer(leading, message, installed.round) else {
            return;
        };
        let current = progress
            .install
            .is_some_and(|transfer| transfer.position == installed.position);
        if installed.complete {
            progress.matched = progress.matched.max(installed.position.index);
            progress.next = progress.next.max(progress.matched + 1);
            if current {
                progress.install = None;
            }
            self.replicate(round, &message.from, progress, effects);
        } else if current {
            progress.install = Some(progress::Transfer {
                offset: installed.offset,
                position: installed.position,
            });
            self.replicate(round, &message.from, progress, effects);
        }
        self.confirm_round(leading, effects);
        self.advance_commit(leading, effects);
    }

    /// Marks the sender as active and returns its progress, or `None` if the message is from
    /// another term or the sender is not a member.
    fn record_answer<'a>(
        &self,
        leading: &'a mut progress::Leading,
        message: &message::Message,
        round: u64,
    ) -> Option<&'a mut progress::Progress> {
        if message.term != self.hard.term {
            return None;
        }
        let progress = leading.progress.get_mut(&message.from)?;
        progress.active = true;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    /// Emits [`effect::Effect::Confirm`] when a quorum has answered a later heartbeat round.
    fn confirm_round(&self, leading: &mut progress::Leading, effects: &mut effect::Effects) {
        let own = leading.round;
        let confirmed = self.quorum_value(leading, own, |progress| progress.round);
        if confirmed > leading.confirmed {
            leading.confirmed = confirmed;
            effects.push(effect::Effect::Confirm(confirmed));
        }
    }

    /// Advances the commit index to the last entry stored by a quorum, if that entry is of the
    /// current term.
    pub(crate) fn advance_commit(
        &mut self,
        leading: &mut progress::Leading,
        effects: &mut effect::Effects,
    ) {
        let own = self.store.last().index;
        let commit = self.quorum_value(leading, own, |progress| progress.matched);
        if commit <= self.commit || self.store.term(commit) != Some(self.hard.term) {
            return;
        }
        self.raise_commit(commit, effects);
        self.replicate_all(leading, effects);
    }

    /// Returns the highest value that a quorum of voters has reached.
    fn quorum_value(
        &self,
        leading: &progress::Leading,
        own: u64,
        read: fn(&progress::Progress) -> u64,
    ) -> u64 {
        let roster = self.store.roster();
        let mut values: Vec<u64> = roster
            .voters
            .iter()
            .map(|voter| match leading.progress.get(voter) {
                Some(progress) => read(progress),
                None if *voter == self.me => own,
                None => 0,
            })
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(roster.quorum() - 1).copied().unwrap_or_default()
    }

    /// Returns whether a quorum has answered since the last review, and starts the next review
    /// period.
    pub(crate) fn review(&self, leading: &mut progress::Leading) -> bool {
        let active = self.quorum_value(leading, 1, |progress| u64::from(progress.active));
        for progress in leading.progress.values_mut() {
            progress.silent = self.count_missed_checks(*progress);
            progress.active = false;
        }
        active > 0
    }

    /// Returns the number of consecutive reviews without an answer, capped at the number after
    /// which a voter is removed.
    fn count_missed_checks(&self, progress: progress::Progress) -> u32 {
        match self.settings.open {
            Some(open) if !progress.active => (progress.silent + 1).min(open.silent_reviews),
            _ => 0,
        }
    }

    /// Transfers leadership to the active voter with the most complete log.
    pub(crate) fn hand_over(&self, leading: &progress::Leading, effects: &mut effect::Effects) {
        let voters = &self.store.roster().voters;
        let ready = leading
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
