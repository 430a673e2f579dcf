//! Verdicts on the event timing of a generation.

use peargap_core::pace;
use peargap_core::time;

const PROMISE: pace::Promise = pace::Promise {
    first_ms: 100,
    gap_ms: Some(20),
};

fn play(events: &[u64]) -> pace::Pace {
    let mut pace = pace::Pace::start(time::Instant(1000), PROMISE);
    for at in events {
        pace.note_event(time::Instant(1000 + at));
    }
    pace
}

#[test]
fn events_in_time_are_on_time() {
    let pace = play(&[100, 120, 121]);
    assert_eq!(pace.judge(), pace::Verdict::OnTime);
    assert_eq!(pace.first_ms(), Some(100));
    assert_eq!(pace.longest_ms(), 20);
}

#[test]
fn a_late_first_event_takes_precedence_over_gaps() {
    assert_eq!(play(&[101, 200]).judge(), pace::Verdict::LateFirst);
    assert_eq!(play(&[]).judge(), pace::Verdict::LateFirst);
}

#[test]
fn a_long_gap_is_distinguished_from_a_late_first_event() {
    assert_eq!(play(&[50, 71, 72]).judge(), pace::Verdict::Paused);
}

#[test]
fn idle_time_counts_from_the_last_event() {
    let pace = play(&[50, 70]);
    assert_eq!(pace.silent_ms(time::Instant(1100)), 30);
    assert_eq!(play(&[]).silent_ms(time::Instant(1100)), 100);
}
