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
        for name in &self.settings.peers {
            let to = member::Member {
                disk: member::ANY_DISK,
                name: name.clone(),
            };
            let hello = message::Kind::Hello(self.is_fresh());
            self.send(to, hello, effects);
        }
    }

    /// Tells a fresh host that this one is fresh too.
    pub(crate) fn answer_hello(
        &self,
        fresh: bool,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        if fresh && self.is_fresh() {
            self.send(from.clone(), message::Kind::Fresh, effects);
        }
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
    /// Only the host with the smallest name does so, and a host that has ever taken part says
    /// that it is not fresh; so a host that lost its disk cannot found a second log beside one
    /// that lives on.
    pub(crate) fn bootstrap(&mut self, effects: &mut effect::Effects) -> bool {
        let names = &self.settings.bootstrap;
        if !self.is_fresh() || names.first() != Some(&self.me.name) {
            return false;
        }
        let mut voters = self.fresh.clone();
        voters.insert(self.me.clone());
        let found: collections::BTreeSet<Bytes> =
            voters.iter().map(|voter| voter.name.clone()).collect();
        if found != *names {
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
