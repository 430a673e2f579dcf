//! Planted faults.

use peargap_core::log::effect;
use peargap_core::log::message;

use super::World;
use super::FORGED_GENERATION;

/// A fault of the adapters, planted to see whether the run finds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Bug {
    /// A vote is counted a second time under another voter's name.
    CountTwice,
    /// Entries are acknowledged before they are synced.
    ForgetEntries,
    /// The hard state is not synced.
    ForgetHard,
    /// A host that lost its disk takes its former disk id.
    KeepIdentity,
    /// Entries look as if they followed what the receiver has.
    MixTerms,
    /// None.
    None,
    /// An old copy of a disk looks like the newest.
    TrustCopy,
}

impl World {
    pub(crate) fn mix_terms(&self, index: usize, message: &mut message::Message) {
        if let message::Kind::Append(append) = &mut message.kind {
            let store = &self.hosts[index].disk.store;
            if let Some(term) = store.term(append.previous.index) {
                append.previous.term = term;
            }
        }
    }

    pub(crate) fn count_twice(&mut self, index: usize, message: &message::Message) {
        let message::Kind::Ballot(ballot) = message.kind else {
            return;
        };
        // The refusal of one voter arrives as the consent of another.
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
