//! What is known of a prefix cache.

use peargap_core::cached;

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
