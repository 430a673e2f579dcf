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
