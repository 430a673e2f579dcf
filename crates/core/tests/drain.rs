//! Generations that a stopping gateway takes.

use core::time::Duration;

use peargap_core::drain::Output;
use peargap_core::drain::Pace;

const LEFT: Duration = Duration::from_secs(5);
const STRIDE: u64 = 4;

fn output(estimate: Option<u64>, max: Option<u64>) -> Output {
    Output { estimate, max }
}

#[test]
fn a_generation_that_is_likely_to_outlast_the_process_is_not_taken() {
    let pace = Pace::default();
    // 125 events of 40 ms fit.
    assert!(pace.may_end_within(LEFT, output(None, Some(500)), STRIDE));
    assert!(!pace.may_end_within(LEFT, output(None, Some(600)), STRIDE));
    assert!(pace.may_end_within(LEFT, output(Some(300), Some(4000)), STRIDE));
    assert!(!pace.may_end_within(LEFT, output(Some(400), Some(4000)), STRIDE));
    assert!(!pace.may_end_within(LEFT, output(None, None), STRIDE));
}

#[test]
fn the_measured_pace_counts() {
    let mut pace = Pace::default();
    (0..500).for_each(|_event| pace.record(10));
    assert!(pace.may_end_within(LEFT, output(None, Some(1900)), STRIDE));
    pace.record(100_000);
    assert!(pace.may_end_within(LEFT, output(None, Some(600)), STRIDE));
}
