//! Votes and pre-votes.

use crate::log::effect;
use crate::log::message;
use crate::log::replica;

impl replica::Replica {
    /// Asks every other voter for its vote, or whether it would give it.
    pub(crate) fn ask_votes(&self, pre: bool, effects: &mut effect::Effects) {
        let poll = message::Poll {
            last: self.store.last(),
            pre,
        };
        let term = self.hard.term + u64::from(pre);
        for voter in &self.store.roster().voters {
            if *voter != self.me {
                self.send_in(term, voter.clone(), message::Kind::Poll(poll), effects);
            }
        }
    }

    /// Answers a poll; `led` tells that a leader was heard lately.
    pub(crate) fn answer_poll(
        &mut self,
        led: bool,
        message: &message::Message,
        effects: &mut effect::Effects,
    ) {
        let message::Kind::Poll(poll) = message.kind else {
            return;
        };
        // A poll that names no disk could make a new disk vote for its host's former self.
        if message.to != self.me {
            return;
        }
        let granted = if poll.pre {
            !led && message.term > self.hard.term && poll.last >= self.store.last()
        } else {
            self.give_vote(message, poll, effects)
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
        self.send_in(term, message.from.clone(), kind, effects);
    }

    fn give_vote(
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
                effects.dirty = true;
                effects.push(effect::Effect::Heard);
                true
            }
        }
    }

    /// Returns whether a message is a vote for this member's poll.
    pub(crate) fn is_grant(&self, pre: bool, message: &message::Message) -> bool {
        let wanted = message::Ballot { granted: true, pre };
        message.kind == message::Kind::Ballot(wanted)
            && message.term == self.hard.term + u64::from(pre)
            && self.store.roster().voters.contains(&message.from)
    }
}
