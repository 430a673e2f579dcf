//! The room of an upstream that has just started, for all gateways together.

use peargap_core::slow_start;
use peargap_core::time::Instant;
use rand::rngs::SmallRng;
use rand::SeedableRng as _;

fn counts(in_time: u32, setbacks: u32) -> slow_start::Counts {
    slow_start::Counts {
        in_time,
        setbacks,
        wanted: 0,
    }
}

#[test]
fn room_grows_with_each_answer_in_time_and_halves_at_a_setback() {
    assert_eq!(counts(0, 0).room(24), 2);
    assert_eq!(counts(6, 0).room(24), 8);
    assert_eq!(counts(6, 1).room(24), 4);
    assert_eq!(counts(6, 40).room(24), 1);
    assert!(!counts(31, 0).is_over(8));
    assert!(counts(32, 0).is_over(8));
    assert!(!counts(32, 1).is_over(8));
}

#[test]
fn setbacks_are_forgotten_so_that_an_upstream_recovers() {
    let mut starter = slow_start::Starter::default();
    for number in 0..30 {
        starter.record_setback(Instant(number));
        starter.record_in_time();
    }
    assert_eq!(starter.report(Instant(100)).room(24), 1);
    assert_eq!(starter.report(Instant(2_000)).room(24), 24);
}

/// 25 and 370 gateways that decide at once by the same sums send together about what fits.
#[test]
fn gateways_that_decide_at_once_fill_the_room_together() {
    for (gateways, wanted) in [(25, 40), (370, 400), (370, 4000)] {
        let mut random = SmallRng::seed_from_u64(1);
        let known = slow_start::Counts {
            wanted,
            ..counts(0, 0)
        };
        // Requests of 100 ms, in which no gateway hears of the others'.
        let mut sent = 0;
        for _round in 0..100 {
            let admitted = (0..wanted / 10).filter(|_one| known.may_send(0, 24, &mut random));
            sent += admitted.count();
        }
        assert!(sent <= 300, "{gateways} gateways: {sent} in 100 rounds");
        assert!(sent >= 80, "{gateways} gateways: {sent} in 100 rounds");
    }
}

#[test]
fn nothing_is_sent_beyond_the_room() {
    let mut random = SmallRng::seed_from_u64(1);
    assert!(!counts(0, 0).may_send(2, 24, &mut random));
    assert!(counts(0, 0).may_send(1, 24, &mut random));
}
