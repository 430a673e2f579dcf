//! Tests of the estimated contents of a prefix cache and of its reports.

use peargap_core::cached;
use peargap_core::time;

#[test]
fn lists_only_what_is_held_and_newest_first() {
    let mut known = cached::Known::new();
    known.note_chain(&[1, 2, 3, 4, 5]);
    known.note_chain(&[1, 2, 30]);
    assert!(known.list_prefixes(9).is_empty());
    for hash in [1, 2, 3, 4, 5, 30] {
        known.apply(cached::Change::Stored(hash));
    }
    assert_eq!(known.list_prefixes(9), [30, 2, 1, 5, 4]);
    assert_eq!(known.list_prefixes(2), [30, 2]);
    known.apply(cached::Change::Evicted(30));
    known.note_chain(&[1, 2, 3, 4, 5]);
    assert_eq!(known.list_prefixes(9), [5, 4, 2, 1]);
    known.clear();
    assert!(known.list_prefixes(9).is_empty());
}

#[test]
fn missed_evictions_do_not_grow_it_without_bound() {
    let mut known = cached::Known::new();
    for hash in 0..100_000 {
        known.note_chain(&[hash]);
        known.apply(cached::Change::Stored(hash));
    }
    assert_eq!(known.list_prefixes(usize::MAX).len(), 64);
    known.note_chain(&[0]);
    assert!(!known.list_prefixes(usize::MAX).contains(&0));
}

#[test]
fn prefixes_are_sent_when_they_change_and_not_too_often() {
    let mut told = cached::Told::default();
    let at = time::Instant;
    assert_eq!(told.name(at(0), vec![1]), cached::Naming::Named(vec![1]));
    assert_eq!(told.name(at(5_000), vec![1]), cached::Naming::Kept);
    assert_eq!(
        told.name(at(5_100), vec![1, 2]),
        cached::Naming::Named(vec![1, 2])
    );
    assert_eq!(told.name(at(5_200), vec![]), cached::Naming::Kept);
    assert_eq!(told.name(at(7_100), vec![]), cached::Naming::Named(vec![]));
}
