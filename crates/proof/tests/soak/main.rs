//! Soak test of gateway and control processes under random faults, which a seed determines.
//!
//! Faults are injected from outside the processes: signals, deleted data folders, and relays on the
//! connections to runners and from gateways to control hosts. The test compares the responses that
//! callers and an operator received with the requests that the fake runners ran and the documents
//! that the control hosts hold. `PEARGAP_SOAK_SEEDS=FIRST..END` chooses the seeds:
//!
//!     PEARGAP_SOAK_SEEDS=100..150 cargo test -p peargap-proof --test soak -- --nocapture

#[path = "../failures/program.rs"]
mod program;
#[path = "../failures/relay.rs"]
#[allow(dead_code, reason = "the failure tests use the rest of it")]
mod relay;

mod caller;
mod deployment;
mod faults;
mod ledger;
mod notices;
mod operator;

use std::time;

use rand::rngs::SmallRng;
use rand::SeedableRng as _;

/// Seeds that CI runs. A seed that has failed is added here and stays, with a note of the cause.
const SEEDS: core::ops::Range<u64> = 1..3;
/// Time for which faults are injected.
const FAULT_DURATION: time::Duration = time::Duration::from_secs(8);
/// Concurrent callers, each of which sends one request at a time.
const CALLER_COUNT: u64 = 8;

/// Upstreams of each service that gateways reach without a relay.
const DIRECT_UPSTREAMS: usize = 2;

fn read_seeds() -> core::ops::Range<u64> {
    let Ok(text) = std::env::var("PEARGAP_SOAK_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Runs the test with one seed; returns the violated guarantees.
async fn run_seed(seed: u64) -> Vec<String> {
    let mut deployment = deployment::Deployment::start(deployment::GATEWAYS).await;
    // Gateways see the crashes of upstreams that have no relay before them.
    for _upstream in 0..DIRECT_UPSTREAMS {
        deployment.add_direct_upstream("pool").await;
        deployment.add_direct_upstream("desk").await;
    }
    let ledger = ledger::Ledger::default();
    let mut operator = operator::Operator::start(&deployment, ledger.clone()).await;
    let callers = caller::spawn_all(CALLER_COUNT, seed, &deployment, &ledger);
    let mut random = SmallRng::seed_from_u64(seed);
    let deadline = time::Instant::now() + FAULT_DURATION;
    while time::Instant::now() < deadline {
        faults::inject_random_fault(&mut deployment, &mut random, &ledger).await;
    }
    deployment.end_faults().await;
    caller::stop(callers, &ledger).await;
    operator.finish(&deployment).await;
    caller::check_served(&deployment, &ledger).await;
    ledger.check_runs(&deployment);
    notices::check(&deployment, &ledger);
    let violations = ledger.violations();
    println!(
        "seed {seed}: {}, {} findings",
        ledger.summary(),
        violations.len()
    );
    if !violations.is_empty() {
        let kept = deployment.keep_logs(seed);
        println!("logs kept in {}", kept.display());
    }
    violations
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_faults() {
    let mut all_violations = Vec::new();
    for seed in read_seeds() {
        let violations = run_seed(seed).await;
        all_violations.extend(
            violations
                .into_iter()
                .map(|text| format!("seed {seed}: {text}")),
        );
    }
    assert!(all_violations.is_empty(), "{}", all_violations.join("\n"));
}
