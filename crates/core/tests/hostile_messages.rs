//! Messages with extreme content: those that pass the check at the border harm no replica of the log.

use std::collections;
use std::sync;

use bytes::Bytes;
use peargap_core::log;
use peargap_core::log::effect;
use peargap_core::log::entry;
use peargap_core::log::mark;
use peargap_core::log::member;
use peargap_core::log::message;
use peargap_core::log::store;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Numbers around which arithmetic is likeliest to go wrong.
const EXTREMES: [u64; 10] = [
    0,
    1,
    2,
    3,
    7,
    1 << 32,
    1 << 62,
    i64::MAX as u64,
    u64::MAX - 1,
    u64::MAX,
];
const RUNS: u64 = 2000;

fn member(name: &'static str, disk: u64) -> member::Member {
    member::Member {
        disk,
        name: Bytes::from_static(name.as_bytes()),
    }
}

fn members() -> Vec<member::Member> {
    vec![member("a", 1), member("b", 2), member("c", 3)]
}

fn roster() -> member::Roster {
    member::Roster {
        learners: collections::BTreeSet::new(),
        voters: members().into_iter().collect(),
    }
}

/// Returns a number as in a small log, or now and then an extreme one.
fn number(random: &mut Gen) -> u64 {
    match u8::arbitrary(random) % 16 {
        0 => *random.choose(&EXTREMES).expect("numbers"),
        small => u64::from(small % 5),
    }
}

fn position(random: &mut Gen) -> entry::Position {
    entry::Position {
        index: number(random),
        term: number(random),
    }
}

fn build_entry(random: &mut Gen) -> entry::Entry {
    let payload = match u8::arbitrary(random) % 3 {
        0 => entry::Payload::Noop,
        1 => entry::Payload::Command(Bytes::from(Vec::<u8>::arbitrary(random))),
        _ => entry::Payload::Roster(match bool::arbitrary(random) {
            true => roster(),
            false => member::Roster::default(),
        }),
    };
    entry::Entry {
        payload,
        position: position(random),
    }
}

/// Returns entries that mostly follow each other.
fn build_append(random: &mut Gen) -> message::Append {
    let mut append = message::Append {
        commit: number(random),
        entries: (0..u8::arbitrary(random) % 4)
            .map(|_entry| build_entry(random))
            .collect(),
        previous: position(random),
        round: number(random),
    };
    if u8::arbitrary(random) % 8 > 0 {
        let mut last = append.previous;
        for entry in &mut append.entries {
            last.index = last.index.saturating_add(1);
            entry.position = last;
        }
    }
    append
}

fn build_kind(random: &mut Gen) -> message::Kind {
    match u8::arbitrary(random) % 9 {
        0 | 1 => message::Kind::Append(build_append(random)),
        2 => message::Kind::Appended(message::Appended {
            accepted: bool::arbitrary(random),
            index: number(random),
            round: number(random),
        }),
        3 => message::Kind::Ballot(message::Ballot {
            granted: bool::arbitrary(random),
            pre: bool::arbitrary(random),
        }),
        4 => message::Kind::Hello(message::Hello {
            copied: bool::arbitrary(random),
            fresh: bool::arbitrary(random),
        }),
        5 => message::Kind::Install(message::Install {
            chunk: Bytes::from(Vec::<u8>::arbitrary(random)),
            offset: number(random),
            position: position(random),
            roster: match bool::arbitrary(random) {
                true => roster(),
                false => member::Roster::default(),
            },
            round: number(random),
            total: number(random),
        }),
        6 => message::Kind::Installed(message::Installed {
            complete: bool::arbitrary(random),
            offset: number(random),
            position: position(random),
            round: number(random),
        }),
        7 => message::Kind::Poll(message::Poll {
            last: position(random),
            pre: bool::arbitrary(random),
        }),
        _ => message::Kind::TakeOver,
    }
}

fn build_message(random: &mut Gen) -> message::Message {
    let mark = |random: &mut Gen| mark::Mark {
        generation: number(random),
        index: number(random),
        term: number(random),
        voted: bool::arbitrary(random),
    };
    message::Message {
        from: random.choose(&members()).expect("members").clone(),
        kind: build_kind(random),
        stamp: mark::Stamp {
            found: mark(random),
            now: mark(random),
            run: number(random),
        },
        term: number(random),
        to: member("a", 1),
    }
}

fn start() -> log::Log {
    let snapshot = entry::Snapshot {
        roster: roster(),
        ..entry::Snapshot::default()
    };
    let settings = log::Settings {
        batch_entries: 8,
        bootstrap: members().into_iter().map(|member| member.name).collect(),
        chunk_bytes: 64,
        keep_bytes: 1024,
        keep_entries: 4,
        learner_lag: 4,
        open_membership: None,
        peers: [Bytes::from_static(b"b"), Bytes::from_static(b"c")].into(),
    };
    let (log, _effects) = log::Log::start(log::Start {
        copied: false,
        hard: effect::Hard {
            term: 1,
            ..effect::Hard::default()
        },
        me: member("a", 1),
        run: 1,
        settings: sync::Arc::new(settings),
        store: store::Store::new(snapshot, Vec::new()),
    });
    log
}

/// Returns whether the log has all entries up to its commit index.
fn is_whole(log: &log::Log) -> bool {
    let store = log.store();
    let first = store.snapshot().position.index + 1;
    log.commit() <= store.last().index
        && (first..=store.last().index).all(|index| {
            store
                .entry(index)
                .is_some_and(|entry| entry.position.index == index)
        })
}

/// Hands a message that passes the check to the log; returns whether it does.
fn deliver(log: &mut log::Log, message: message::Message) -> bool {
    let is_sound = message.is_sound();
    if is_sound {
        log.handle(effect::Event::Message(message));
    }
    is_sound
}

#[test]
fn a_replica_survives_messages_that_no_sound_member_sends() {
    let mut delivered = 0;
    for seed in 0..RUNS {
        let mut random = Gen::from_size_and_seed(8, seed);
        let mut log = start();
        for _message in 0..40 {
            match u8::arbitrary(&mut random) % 8 {
                0 => drop(log.handle(effect::Event::ElectionTimeout)),
                1 => drop(log.handle(effect::Event::HeartbeatTimeout)),
                _ => {
                    delivered += u64::from(deliver(&mut log, build_message(&mut random)));
                }
            };
            assert!(is_whole(&log), "seed {seed}: {log:?}");
        }
    }
    assert!(delivered > 10 * RUNS, "{delivered} messages delivered");
}
