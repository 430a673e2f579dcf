//! Which of several statuses received for an upstream takes effect.

use peargap_core::time;
use peargap_core::upstreams;

fn status(born_ms: u64, sequence: u64, state: upstreams::State) -> upstreams::Status {
    upstreams::Status {
        address: "10.0.0.1:80".to_owned(),
        cold_ms: 0,
        domain: "a".to_owned(),
        edition: upstreams::Edition { born_ms, sequence },
        name: "i-1".to_owned(),
        service: "pool".to_owned(),
        slots: 24,
        state,
        version: String::new(),
    }
}

fn state(directory: &upstreams::Directory) -> upstreams::State {
    let entry = directory.entries().next().expect("an entry");
    entry.status.state
}

const NOW: time::Instant = time::Instant(1000);

#[test]
fn a_later_heartbeat_replaces_an_earlier_one() {
    let mut directory = upstreams::Directory::default();
    let ready = status(5, 1, upstreams::State::Ready);
    let draining = status(5, 2, upstreams::State::Draining);
    assert_eq!(
        directory.merge(NOW, ready.clone()),
        upstreams::Outcome::Changed
    );
    assert_eq!(
        directory.merge(NOW, ready.clone()),
        upstreams::Outcome::Known
    );
    assert_eq!(directory.merge(NOW, draining), upstreams::Outcome::Changed);
    assert_eq!(directory.merge(NOW, ready), upstreams::Outcome::Stale);
    assert_eq!(state(&directory), upstreams::State::Draining);
}

#[test]
fn a_restart_under_the_same_name_replaces_the_status() {
    let mut directory = upstreams::Directory::default();
    directory.merge(NOW, status(5, 90, upstreams::State::Draining));
    let restarted = status(6, 1, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, restarted), upstreams::Outcome::Changed);
    let late = status(5, 91, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, late), upstreams::Outcome::Stale);
    assert_eq!(state(&directory), upstreams::State::Ready);
}

#[test]
fn leaving_is_final_for_that_start() {
    let mut directory = upstreams::Directory::default();
    directory.merge(NOW, status(5, 1, upstreams::State::Ready));
    assert!(directory.leave(NOW, "i-1", 9).is_some());
    assert!(directory.leave(NOW, "i-1", 9).is_none());
    let late = status(5, 2, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, late), upstreams::Outcome::Stale);
    assert_eq!(state(&directory), upstreams::State::Left);
    let restarted = status(6, 1, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, restarted), upstreams::Outcome::Changed);
}

#[test]
fn draining_is_final_for_that_start() {
    let mut directory = upstreams::Directory::default();
    directory.merge(NOW, status(5, 1, upstreams::State::Ready));
    assert!(directory.drain(NOW, "i-1", 4).is_none());
    assert!(directory.drain(NOW, "i-1", 5).is_some());
    assert!(directory.drain(NOW, "i-1", 5).is_none());
    for late in [upstreams::State::Ready, upstreams::State::Silent] {
        let outcome = directory.merge(NOW, status(5, 2, late));
        assert_eq!(outcome, upstreams::Outcome::Stale, "{late:?}");
    }
    assert!(directory.expire(time::Instant(60_000), 6000).is_empty());
    assert_eq!(state(&directory), upstreams::State::Draining);
    let restarted = status(6, 1, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, restarted), upstreams::Outcome::Changed);
}

/// Guards against a leave that is acknowledged by a host that does not know the upstream, and dropped.
#[test]
fn leaving_of_an_unknown_upstream_is_kept_for_its_start() {
    let mut directory = upstreams::Directory::default();
    let left = directory.leave(NOW, "i-1", 6).expect("a change");
    assert_eq!(
        left,
        upstreams::Status::departed("i-1", 6, upstreams::State::Left)
    );
    for late in [5, 6] {
        let outcome = directory.merge(NOW, status(late, 2, upstreams::State::Ready));
        assert_eq!(outcome, upstreams::Outcome::Stale, "{late}");
    }
    let restarted = status(7, 1, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, restarted), upstreams::Outcome::Changed);
    assert_eq!(state(&directory), upstreams::State::Ready);
}

