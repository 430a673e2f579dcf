//! Bounds of what a message between members may say, so that one malformed message harms no log.

use crate::log::entry;
use crate::log::member;
use crate::log::message;

/// Largest index, term or round, far from where sums of them overflow.
const MAX_NUMBER: u64 = 1 << 62;

impl message::Message {
    /// Returns whether a member that keeps to the protocol may have sent this message.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let mark = self.stamp.now;
        let numbers = [self.term, mark.generation, mark.index, mark.term];
        numbers.into_iter().all(is_in_range) && self.kind.is_sound(self.term)
    }
}

impl message::Kind {
    fn is_sound(&self, term: u64) -> bool {
        match self {
            message::Kind::Append(append) => append.is_sound(term),
            message::Kind::Appended(appended) => {
                is_in_range(appended.index) && is_in_range(appended.round)
            }
            message::Kind::Install(install) => install.is_sound(term),
            message::Kind::Installed(installed) => {
                installed.position.is_in_range() && is_in_range(installed.round)
            }
            message::Kind::Poll(poll) => poll.last.is_in_range(),
            message::Kind::Ballot(_)
            | message::Kind::Copied(_)
            | message::Kind::Founded
            | message::Kind::Fresh
            | message::Kind::Hello(_)
            | message::Kind::Refused(_)
            | message::Kind::TakeOver => true,
        }
    }
}

impl message::Append {
    /// The entries follow `previous` without a gap, none is of a later term than the leader's.
    fn is_sound(&self, term: u64) -> bool {
        let positions = self.entries.iter().map(|entry| entry.position);
        let before = core::iter::once(self.previous).chain(positions.clone());
        let follows = |(previous, position): (entry::Position, entry::Position)| {
            position.index == previous.index + 1 && position.term >= previous.term
        };
        let last = self.entries.last().map(|entry| entry.position);
        self.previous.is_in_range()
            && is_in_range(self.commit)
            && is_in_range(self.round)
            && before.zip(positions).all(follows)
            && last.unwrap_or(self.previous).term <= term
            && self.entries.iter().all(|entry| entry.payload.is_sound())
    }
}

impl message::Install {
    fn is_sound(&self, term: u64) -> bool {
        self.position.is_in_range()
            && self.position.term <= term
            && is_in_range(self.round)
            && is_in_range(self.offset)
            && is_in_range(self.total)
            && has_voters(&self.roster)
    }
}

impl entry::Payload {
    fn is_sound(&self) -> bool {
        match self {
            entry::Payload::Command(_) | entry::Payload::Noop => true,
            entry::Payload::Roster(roster) => has_voters(roster),
        }
    }
}

impl entry::Position {
    fn is_in_range(self) -> bool {
        is_in_range(self.index) && is_in_range(self.term)
    }
}

fn is_in_range(number: u64) -> bool {
    number <= MAX_NUMBER
}

/// A log whose roster has no voters elects no leader ever again.
fn has_voters(roster: &member::Roster) -> bool {
    !roster.voters.is_empty()
}
