//! Soak of gateways and control hosts as processes, under faults drawn from a seed.
//!
//! Faults come from outside the processes: signals, lost disks, and relays on the links to runners
//! and from gateways to control hosts. Callers, an operator and the stand-in runners compare what
//! they were told with what ran. `PEARGAP_SOAK_SEEDS=FIRST..END` chooses the seeds:
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

/// Seeds played in CI. Seeds that ever failed stay here, each with its cause.
const SEEDS: core::ops::Range<u64> = 1..3;
/// Time in which faults are drawn.
const LENGTH: time::Duration = time::Duration::from_secs(8);
/// Callers that ask one request after the other.
const CALLERS: u64 = 8;

fn read_seeds() -> core::ops::Range<u64> {
    let Ok(text) = std::env::var("PEARGAP_SOAK_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Plays one seed; returns what was broken.
async fn play(seed: u64) -> Vec<String> {
    let mut site = site::Site::start().await;
    let ledger = ledger::Ledger::default();
    let mut operator = operator::Operator::start(&site, ledger.clone()).await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| caller::spawn(number, seed, &site, ledger.clone()))
        .collect();
    let mut random = SmallRng::seed_from_u64(seed);
    let until = time::Instant::now() + LENGTH;
    while time::Instant::now() < until {
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
async fn promises_hold_under_faults() {
    let mut broken = Vec::new();
    for seed in read_seeds() {
        let findings = play(seed).await;
        broken.extend(
            findings
                .into_iter()
                .map(|text| format!("seed {seed}: {text}")),
        );
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
