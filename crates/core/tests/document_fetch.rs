//! Choice of the control host that a routing document is requested from.

use core::time::Duration;

use peargap_core::document_fetch;
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
