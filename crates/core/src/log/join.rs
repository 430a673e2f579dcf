//! How hosts find each other before they are members.

use bytes::Bytes;
use std::collections;

use crate::log::effect;
use crate::log::entry;
use crate::log::member;
use crate::log::message;
use crate::log::replica;

impl replica::Replica {
    /// Tells every other host that this one has started, or waits to be let in.
    pub(crate) fn announce(&self, effects: &mut effect::Effects) {
        for name in &self.peers {
            let to = member::Member {
                disk: member::ANY_DISK,
                name: name.clone(),
            };
            let hello = message::Kind::Hello(message::Hello {
                copied: self.doubt.is_some(),
                fresh: self.is_fresh(),
            });
            self.send(to, hello, effects);
        }
    }

    /// Remembers hosts to greet, where any host may take part.
    pub(crate) fn meet(&mut self, names: &[Bytes]) {
        if self.settings.open.is_none() {
            return;
        }
        let others = names.iter().filter(|name| **name != self.me.name);
        self.peers.extend(others.cloned());
    }

    /// Tells a fresh host whether this one is fresh too, and one on a copied disk whether this
    /// one runs on a copy too.
    pub(crate) fn answer_hello(
        &self,
        hello: message::Hello,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        if hello.fresh && self.is_fresh() {
            self.send(from.clone(), message::Kind::Fresh, effects);
        } else if hello.fresh {
            self.send(from.clone(), message::Kind::Founded, effects);
        }
        if hello.copied && self.is_voter() {
            self.send(from.clone(), message::Kind::Copied(self.copied), effects);
        }
    }

    /// Decides what becomes of this copied disk.
    ///
    /// Where another voter kept its own disk, this one may have forgotten what it acknowledged:
    /// it is renounced. Where every voter runs on a copy, the whole log was restored: it goes on.
    pub(crate) fn take_copied(
        &mut self,
        copied: bool,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        let Some(copies) = &mut self.doubt else {
            return;
        };
        if !copied {
            effects.push(effect::Effect::Renounce);
            return;
        }
        copies.insert(from.clone());
        self.settle_doubt(effects);
    }

    /// Trusts the copied disk once every other voter is known to run on a copy.
    ///
    /// A copy made before its host was a voter says nothing of the voters: it is renounced.
    pub(crate) fn settle_doubt(&mut self, effects: &mut effect::Effects) {
        let Some(copies) = &self.doubt else {
            return;
        };
        if !self.is_voter() {
            effects.push(effect::Effect::Renounce);
            return;
        }
        let voters = &self.store.roster().voters;
        let mut others = voters.iter().filter(|voter| **voter != self.me);
        if others.all(|voter| copies.contains(voter)) {
            self.doubt = None;
            effects.push(effect::Effect::Adopt);
        }
    }

    /// Remembers that there is a log already, also when all hosts of the first roster are fresh.
    ///
    /// Such an answer names this disk, so that a stray greeting of another deployment does no harm.
    pub(crate) fn note_founded(&mut self) {
        self.founded = true;
    }

    /// Remembers a host that has never taken part.
    pub(crate) fn note_fresh(&mut self, from: &member::Member) {
        if self.is_fresh() && self.settings.bootstrap.contains(&from.name) {
            self.fresh.retain(|member| member.name != from.name);
            self.fresh.insert(from.clone());
        }
    }

    /// Writes the first roster once every host of it has said that it is fresh.
    ///
    /// Only the host with the smallest name that keeps its disk does so. Hosts whose data folder does
    /// not last are asked, but do not vote. A host that has ever taken part says
    /// that it is not fresh, which ends it for this process; so a host that lost its disk cannot found a second log beside one
    /// that lives on.
    pub(crate) fn bootstrap(&mut self, effects: &mut effect::Effects) -> bool {
        let names = &self.settings.bootstrap;
        if self.founded || !self.is_fresh() || !names.contains(&self.me.name) {
            return false;
        }
        let mut voters = self.fresh.clone();
        voters.insert(self.me.clone());
        let found: collections::BTreeSet<Bytes> =
            voters.iter().map(|voter| voter.name.clone()).collect();
        if found != *names {
            return false;
        }
        voters.retain(|voter| !voter.is_volatile());
        let founder = voters.iter().map(|voter| &voter.name).min();
        if founder != Some(&self.me.name) {
            return false;
        }
        let roster = member::Roster {
            learners: collections::BTreeSet::new(),
            voters,
        };
        self.hard.term = 1;
        self.hard.vote = Some(self.me.clone());
        effects.dirty = true;
        self.order(vec![entry::Payload::Roster(roster)], effects);
        true
    }
}
