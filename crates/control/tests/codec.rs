//! Messages between control hosts as bytes: whatever they hold, they are read or rejected.

use peargap_control::log_codec;
use peargap_core::log::entry;
use peargap_core::log::mark;
use peargap_core::log::member;
use peargap_core::log::message;
use peargap_wire::peer as wire;
use prost::Message as _;
use quickcheck::quickcheck;

fn member(name: &'static str) -> member::Member {
    member::Member {
        disk: 1,
        name: bytes::Bytes::from_static(name.as_bytes()),
    }
}

fn append(entries: Vec<entry::Entry>) -> message::Message {
    message::Message {
        from: member("a"),
        kind: message::Kind::Append(message::Append {
            commit: 3,
            entries,
            previous: entry::Position { index: 3, term: 2 },
            round: 9,
        }),
        stamp: mark::Stamp::default(),
        term: 2,
        to: member("b"),
    }
}

fn entry(index: u64, term: u64) -> entry::Entry {
    entry::Entry {
        payload: entry::Payload::Noop,
        position: entry::Position { index, term },
    }
}

fn pass(message: &message::Message) -> Result<message::Message, log_codec::Malformed> {
    log_codec::decode_message(log_codec::encode_message(message))
}

#[test]
fn entries_that_leave_a_gap_or_come_from_a_later_term_are_rejected() {
    let sound = append(vec![entry(4, 2), entry(5, 2)]);
    assert_eq!(pass(&sound), Ok(sound.clone()));
    for entries in [
        vec![entry(5, 2)],
        vec![entry(4, 2), entry(6, 2)],
        vec![entry(4, 1)],
        vec![entry(4, 3)],
        vec![entry(u64::MAX, 2)],
    ] {
        let message = append(entries);
        assert_eq!(
            pass(&message),
            Err(log_codec::Malformed::Unsound),
            "{message:?}"
        );
    }
}

quickcheck! {
    fn bytes_at_random_are_read_or_rejected(bytes: Vec<u8>) -> bool {
        if let Ok(message) = wire::Message::decode(&bytes[..]) {
            let _ = log_codec::decode_message(message);
        }
        if let Ok(snapshot) = wire::Snapshot::decode(&bytes[..]) {
            let _ = log_codec::decode_snapshot(snapshot);
        }
        if let Ok(hard) = wire::Hard::decode(&bytes[..]) {
            let _ = log_codec::decode_hard(hard);
        }
        true
    }

    fn messages_with_changed_bytes_are_read_or_rejected(changes: Vec<(usize, u8)>) -> bool {
        let message = append(vec![entry(4, 2), entry(5, 2)]);
        let mut bytes = log_codec::encode_message(&message).encode_to_vec();
        for (place, value) in changes {
            let place = place % bytes.len();
            bytes[place] = value;
        }
        if let Ok(message) = wire::Message::decode(&bytes[..]) {
            let _ = log_codec::decode_message(message);
        }
        true
    }
}
