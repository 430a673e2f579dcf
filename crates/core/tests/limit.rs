//! Limits out of bounds are kept within them.

use peargap_core::limit;
use peargap_core::limit::Named;

#[test]
fn named_limits_are_kept_within_bounds() {
    let kept = |per_s| limit::bound(Named::PerSecond(per_s));
    assert_eq!(kept(2.5), 2.5);
    assert_eq!(kept(0.0), limit::LOWEST_PER_S);
    assert_eq!(kept(-3.0), limit::LOWEST_PER_S);
    assert_eq!(kept(1e6), limit::HIGHEST_PER_S);
    assert_eq!(kept(f64::INFINITY), limit::HIGHEST_PER_S);
    assert_eq!(kept(f64::NAN), limit::UNREADABLE_PER_S);
    assert_eq!(limit::bound(Named::Unreadable), limit::UNREADABLE_PER_S);
}
