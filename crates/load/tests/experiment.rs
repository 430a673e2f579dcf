//! Checks the targets for the traffic decisions on shortened scenarios with fixed seeds.

use peargap_load::experiment::engine;
use peargap_load::experiment::measure;
use peargap_load::experiment::policy;
use peargap_load::experiment::scenario;
use peargap_load::experiment::simulation;
use peargap_load::experiment::suite;
use peargap_load::experiment::target;

const SECOND: u64 = 1_000_000;

/// Returns a scenario of which the time from 70 s to 170 s is measured.
fn short(name: &str) -> scenario::Scenario {
    let scenario = scenario::find_scenario(name).expect("the scenario exists");
    scenario.shortened(70 * SECOND, 170 * SECOND, 230 * SECOND)
}

fn check(results: &[target::TargetResult]) {
    let missed: Vec<_> = results.iter().filter(|result| !result.met).collect();
    assert!(missed.is_empty(), "{missed:#?}");
}

fn run_compared(name: &str) -> suite::Table {
    let policies = [policy::PEARGAP, policy::LEAST_REQUESTS, policy::ORACLE];
    suite::run_scenario(&short(name), &policies, 1)
}

fn check_always(name: &str, faults: &[(u64, scenario::Fault)]) -> measure::Figures {
    let mut scenario = short(name);
    scenario.faults = faults.to_vec();
    let table = suite::run_scenario(&scenario, &[policy::PEARGAP], 1);
    check(&target::evaluate_common(&table));
    table.rows[0].figures[0].clone()
}

#[test]
fn crowded_archive_meets_its_targets() {
    let table = run_compared("archive-steady");
    let preemptions = table.mean(&policy::LEAST_REQUESTS, |f| f.preemptions as f64);
    assert!(
        preemptions > Some(100.0),
        "the least-requests baseline does not preempt steadily"
    );
    check(&target::evaluate_common(&table));
    check(&target::evaluate_crowded(&table));
}

#[test]
fn crowded_lending_meets_its_targets() {
    let table = run_compared("lending-steady");
    let preemptions = table.mean(&policy::LEAST_REQUESTS, |f| f.preemptions as f64);
    assert!(
        preemptions > Some(50.0),
        "the least-requests baseline does not preempt steadily"
    );
    check(&target::evaluate_common(&table));
    check(&target::evaluate_crowded(&table));
}

#[test]
fn overload_is_shared_by_weight_and_refused_early() {
    let table = suite::run_scenario(&short("archive-overload"), &[policy::PEARGAP], 1);
    check(&target::evaluate_common(&table));
    check(&target::evaluate_overload(&table));
}

#[test]
fn cold_engines_get_what_they_can_carry() {
    let turns = [(75, 2), (80, 12), (90, 14), (91, 15)];
    let turns = turns.map(|(at, engine)| (at * SECOND, scenario::Fault::TurnCold(engine)));
    let figures = check_always("lending-cold", &turns);
    assert!(
        figures.max_cold > 0,
        "no stream was submitted to a cold engine"
    );
    let dies = [
        (80 * SECOND, scenario::Fault::Die(13)),
        (95 * SECOND, scenario::Fault::Die(1)),
    ];
    let figures = check_always("lending-cold", &dies);
    assert!(figures.died > 0, "no stream was lost with a dead engine");
    assert!(figures.max_cold <= engine::COLD_LIMIT as u64);
}

#[test]
fn a_domain_leaves_and_returns_without_loss() {
    let out = scenario::Fault::Domain {
        domain: 1,
        out: true,
    };
    let back = scenario::Fault::Domain {
        domain: 1,
        out: false,
    };
    let faults = [(75 * SECOND, out), (100 * SECOND, back)];
    let figures = check_always("lending-domain", &faults);
    assert_eq!(figures.whole + figures.refused, figures.arrived);
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let scenario = short("lending-domain").shortened(10 * SECOND, 30 * SECOND, 40 * SECOND);
    let first = simulation::run_policy(&scenario, &policy::PEARGAP, 7);
    let second = simulation::run_policy(&scenario, &policy::PEARGAP, 7);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
