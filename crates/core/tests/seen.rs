//! Requests and claims that were seen are not accepted again, within bounded memory.

use core::time::Duration;

use peargap_core::seen;
use peargap_core::time;
use quickcheck::Arbitrary;
use quickcheck::Gen;

#[test]
fn request_is_admitted_once_while_it_is_remembered() {
    let mut requests = seen::Requests::default();
    let start = time::Instant(1_000);
    assert!(requests.admit("a", start));
    let late = start + (seen::REQUEST_RETENTION - Duration::from_millis(1));
    assert!(!requests.admit("a", late));
    assert!(requests.admit("a", start + seen::REQUEST_RETENTION));
}

#[test]
fn requests_are_bounded() {
    let mut requests = seen::Requests::default();
    for number in 0..=seen::MAX_REQUESTS {
        assert!(requests.admit(&number.to_string(), time::Instant(0)));
    }
    assert!(
        !requests.admit("1", time::Instant(0)),
        "a recent id was forgotten"
    );
    assert!(
        requests.admit("0", time::Instant(0)),
        "the oldest id is still remembered"
    );
}

#[test]
fn fence_of_a_claim_only_grows() {
    for seed in 0..200 {
        let mut random = Gen::from_size_and_seed(50, seed);
        let mut claims = seen::Claims::default();
        let mut newest = [0; 4];
        for _ in 0..200 {
            let key = u8::arbitrary(&mut random) % 4;
            let fence = 1 + u64::from(u8::arbitrary(&mut random));
            let admitted = claims.admit(&key.to_string(), fence, time::Instant(0));
            let known = &mut newest[usize::from(key)];
            assert_eq!(admitted, fence > *known);
            *known = fence.max(*known);
        }
    }
}

#[test]
fn fence_no_larger_than_a_forgotten_one_is_refused() {
    let mut claims = seen::Claims::default();
    assert!(claims.admit("a", 7, time::Instant(0)));
    let later = time::Instant(0) + seen::CLAIM_RETENTION;
    assert!(claims.admit("b", 9, later), "a newer fence was refused");
    assert!(
        !claims.admit("a", 7, later),
        "a forgotten fence was admitted again"
    );
    assert!(
        !claims.admit("c", 6, later),
        "a fence older than a forgotten one was admitted"
    );
    assert!(claims.admit("a", 10, later));
}
