//! Command line of `peargap-load experiment`.

use std::process;

use crate::experiment::policy;
use crate::experiment::scenario;
use crate::experiment::world;

/// Runs the experiments that the arguments ask for.
#[must_use]
pub fn run(mut arguments: pico_args::Arguments) -> process::ExitCode {
    let name: String = arguments
        .value_from_str("--scenario")
        .unwrap_or("archive-steady".into());
    let seeds: u64 = arguments.value_from_str("--seeds").unwrap_or(1);
    let ablate = arguments.contains("--ablate");
    let load: Option<f64> = arguments.opt_value_from_str("--load").unwrap_or(None);
    let Some(mut scenario) = scenario::find_scenario(&name) else {
        return process::ExitCode::from(2);
    };
    scenario.traffic.load = load.unwrap_or(scenario.traffic.load);
    let base = world::run_policy(&scenario.uncrowded(), &policy::LEAST_REQUESTS, 1);
    println!(
        "uncrowded p99 {:.1} p999 {:.1}",
        base.gap_p99_ms, base.gap_p999_ms
    );
    let list: Vec<policy::Policy> = if ablate {
        policy::ABLATED.to_vec()
    } else {
        policy::COMPARED.to_vec()
    };
    for policy in list {
        for seed in 1..=seeds {
            let started = std::time::Instant::now();
            let f = world::run_policy(&scenario, &policy, seed);
            if std::env::var("TALLY").is_ok() {
                println!("{:?}", f.tallies);
            }
            println!("{:22} pre {:5} stall {:8.1} p99 {:6.1} p999 {:7.1} good {:7.0} arr {} whole {} ref {} shed {} late {} fell {}/{} died {} cold {} jain {:.3} ttft {:.0}/{:.0}/{:.0}  {:?}",
                policy.name, f.preemptions, f.stall_s, f.gap_p99_ms, f.gap_p999_ms, f.goodput, f.arrived, f.whole, f.refused, f.shed, f.late, f.falls, f.fell_over, f.died, f.max_cold, f.fairness, f.first_p50_ms, f.first_p99_ms, f.urgent_p99_ms, started.elapsed());
        }
    }
    process::ExitCode::SUCCESS
}
