//! Pauses that upstreams ask for: bounds, and the spread of what returns after them.

use core::time::Duration;

use peargap_core::pause;
use peargap_core::time::Instant;
use rand::SeedableRng as _;

const NOW: Instant = Instant(5_000);

#[test]
fn lengths_out_of_bounds_are_replaced() {
    let short = Duration::from_millis(1_500);
    assert_eq!(pause::bound(pause::Request::For(short)), short);
    let hour = pause::Request::For(Duration::from_secs(3600));
    assert_eq!(pause::bound(hour), pause::LONGEST);
    assert_eq!(pause::bound(pause::Request::Unreadable), pause::UNREADABLE);
}

#[test]
fn gateways_return_one_after_the_other_and_never_early() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(7);
    let length = Duration::from_secs(2);
    let mut ends: Vec<u64> = (0..100)
        .map(|_| pause::end(NOW, length, &mut random).millis_since(NOW))
        .collect();
    ends.sort_unstable();
    assert!(ends[0] >= 2_000 && ends[99] <= 2_400, "{ends:?}");
    let longest_gap = ends.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest_gap <= Some(50), "{ends:?}");
}

#[test]
fn callers_return_after_the_first_pause_ends() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let ends = [Instant(9_000), Instant(6_000)];
        let after = pause::retry_after_ms(NOW, ends.into_iter(), &mut random);
        assert!(
            after.is_some_and(|ms| (1_000..1_200).contains(&ms)),
            "{after:?}"
        );
    }
    assert_eq!(
        pause::retry_after_ms(NOW, [].into_iter(), &mut random),
        None
    );
}

/// What happens to a pause.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ask,
    Extend(u8),
    Pass(u8),
    Return,
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(random: &mut quickcheck::Gen) -> Step {
        let millis = u8::arbitrary(random);
        match u8::arbitrary(random) % 8 {
            0 => Step::Extend(millis),
            1 => Step::Return,
            2 | 3 => Step::Pass(millis),
            _ => Step::Ask,
        }
    }
}

/// Guards against more orders than a pause allows, however often it is extended and permits return.
#[test]
fn a_pause_allows_two_orders() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut random = rand::rngs::SmallRng::seed_from_u64(7);
        let mut now = NOW;
        let mut kept: Option<pause::Pause> = None;
        // When orders may be sent freely, and the orders that were sent before.
        let mut free_at = NOW;
        let mut sent = 0;
        let mut last = None;
        for step in steps {
            match step {
                Step::Pass(millis) => now = now + Duration::from_millis(millis.into()),
                Step::Extend(tenths) => {
                    if now >= free_at {
                        sent = 0;
                        last = None;
                    }
                    let length = Duration::from_millis(u64::from(tenths) * 10);
                    free_at = free_at.max(now + length);
                    kept = Some(pause::Pause::extend(kept, now, length, &mut random));
                }
                Step::Ask => match kept.as_mut().map(|pause| pause.permit_order(now)) {
                    None | Some(pause::Permit::Free) if now < free_at => return false,
                    None | Some(pause::Permit::Free) => {}
                    Some(pause::Permit::Counted(began)) => {
                        sent += 1;
                        last = Some(began);
                    }
                    Some(pause::Permit::Denied(left)) if now + left != free_at => return false,
                    Some(pause::Permit::Denied(_left)) => {}
                },
                Step::Return => {
                    if let (Some(pause), Some(began)) = (kept.as_mut(), last.take()) {
                        pause.return_permit(began);
                        sent -= 1;
                    }
                }
            }
            if sent > pause::MAX_ORDERS {
                return false;
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against a permit of an earlier pause that gives another one to a later pause.
#[test]
fn a_permit_returns_to_its_own_pause_only() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(7);
    let length = Duration::from_secs(1);
    let mut pause = pause::Pause::extend(None, NOW, length, &mut random);
    let pause::Permit::Counted(earlier) = pause.permit_order(NOW) else {
        panic!("a permit");
    };
    let later = NOW + Duration::from_secs(5);
    let mut pause = pause::Pause::extend(Some(pause), later, length, &mut random);
    for _order in 0..pause::MAX_ORDERS {
        assert_eq!(pause.permit_order(later), pause::Permit::Counted(later));
    }
    pause.return_permit(earlier);
    assert_eq!(pause.permit_order(later), pause::Permit::Denied(length));
}
