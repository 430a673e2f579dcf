//! Quarantine of whole requests: what evidence leads to it, how it ends, and what it does not harm.

use core::time::Duration;

use peargap_core::prompt::Part;
use peargap_core::quarantine;
use peargap_core::quarantine::Name;
use peargap_core::quarantine::Subject;
use peargap_core::quarantine::Table;
use peargap_core::quarantine::Verdict;
use peargap_core::request::Digest;
use peargap_core::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn request(number: u128) -> Subject {
    Subject::Request(Digest(number))
}

fn part(id: u64) -> Subject {
    Subject::Part(Part::new(b"m", id))
}

fn loss(number: u64) -> quarantine::Loss {
    quarantine::Loss::new("upstream", number)
}

/// Records the end of one upstream a second, each while it runs these requests.
fn lose(table: &mut Table, running: &[&[u128]]) -> Instant {
    let mut now = Instant::default();
    for (number, requests) in (1..).zip(running) {
        now = Instant::default() + SECOND * number;
        for one in *requests {
            table.record_loss(now, &[request(*one)], loss(u64::from(number)));
        }
    }
    now
}

fn is_quarantined(table: &Table, number: u128) -> bool {
    table.find_quarantined(&[request(number)]).is_some()
}

#[test]
fn three_ends_put_a_request_in_quarantine() {
    let mut table = Table::default();
    lose(&mut table, &[&[1, 9], &[2, 9]]);
    assert!(!is_quarantined(&table, 9));
    lose(&mut table, &[&[1, 9], &[2, 9], &[3, 9]]);
    assert!(is_quarantined(&table, 9));
    for sound in 1..=3 {
        assert!(!is_quarantined(&table, sound));
    }
}

#[test]
fn a_request_that_two_upstreams_ended_with_is_not_repeated_at_once() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9]]);
    assert!(table.may_repeat(&[request(9)]));
    table.record_loss(now + SECOND, &[request(9)], loss(2));
    assert!(!table.may_repeat(&[request(9)]));
    assert!(table.may_repeat(&[request(1)]));
    table.record_success(now + SECOND, &[request(9)]);
    assert!(table.may_repeat(&[request(9)]));
}

#[test]
fn a_request_that_was_answered_in_between_is_not_refused() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9], &[9]]);
    table.record_success(now, &[request(9)]);
    table.record_success(now, &[request(9)]);
    table.record_loss(now + SECOND, &[request(9)], loss(3));
    assert!(!is_quarantined(&table, 9));
}

#[test]
fn a_popular_request_is_not_refused_while_upstreams_end_all_the_time() {
    let mut table = Table::default();
    let mut now = Instant::default();
    for number in 0..1000 {
        now = now + SECOND;
        table.record_loss(now, &[request(9)], loss(number));
        for _answer in 0..3 {
            table.record_success(now, &[request(9)]);
        }
        assert!(!is_quarantined(&table, 9));
    }
}

/// Clears a request by answers `times` times, then returns the number of losses until it is in quarantine.
fn count_losses_after_clearings(times: u64) -> u64 {
    let mut table = Table::default();
    let mut now = Instant::default();
    for number in 0..times {
        now = now + SECOND;
        table.record_loss(now, &[request(9)], loss(number));
        for _answer in 0..3 {
            table.record_success(now, &[request(9)]);
        }
    }
    let mut losses = 0;
    while !is_quarantined(&table, 9) {
        now = now + SECOND;
        losses += 1;
        table.record_loss(now, &[request(9)], loss(times + losses));
    }
    losses
}

#[test]
fn a_request_that_answers_cleared_is_found_at_most_two_losses_later() {
    assert_eq!(count_losses_after_clearings(0), 3);
    assert_eq!(count_losses_after_clearings(1), 4);
    assert_eq!(count_losses_after_clearings(2), 5);
    assert_eq!(count_losses_after_clearings(50), 5);
}

