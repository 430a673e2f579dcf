//! A node keeps its lease through an election, whenever the node reports and the election ends.

use core::time::Duration;

use peargap_core::config_follower;
use peargap_core::time::Instant;

/// Longest lease that a control host grants.
const LEASE_MS: u64 = 1500;
/// Age of a follower's freshness when its leader fails: one heartbeat and its delivery.
const FRESHNESS_AGE_MS: u64 = 100;
/// Time from a report to the lease that answers it.
const REPLY_MS: u64 = 5;
/// Latest end of an election after which a node that reports to a follower has a new lease in time.
const LATEST_ELECTION_MS: u64 = 1250;
/// Time at which the leader fails; the node has reported for a while by then.
const FAILURE_MS: u64 = 5_000;
const END_MS: u64 = FAILURE_MS + 4_000;
const VERSION: u64 = 1;

/// Returns until when a control host that follows the failed leader may grant leases.
fn fresh_until(now_ms: u64, elected_ms: u64) -> u64 {
    let is_led = now_ms < FAILURE_MS || now_ms >= elected_ms;
    let confirmed_ms = if is_led { now_ms } else { FAILURE_MS };
    confirmed_ms + LEASE_MS - FRESHNESS_AGE_MS
}

/// Returns how long a node has no lease after its first one. The node reports to one control host
/// from `first_ms` on, and the election after the leader's failure ends at `elected_ms`.
fn count_unleased_ms(first_ms: u64, elected_ms: u64) -> u64 {
    let mut follower = config_follower::Follower::default();
    assert_eq!(follower.offer_full(VERSION), config_follower::Step::Apply);
    let mut report_ms = first_ms;
    let mut reply_ms = None;
    let mut unleased_ms = 0;
    for now_ms in first_ms..END_MS {
        let now = Instant(now_ms);
        if reply_ms == Some(now_ms) {
            let left_ms = fresh_until(now_ms, elected_ms).saturating_sub(now_ms);
            let length = Duration::from_millis(left_ms.min(LEASE_MS));
            follower.extend_lease(VERSION, Instant(report_ms), length);
        }
        let interval = follower.report_interval(now);
        if now_ms == first_ms || Instant(report_ms) + interval <= now {
            report_ms = now_ms;
            reply_ms = Some(now_ms + REPLY_MS);
        }
        if now_ms > first_ms + REPLY_MS && !follower.is_fresh(now) {
            unleased_ms += 1;
        }
    }
    unleased_ms
}

#[test]
fn an_election_within_the_lease_interrupts_no_lease() {
    for first_ms in (0..500).step_by(10) {
        for election_ms in (0..=LATEST_ELECTION_MS).step_by(10) {
            let unleased_ms = count_unleased_ms(first_ms, FAILURE_MS + election_ms);
            assert_eq!(
                unleased_ms, 0,
                "first report {first_ms}, election {election_ms}"
            );
        }
    }
}

#[test]
fn a_node_with_a_lease_reports_at_the_regular_interval() {
    let mut follower = config_follower::Follower::default();
    assert_eq!(follower.offer_full(VERSION), config_follower::Step::Apply);
    let lease = Duration::from_millis(LEASE_MS - FRESHNESS_AGE_MS);
    follower.extend_lease(VERSION, Instant(0), lease);
    let regular = config_follower::REPORT_INTERVAL;
    assert_eq!(follower.report_interval(Instant(REPLY_MS)), regular);
    let regular_ms = u64::try_from(regular.as_millis()).expect("short");
    assert_eq!(follower.report_interval(Instant(regular_ms)), regular);
}
