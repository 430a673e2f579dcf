//! Tests of the limit on the batch size.

use peargap_core::admit;
use peargap_core::batch;

const CEILING: u32 = 64;

/// Returns the limiter after gaps of `base_ms` plus `slope_ms` for each stream beyond the first.
fn observe(base_ms: f64, slope_ms: f64) -> batch::Limiter {
    let mut limiter = batch::Limiter::new(CEILING, admit::MAX_GAP_RATIO);
    for round in 0..2_000_u32 {
        let running = 1 + round % 12;
        let gap = base_ms + slope_ms * f64::from(running - 1);
        limiter.observe(running, gap.round() as u64);
    }
    limiter
}

#[test]
fn gaps_far_below_the_target_do_not_limit_the_batch() {
    // 5 ms and 0.5 ms per further stream: 30 streams have a gap of about 20 ms.
    let limit = observe(5.0, 0.5).limit();
    assert!(limit >= 30, "{limit}");
}

#[test]
fn gaps_near_the_target_are_bounded() {
    // 20 ms and 1 ms per further stream: 7 streams have 1.3 times the gap of one.
    let limit = observe(20.0, 1.0).limit();
    assert!((2..=7).contains(&limit), "{limit}");
}

#[test]
fn gaps_never_pass_the_target_of_fast_engines() {
    // 5 ms and 1 ms per further stream: 22 streams have a gap of 26 ms.
    let limit = observe(5.0, 1.0).limit();
    assert!(limit <= 22, "{limit}");
}
