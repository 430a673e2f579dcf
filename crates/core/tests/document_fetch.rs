//! Choice of the control host that a routing document is requested from.

use core::time::Duration;

use bytes::Bytes;
use peargap_core::document_fetch;
use peargap_core::document_transfer;
use peargap_core::time::Instant;

const START: Instant = Instant(1_000);

#[test]
fn a_document_is_requested_once_and_not_when_it_is_known() {
    let mut fetch = document_fetch::Fetch::default();
    fetch.record_offer(START, "a", 5);
    fetch.record_offer(START, "b", 5);
    assert_eq!(fetch.next(START, "a", 4), document_fetch::Next::Request(5));
    assert_eq!(fetch.next(START, "b", 4), document_fetch::Next::Wait);
    assert_eq!(fetch.next(START, "b", 5), document_fetch::Next::Wait);
    assert!(fetch.is_behind("b", 4) && !fetch.is_behind("b", 5));
}

/// Links wake in the order in which they heard of the version, each time again.
fn play_silent_first_host(hosts: &[&str]) -> Option<u64> {
    let mut fetch = document_fetch::Fetch::default();
    for host in hosts {
        fetch.record_offer(START, host, 5);
    }
    for round in 0..8_u32 {
        let now = START + document_fetch::TIMEOUT * round;
        for host in hosts {
            let next = fetch.next(now, host, 4);
            if next != document_fetch::Next::Wait && *host != "silent" {
                return Some(now.millis_since(START));
            }
        }
    }
    None
}

#[test]
fn a_host_that_does_not_answer_is_left_for_another_one() {
    let timeout = u64::try_from(document_fetch::TIMEOUT.as_millis()).expect("short");
    let after = play_silent_first_host(&["silent", "b", "c"]);
    assert_eq!(after, Some(timeout));
}

#[test]
fn a_host_that_did_not_answer_is_not_the_first_for_the_next_version() {
    let mut fetch = document_fetch::Fetch::default();
    fetch.record_offer(START, "silent", 5);
    fetch.record_offer(START, "b", 5);
    assert_ne!(fetch.next(START, "silent", 4), document_fetch::Next::Wait);
    let later = START + document_fetch::TIMEOUT;
    assert_eq!(fetch.next(later, "silent", 4), document_fetch::Next::Wait);
    assert_ne!(fetch.next(later, "b", 4), document_fetch::Next::Wait);
    fetch.record_answer("b");
    let later = later + Duration::from_secs(3);
    for host in ["silent", "b"] {
        fetch.record_offer(later, host, 6);
    }
    assert_eq!(fetch.next(later, "silent", 5), document_fetch::Next::Wait);
    assert_eq!(fetch.next(later, "b", 5), document_fetch::Next::Request(6));
}

#[test]
fn the_only_host_is_requested_again() {
    let mut fetch = document_fetch::Fetch::default();
    fetch.record_offer(START, "a", 5);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let later = START + document_fetch::TIMEOUT;
    assert_ne!(fetch.next(later, "a", 4), document_fetch::Next::Wait);
}

#[test]
fn a_host_is_requested_again_if_the_links_to_the_others_are_blocked() {
    let mut fetch = document_fetch::Fetch::default();
    fetch.record_offer(START, "a", 5);
    fetch.record_offer(START, "blocked", 5);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let mut now = START;
    while fetch.next(now, "a", 4) == document_fetch::Next::Wait {
        now = now + Duration::from_millis(50);
        assert!(now.millis_since(START) <= 1_000, "not requested again");
    }
}

/// Pieces of a transfer in these tests.
const PIECES: usize = 10;
/// Time that a piece takes on the thin link.
const PIECE_TIME: Duration = Duration::from_millis(40);

fn build_transfer(version: u64, pieces: usize) -> document_transfer::Transfer {
    let total = pieces * document_transfer::PIECE_BYTES;
    document_transfer::Transfer {
        data: Bytes::from(vec![7; total]),
        header: document_transfer::Header {
            base: 0,
            digest: version,
            total,
            version,
        },
    }
}

fn cut(transfer: &document_transfer::Transfer, index: usize) -> document_transfer::Piece {
    transfer.cut(index * document_transfer::PIECE_BYTES)
}