/// Guards against a departure that is dropped by a host that does not know the upstream.
#[test]
fn draining_of_an_unknown_start_is_kept() {
    let mut directory = upstreams::Directory::default();
    directory.merge(NOW, status(5, 1, upstreams::State::Ready));
    assert!(directory.drain(NOW, "i-1", 6).is_some());
    assert!(directory.drain(NOW, "i-1", 6).is_none());
    let late = status(6, 2, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, late), upstreams::Outcome::Stale);
    assert_eq!(state(&directory), upstreams::State::Draining);
    let restarted = status(7, 1, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, restarted), upstreams::Outcome::Changed);
}

/// Guards against a leave that is taken for stale because the host that was told of it has heard
/// fewer heartbeats than another one.
#[test]
fn leaving_outweighs_later_heartbeats_of_the_same_start() {
    let ready = status(5, 9, upstreams::State::Ready);
    for state in [upstreams::State::Draining, upstreams::State::Left] {
        let leaving = status(5, 3, state);
        let outcome = upstreams::compare(&ready, &leaving);
        assert_eq!(outcome, upstreams::Outcome::Changed, "{state:?}");
        let outcome = upstreams::compare(&leaving, &ready);
        assert_eq!(outcome, upstreams::Outcome::Stale, "{state:?}");
    }
    let former = status(4, 9, upstreams::State::Left);
    assert_eq!(
        upstreams::compare(&ready, &former),
        upstreams::Outcome::Stale
    );
}

#[test]
fn a_status_without_an_address_ends_the_starts_up_to_its_own() {
    use upstreams::Outcome;
    use upstreams::State;
    let mut known = status(5, 9, State::Ready);
    let former = upstreams::Status::departed("i-1", 4, State::Left);
    assert_eq!(upstreams::depart(&mut known, &former), Outcome::Stale);
    let left = upstreams::Status::departed("i-1", 5, State::Left);
    assert_eq!(upstreams::depart(&mut known, &left), Outcome::Changed);
    assert_eq!(known, status(5, 9, State::Left));
    let draining = upstreams::Status::departed("i-1", 5, State::Draining);
    assert_eq!(upstreams::depart(&mut known, &draining), Outcome::Known);
}

#[test]
fn silence_ends_with_the_next_heartbeat() {
    let mut directory = upstreams::Directory::default();
    directory.merge(NOW, status(5, 1, upstreams::State::Ready));
    assert!(directory.expire(time::Instant(6999), 6000).is_empty());
    assert_eq!(directory.expire(time::Instant(7001), 6000).len(), 1);
    assert!(directory.expire(time::Instant(7002), 6000).is_empty());
    let next = status(5, 2, upstreams::State::Ready);
    let outcome = directory.merge(time::Instant(8000), next);
    assert_eq!(outcome, upstreams::Outcome::Changed);
    assert_eq!(state(&directory), upstreams::State::Ready);
}

#[test]
fn silence_seen_by_another_host_does_not_override_a_newer_status() {
    let ready = status(5, 8, upstreams::State::Ready);
    let silent = status(5, 7, upstreams::State::Silent);
    assert_eq!(
        upstreams::compare(&ready, &silent),
        upstreams::Outcome::Stale
    );
    let silent = status(5, 8, upstreams::State::Silent);
    assert_eq!(
        upstreams::compare(&ready, &silent),
        upstreams::Outcome::Changed
    );
}

#[test]
fn a_repeated_heartbeat_does_not_undo_draining() {
    let draining = status(5, 8, upstreams::State::Draining);
    let ready = status(5, 8, upstreams::State::Ready);
    assert_eq!(
        upstreams::compare(&draining, &ready),
        upstreams::Outcome::Stale
    );
}

#[test]
fn a_later_start_at_the_same_address_displaces_an_upstream() {
    let former = status(5, 9, upstreams::State::Ready);
    let mut later = status(6, 1, upstreams::State::Ready);
    assert!(!upstreams::is_displaced(&former, &later), "a restart");
    "i-2".clone_into(&mut later.name);
    assert!(upstreams::is_displaced(&former, &later));
    assert!(!upstreams::is_displaced(&later, &former));
    "10.0.0.2:80".clone_into(&mut later.address);
    assert!(!upstreams::is_displaced(&former, &later));
}

