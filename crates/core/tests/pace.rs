//! Verdicts on the event timing of a generation.

use peargap_core::pace;
use peargap_core::time;

const TARGETS: pace::Targets = pace::Targets {
    first_ms: 100,
    gap_ms: Some(20),
};

fn record_events(events: &[u64]) -> pace::Pace {
    let mut pace = pace::Pace::start(time::Instant(1000), TARGETS);
    for at in events {
        pace.record_event(time::Instant(1000 + at));
    }
    pace
}

#[test]
fn events_in_time_are_on_time() {
    let pace = record_events(&[100, 120, 121]);
    assert_eq!(pace.verdict(), pace::Verdict::OnTime);
    assert_eq!(pace.first_ms(), Some(100));
    assert_eq!(pace.longest_gap_ms(), 20);
}

#[test]
fn a_late_first_event_takes_precedence_over_gaps() {
    assert_eq!(
        record_events(&[101, 200]).verdict(),
        pace::Verdict::LateFirst
    );
    assert_eq!(record_events(&[]).verdict(), pace::Verdict::LateFirst);
}

#[test]
fn a_long_gap_is_distinguished_from_a_late_first_event() {
    assert_eq!(
        record_events(&[50, 71, 72]).verdict(),
        pace::Verdict::Paused
    );
}

#[test]
fn idle_time_counts_from_the_last_event() {
    let pace = record_events(&[50, 70]);
    assert_eq!(pace.idle_ms(time::Instant(1100)), 30);
    assert_eq!(record_events(&[]).idle_ms(time::Instant(1100)), 100);
}
