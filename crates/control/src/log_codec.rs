//! Conversions between the log's types and protobuf messages.

use std::collections;

use bytes::Bytes;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::mark;
use peargap_core::log::member;
use peargap_core::log::message;
use peargap_wire::peer as wire;

/// Why a message cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Malformed {
    /// It lacks the required field of this name.
    Missing(&'static str),
    /// No member that keeps to the protocol sends it.
    Unsound,
}

impl core::fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            Malformed::Missing(field) => write!(formatter, "{field} is missing"),
            Malformed::Unsound => write!(formatter, "numbers or entries are out of order or range"),
        }
    }
}

impl std::error::Error for Malformed {}

/// Converts a member's name to text.
pub fn format_name(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}

/// Converts a member to its message.
pub fn encode_member(member: &member::Member) -> wire::Member {
    wire::Member {
        name: format_name(&member.name),
        disk: member.disk,
    }
}

/// Converts a message to a member.
pub fn decode_member(member: Option<wire::Member>) -> Result<member::Member, Malformed> {
    let member = member.ok_or(Malformed::Missing("member"))?;
    Ok(member::Member {
        disk: member.disk,
        name: Bytes::from(member.name),
    })
}

fn encode_position(position: entry::Position) -> wire::Position {
    wire::Position {
        term: position.term,
        index: position.index,
    }
}

fn decode_position(position: Option<wire::Position>) -> Result<entry::Position, Malformed> {
    let position = position.ok_or(Malformed::Missing("position"))?;
    Ok(entry::Position {
        term: position.term,
        index: position.index,
    })
}

fn encode_roster(roster: &member::Roster) -> wire::Roster {
    wire::Roster {
        voters: roster.voters.iter().map(encode_member).collect(),
        learners: roster.learners.iter().map(encode_member).collect(),
    }
}

fn decode_roster(roster: Option<wire::Roster>) -> Result<member::Roster, Malformed> {
    let roster = roster.ok_or(Malformed::Missing("roster"))?;
    Ok(member::Roster {
        learners: decode_members(roster.learners)?,
        voters: decode_members(roster.voters)?,
    })
}

fn decode_members(
    members: Vec<wire::Member>,
) -> Result<collections::BTreeSet<member::Member>, Malformed> {
    let members = members.into_iter().map(Some);
    members.map(decode_member).collect()
}

/// Converts a log entry to its message.
pub fn encode_entry(entry: &entry::Entry) -> wire::Entry {
    let payload = match &entry.payload {
        entry::Payload::Command(command) => wire::entry::Payload::Command(command.clone()),
        entry::Payload::Noop => wire::entry::Payload::Noop(true),
        entry::Payload::Roster(roster) => wire::entry::Payload::Roster(encode_roster(roster)),
    };
    wire::Entry {
        position: Some(encode_position(entry.position)),
        payload: Some(payload),
    }
}

/// Converts a message to a log entry.
pub fn decode_entry(entry: wire::Entry) -> Result<entry::Entry, Malformed> {
    let payload = match entry.payload.ok_or(Malformed::Missing("payload"))? {
        wire::entry::Payload::Command(command) => entry::Payload::Command(command),
        wire::entry::Payload::Noop(_) => entry::Payload::Noop,
        wire::entry::Payload::Roster(roster) => {
            entry::Payload::Roster(decode_roster(Some(roster))?)
        }
    };
    Ok(entry::Entry {
        payload,
        position: decode_position(entry.position)?,
    })
}

fn encode_mark(mark: mark::Mark) -> wire::Mark {
    wire::Mark {
        generation: mark.generation,
        term: mark.term,
        voted: mark.voted,
        index: mark.index,
    }
}

fn decode_mark(mark: Option<wire::Mark>) -> Result<mark::Mark, Malformed> {
    let mark = mark.ok_or(Malformed::Missing("mark"))?;
    Ok(mark::Mark {
        generation: mark.generation,
        index: mark.index,
        term: mark.term,
        voted: mark.voted,
    })
}

fn encode_stamp(stamp: mark::Stamp) -> wire::Stamp {
    wire::Stamp {
        run: stamp.run,
        found: Some(encode_mark(stamp.found)),
        now: Some(encode_mark(stamp.now)),
    }
}

fn decode_stamp(stamp: Option<wire::Stamp>) -> Result<mark::Stamp, Malformed> {
    let stamp = stamp.ok_or(Malformed::Missing("stamp"))?;
    Ok(mark::Stamp {
        found: decode_mark(stamp.found)?,
        now: decode_mark(stamp.now)?,
        run: stamp.run,
    })
}

/// Converts a snapshot to its message.
pub fn encode_snapshot(snapshot: &entry::Snapshot) -> wire::Snapshot {
    wire::Snapshot {
        position: Some(encode_position(snapshot.position)),
        roster: Some(encode_roster(&snapshot.roster)),
        data: snapshot.data.clone(),
    }
}

/// Converts a message to a snapshot.
pub fn decode_snapshot(snapshot: wire::Snapshot) -> Result<entry::Snapshot, Malformed> {
    Ok(entry::Snapshot {
        data: snapshot.data,
        position: decode_position(snapshot.position)?,
        roster: decode_roster(snapshot.roster)?,
    })
}