/// Guards against a complete entry of another writer that moves an upstream to another service.
#[test]
fn what_is_fixed_for_a_start_does_not_change() {
    use upstreams::Outcome;
    let known = status(5, 1, upstreams::State::Ready);
    let changes: [fn(&mut upstreams::Status); 4] = [
        |status| status.address = "10.0.0.2:80".to_owned(),
        |status| status.domain = "b".to_owned(),
        |status| status.service = "desk".to_owned(),
        |status| status.version = "v2".to_owned(),
    ];
    for change in changes {
        for state in [upstreams::State::Ready, upstreams::State::Draining] {
            let mut directory = upstreams::Directory::default();
            directory.merge(NOW, known.clone());
            let mut odd = status(5, 2, state);
            change(&mut odd);
            assert_eq!(directory.merge(NOW, odd.clone()), Outcome::Conflict);
            let next = status(5, 2, upstreams::State::Ready);
            assert_eq!(directory.merge(NOW, next.clone()), Outcome::Known);
            assert_eq!(directory.find("i-1"), Some(&next));
            odd.edition.born_ms = 6;
            assert_eq!(directory.merge(NOW, odd), Outcome::Changed, "a restart");
        }
    }
}

/// If the entry of another writer came first, the upstream's own replaces it as soon as it is silent.
#[test]
fn an_entry_that_is_not_repeated_holds_no_place() {
    let mut directory = upstreams::Directory::default();
    let mut odd = status(5, 1, upstreams::State::Ready);
    "desk".clone_into(&mut odd.service);
    directory.merge(NOW, odd);
    let own = status(5, 2, upstreams::State::Ready);
    let merged = directory.merge(NOW, own.clone());
    assert_eq!(merged, upstreams::Outcome::Conflict);
    assert_eq!(directory.expire(time::Instant(7001), 6000).len(), 1);
    let merged = directory.merge(time::Instant(7002), own.clone());
    assert_eq!(merged, upstreams::Outcome::Changed);
    assert_eq!(directory.find("i-1"), Some(&own));
}

/// Guards against an upstream that becomes cold again and gets its full load, as nobody is told.
#[test]
fn a_new_cold_start_is_news() {
    let mut directory = upstreams::Directory::default();
    let cold = |sequence, cold_ms| upstreams::Status {
        cold_ms,
        ..status(5, sequence, upstreams::State::Ready)
    };
    let mut merge = |at, sequence, cold_ms| {
        let status = cold(sequence, cold_ms);
        directory.merge(time::Instant(at), status)
    };
    use upstreams::Outcome;
    assert_eq!(merge(1_000, 1, 4_000), Outcome::Changed);
    assert_eq!(merge(2_200, 2, 2_800), Outcome::Known, "the same one");
    assert_eq!(merge(3_600, 3, 1_600), Outcome::Known, "200 ms on its way");
    assert_eq!(merge(4_800, 4, 400), Outcome::Known);
    assert_eq!(merge(6_000, 5, 0), Outcome::Known);
    assert_eq!(merge(7_200, 6, 5_500), Outcome::Changed, "a new one");
    assert_eq!(merge(8_400, 7, 4_300), Outcome::Known);
    assert_eq!(merge(9_600, 8, 5_500), Outcome::Changed, "once more");
}

/// Guards against an upstream that calls other hosts for a while, is reported silent by one of them, and
/// is not announced again by the host that it comes back to.
#[test]
fn heartbeats_that_went_elsewhere_make_the_next_one_news() {
    let mut directory = upstreams::Directory::default();
    let ready = |sequence| status(5, sequence, upstreams::State::Ready);
    assert_eq!(directory.merge(NOW, ready(1)), upstreams::Outcome::Changed);
    assert_eq!(directory.merge(NOW, ready(2)), upstreams::Outcome::Known);
    assert_eq!(directory.merge(NOW, ready(2)), upstreams::Outcome::Known);
    assert_eq!(directory.merge(NOW, ready(5)), upstreams::Outcome::Changed);
    assert_eq!(directory.merge(NOW, ready(6)), upstreams::Outcome::Known);
    // Gateways that were told of the fifth take the other host's word for outdated.
    let silent = status(5, 4, upstreams::State::Silent);
    assert_eq!(
        upstreams::compare(&ready(5), &silent),
        upstreams::Outcome::Stale
    );
}

#[test]
fn upstreams_are_forgotten_after_a_while() {
    let mut directory = upstreams::Directory::default();
    directory.merge(NOW, status(5, 1, upstreams::State::Ready));
    directory.forget(time::Instant(2000), 1000);
    assert_eq!(directory.entries().count(), 1);
    directory.forget(time::Instant(2001), 1000);
    assert_eq!(directory.entries().count(), 0);
}
