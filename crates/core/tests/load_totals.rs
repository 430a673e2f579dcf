//! Sums of gateways' loads agree with a sum over all reports.

use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::load_totals;
use peargap_core::rate_limit;
use peargap_core::slow_start;

const UPSTREAMS: [&str; 4] = ["a", "b", "c", "d"];

fn load(amount: u32) -> balance::Load {
    balance::Load {
        copied: u64::from(amount) * 3,
        failing: amount / 2,
        later: engine_room::Later {
            far: u64::from(amount) * 2,
            near: u64::from(amount) * 9,
        },
        limited: rate_limit::Counts {
            known_by: amount % 3,
            sent_units: amount * 5,
            wanted: amount,
        },
        refusing: amount / 3,
        running: amount,
        starting: slow_start::Counts {
            in_time: amount,
            setbacks: amount % 2,
            wanted: amount * 2,
        },
        tokens: u64::from(amount) * 7,
        waiting: u64::from(amount % 2),
    }
}

fn loads(amounts: &[u8]) -> load_totals::Loads {
    let named = UPSTREAMS.iter().zip(amounts);
    named
        .map(|(name, amount)| ((*name).to_owned(), load(u32::from(*amount))))
        .collect()
}

#[test]
fn totals_without_a_gateway_are_the_sum_of_the_others() {
    fn holds(reports: Vec<(u8, Vec<u8>)>) -> bool {
        const GATEWAYS: usize = 3;
        let mut totals = load_totals::Totals::default();
        let mut latest = vec![load_totals::Loads::default(); GATEWAYS];
        for (gateway, amounts) in reports {
            let gateway = usize::from(gateway) % GATEWAYS;
            let report = loads(&amounts);
            totals.replace(&latest[gateway], &report);
            latest[gateway] = report;
        }
        (0..GATEWAYS).all(|own| {
            let others = totals.without(&latest[own]);
            UPSTREAMS.iter().all(|name| {
                let others_latest = latest.iter().enumerate().filter(|(other, _)| *other != own);
                let sum = others_latest.fold(balance::Load::default(), |sum, (_, loads)| {
                    sum.plus(loads.get(name))
                });
                others.get(name) == sum
            })
        })
    }
    quickcheck::quickcheck(holds as fn(Vec<(u8, Vec<u8>)>) -> bool);
}

#[test]
fn a_difference_lists_changed_and_vanished_upstreams() {
    let former = loads(&[1, 2, 3]);
    let now = loads(&[1, 5]);
    let diff = now.diff(&former);
    let names: Vec<&str> = diff.iter().map(|(name, _load)| name.as_str()).collect();
    assert_eq!(names, ["b", "c"]);
    assert_eq!(diff.get("b"), load(5));
    assert_eq!(diff.get("c"), balance::Load::default());
    assert!(now.diff(&now).is_empty());
}
