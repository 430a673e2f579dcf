//! Injected bugs.

use peargap_core::log::effect;
use peargap_core::log::message;

use super::Model;
use super::FORGED_GENERATION;

/// A bug injected into the adapters to verify that a search detects it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Bug {
    /// The refusal of a vote is also delivered as a grant from another voter.
    ForgeVote,
    /// Entries are acknowledged but never written to disk.
    SkipEntryWrites,
    /// Term and vote are acknowledged but never written to disk.
    SkipHardWrites,
    /// A host that lost its disk reuses its former disk id.
    ReuseDiskId,
    /// The previous term of an append is forged to match the receiver's log.
    ForgePreviousTerm,
    /// No bug.
    None,
    /// An old copy of a disk claims to be newer than any other.
    TrustCopy,
}

impl Model {
    pub(crate) fn forge_previous_term(&self, index: usize, message: &mut message::Message) {
        if let message::Kind::Append(append) = &mut message.kind {
            let store = &self.hosts[index].disk.store;
            if let Some(term) = store.term(append.previous.index) {
                append.previous.term = term;
            }
        }
    }

    pub(crate) fn forge_vote(&mut self, index: usize, message: &message::Message) {
        let message::Kind::Ballot(ballot) = message.kind else {
            return;
        };
        // Turn the refusal of one voter into a grant from another.
        if ballot.pre || ballot.granted {
            return;
        }
        let mut forged = message.clone();
        let other = self.hosts.iter().map(|host| &host.disk.me);
        let other = other.filter(|me| **me != forged.from && **me != forged.to);
        if let Some(other) = other.last() {
            forged.from = other.clone();
            forged.stamp.found.generation = FORGED_GENERATION;
            forged.stamp.run = 0;
            let granted = true;
            forged.kind = message::Kind::Ballot(message::Ballot {
                granted,
                pre: false,
            });
            self.handle(index, effect::Event::Message(forged), usize::MAX);
        }
    }
}
