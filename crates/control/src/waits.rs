//! Proposals that wait for their outcome.

use std::collections;

use bytes::Bytes;
use peargap_core::log::entry;
use tokio::sync::oneshot;

use crate::answer;

/// Where an outcome goes.
pub(crate) type Reply = oneshot::Sender<answer::Answer>;

/// A proposal that waits for its position to be committed.
#[derive(Debug)]
struct Waiting {
    reply: Reply,
    term: u64,
}

/// All proposals of this host that have no outcome yet.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    last_token: u64,
    /// By index in the log.
    placed: collections::BTreeMap<u64, Waiting>,
    /// By token, until the log gives them a place.
    proposed: collections::HashMap<u64, Reply>,
}

impl Waits {
    /// Adds a proposal; returns its token.
    pub(crate) fn add(&mut self, reply: Reply) -> u64 {
        self.last_token += 1;
        self.proposed.insert(self.last_token, reply);
        self.last_token
    }

    /// Notes the place that the log gave to a proposal.
    pub(crate) fn place(&mut self, token: u64, position: entry::Position) {
        if let Some(reply) = self.proposed.remove(&token) {
            let term = position.term;
            self.placed.insert(position.index, Waiting { reply, term });
        }
    }

    /// Answers a proposal that the log did not take.
    pub(crate) fn reject(&mut self, token: u64, leader: Option<String>) {
        if let Some(reply) = self.proposed.remove(&token) {
            let _ = reply.send(answer::Answer::NotLeader(leader));
        }
    }

    /// Answers the proposal at a place that was applied with this reply.
    pub(crate) fn answer(&mut self, position: entry::Position, reply: Option<Bytes>) {
        let Some(waiting) = self.placed.remove(&position.index) else {
            return;
        };
        let answer = match reply {
            Some(reply) if waiting.term == position.term => answer::Answer::Reply(reply),
            Some(_) | None => answer::Answer::Refused(answer::Refusal::Unknown),
        };
        let _ = waiting.reply.send(answer);
    }

    /// Ends every wait: this host no longer learns the outcome.
    pub(crate) fn end(&mut self) {
        for (_index, waiting) in std::mem::take(&mut self.placed) {
            let unknown = answer::Answer::Refused(answer::Refusal::Unknown);
            let _ = waiting.reply.send(unknown);
        }
    }
}
