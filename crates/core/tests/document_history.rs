//! What a control host sends of its documents, and how a gateway takes it.

use bytes::Bytes;
use peargap_core::document_history;
use peargap_core::document_transfer;

fn text(version: u64) -> Bytes {
    Bytes::from(format!("text of version {version}"))
}

fn held(version: u64) -> document_history::Held {
    let text = document_history::Text::new(version, text(version));
    document_history::Held {
        digest: text.digest,
        version,
        ..document_history::Held::default()
    }
}

/// A transfer of `total` bytes.
fn transfer(version: u64, base: u64, total: usize) -> document_transfer::Transfer {
    document_transfer::Transfer {
        data: Bytes::from(vec![7; total]),
        header: document_transfer::Header {
            base,
            digest: version,
            total,
            version,
        },
    }
}

fn record(versions: impl Iterator<Item = u64>) -> document_history::History {
    let mut history = document_history::History::default();
    for version in versions {
        history.record(version, &text(version));
    }
    history
}

/// Returns the base that the answer to a gateway differs from; 0 for the whole text.
fn find_base(history: &document_history::History, held: &document_history::Held) -> u64 {
    match history.plan(held).expect("a document") {
        document_history::Source::Difference(pair) => pair.base.version,
        document_history::Source::Piece(piece) => piece.header.base,
        document_history::Source::Whole(_) => 0,
    }
}

#[test]
fn a_known_base_gets_the_difference_to_the_newest_document() {
    let history = record(1..=5);
    let plan = history.plan(&held(3));
    let Some(document_history::Source::Difference(pair)) = plan else {
        panic!("{plan:?}");
    };
    assert_eq!((pair.base.version, pair.text.version), (3, 5));
}

#[test]
fn an_unknown_base_gets_the_whole_text() {
    let history = record(1..=5);
    let other_text = document_history::Held {
        digest: 9,
        ..held(3)
    };
    for held in [held(0), held(8), other_text] {
        assert_eq!(find_base(&history, &held), 0);
    }
    assert_eq!(document_history::History::default().plan(&held(1)), None);
}

#[test]
fn a_base_that_is_no_longer_kept_gets_the_whole_text() {
    let history = record(1..=100);
    assert_eq!(find_base(&history, &held(1)), 0);
    assert_eq!(find_base(&history, &held(99)), 99);
    let mut large = document_history::History::default();
    for version in 1..=3 {
        large.record(version, &Bytes::from(vec![1; 3 << 20]));
    }
    let first = document_history::Text::new(1, Bytes::from(vec![1; 3 << 20]));
    let held = document_history::Held {
        digest: first.digest,
        version: 1,
        ..document_history::Held::default()
    };
    assert_eq!(find_base(&large, &held), 0);
}

#[test]
fn an_older_document_never_replaces_a_newer_one() {
    let history = record([4, 6, 5].into_iter());
    let plan = history.plan(&held(4));
    let Some(document_history::Source::Difference(pair)) = plan else {
        panic!("{plan:?}");
    };
    assert_eq!((pair.base.version, pair.text.version), (4, 6));
}

#[test]
fn a_transfer_is_made_once_for_all_gateways_with_the_same_base() {
    let mut history = record(1..=5);
    let made = transfer(5, 3, 10);
    history.keep(made.clone(), &held(3));
    assert_eq!(
        history.plan(&held(3)),
        Some(document_history::Source::Piece(made.cut(0)))
    );
    assert_eq!(find_base(&history, &held(4)), 4);
}

#[test]
fn a_transfer_that_has_begun_is_finished_when_a_newer_document_is_known() {
    let mut history = record(1..=5);
    let made = transfer(5, 0, 3 * document_transfer::PIECE_BYTES);
    let first = history.keep(made.clone(), &held(0));
    let mut arrival = document_transfer::Arrival::start(&first).expect("the first piece");
    for version in 6..=8 {
        history.record(version, &text(version));
        if arrival.is_complete() {
            break;
        }
        let held = document_history::Held {
            received: arrival.received(),
            transfer: Some(arrival.header()),
            ..document_history::Held::default()
        };
        let Some(document_history::Source::Piece(piece)) = history.plan(&held) else {
            panic!("the transfer was given up");
        };
        assert!(arrival.add(&piece));
        assert!(!arrival.add(&piece), "a repeated piece was added");
    }
    assert!(arrival.is_complete());
    assert_eq!(arrival.finish(), made);
}

#[test]
fn a_host_that_lacks_a_transfer_goes_on_with_it_only_if_it_makes_the_same_one() {
    let begun = transfer(5, 3, 3 * document_transfer::PIECE_BYTES);
    let held = document_history::Held {
        received: document_transfer::PIECE_BYTES,
        transfer: Some(begun.header),
        ..held(3)
    };
    let mut same = record(1..=5);
    assert_eq!(same.keep(begun.clone(), &held).offset, held.received);
    let mut newer = record(1..=6);
    assert_eq!(find_base(&newer, &held), 3);
    assert_eq!(newer.keep(transfer(6, 3, 9000), &held).offset, 0);
}
