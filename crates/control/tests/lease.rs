//! Freshness of a control host: only what a leader grants to this start of its process counts.

use peargap_control::lease;
use tokio::time;

const LEASE: time::Duration = time::Duration::from_millis(1500);

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

#[test]
fn an_echo_to_a_former_start_makes_a_host_not_fresh() {
    let now = time::Instant::now();
    let former = lease::Lease::new(LEASE, 1 << 40);
    let echo_ms = former.read_clock(now + seconds(100));
    for origin_ms in [0, 1 << 39, 1 << 41] {
        let mut restarted = lease::Lease::new(LEASE, origin_ms);
        let now = time::Instant::now();
        assert!(!restarted.apply_grant(now, echo_ms, 1400));
        assert_eq!(restarted.fresh_until(), None);
    }
}

#[test]
fn a_grant_holds_from_the_echoed_time_and_for_no_longer_than_a_lease() {
    let mut lease = lease::Lease::new(LEASE, 1 << 40);
    let now = time::Instant::now();
    let echo_ms = lease.read_clock(now);
    assert!(!lease.apply_grant(now, echo_ms, u32::MAX));
    assert!(!lease.apply_grant(now, echo_ms + 10_000, 1400));
    assert!(!lease.apply_grant(now, u64::MAX, 1400));
    assert!(!lease.apply_grant(now, 1, 1400));
    assert_eq!(lease.fresh_until(), None);
    assert!(lease.apply_grant(now, echo_ms, 1400));
    let until = lease.fresh_until().expect("fresh");
    assert!(until <= now + time::Duration::from_millis(1400));
    assert!(until + time::Duration::from_millis(2) >= now + time::Duration::from_millis(1400));
}
