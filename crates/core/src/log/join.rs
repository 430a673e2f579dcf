//! Host discovery, joining, and the first start of a log.

use bytes::Bytes;
use std::collections;

use crate::log::effect;
use crate::log::entry;
use crate::log::member;
use crate::log::message;
use crate::log::replica;

impl replica::Replica {
    /// Sends a hello to every other known host after startup, or to ask to join.
    pub(crate) fn send_hellos(&self, effects: &mut effect::Effects) {
        for name in &self.peers {
            self.send_hello(name, effects);
        }
    }

    fn send_hello(&self, name: &Bytes, effects: &mut effect::Effects) {
        let to = member::Member {
            disk: member::ANY_DISK,
            name: name.clone(),
        };
        let hello = message::Kind::Hello(message::Hello {
            copied: self.untrusted_copies.is_some(),
            fresh: self.is_fresh(),
        });
        self.send(to, hello, effects);
    }

    /// Sends a hello to the sender of a message that was addressed to a former disk of this host.
    ///
    /// The sender is a member, possibly the only one that this host ever hears from: after a restart
    /// without its disk, this host's seeds may all be outside the log as well. Only the first such
    /// message is answered at once; hellos to known hosts are repeated with each election timeout.
    pub(crate) fn ask_to_join(
        &mut self,
        message: &message::Message,
        effects: &mut effect::Effects,
    ) {
        let sender = &message.from.name;
        let is_for_former_disk = message.to.name == self.me.name;
        if !is_for_former_disk || self.peers.contains(sender) {
            return;
        }
        self.add_peers(core::slice::from_ref(sender));
        if self.peers.contains(sender) {
            self.send_hello(sender, effects);
        }
    }

    /// Adds hosts to send hellos to, if any host may join.
    pub(crate) fn add_peers(&mut self, names: &[Bytes]) {
        if self.settings.open_membership.is_none() {
            return;
        }
        let others = names.iter().filter(|name| **name != self.me.name);
        self.peers.extend(others.cloned());
    }

    /// Tells a fresh host whether this host is fresh too, and a host on a copied disk whether this
    /// voter also runs on a copy.
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

    /// Decides whether to keep this host's copied disk.
    ///
    /// If another voter kept its original disk, this copy may lack entries or votes that this host
    /// acknowledged, so it is discarded. If every voter runs on a copy, the whole log was restored
    /// from copies, so it is kept.
    pub(crate) fn handle_copied(
        &mut self,
        copied: bool,
        from: &member::Member,
        effects: &mut effect::Effects,
    ) {
        let Some(copies) = &mut self.untrusted_copies else {
            return;
        };
        if !copied {
            effects.push(effect::Effect::ReplaceDisk);
            return;
        }
        copies.insert(from.clone());
        self.resolve_copied_disk(effects);
    }

    /// Trusts the copied disk once every other voter is known to run on a copy too.
    ///
    /// A copy made before this host became a voter does not tell who the voters are now, so it is
    /// discarded.
    pub(crate) fn resolve_copied_disk(&mut self, effects: &mut effect::Effects) {
        let Some(copies) = &self.untrusted_copies else {
            return;
        };
        if !self.is_voter() {
            effects.push(effect::Effect::ReplaceDisk);
            return;
        }
        let voters = &self.store.roster().voters;
        let mut others = voters.iter().filter(|voter| **voter != self.me);
        if others.all(|voter| copies.contains(voter)) {
            self.untrusted_copies = None;
            effects.push(effect::Effect::AcceptCopiedDisk);
        }
    }

    /// Records that a log exists already, which prevents this process from bootstrapping another
    /// one even if all bootstrap hosts are fresh.
    ///
    /// The answer is addressed to this particular disk, so a stray hello from another deployment
    /// does no harm.
    pub(crate) fn record_existing_log(&mut self) {
        self.log_exists = true;
    }

    /// Records a bootstrap host that has never been part of a log.
    pub(crate) fn record_fresh_host(&mut self, from: &member::Member) {
        if self.is_fresh() && self.settings.bootstrap.contains(&from.name) {
            self.fresh_hosts.retain(|member| member.name != from.name);
            self.fresh_hosts.insert(from.clone());
        }
    }

    /// Appends the initial roster once every bootstrap host has reported that it is fresh. Returns
    /// whether it did.
    ///
    /// Only the host with the smallest name among those with persistent disks does so. Hosts whose
    /// data folder is lost with the process must answer too, but do not become voters. A host
    /// that has ever been part of a log reports that it is not fresh, which rules out bootstrapping
    /// for the rest of this process; so a host that lost its disk cannot start a second log beside
    /// an existing one.
    pub(crate) fn bootstrap(&mut self, effects: &mut effect::Effects) -> bool {
        let names = &self.settings.bootstrap;
        if self.log_exists || !self.is_fresh() || !names.contains(&self.me.name) {
            return false;
        }
        let mut voters = self.fresh_hosts.clone();
        voters.insert(self.me.clone());
        let fresh_names: collections::BTreeSet<Bytes> =
            voters.iter().map(|voter| voter.name.clone()).collect();
        if fresh_names != *names {
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
        effects.hard_changed = true;
        self.append_local(vec![entry::Payload::Roster(roster)], effects);
        true
    }
}
