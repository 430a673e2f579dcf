//! The replicated routing state.

use bytes::Bytes;
use peargap_core::routing;
use quickcheck::Arbitrary as _;

const RUNS: u64 = 2_000;
/// Orders that an operator gives in a run.
const ORDERS: usize = 8;
/// Copies of an order that the operator sends before it gives up.
const MAX_COPIES: usize = 4;

#[test]
fn only_a_higher_version_replaces_a_document() {
    let mut state = routing::Routing::default();
    assert!(state.publish(3, Bytes::from_static(b"three")));
    assert!(!state.publish(3, Bytes::from_static(b"other")));
    assert!(!state.publish(2, Bytes::from_static(b"two")));
    assert_eq!(state.text, "three");
    assert!(state.publish(9, Bytes::from_static(b"nine")));
    assert_eq!(state.version, 9);
}

fn order(domain: &str, out: bool, follows: Option<u64>) -> routing::Order<'_> {
    routing::Order {
        domain,
        follows,
        out,
    }
}

#[test]
fn a_domain_is_taken_out_and_returned_once() {
    let mut state = routing::Routing::default();
    assert!(state.shift(4, &order("a", true, None)));
    assert!(state.shift(5, &order("a", true, None)));
    assert_eq!(state.revision, 4, "the second changes nothing");
    assert!(state.shift(6, &order("a", false, None)));
    assert!(state.shift(7, &order("a", false, None)));
    assert_eq!(state.revision, 6);
    assert!(state.domains_out.is_empty());
}

/// Guards against an order that comes late and undoes one that was acknowledged meanwhile.
#[test]
fn an_overtaken_order_changes_nothing() {
    let mut state = routing::Routing::default();
    assert!(state.shift(4, &order("a", true, Some(0))));
    // The first copy is held up; the second one and a later order come first.
    let held_up = order("a", false, Some(state.last_order("a")));
    assert!(state.shift(5, &held_up));
    assert!(state.shift(6, &order("a", true, Some(5))));
    let before = state.clone();
    assert!(!state.shift(7, &held_up));
    assert_eq!(state, before);
    assert!(state.shift(8, &order("b", true, Some(0))), "another domain");
}

/// Guards against a late order that follows one which was confirmed since without a change.
#[test]
fn an_order_that_changes_nothing_overtakes_others_too() {
    let mut state = routing::Routing::default();
    assert!(state.shift(4, &order("a", true, Some(0))));
    let held_up = order("a", false, Some(4));
    assert!(state.shift(5, &order("a", true, Some(4))));
    assert!(!state.shift(6, &held_up));
    assert!(state.domains_out.contains("a"));
}

/// A copy of an order on its way to the log.
#[derive(Clone, Copy)]
struct Copy {
    follows: u64,
    out: bool,
}

/// Delivers a copy; returns whether it was applied.
fn deliver(state: &mut routing::Routing, index: &mut u64, copy: Copy) -> bool {
    *index += 1;
    state.shift(*index, &order("a", copy.out, Some(copy.follows)))
}

/// An operator gives one order after the other and sends each again, to hosts that may lag, until it
/// is acknowledged or given up. Copies come in any order and as late as can be.
#[test]
fn an_acknowledged_order_holds_until_the_next_is_given_whatever_comes_late() {
    let mut late_copies = 0;
    for seed in 0..RUNS {
        let random = &mut quickcheck::Gen::from_size_and_seed(40, seed);
        let mut state = routing::Routing::default();
        let mut index = 0;
        let mut under_way: Vec<Copy> = Vec::new();
        for number in 0..ORDERS {
            let out = bool::arbitrary(random);
            let mut is_acknowledged = false;
            for _copy in 0..MAX_COPIES {
                // A host that lags learns which order is the last one from the refusal.
                let lag = u64::from(u8::arbitrary(random) % 3);
                let follows = state.last_order("a").saturating_sub(lag);
                let mut copy = Copy { follows, out };
                if bool::arbitrary(random) {
                    under_way.push(copy);
                    continue;
                }
                if !deliver(&mut state, &mut index, copy) {
                    copy.follows = state.last_order("a");
                    assert!(deliver(&mut state, &mut index, copy), "seed {seed}");
                }
                is_acknowledged = true;
                break;
            }
            while !under_way.is_empty() && bool::arbitrary(random) {
                let chosen = usize::arbitrary(random) % under_way.len();
                let copy = under_way.swap_remove(chosen);
                late_copies += 1;
                let is_applied = deliver(&mut state, &mut index, copy);
                assert!(
                    !(is_applied && is_acknowledged),
                    "seed {seed}, order {number}"
                );
            }
            if is_acknowledged {
                assert_eq!(state.domains_out.contains("a"), out, "seed {seed}");
            }
        }
    }
    assert!(late_copies > 1_000, "{late_copies}");
}
