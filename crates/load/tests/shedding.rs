//! Rules for repeats at a service that refuses requests: what callers and the service get.

use peargap_load::experiment::shedding;

const SEEDS: core::ops::Range<u64> = 0..5;

fn play(fault: shedding::Fault, rule: shedding::Rule, gateways: u32) -> Vec<shedding::Figures> {
    let runs = SEEDS.map(|seed| shedding::play(fault, rule, gateways, seed));
    runs.collect()
}

#[test]
fn a_service_that_refuses_everything_gets_almost_no_repeats() {
    for gateways in [6, 25, 105] {
        for run in play(shedding::Fault::All, shedding::Rule::ByService, gateways) {
            assert!(run.amplification <= 1.1, "{gateways} gateways: {run}");
        }
    }
}

#[test]
fn the_bound_of_the_fleet_holds_for_every_fault() {
    for gateways in [1, 6, 25, 105, 400] {
        for fault in shedding::FAULTS {
            for run in play(fault, shedding::Rule::ByService, gateways) {
                assert!(
                    run.worst_window <= 1.0,
                    "{gateways} gateways, {fault:?}: {run}"
                );
            }
        }
    }
}

#[test]
fn callers_lose_little_to_an_upstream_that_refuses_alone() {
    for gateways in [6, 25] {
        let repeated = play(shedding::Fault::One, shedding::Rule::ByService, gateways);
        let never = play(shedding::Fault::One, shedding::Rule::Never, gateways);
        for (repeated, never) in repeated.iter().zip(&never) {
            assert!(
                repeated.served >= never.served,
                "{repeated}; never: {never}"
            );
            assert!(repeated.served >= 0.95, "{gateways} gateways: {repeated}");
        }
    }
}
