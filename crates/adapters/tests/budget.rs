//! Log lines are limited per event and second, and the number of dropped lines is reported.

use peargap_adapters::budget;

#[test]
fn an_event_writes_a_bounded_number_of_lines_a_second() {
    let mut budget = budget::Budget::default();
    let written = (0..1000).filter(|_line| budget.take(5, 1) == budget::Verdict::Write);
    assert_eq!(written.count(), 100);
    assert_eq!(budget.take(900, 1), budget::Verdict::Drop);
    assert_eq!(budget.take(900, 2), budget::Verdict::Write);
}

#[test]
fn dropped_lines_are_counted_in_the_next_second() {
    let mut budget = budget::Budget::default();
    for _line in 0..103 {
        budget.take(0, 1);
    }
    assert_eq!(budget.take(1000, 1), budget::Verdict::WriteAfter(3));
    assert_eq!(budget.take(1001, 1), budget::Verdict::Write);
}
