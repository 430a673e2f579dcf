//! Which control host a gateway reports its load to.

use core::time::Duration;

use peargap_core::aggregator;
use peargap_core::time::Instant;

const NOW: Instant = Instant(10_000);

fn connect(names: &[&str]) -> aggregator::Hosts {
    let mut hosts = aggregator::Hosts::default();
    for name in names {
        hosts.connect(NOW, name);
    }
    hosts
}

#[test]
fn gateways_choose_the_first_voter_whatever_the_order_of_their_links() {
    let mut one = connect(&["a-learner", "b", "c"]);
    let mut other = connect(&["c", "b", "a-learner"]);
    let voters = || ["b", "c"].map(str::to_owned);
    one.set_voters(voters());
    other.set_voters(voters());
    assert_eq!(one.choose(), Some("b"));
    assert_eq!(other.choose(), Some("b"));
}

#[test]
fn without_a_connected_voter_another_host_is_chosen() {
    let mut hosts = connect(&["a", "b"]);
    hosts.set_voters(["z".to_owned()]);
    assert_eq!(hosts.choose(), Some("a"));
    assert!(hosts.disconnect("a"));
    assert!(!hosts.disconnect("a"));
    assert_eq!(hosts.choose(), Some("b"));
    hosts.disconnect("b");
    assert_eq!(hosts.choose(), None);
}

#[test]
fn a_silent_host_is_left_until_it_is_heard_again() {
    let mut hosts = connect(&["a", "b"]);
    let before = NOW + (aggregator::SILENCE_LIMIT - Duration::from_millis(1));
    assert!(!hosts.check_silence(before, "a", NOW));
    let after = NOW + aggregator::SILENCE_LIMIT;
    assert!(hosts.check_silence(after, "a", NOW));
    assert!(!hosts.check_silence(after, "a", NOW), "marked already");
    assert_eq!(hosts.choose(), Some("b"));
    assert!(hosts.record_update(after, "a"));
    assert!(!hosts.record_update(after, "a"), "heard already");
    assert_eq!(hosts.choose(), Some("a"));
}

#[test]
fn a_host_is_not_silent_before_it_has_had_time_to_answer() {
    let mut hosts = connect(&["a"]);
    let reporting_since = NOW + Duration::from_secs(5);
    let soon = reporting_since + Duration::from_millis(100);
    assert!(!hosts.check_silence(soon, "a", reporting_since));
    let late = reporting_since + aggregator::SILENCE_LIMIT;
    assert!(hosts.check_silence(late, "a", reporting_since));
}

#[test]
fn a_host_sends_several_updates_within_the_limit_of_silence() {
    assert!(aggregator::UPDATE_INTERVAL * 3 <= aggregator::SILENCE_LIMIT);
}