fn offer_to(hosts: &[&str], version: u64) -> document_fetch::Fetch {
    let mut fetch = document_fetch::Fetch::default();
    for host in hosts {
        fetch.record_offer(START, host, version);
    }
    fetch
}

#[test]
fn what_arrives_over_a_thin_link_is_not_requested_again() {
    let hosts = ["a", "b", "c"];
    let mut fetch = offer_to(&hosts, 5);
    let transfer = build_transfer(5, PIECES);
    let mut requests = Vec::new();
    let mut now = START;
    for index in 0..PIECES {
        for host in hosts {
            if fetch.next(now, host, 4) != document_fetch::Next::Wait {
                requests.push(host);
            }
        }
        now = now + PIECE_TIME;
        let outcome = fetch.record_piece(now, "a", 4, &cut(&transfer, index));
        let is_last = index + 1 == PIECES;
        assert_eq!(outcome != document_fetch::Outcome::More, is_last);
    }
    assert!(now.millis_since(START) > 250, "the transfer is too short");
    assert_eq!(requests, vec!["a"; PIECES]);
}

#[test]
fn while_a_document_arrives_no_newer_one_is_requested() {
    let mut fetch = offer_to(&["a", "b"], 5);
    let transfer = build_transfer(5, 2);
    assert_eq!(fetch.next(START, "a", 4), document_fetch::Next::Request(5));
    fetch.record_offer(START, "b", 6);
    assert_eq!(fetch.next(START, "b", 4), document_fetch::Next::Wait);
    assert_eq!(
        fetch.record_piece(START, "a", 4, &cut(&transfer, 0)),
        document_fetch::Outcome::More
    );
    assert_eq!(fetch.next(START, "b", 4), document_fetch::Next::Wait);
    assert_eq!(fetch.next(START, "a", 4), document_fetch::Next::Request(5));
    assert_eq!(
        fetch.record_piece(START, "a", 4, &cut(&transfer, 1)),
        document_fetch::Outcome::Complete(transfer)
    );
    assert_eq!(fetch.next(START, "b", 4), document_fetch::Next::Wait);
    fetch.record_applied(5);
    fetch.record_settled(5);
    assert_eq!(fetch.next(START, "b", 5), document_fetch::Next::Request(6));
}

#[test]
fn only_the_newest_version_is_requested() {
    let mut fetch = offer_to(&["a"], 5);
    fetch.record_offer(START, "b", 6);
    assert_eq!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    assert_eq!(fetch.next(START, "b", 4), document_fetch::Next::Request(6));
    fetch.forget("b");
    assert_eq!(fetch.next(START, "a", 4), document_fetch::Next::Request(5));
}

#[test]
fn another_host_goes_on_when_one_dies_halfway() {
    let mut fetch = offer_to(&["a", "b"], 5);
    let transfer = build_transfer(5, 2);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let _more = fetch.record_piece(START, "a", 4, &cut(&transfer, 0));
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let silent = START + document_fetch::TIMEOUT;
    assert_eq!(fetch.next(silent, "b", 4), document_fetch::Next::Request(5));
    let stall = fetch.take_stall().expect("a stall");
    assert_eq!(
        (stall.host.as_str(), stall.received),
        ("a", document_transfer::PIECE_BYTES)
    );
    let arrival = fetch.arrival().expect("what has arrived");
    assert_eq!(arrival.received(), document_transfer::PIECE_BYTES);
    let outcome = fetch.record_piece(silent, "b", 4, &cut(&transfer, 1));
    assert_eq!(outcome, document_fetch::Outcome::Complete(transfer));
}

#[test]
fn a_closed_link_is_noticed_at_once() {
    let mut fetch = offer_to(&["a", "b"], 5);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    fetch.forget("a");
    assert_eq!(fetch.next(START, "b", 4), document_fetch::Next::Request(5));
}

#[test]
fn a_host_that_has_restarted_starts_another_transfer() {
    let mut fetch = offer_to(&["a"], 5);
    let begun = build_transfer(5, 3);
    let other = build_transfer(6, 2);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let _more = fetch.record_piece(START, "a", 4, &cut(&begun, 0));
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let outcome = fetch.record_piece(START, "a", 4, &cut(&other, 0));
    assert_eq!(outcome, document_fetch::Outcome::More);
    let outcome = fetch.record_piece(START, "a", 4, &cut(&other, 1));
    assert_eq!(outcome, document_fetch::Outcome::Complete(other));
}

