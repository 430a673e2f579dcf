//! Order of generations that wait for room at engines.

use core::time::Duration;

use peargap_core::team_share;
use peargap_core::time::Instant;
use peargap_core::waiting;

const NOW: Instant = Instant(100_000);

fn waiter(rank: u32, slack_ms: u64) -> waiting::Waiter {
    waiting::Waiter {
        is_above_share: false,
        latest_start: NOW + Duration::from_millis(slack_ms),
        patience_ms: 200,
        rank,
        since: NOW,
    }
}

fn join(queue: &mut waiting::Queue, waiter: waiting::Waiter) -> waiting::Key {
    let key = queue.join(waiter);
    queue.record_wait(NOW, key, &nobody(), false);
    key
}

fn others(waiting: [u32; waiting::LEVELS], started: u32) -> waiting::Others {
    waiting::Others {
        figures: waiting::Figures { started, waiting },
        received: NOW,
    }
}

fn nobody() -> waiting::Others {
    others([0; waiting::LEVELS], 0)
}

fn count_ahead(turn: waiting::Turn) -> Option<u32> {
    match turn {
        waiting::Turn::Begin { ahead, .. } => Some(ahead),
        waiting::Turn::Wait => None,
    }
}

fn may_begin(turn: waiting::Turn) -> bool {
    matches!(turn, waiting::Turn::Begin { .. })
}

#[test]
fn a_pressing_one_goes_before_a_more_important_one_that_has_time() {
    let mut queue = waiting::Queue::default();
    let digest = join(&mut queue, waiter(0, 3000));
    let check = join(&mut queue, waiter(1, 800));
    assert!(may_begin(queue.turn(NOW, check, &nobody())));
    assert_eq!(queue.turn(NOW, digest, &nobody()), waiting::Turn::Wait);
    let later = NOW + Duration::from_millis(2200);
    assert!(may_begin(queue.turn(later, digest, &nobody())));
}

#[test]
fn room_is_left_to_more_urgent_ones_of_other_gateways_for_a_second_at_most() {
    let mut queue = waiting::Queue::default();
    let digest = join(&mut queue, waiter(1, 5000));
    let mut elsewhere = others([3, 1, 0, 0, 0, 7, 0, 0], 50);
    let ahead = count_ahead(queue.turn(NOW, digest, &elsewhere));
    assert_eq!(ahead, Some(4));
    queue.record_wait(NOW, digest, &elsewhere, true);
    // The gateway with these has failed, and the sums still hold them.
    let second = NOW + Duration::from_millis(1000);
    elsewhere.received = second;
    let ahead = count_ahead(queue.turn(second, digest, &elsewhere));
    assert_eq!(ahead, Some(0));
}

#[test]
fn figures_of_a_cut_link_hold_nobody_back() {
    let mut queue = waiting::Queue::default();
    let digest = join(&mut queue, waiter(1, 5000));
    let elsewhere = others([9; waiting::LEVELS], 50);
    let later = NOW + Duration::from_millis(700);
    let ahead = count_ahead(queue.turn(later, digest, &elsewhere));
    assert_eq!(ahead, Some(0));
}

#[test]
fn the_oldest_begins_after_seven_others_at_the_latest() {
    let mut queue = waiting::Queue::default();
    let old = join(&mut queue, waiter(5, 60_000));
    let mut others_begun = 0;
    while !may_begin(queue.turn(NOW, old, &nobody())) {
        let mut urgent = waiter(0, 500);
        urgent.since = NOW + Duration::from_millis(1);
        let urgent = join(&mut queue, urgent);
        queue.begin(urgent);
        others_begun += 1;
        let _kept = join(
            &mut queue,
            waiting::Waiter {
                since: NOW + Duration::from_millis(1),
                ..waiter(0, 500)
            },
        );
        assert!(others_begun <= 7, "{others_begun} begun");
    }
}

#[test]
fn what_can_not_be_in_time_is_refused_at_once_with_the_time_until_there_is_room() {
    let mut queue = waiting::Queue::default();
    let key = join(&mut queue, waiter(0, 800));
    // 99 go first and 50 begin in a second.
    let elsewhere = others([198, 0, 0, 0, 0, 0, 0, 0], 50);
    let patience = queue.patience(NOW, key, &elsewhere, 0);
    let refused = waiting::Patience::Refuse {
        retry_after_ms: Some(2000),
    };
    assert_eq!(patience, refused);
}

#[test]
fn one_that_can_be_in_time_waits_until_it_can_not() {
    let mut queue = waiting::Queue::default();
    let key = join(&mut queue, waiter(0, 800));
    let mut elsewhere = others([0; waiting::LEVELS], 50);
    for after in (0..=700).step_by(50) {
        let now = NOW + Duration::from_millis(after);
        elsewhere.received = now;
        let patience = queue.patience(now, key, &elsewhere, 0);
        assert_eq!(patience, waiting::Patience::Keep, "after {after} ms");
    }
    let now = NOW + Duration::from_millis(801);
    let patience = queue.patience(now, key, &elsewhere, 0);
    assert!(matches!(patience, waiting::Patience::Refuse { .. }));
}

#[test]
fn without_figures_it_waits_as_long_as_its_patience() {
    let mut queue = waiting::Queue::default();
    let key = join(&mut queue, waiter(0, 5000));
    let before = NOW + Duration::from_millis(199);
    assert_eq!(
        queue.patience(before, key, &nobody(), 0),
        waiting::Patience::Keep
    );
    let after = NOW + Duration::from_millis(200);
    let patience = queue.patience(after, key, &nobody(), 0);
    let refused = waiting::Patience::Refuse {
        retry_after_ms: None,
    };
    assert_eq!(patience, refused);
}

#[test]
fn sums_without_a_gateway_are_those_of_the_others() {
    let table = |name: &str, count: u32| {
        let figures = waiting::Figures {
            started: count,
            waiting: [count; waiting::LEVELS],
        };
        let table: waiting::Table = [(name.to_owned(), figures)].into_iter().collect();
        table
    };
    let none = waiting::Table::default();
    let mut sums = waiting::Table::default();
    sums.replace(&none, &table("a", 2));
    sums.replace(&none, &table("a", 3));
    sums.replace(&none, &table("b", 1));
    assert_eq!(sums.without(&table("b", 1)), table("a", 5));
    sums.replace(&table("a", 2), &none);
    sums.replace(&table("b", 1), &none);
    assert_eq!(sums, table("a", 3));
}

#[test]
fn only_a_team_that_gets_far_more_than_others_is_above_its_share() {
    let mut shares = team_share::Shares::default();
    for round in 0..40 {
        let now = Instant(round * 250);
        shares.record(now, "large", 3000);
        if round % 7 == 0 {
            shares.record(now, "small", 3000);
            shares.record(now, "other", 3000);
        }
    }
    let now = Instant(10_000);
    assert!(shares.is_above(now, "large"));
    assert!(!shares.is_above(now, "small"));
    assert!(!shares.is_above(now, "unknown"));
    assert!(!shares.is_above(Instant(120_000), "large"));
}
