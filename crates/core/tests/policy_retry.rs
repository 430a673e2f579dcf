//! Retries and circuit breaker: budget, deadlines, jitter, opening and probing.

use peargap_core::breaker;
use peargap_core::retry;
use peargap_core::time;
use quickcheck::Arbitrary as _;
use rand::SeedableRng as _;

const SEED: u64 = 5;

#[test]
fn retries_never_exceed_the_initial_ones_and_a_tenth_of_first_attempts() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(SEED);
    let mut gen = quickcheck::Gen::from_size_and_seed(400, SEED);
    for _ in 0..100 {
        let mut budget = retry::Budget::new();
        let (mut first, mut retries) = (0_u64, 0_u64);
        for new in Vec::<bool>::arbitrary(&mut gen) {
            if new {
                budget.deposit();
                first += 1;
                continue;
            }
            let attempt = retry::Attempt {
                deadline: time::Instant(1_000_000),
                number: 1,
                ran: retry::Ran::No,
                repeatable: false,
            };
            let next = retry::plan_retry(&mut budget, time::Instant(0), &attempt, &mut random);
            retries += u64::from(matches!(next, retry::Next::Retry { .. }));
            let bound = retry::INITIAL_RETRIES + retry::RETRIES_PER_ATTEMPT * first as f64;
            assert!(
                retries as f64 <= bound + 1e-6,
                "{retries} retries after {first}"
            );
        }
    }
}

#[test]
fn no_retry_starts_after_its_deadline_or_runs_twice() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(SEED);
    let mut gen = quickcheck::Gen::from_size_and_seed(100, SEED);
    for _ in 0..5000 {
        let mut budget = retry::Budget::new();
        (0..20).for_each(|_| budget.deposit());
        let now = time::Instant(u64::from(u16::arbitrary(&mut gen)));
        let ran = [retry::Ran::No, retry::Ran::Unknown, retry::Ran::Yes];
        let attempt = retry::Attempt {
            deadline: time::Instant(u64::from(u16::arbitrary(&mut gen))),
            number: u32::from(u8::arbitrary(&mut gen) % 6),
            ran: *gen.choose(&ran).expect("there are three"),
            repeatable: bool::arbitrary(&mut gen),
        };
        let next = retry::plan_retry(&mut budget, now, &attempt, &mut random);
        let retry::Next::Retry { after_ms } = next else {
            continue;
        };
        assert!(
            now.0 + after_ms < attempt.deadline.0,
            "{attempt:?} at {now:?}"
        );
        assert!(
            attempt.ran == retry::Ran::No || attempt.repeatable,
            "{attempt:?}"
        );
    }
}

#[test]
fn backoffs_are_spread_over_their_whole_range() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(SEED);
    let attempt = retry::Attempt {
        deadline: time::Instant(1_000_000),
        number: 3,
        ran: retry::Ran::No,
        repeatable: false,
    };
    let mut backoffs = Vec::new();
    for _ in 0..500 {
        let mut budget = retry::Budget::new();
        (0..20).for_each(|_| budget.deposit());
        match retry::plan_retry(&mut budget, time::Instant(0), &attempt, &mut random) {
            retry::Next::Retry { after_ms } => backoffs.push(after_ms),
            next => panic!("{next:?}"),
        }
    }
    let longest = *backoffs.iter().max().expect("there are backoffs");
    let short = backoffs
        .iter()
        .filter(|backoff| **backoff * 4 < longest)
        .count();
    assert!(
        (75..=175).contains(&short),
        "{short} of 500 in the first quarter"
    );
}

#[test]
fn a_breaker_opens_on_one_broken_connection() {
    let mut breaker = breaker::Breaker::new();
    let now = time::Instant(0);
    breaker.record_break(now);
    assert!(matches!(
        breaker.check(now),
        breaker::Decision::Reject { .. }
    ));
    assert!(breaker.is_upstream_failing());
}

/// A partition of the network concerns some gateways only, so the others must not hear of it as a
/// failure of the upstream.
#[test]
fn an_unreachable_upstream_is_not_reported_as_failing() {
    let mut breaker = breaker::Breaker::new();
    breaker.record_unreachable(time::Instant(0));
    assert!(breaker.is_open());
    assert!(!breaker.is_upstream_failing());
}

#[test]
fn a_breaker_opens_on_one_sign_of_absence_and_closes_on_an_answer() {
    let mut breaker = breaker::Breaker::new();
    let now = time::Instant(0);
    breaker.record_absence(now);
    let breaker::Decision::Reject { retry_after_ms } = breaker.check(now) else {
        panic!("{breaker:?}");
    };
    let later = time::Instant(retry_after_ms);
    assert_eq!(breaker.check(later), breaker::Decision::Probe);
    assert!(breaker.is_open());
    breaker.record_success();
    assert_eq!(breaker.check(later), breaker::Decision::Allow);
    assert!(!breaker.is_open());
}

#[test]
fn a_pause_ends_when_it_was_asked_to_and_one_request_follows() {
    let mut breaker = breaker::Breaker::new();
    breaker.record_pause(time::Instant(300));
    for now in [10, 20, 30, 40] {
        breaker.record_failure(time::Instant(now));
    }
    let before = breaker.check(time::Instant(299));
    assert!(matches!(before, breaker::Decision::Reject { .. }));
    let end = time::Instant(300);
    assert_eq!(breaker.check(end), breaker::Decision::Probe);
    breaker.record_probe(end);
    let probing = breaker.check(end);
    assert!(matches!(probing, breaker::Decision::Reject { .. }));
    assert!(breaker.is_pausing());
    breaker.record_success();
    assert_eq!(breaker.check(end), breaker::Decision::Allow);
}

#[test]
fn a_breaker_opens_on_failures_and_lets_one_probe_pass() {
    let mut breaker = breaker::Breaker::new();
    let now = time::Instant(0);
    breaker.record_failure(now);
    breaker.record_failure(now);
    assert_eq!(breaker.check(now), breaker::Decision::Allow);
    breaker.record_failure(now);
    let breaker::Decision::Reject { retry_after_ms } = breaker.check(now) else {
        panic!("{breaker:?}");
    };
    let later = time::Instant(retry_after_ms);
    assert_eq!(breaker.check(later), breaker::Decision::Probe);
    breaker.record_probe(later);
    assert!(matches!(
        breaker.check(later),
        breaker::Decision::Reject { .. }
    ));
    breaker.record_failure(later);
    let breaker::Decision::Reject {
        retry_after_ms: longer,
    } = breaker.check(later)
    else {
        panic!("{breaker:?}");
    };
    assert!(longer > retry_after_ms);
    breaker.record_success();
    assert_eq!(breaker.check(later), breaker::Decision::Allow);
}
