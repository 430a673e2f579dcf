//! At-most-once claims: retention, memory limits and the state after each settlement.

use bytes::Bytes;
use peargap_core::claims;

fn request(key: &str, attempt: &str) -> claims::Request {
    claims::Request {
        attempt: attempt.to_owned(),
        deadline_ms: 1_000,
        digest: 1,
        key: key.to_owned(),
    }
}

fn answer(size: usize) -> claims::Outcome {
    claims::Outcome::Answer(Bytes::from(vec![7; size]))
}

#[test]
fn an_overdue_attempt_becomes_unknown_and_accepts_only_a_late_answer() {
    let mut table = claims::Claims::new(claims::Limits::default());
    assert_eq!(
        table.claim(0, 5, request("k", "a")),
        claims::Grant::Granted(5)
    );
    let due = 1_000 + claims::EXPIRY_MARGIN_MS;
    table.expire(due - 1);
    let pending = table.claim(due - 1, 6, request("k", "b"));
    assert!(
        matches!(pending, claims::Grant::InProgress(_)),
        "{pending:?}"
    );
    table.expire(due);
    assert_eq!(
        table.claim(due, 7, request("k", "b")),
        claims::Grant::Unknown
    );
    assert!(!table.settle(due, "k", 5, claims::Outcome::NotRun));
    assert!(!table.settle(due, "k", 4, answer(1)));
    assert!(table.settle(due, "k", 5, answer(1)));
    let repeat = table.claim(due, 8, request("k", "c"));
    assert_eq!(repeat, claims::Grant::Answer(Bytes::from_static(&[7])));
    table.expire(due + claims::RETENTION_MS);
    assert_eq!(table.bytes(), 0);
}

#[test]
fn only_a_call_that_did_not_run_is_granted_again() {
    let mut table = claims::Claims::new(claims::Limits::default());
    table.claim(0, 1, request("k", "a"));
    assert!(table.settle(0, "k", 1, claims::Outcome::NotRun));
    let again = table.claim(0, 2, request("k", "a"));
    assert!(matches!(again, claims::Grant::Unavailable(_)), "{again:?}");
    assert_eq!(
        table.claim(0, 3, request("k", "b")),
        claims::Grant::Granted(3)
    );
    assert!(!table.settle(0, "k", 1, claims::Outcome::NotRun));
    assert!(table.settle(0, "k", 3, claims::Outcome::Ran));
    assert_eq!(table.claim(0, 4, request("k", "c")), claims::Grant::Ran);
    let other = claims::Request {
        digest: 2,
        ..request("k", "d")
    };
    assert_eq!(table.claim(0, 5, other), claims::Grant::Mismatch);
}

#[test]
fn full_memory_drops_old_answers_before_it_refuses_new_keys() {
    let limits = claims::Limits {
        answer_bytes: 1_000,
        memory_bytes: 8_000,
    };
    let mut table = claims::Claims::new(limits);
    let mut granted = 0;
    for index in 0..100 {
        let key = format!("key-{index:03}");
        let grant = table.claim(index, index + 1, request(&key, "a"));
        if grant != claims::Grant::Granted(index + 1) {
            assert!(matches!(grant, claims::Grant::Unavailable(_)), "{grant:?}");
            break;
        }
        granted += 1;
        assert!(table.settle(index, &key, index + 1, answer(500)));
        assert!(table.bytes() <= limits.memory_bytes);
    }
    assert!(granted > 20, "{granted}");
    for index in 0..granted {
        let key = format!("key-{index:03}");
        let repeat = table.claim(100, 1_000, request(&key, "b"));
        let known = matches!(repeat, claims::Grant::Answer(_) | claims::Grant::Ran);
        assert!(known, "{key} {repeat:?}");
    }
    assert_eq!(
        table.claim(100, 1_000, request("key-000", "b")),
        claims::Grant::Ran
    );
}
