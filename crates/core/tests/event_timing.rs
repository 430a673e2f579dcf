//! Verdicts on the event timing of a generation.

use peargap_core::event_timing;
use peargap_core::time;

const TARGETS: event_timing::Targets = event_timing::Targets {
    first_ms: 100,
    gap_ms: Some(20),
};

fn record_events(events: &[u64]) -> event_timing::EventTiming {
    let mut timing = event_timing::EventTiming::start(time::Instant(1000), TARGETS);
    for at in events {
        timing.record_event(time::Instant(1000 + at));
    }
    timing
}

#[test]
fn events_in_time_are_on_time() {
    let timing = record_events(&[100, 120, 121]);
    assert_eq!(timing.verdict(), event_timing::Verdict::OnTime);
    assert_eq!(timing.first_ms(), Some(100));
    assert_eq!(timing.longest_gap_ms(), 20);
}

#[test]
fn a_late_first_event_takes_precedence_over_gaps() {
    assert_eq!(
        record_events(&[101, 200]).verdict(),
        event_timing::Verdict::LateFirst
    );
    assert_eq!(
        record_events(&[]).verdict(),
        event_timing::Verdict::LateFirst
    );
}

#[test]
fn a_long_gap_is_distinguished_from_a_late_first_event() {
    assert_eq!(
        record_events(&[50, 71, 72]).verdict(),
        event_timing::Verdict::Paused
    );
}

#[test]
fn idle_time_counts_from_the_last_event() {
    let timing = record_events(&[50, 70]);
    assert_eq!(timing.idle_ms(time::Instant(1100)), 30);
    assert_eq!(record_events(&[]).idle_ms(time::Instant(1100)), 100);
}