/// Converts the hard state of the member `me` to its message.
pub fn encode_hard(me: &member::Member, hard: &effect::Hard) -> wire::Hard {
    let seen = hard.seen.iter().map(|(member, seen)| wire::Seen {
        member: Some(encode_member(member)),
        run: seen.run,
        mark: Some(encode_mark(seen.mark)),
    });
    wire::Hard {
        me: Some(encode_member(me)),
        generation: hard.generation,
        term: hard.term,
        vote: hard.vote.as_ref().map(encode_member),
        seen: seen.collect(),
    }
}

/// Converts a message to a hard state; its member `me` is converted by [`decode_member`].
pub fn decode_hard(hard: wire::Hard) -> Result<effect::Hard, Malformed> {
    let vote = hard
        .vote
        .map(|vote| decode_member(Some(vote)))
        .transpose()?;
    let seen = hard.seen.into_iter().map(|seen| {
        let mark = decode_mark(seen.mark)?;
        let run = seen.run;
        Ok((decode_member(seen.member)?, mark::Seen { mark, run }))
    });
    Ok(effect::Hard {
        generation: hard.generation,
        seen: seen.collect::<Result<_, Malformed>>()?,
        term: hard.term,
        vote,
    })
}

/// Converts a protocol message to its wire form.
pub fn encode_message(message: &message::Message) -> wire::Message {
    wire::Message {
        from: Some(encode_member(&message.from)),
        to: Some(encode_member(&message.to)),
        term: message.term,
        stamp: Some(encode_stamp(message.stamp)),
        kind: Some(encode_kind(&message.kind)),
    }
}

fn encode_kind(kind: &message::Kind) -> wire::message::Kind {
    use wire::message::Kind;
    match kind {
        message::Kind::Append(append) => Kind::Append(wire::Append {
            previous: Some(encode_position(append.previous)),
            entries: append.entries.iter().map(encode_entry).collect(),
            commit: append.commit,
            round: append.round,
        }),
        message::Kind::Appended(appended) => Kind::Appended(wire::Appended {
            accepted: appended.accepted,
            index: appended.index,
            round: appended.round,
        }),
        message::Kind::Ballot(ballot) => Kind::Ballot(wire::Ballot {
            granted: ballot.granted,
            pre: ballot.pre,
        }),
        message::Kind::Copied(copied) => Kind::Copied(*copied),
        message::Kind::Founded => Kind::Founded(true),
        message::Kind::Fresh => Kind::Fresh(true),
        message::Kind::Hello(hello) => Kind::Hello(wire::Hello {
            fresh: hello.fresh,
            copied: hello.copied,
        }),
        message::Kind::Install(install) => Kind::Install(wire::Install {
            position: Some(encode_position(install.position)),
            roster: Some(encode_roster(&install.roster)),
            offset: install.offset,
            chunk: install.chunk.clone(),
            total: install.total,
            round: install.round,
        }),
        message::Kind::Installed(installed) => Kind::Installed(wire::Installed {
            position: Some(encode_position(installed.position)),
            complete: installed.complete,
            offset: installed.offset,
            round: installed.round,
        }),
        message::Kind::Poll(poll) => Kind::Poll(wire::Poll {
            last: Some(encode_position(poll.last)),
            pre: poll.pre,
        }),
        message::Kind::Refused(run) => Kind::Refused(*run),
        message::Kind::TakeOver => Kind::TakeOver(true),
    }
}

/// Converts a wire message to a protocol message.
pub fn decode_message(message: wire::Message) -> Result<message::Message, Malformed> {
    let message = message::Message {
        from: decode_member(message.from)?,
        kind: decode_kind(message.kind.ok_or(Malformed::Missing("kind"))?)?,
        stamp: decode_stamp(message.stamp)?,
        term: message.term,
        to: decode_member(message.to)?,
    };
    match message.is_sound() {
        true => Ok(message),
        false => Err(Malformed::Unsound),
    }
}

fn decode_kind(kind: wire::message::Kind) -> Result<message::Kind, Malformed> {
    use wire::message::Kind;
    Ok(match kind {
        Kind::Append(append) => message::Kind::Append(message::Append {
            commit: append.commit,
            entries: append
                .entries
                .into_iter()
                .map(decode_entry)
                .collect::<Result<_, Malformed>>()?,
            previous: decode_position(append.previous)?,
            round: append.round,
        }),
        Kind::Appended(appended) => message::Kind::Appended(message::Appended {
            accepted: appended.accepted,
            index: appended.index,
            round: appended.round,
        }),
        Kind::Ballot(ballot) => message::Kind::Ballot(message::Ballot {
            granted: ballot.granted,
            pre: ballot.pre,
        }),
        Kind::Copied(copied) => message::Kind::Copied(copied),
        Kind::Founded(_) => message::Kind::Founded,
        Kind::Fresh(_) => message::Kind::Fresh,
        Kind::Hello(hello) => message::Kind::Hello(message::Hello {
            copied: hello.copied,
            fresh: hello.fresh,
        }),
        Kind::Install(install) => message::Kind::Install(message::Install {
            chunk: install.chunk,
            offset: install.offset,
            position: decode_position(install.position)?,
            roster: decode_roster(install.roster)?,
            round: install.round,
            total: install.total,
        }),
        Kind::Installed(installed) => message::Kind::Installed(message::Installed {
            complete: installed.complete,
            offset: installed.offset,
            position: decode_position(installed.position)?,
            round: installed.round,
        }),
        Kind::Poll(poll) => message::Kind::Poll(message::Poll {
            last: decode_position(poll.last)?,
            pre: poll.pre,
        }),
        Kind::Refused(run) => message::Kind::Refused(run),
        Kind::TakeOver(_) => message::Kind::TakeOver,
    })
}
