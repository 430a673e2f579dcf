//! Connections of a process: those that carry requests are kept, and of the others the one that others
//! need least is ended for a new one.

use peargap_core::connections;
use peargap_core::connections::Opened;
use peargap_core::time;
use quickcheck::quickcheck;

const LIMIT: usize = 4;

fn at(millis: u64) -> time::Instant {
    time::Instant(millis)
}

fn open(table: &mut connections::Table, millis: u64) -> connections::Key {
    match table.open(at(millis)) {
        Opened::Accepted(key) | Opened::AcceptedFor { key, .. } => key,
        Opened::Refused => panic!("refused"),
    }
}

#[test]
fn connections_that_never_served_are_ended_before_one_that_has() {
    let mut table = connections::Table::new(LIMIT);
    let caller = open(&mut table, 0);
    table.begin_request(caller);
    assert_eq!(table.end_request(caller, at(1)), 0);
    let silent: Vec<_> = (2..5).map(|millis| open(&mut table, millis)).collect();
    for (millis, expected) in (10..).zip(&silent) {
        let opened = table.open(at(millis));
        let ended = match opened {
            Opened::AcceptedFor { ended, .. } => ended,
            other => panic!("{other:?}"),
        };
        assert_eq!(ended, *expected);
    }
    assert_eq!(table.count(), LIMIT);
}

#[test]
fn a_new_connection_is_refused_only_while_all_carry_requests() {
    let mut table = connections::Table::new(LIMIT);
    let callers: Vec<_> = (0..4).map(|millis| open(&mut table, millis)).collect();
    for caller in &callers {
        table.begin_request(*caller);
        table.begin_request(*caller);
    }
    assert_eq!(table.open(at(5)), Opened::Refused);
    assert_eq!(table.end_request(callers[2], at(6)), 1);
    assert_eq!(table.open(at(6)), Opened::Refused);
    assert_eq!(table.end_request(callers[2], at(7)), 0);
    let opened = table.open(at(8));
    assert!(matches!(opened, Opened::AcceptedFor { ended, .. } if ended == callers[2]));
    // The one that was ended no longer counts.
    table.begin_request(callers[2]);
    table.close(callers[2]);
    assert_eq!(table.count(), LIMIT);
}

quickcheck! {
    fn no_more_than_the_limit_are_open_and_none_with_a_request_is_ended(steps: Vec<(u8, usize)>) -> bool {
        let mut table = connections::Table::new(LIMIT);
        let mut keys: Vec<(connections::Key, u32)> = Vec::new();
        for (millis, (step, index)) in (0..).zip(steps) {
            let index = index % keys.len().max(1);
            match (step % 4, keys.get_mut(index)) {
                (1, Some((key, requests))) => {
                    table.begin_request(*key);
                    *requests += 1;
                }
                (2, Some((key, requests))) if *requests > 0 => {
                    table.end_request(*key, at(millis));
                    *requests -= 1;
                }
                (3, Some((key, _requests))) => {
                    table.close(*key);
                    keys.remove(index);
                }
                _open => match table.open(at(millis)) {
                    Opened::Accepted(key) => keys.push((key, 0)),
                    Opened::AcceptedFor { ended, key } => {
                        let position = keys.iter().position(|(other, _requests)| *other == ended);
                        let (_ended, requests) = keys.remove(position.expect("an open one"));
                        if requests > 0 {
                            return false;
                        }
                        keys.push((key, 0));
                    }
                    Opened::Refused => {
                        if keys.iter().any(|(_key, requests)| *requests == 0) {
                            return false;
                        }
                    }
                },
            }
            if table.count() != keys.len() || keys.len() > LIMIT {
                return false;
            }
        }
        true
    }
}