#[test]
fn a_request_that_crashes_every_second_upstream_is_found() {
    let mut table = Table::default();
    let mut now = Instant::default();
    let mut losses = 0;
    while !is_quarantined(&table, 9) {
        now = now + SECOND;
        losses += 1;
        table.record_loss(now, &[request(9)], loss(losses));
        if !is_quarantined(&table, 9) {
            table.record_success(now, &[request(9)]);
        }
        assert!(losses < 10);
    }
}

#[test]
fn a_request_that_was_sound_for_long_is_found_once_it_crashes_upstreams() {
    let mut table = Table::default();
    for _answer in 0..1000 {
        table.record_success(Instant::default(), &[request(9)]);
    }
    lose(&mut table, &[&[9], &[9], &[9]]);
    assert!(is_quarantined(&table, 9));
}

#[test]
fn requests_that_are_always_lost_together_are_all_refused() {
    let mut table = Table::default();
    lose(&mut table, &[&[8, 9], &[8, 9], &[8, 9]]);
    assert!(is_quarantined(&table, 8));
    assert!(is_quarantined(&table, 9));
}

#[test]
fn a_sound_request_that_was_lost_with_a_deadly_one_is_not_refused() {
    let mut table = Table::default();
    lose(&mut table, &[&[9], &[8, 9], &[8, 9], &[8, 9]]);
    assert!(is_quarantined(&table, 9));
    assert!(!is_quarantined(&table, 8));
}

#[test]
fn upstreams_that_end_in_one_moment_count_once() {
    let mut table = Table::default();
    let now = Instant::default() + SECOND;
    for number in 0..20 {
        table.record_loss(now, &[request(9)], loss(number));
    }
    assert!(!is_quarantined(&table, 9));
}

#[test]
fn a_request_is_refused_in_place_of_the_parts_of_its_prompt() {
    let mut table = Table::default();
    let subjects = [part(1), part(2), request(9)];
    for number in 1..=3 {
        let now = Instant::default() + SECOND * number;
        table.record_loss(now, &subjects, loss(u64::from(number)));
    }
    assert_eq!(table.find_quarantined(&subjects), Some(request(9)));
    assert_eq!(
        table.find_quarantined(&[part(1), part(2), request(8)]),
        None
    );
}

#[test]
fn a_deadly_part_is_found_although_one_request_with_it_is_in_quarantine() {
    let mut table = Table::default();
    let requests = [9, 9, 9, 8, 7];
    for (number, one) in (1..).zip(requests) {
        let now = Instant::default() + SECOND * number;
        let subjects = [part(1), request(one)];
        table.record_loss(now, &subjects, loss(u64::from(number)));
    }
    assert!(table.find_quarantined(&[part(1), request(6)]).is_some());
}

#[test]
fn a_request_gets_three_trials_in_all() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9], &[9], &[9]]);
    let mut trials = 0;
    for minute in 1..600 {
        let now = now + MINUTE * minute;
        if table.admit(now, &[request(9)], |_| true) == Verdict::Trial(request(9)) {
            trials += 1;
            table.record_trial(now, request(9));
            table.record_loss(now, &[request(9)], loss(3 + trials));
        }
    }
    assert_eq!(trials, 3);
    assert!(is_quarantined(&table, 9));
}

#[test]
fn trials_that_another_process_ran_count() {
    let mut table = Table::default();
    let mut other = Table::default();
    let mut now = lose(&mut table, &[&[9], &[9], &[9]]);
    let mut trials = 0;
    for round in 1..600 {
        now = now + MINUTE;
        let (runs, hears) = match round % 2 {
            0 => (&mut table, &mut other),
            _ => (&mut other, &mut table),
        };
        if runs.admit(now, &[request(9)], |_| true) == Verdict::Trial(request(9)) {
            trials += 1;
            runs.record_trial(now, request(9));
        }
        let told: Vec<_> = runs.list_after(0).cloned().collect();
        hears.merge(now, &told, &[]);
    }
    assert_eq!(trials, 3);
}

