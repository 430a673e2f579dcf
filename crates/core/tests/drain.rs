//! Generations that a stopping gateway takes.

use core::time::Duration;

use peargap_core::drain::Pace;

const LEFT: Duration = Duration::from_secs(5);
const STRIDE: u64 = 4;

#[test]
fn a_generation_that_may_outlast_the_process_is_not_taken() {
    let pace = Pace::default();
    // 100 events of 40 ms after a second.
    assert!(pace.ends_within(LEFT, Some(400), STRIDE));
    assert!(!pace.ends_within(LEFT, Some(404), STRIDE));
    assert!(!pace.ends_within(LEFT, None, STRIDE));
    assert!(!pace.ends_within(Duration::from_millis(900), Some(8), STRIDE));
}

#[test]
fn the_measured_pace_counts() {
    let mut pace = Pace::default();
    (0..500).for_each(|_event| pace.record(10));
    assert!(pace.ends_within(LEFT, Some(1500), STRIDE));
    pace.record(100_000);
    assert!(pace.ends_within(LEFT, Some(500), STRIDE));
}