#[test]
fn a_late_answer_is_used_and_its_repeat_is_not() {
    let mut fetch = offer_to(&["a", "b"], 5);
    let transfer = build_transfer(5, 1);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let late = START + document_fetch::TIMEOUT;
    assert_ne!(fetch.next(late, "b", 4), document_fetch::Next::Wait);
    let outcome = fetch.record_piece(late, "a", 4, &cut(&transfer, 0));
    assert_eq!(outcome, document_fetch::Outcome::Complete(transfer.clone()));
    fetch.record_applied(5);
    let outcome = fetch.record_piece(late, "b", 5, &cut(&transfer, 0));
    assert_eq!(outcome, document_fetch::Outcome::Ignored);
}

#[test]
fn a_link_that_takes_long_for_a_piece_gets_more_time() {
    let mut fetch = offer_to(&["a", "b"], 5);
    let transfer = build_transfer(5, 3);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    let first = START + Duration::from_millis(200);
    let _more = fetch.record_piece(first, "a", 4, &cut(&transfer, 0));
    assert_ne!(fetch.next(first, "a", 4), document_fetch::Next::Wait);
    let waited = first + document_fetch::TIMEOUT * 2;
    assert_eq!(fetch.next(waited, "b", 4), document_fetch::Next::Wait);
    let too_long = first + document_fetch::TIMEOUT * 4;
    assert_ne!(fetch.next(too_long, "b", 4), document_fetch::Next::Wait);
}

#[test]
fn after_a_corrupt_difference_the_whole_text_is_requested_and_then_not_too_often() {
    let mut fetch = offer_to(&["a"], 5);
    let transfer = build_transfer(5, 1);
    let mut now = START;
    assert!(!fetch.wants_whole());
    let mut requests = 0;
    while now.millis_since(START) < 3_000 {
        if fetch.next(now, "a", 4) != document_fetch::Next::Wait {
            requests += 1;
            let outcome = fetch.record_piece(now, "a", 4, &cut(&transfer, 0));
            assert_ne!(outcome, document_fetch::Outcome::More);
            fetch.record_damage(now, "a");
            assert!(fetch.wants_whole());
        }
        now = now + Duration::from_millis(10);
    }
    assert!((3..=5).contains(&requests), "{requests} requests");
    fetch.record_applied(5);
    assert!(!fetch.wants_whole());
}

#[test]
fn a_document_that_cannot_be_used_is_not_requested_again() {
    let mut fetch = offer_to(&["a"], 5);
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    fetch.record_answer("a");
    fetch.record_settled(5);
    assert_eq!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    fetch.record_offer(START, "a", 6);
    assert_eq!(fetch.next(START, "a", 4), document_fetch::Next::Request(6));
}

#[test]
fn a_difference_from_a_text_that_is_no_longer_in_force_is_ignored() {
    let mut fetch = offer_to(&["a", "b"], 5);
    let mut late = build_transfer(5, 1);
    late.header.base = 4;
    assert_ne!(fetch.next(START, "a", 4), document_fetch::Next::Wait);
    fetch.record_offer(START, "b", 6);
    let overdue = START + document_fetch::TIMEOUT;
    assert_eq!(
        fetch.next(overdue, "b", 4),
        document_fetch::Next::Request(6)
    );
    let outcome = fetch.record_piece(overdue, "a", 4, &cut(&late, 0));
    assert_eq!(outcome, document_fetch::Outcome::Complete(late));
    let mut other = build_transfer(6, 1);
    other.header.base = 4;
    let outcome = fetch.record_piece(overdue, "b", 4, &cut(&other, 0));
    assert_eq!(outcome, document_fetch::Outcome::Ignored);
    fetch.record_applied(5);
    fetch.record_settled(5);
    let outcome = fetch.record_piece(overdue, "b", 5, &cut(&other, 0));
    assert_eq!(outcome, document_fetch::Outcome::Ignored);
    assert_eq!(
        fetch.next(overdue, "b", 5),
        document_fetch::Next::Request(6)
    );
}
