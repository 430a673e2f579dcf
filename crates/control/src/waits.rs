//! Proposals of this host that have no outcome yet.

use std::collections;

use bytes::Bytes;
use peargap_core::log::entry;
use tokio::sync::oneshot;

use crate::answer;

/// Channel for the outcome of a proposal.
pub(crate) type Reply = oneshot::Sender<answer::Answer>;

/// A proposal that is in the log but not yet applied.
#[derive(Debug)]
struct PlacedProposal {
    reply: Reply,
    term: u64,
}

/// All proposals of this host that have no outcome yet.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    last_token: u64,
    /// Proposals in the log, by index.
    placed: collections::BTreeMap<u64, PlacedProposal>,
    /// Proposals that the log has not assigned a position yet, by token.
    proposed: collections::HashMap<u64, Reply>,
}

impl Waits {
    /// Adds a proposal; returns its token.
    pub(crate) fn add(&mut self, reply: Reply) -> u64 {
        self.last_token += 1;
        self.proposed.insert(self.last_token, reply);
        self.last_token
    }

    /// Records the position that the log assigned to a proposal.
    pub(crate) fn place(&mut self, token: u64, position: entry::Position) {
        if let Some(reply) = self.proposed.remove(&token) {
            let term = position.term;
            self.placed
                .insert(position.index, PlacedProposal { reply, term });
        }
    }

    /// Answers a proposal that the log rejected because this host is not the leader.
    pub(crate) fn reject(&mut self, token: u64, leader: Option<String>) {
        if let Some(reply) = self.proposed.remove(&token) {
            let _ = reply.send(answer::Answer::NotLeader(leader));
        }
    }

    /// Answers the proposal at an applied position. The outcome is unknown if another term's entry was
    /// applied there, or without a reply.
    pub(crate) fn answer(&mut self, position: entry::Position, reply: Option<Bytes>) {
        let Some(proposal) = self.placed.remove(&position.index) else {
            return;
        };
        let answer = match reply {
            Some(reply) if proposal.term == position.term => answer::Answer::Reply(reply),
            Some(_) | None => answer::Answer::Refused(answer::Refusal::Unknown),
        };
        let _ = proposal.reply.send(answer);
    }

    /// Answers every proposal in the log with an unknown outcome, because this host no longer learns
    /// it.
    pub(crate) fn end(&mut self) {
        for (_index, proposal) in std::mem::take(&mut self.placed) {
            let unknown = answer::Answer::Refused(answer::Refusal::Unknown);
            let _ = proposal.reply.send(unknown);
        }
    }
}
