//! Tests of the estimated contents of a prefix cache and of its reports.

use peargap_core::prefix_cache;
use peargap_core::time;

#[test]
fn lists_only_what_is_cached_and_newest_first() {
    let mut contents = prefix_cache::CacheContents::new();
    contents.record_chain(&[1, 2, 3, 4, 5]);
    contents.record_chain(&[1, 2, 30]);
    assert!(contents.list_prefixes(9).is_empty());
    for hash in [1, 2, 3, 4, 5, 30] {
        contents.apply(prefix_cache::Change::Stored(hash));
    }
    assert_eq!(contents.list_prefixes(9), [30, 2, 1, 5, 4]);
    assert_eq!(contents.list_prefixes(2), [30, 2]);
    contents.apply(prefix_cache::Change::Evicted(30));
    contents.record_chain(&[1, 2, 3, 4, 5]);
    assert_eq!(contents.list_prefixes(9), [5, 4, 2, 1]);
    contents.clear();
    assert!(contents.list_prefixes(9).is_empty());
}

#[test]
fn missed_evictions_do_not_grow_it_without_bound() {
    let mut contents = prefix_cache::CacheContents::new();
    for hash in 0..100_000 {
        contents.record_chain(&[hash]);
        contents.apply(prefix_cache::Change::Stored(hash));
    }
    assert_eq!(contents.list_prefixes(usize::MAX).len(), 64);
    contents.record_chain(&[0]);
    assert!(!contents.list_prefixes(usize::MAX).contains(&0));
}

#[test]
fn prefixes_are_sent_when_they_change_and_not_too_often() {
    let mut reported = prefix_cache::ReportedPrefixes::default();
    let at = time::Instant;
    assert_eq!(
        reported.next_report(at(0), vec![1]),
        prefix_cache::PrefixReport::List(vec![1])
    );
    assert_eq!(
        reported.next_report(at(5_000), vec![1]),
        prefix_cache::PrefixReport::Kept
    );
    assert_eq!(
        reported.next_report(at(5_100), vec![1, 2]),
        prefix_cache::PrefixReport::List(vec![1, 2])
    );
    assert_eq!(
        reported.next_report(at(5_200), vec![]),
        prefix_cache::PrefixReport::Kept
    );
    assert_eq!(
        reported.next_report(at(7_100), vec![]),
        prefix_cache::PrefixReport::List(vec![])
    );
}
