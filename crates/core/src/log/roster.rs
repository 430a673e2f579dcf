//! Changes of the members, one at a time.

use bytes::Bytes;

use crate::log::effect;
use crate::log::entry;
use crate::log::member;
use crate::log::progress;
use crate::log::replica;

/// A learner that answered one of so many rounds may vote; a vote of a dead host only does harm.
const RECENT_ROUNDS: u64 = 2;

impl replica::Replica {
    /// Answers a host that started or wants to be let in.
    pub(crate) fn greet(
        &mut self,
        leading: &mut progress::Leading,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        let round = leading.round;
        if let Some(progress) = leading.progress.get_mut(from) {
            self.replicate(round, from, progress, effects);
            return;
        }
        if !self.may_change() || !self.may_join(from) || self.is_held(leading, &from.name) {
            return;
        }
        let mut roster = self.store.roster().clone();
        // A host has one disk: of two that wait under one name the later counts.
        roster.learners.retain(|learner| learner.name != from.name);
        roster.learners.insert(from.clone());
        self.change(leading, roster, effects);
    }

    /// Takes the next step of a change: removes a lost disk or a host that is gone, or lets a
    /// learner vote.
    pub(crate) fn change_roster(
        &mut self,
        leading: &mut progress::Leading,
        effects: &mut effect::Effects,
    ) {
        if !self.may_change() {
            return;
        }
        let Some(roster) = self.plan_change(leading) else {
            return;
        };
        self.change(leading, roster, effects);
    }

    /// Returns the members after the next step of a change, when one is due.
    fn plan_change(&self, leading: &progress::Leading) -> Option<member::Roster> {
        let mut roster = self.store.roster().clone();
        let Some(learner) = self.find_ready(leading) else {
            let limit = self.settings.open?.silent_reviews;
            roster.voters.remove(&self.find_silent(leading, limit)?);
            return Some(roster);
        };
        match roster.find_voter(&learner.name).cloned() {
            // Its former disk still answers: two processes share the name.
            Some(_) if self.is_held(leading, &learner.name) => return None,
            Some(lost) => {
                roster.voters.remove(&lost);
            }
            None => match self.find_silent(leading, 1) {
                // The learner takes its place in the next change.
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

    /// Returns a voter that has not answered for `reviews` reviews, if enough voters stay.
    fn find_silent(&self, leading: &progress::Leading, reviews: u32) -> Option<member::Member> {
        let voters = &self.store.roster().voters;
        if voters.len() <= self.settings.open?.least_voters {
            return None;
        }
        let silent = voters.iter().find(|voter| {
            let progress = leading.progress.get(*voter);
            progress.is_some_and(|progress| !progress.active && progress.silent >= reviews)
        });
        silent.cloned()
    }

    /// Lets a former voter in again that does not know of its removal.
    pub(crate) fn greet_former(
        &mut self,
        leading: &mut progress::Leading,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        if self.settings.open.is_some() && !self.store.roster().contains(from) {
            self.greet(leading, from, effects);
        }
    }

    /// Returns whether the last change is committed and this leader has committed in its term.
    fn may_change(&self) -> bool {
        self.store.roster_index() <= self.commit
            && self.store.term(self.commit) == Some(self.hard.term)
    }

    fn may_join(&self, from: &member::Member) -> bool {
        let is_known = self.settings.open.is_some() || self.settings.peers.contains(&from.name);
        from.name != self.me.name && is_known
    }

    /// Returns whether the voter of this name has answered lately.
    fn is_held(&self, leading: &progress::Leading, name: &Bytes) -> bool {
        let voter = self.store.roster().find_voter(name);
        let progress = voter.and_then(|voter| leading.progress.get(voter));
        progress.is_some_and(|progress| progress.active)
    }

    /// Returns a learner that has caught up and has just answered.
    fn find_ready(&self, leading: &progress::Leading) -> Option<member::Member> {
        let mut learners = self.store.roster().learners.iter();
        let ready = learners.find(|learner| {
            let progress = leading.progress.get(*learner);
            !learner.is_volatile()
                && progress.is_some_and(|progress| {
                    progress.round + RECENT_ROUNDS >= leading.round
                        && progress.matched + self.settings.learner_lag >= self.commit
                })
        });
        ready.cloned()
    }

    fn change(
        &mut self,
        leading: &mut progress::Leading,
        roster: member::Roster,
        effects: &mut effect::Effects,
    ) {
        self.order(vec![entry::Payload::Roster(roster)], effects);
        self.fit_progress(leading);
        self.replicate_all(leading, effects);
        self.advance_commit(leading, effects);
    }
}
