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
mod faults;
mod ledger;
mod operator;
mod site;

use std::time;

use rand::rngs::SmallRng;
use rand::SeedableRng as _;

/// Seeds that CI runs. A seed that has failed is added here and stays, with a note of the cause.
const SEEDS: core::ops::Range<u64> = 1..3;
/// Time for which faults are injected.
const FAULT_DURATION: time::Duration = time::Duration::from_secs(8);
/// Concurrent callers, each of which sends one request at a time.
const CALLER_COUNT: u64 = 8;

fn read_seeds() -> core::ops::Range<u64> {
    let Ok(text) = std::env::var("PEARGAP_SOAK_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Runs the test with one seed; returns the violated guarantees.
async fn run_seed(seed: u64) -> Vec<String> {
    let mut site = site::Site::start().await;
    let ledger = ledger::Ledger::default();
    let mut operator = operator::Operator::start(&site, ledger.clone()).await;
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| caller::spawn(number, seed, &site, ledger.clone()))
        .collect();
    let mut random = SmallRng::seed_from_u64(seed);
    let deadline = time::Instant::now() + FAULT_DURATION;
    while time::Instant::now() < deadline {
        faults::strike(&mut site, &mut random, &ledger).await;
    }
    site.heal().await;
    ledger.stop();
    for caller in callers {
        caller.await.expect("a caller");
    }
    operator.finish(&site).await;
    caller::check_served(&site, &ledger).await;
    ledger.compare(&site);
    let findings = ledger.findings();
    println!(
        "seed {seed}: {}, {} findings",
        ledger.summary(),
        findings.len()
    );
    if !findings.is_empty() {
        let kept = site.keep_logs(seed);
        println!("logs kept in {}", kept.display());
    }
    findings
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_faults() {
    let mut broken = Vec::new();
    for seed in read_seeds() {
        let findings = run_seed(seed).await;
        broken.extend(
            findings
                .into_iter()
                .map(|text| format!("seed {seed}: {text}")),
        );
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
