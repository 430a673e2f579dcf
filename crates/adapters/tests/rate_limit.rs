//! Log lines are limited per event and second, and the number of dropped lines is reported.

use peargap_adapters::rate_limit;

#[test]
fn an_event_writes_a_bounded_number_of_lines_a_second() {
    let mut limiter = rate_limit::Limiter::default();
    let written = (0..1000).filter(|_line| limiter.check(5, 1) == rate_limit::Decision::Write);
    assert_eq!(written.count(), 100);
    assert_eq!(limiter.check(900, 1), rate_limit::Decision::Drop);
    assert_eq!(limiter.check(900, 2), rate_limit::Decision::Write);
}

#[test]
fn dropped_lines_are_counted_in_the_next_second() {
    let mut limiter = rate_limit::Limiter::default();
    for _line in 0..103 {
        limiter.check(0, 1);
    }
    assert_eq!(limiter.check(1000, 1), rate_limit::Decision::WriteAfter(3));
    assert_eq!(limiter.check(1001, 1), rate_limit::Decision::Write);
}
