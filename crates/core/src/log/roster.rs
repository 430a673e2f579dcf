//! Membership changes, one member at a time.

use bytes::Bytes;

use crate::log::effect;
use crate::log::entry;
use crate::log::member;
use crate::log::progress;
use crate::log::replica;

/// A learner becomes a voter only if the last heartbeat round it answered is at most this many
/// behind the latest: a voter that is down raises the quorum without contributing to it.
const RECENT_ROUNDS: u64 = 2;

impl replica::Replica {
    /// Replicates to a host that is a member already, or adds it as a learner if the membership may
    /// change.
    pub(crate) fn admit(
        &mut self,
        leader_state: &mut progress::LeaderState,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        let round = leader_state.round;
        if let Some(progress) = leader_state.progress.get_mut(from) {
            self.replicate(round, from, progress, effects);
            return;
        }
        if !self.can_change_roster()
            || !self.can_join(from)
            || self.is_voter_active(leader_state, &from.name)
        {
            return;
        }
        let mut roster = self.store.roster().clone();
        // A host has one disk, so a new learner replaces an earlier one with the same host name.
        roster.learners.retain(|learner| learner.name != from.name);
        roster.learners.insert(from.clone());
        self.propose_roster(leader_state, roster, effects);
    }

    /// Performs the next membership change that is due: removes a voter whose disk or host is gone,
    /// or promotes a learner to voter.
    pub(crate) fn change_roster(
        &mut self,
        leader_state: &mut progress::LeaderState,
        effects: &mut effect::Effects,
    ) {
        if !self.can_change_roster() {
            return;
        }
        let Some(roster) = self.plan_change(leader_state) else {
            return;
        };
        self.propose_roster(leader_state, roster, effects);
    }

    /// Returns the membership after the next change, or `None` if no change is due.
    fn plan_change(&self, leader_state: &progress::LeaderState) -> Option<member::Roster> {
        let mut roster = self.store.roster().clone();
        let Some(learner) = self.find_promotable_learner(leader_state) else {
            let limit = self.settings.open_membership?.missed_check_limit;
            roster
                .voters
                .remove(&self.find_silent_voter(leader_state, limit)?);
            return Some(roster);
        };
        match roster.find_voter(&learner.name).cloned() {
            // The voter's former disk still answers, so two processes use the same host name.
            Some(_) if self.is_voter_active(leader_state, &learner.name) => return None,
            Some(lost) => {
                roster.voters.remove(&lost);
            }
            None => match self.find_silent_voter(leader_state, 1) {
                // The next change promotes the learner in its place.
                Some(silent) => {
                    roster.voters.remove(&silent);
                }
                None => {
                    roster.learners.remove(&learner);
                    roster.voters.insert(learner);
                }
            },
        }
        Some(roster)
    }

    /// Returns a voter that has not answered for `checks` quorum checks, if enough voters would
    /// remain without it.
    fn find_silent_voter(
        &self,
        leader_state: &progress::LeaderState,
        checks: u32,
    ) -> Option<member::Member> {
        let voters = &self.store.roster().voters;
        if voters.len() <= self.settings.open_membership?.min_voters {
            return None;
        }
        let silent = voters.iter().find(|voter| {
            let progress = leader_state.progress.get(*voter);
            progress.is_some_and(|progress| !progress.active && progress.missed_checks >= checks)
        });
        silent.cloned()
    }

    /// Admits a removed voter again that still requests votes because it does not know of its
    /// removal.
    pub(crate) fn readmit(
        &mut self,
        leader_state: &mut progress::LeaderState,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        if self.settings.open_membership.is_some() && !self.store.roster().contains(from) {
            self.admit(leader_state, from, effects);
        }
    }

    /// Returns whether the membership may change: the last change is committed, and this leader has
    /// committed an entry of its own term.
    fn can_change_roster(&self) -> bool {
        self.store.roster_index() <= self.commit
            && self.store.term(self.commit) == Some(self.hard.term)
    }

    fn can_join(&self, from: &member::Member) -> bool {
        let is_known =
            self.settings.open_membership.is_some() || self.settings.peers.contains(&from.name);
        from.name != self.me.name && is_known
    }

    /// Returns whether a voter with this host name has answered since the last quorum check.
    fn is_voter_active(&self, leader_state: &progress::LeaderState, name: &Bytes) -> bool {
        let voter = self.store.roster().find_voter(name);
        let progress = voter.and_then(|voter| leader_state.progress.get(voter));
        progress.is_some_and(|progress| progress.active)
    }

    /// Returns a learner on a persistent disk that has caught up and answered recently.
    fn find_promotable_learner(
        &self,
        leader_state: &progress::LeaderState,
    ) -> Option<member::Member> {
        let mut learners = self.store.roster().learners.iter();
        let ready = learners.find(|learner| {
            let progress = leader_state.progress.get(*learner);
            !learner.is_volatile()
                && progress.is_some_and(|progress| {
                    progress.round + RECENT_ROUNDS >= leader_state.round
                        && progress.matched + self.settings.learner_lag >= self.commit
                })
        });
        ready.cloned()
    }

    fn propose_roster(
        &mut self,
        leader_state: &mut progress::LeaderState,
        roster: member::Roster,
        effects: &mut effect::Effects,
    ) {
        self.append_local(vec![entry::Payload::Roster(roster)], effects);
        self.sync_progress(leader_state);
        self.replicate_all(leader_state, effects);
        self.advance_commit(leader_state, effects);
    }
}
