//! Voting and pre-voting.

use crate::log::effect;
use crate::log::message;
use crate::log::replica;

impl replica::Replica {
    /// Requests a vote, or a pre-vote if `pre`, from every other voter.
    pub(crate) fn request_votes(&self, pre: bool, effects: &mut effect::Effects) {
        let poll = message::Poll {
            last: self.store.last(),
            pre,
        };
        let term = self.hard.term + u64::from(pre);
        for voter in &self.store.roster().voters {
            if *voter != self.me {
                self.send_with_term(term, voter.clone(), message::Kind::Poll(poll), effects);
            }
        }
    }

    /// Answers a vote request. While `has_leader`, this member has heard from a leader recently and
    /// grants no pre-votes.
    pub(crate) fn handle_poll(
        &mut self,
        has_leader: bool,
        message: &message::Message,
        effects: &mut effect::Effects,
    ) {
        let message::Kind::Poll(poll) = message.kind else {
            return;
        };
        // Votes only count for one particular disk: answering a request addressed to any disk could
        // let a host vote again after it lost its disk.
        if message.to != self.me {
            return;
        }
        let granted = if poll.pre {
            !has_leader && message.term > self.hard.term && poll.last >= self.store.last()
        } else {
            self.grant_vote(message, poll, effects)
        };
        let ballot = message::Ballot {
            granted,
            pre: poll.pre,
        };
        let term = if granted {
            message.term
        } else {
            self.hard.term
        };
        let kind = message::Kind::Ballot(ballot);
        self.send_with_term(term, message.from.clone(), kind, effects);
    }

    fn grant_vote(
        &mut self,
        message: &message::Message,
        poll: message::Poll,
        effects: &mut effect::Effects,
    ) -> bool {
        if message.term != self.hard.term || poll.last < self.store.last() {
            return false;
        }
        match &self.hard.vote {
            Some(vote) => *vote == message.from,
            None => {
                self.hard.vote = Some(message.from.clone());
                effects.hard_changed = true;
                effects.push(effect::Effect::RestartElectionTimer);
                true
            }
        }
    }

    /// Returns whether a message grants this member's current vote request.
    pub(crate) fn is_grant(&self, pre: bool, message: &message::Message) -> bool {
        let wanted = message::Ballot { granted: true, pre };
        message.kind == message::Kind::Ballot(wanted)
            && message.term == self.hard.term + u64::from(pre)
            && self.store.roster().voters.contains(&message.from)
    }
}
