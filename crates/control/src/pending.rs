//! Proposals of this host that have no outcome yet.

use std::collections;

use bytes::Bytes;
use peargap_core::log::entry;
use tokio::sync::oneshot;

use crate::answer;

/// Channel for the outcome of a proposal.
pub(crate) type ReplySender = oneshot::Sender<answer::Answer>;

/// A proposal that is in the log but not yet applied.
#[derive(Debug)]
struct AppendedProposal {
    reply: ReplySender,
    term: u64,
}

/// All proposals of this host that have no outcome yet.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    last_token: u64,
    /// Proposals in the log, by index.
    by_index: collections::BTreeMap<u64, AppendedProposal>,
    /// Proposals that the log has not assigned a position yet, by token.
    by_token: collections::HashMap<u64, ReplySender>,
}

impl Proposals {
    /// Adds a proposal; returns its token.
    pub(crate) fn add(&mut self, reply: ReplySender) -> u64 {
        self.last_token += 1;
        self.by_token.insert(self.last_token, reply);
        self.last_token
    }

    /// Records the position that the log assigned to a proposal.
    pub(crate) fn set_position(&mut self, token: u64, position: entry::Position) {
        if let Some(reply) = self.by_token.remove(&token) {
            let term = position.term;
            self.by_index
                .insert(position.index, AppendedProposal { reply, term });
        }
    }

    /// Answers a proposal that the log rejected because this host is not the leader.
    pub(crate) fn reject(&mut self, token: u64, leader: Option<String>) {
        if let Some(reply) = self.by_token.remove(&token) {
            let _ = reply.send(answer::Answer::NotLeader(leader));
        }
    }

    /// Answers the proposal at an applied position. The outcome is unknown if another term's entry
    /// was applied there, or without a reply.
    pub(crate) fn complete(&mut self, position: entry::Position, reply: Option<Bytes>) {
        let Some(proposal) = self.by_index.remove(&position.index) else {
            return;
        };
        let answer = match reply {
            Some(reply) if proposal.term == position.term => answer::Answer::Reply(reply),
            Some(_) | None => answer::Answer::Failed(answer::Failure::Unknown),
        };
        let _ = proposal.reply.send(answer);
    }

    /// Answers every proposal in the log with an unknown outcome, because this host no longer
    /// learns it.
    pub(crate) fn abandon_all(&mut self) {
        for (_index, proposal) in std::mem::take(&mut self.by_index) {
            let unknown = answer::Answer::Failed(answer::Failure::Unknown);
            let _ = proposal.reply.send(unknown);
        }
    }
}