#[test]
fn a_trial_that_is_answered_ends_the_quarantine_everywhere() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9], &[9], &[9], &[9]]);
    let mut other = table.clone();
    let later = now + MINUTE * 5;
    assert_eq!(
        table.admit(later, &[request(9)], |_| true),
        Verdict::Trial(request(9))
    );
    table.record_success(later, &[request(9)]);
    assert_eq!(table.admit(later, &[request(9)], |_| false), Verdict::Allow);
    let told: Vec<_> = table.list_own_after(0).cloned().collect();
    other.merge(later, &told, &[]);
    assert!(!is_quarantined(&other, 9));
}

#[test]
fn the_digests_of_requests_are_needed_only_while_one_is_suspected() {
    let mut table = Table::default();
    assert!(!table.suspects_requests());
    table.record_loss(Instant::default() + SECOND, &[part(1)], loss(1));
    assert!(!table.suspects_requests());
    let now = lose(&mut table, &[&[9]]);
    assert!(table.suspects_requests());
    for _answer in 0..3 {
        table.record_success(now, &[request(9)]);
    }
    assert!(!table.suspects_requests());
}

#[test]
fn an_operator_releases_a_request() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9], &[9], &[9]]);
    let (released, _changes) = table.release(now, Name::Part(9));
    assert!(released.is_empty());
    let (released, changes) = table.release(now, Name::Request(Digest(9)));
    assert_eq!(released, [request(9)]);
    assert_eq!(changes.len(), 1);
    assert!(!is_quarantined(&table, 9));
}

#[test]
fn upstreams_that_end_one_after_the_other_within_moments_count_each() {
    let mut table = Table::default();
    for number in 1..=3 {
        let now = Instant(1000 + 20 * number);
        table.record_loss(now, &[request(9)], loss(number));
    }
    assert!(is_quarantined(&table, 9));
}

#[test]
fn a_deadly_request_that_is_lost_with_another_one_is_found_after_five_ends() {
    let mut table = Table::default();
    lose(&mut table, &[&[8], &[8, 9], &[8, 9], &[8, 9]]);
    assert!(!is_quarantined(&table, 9));
    lose(&mut table, &[&[8], &[8, 9], &[8, 9], &[8, 9], &[9], &[9]]);
    assert!(is_quarantined(&table, 8));
    assert!(is_quarantined(&table, 9));
}

#[test]
fn a_request_that_was_answered_between_its_losses_gets_a_trial_soon() {
    let mut table = Table::default();
    let now = lose(&mut table, &[&[9], &[9]]);
    table.record_success(now, &[request(9)]);
    table.record_loss(now + SECOND, &[request(9)], loss(3));
    assert!(is_quarantined(&table, 9));
    let soon = now + SECOND * 7;
    assert_eq!(
        table.admit(soon, &[request(9)], |_| true),
        Verdict::Trial(request(9))
    );
}

#[test]
fn a_trial_that_reaches_no_upstream_does_not_count() {
    let mut table = Table::default();
    let mut now = lose(&mut table, &[&[9], &[9], &[9]]);
    let mut trials = 0;
    for _minute in 0..10 {
        now = now + MINUTE;
        let verdict = table.admit(now, &[request(9)], |_| true);
        trials += u32::from(verdict == Verdict::Trial(request(9)));
    }
    assert_eq!(trials, 10);
}

#[test]
fn evidence_of_a_process_that_started_after_a_subject_was_cleared_counts() {
    let mut control = Table::default();
    let now = lose(&mut control, &[&[9], &[9], &[9]]);
    control.release(now, Name::Request(Digest(9)));
    let mut gateway = Table::default();
    let told: Vec<_> = control.list_after(0).cloned().collect();
    gateway.merge(now, &told, &[]);
    for number in 4..=6 {
        let now = now + SECOND * number;
        gateway.record_loss(now, &[request(9)], loss(u64::from(number)));
        let told: Vec<_> = gateway.list_own_after(0).cloned().collect();
        control.merge(now, &told, &[]);
    }
    assert!(is_quarantined(&gateway, 9));
    assert!(is_quarantined(&control, 9));
}
