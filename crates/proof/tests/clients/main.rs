//! Clients that don't behave: whatever they send, a process lives and stays within the memory and
//! the descriptors of its host, and others get their answers.
//!
//! The real programs run on loopback addresses, one test at a time.

#[path = "../failures/caller.rs"]
#[allow(dead_code, reason = "the failure tests use the rest of it")]
mod caller;
mod crowd;
mod descriptors;
#[path = "../failures/fleet.rs"]
#[allow(dead_code, reason = "the failure tests use the rest of it")]
mod fleet;
mod gateway;
mod memory;
#[path = "../failures/program.rs"]
#[allow(dead_code, reason = "the failure tests use the rest of it")]
mod program;
mod refusals;
#[path = "../failures/relay.rs"]
#[allow(dead_code, reason = "the failure tests use the rest of it")]
mod relay;
#[path = "../failures/settings.rs"]
mod settings;
#[path = "../failures/spawn.rs"]
mod spawn;

use std::fs;
use std::time;

/// Held by the test that runs.
static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Checks that a call through an entry, an agent and a service, and one of an operator, are answered.
async fn assert_served(fleet: &fleet::Fleet) {
    let call = caller::call_service(&fleet.entry_urls[0], "lookups/x", "k");
    let answer = tokio::time::timeout(fleet::STEP_TIMEOUT, call).await;
    let answer = answer.expect("an answer");
    assert!(answer.status.is_success(), "{answer:?}");
    let status = fleet.run_peargap(&["status"]).await;
    assert!(status.status.success(), "{}", fleet::format_output(&status));
}

/// Time for which a process's peak of memory stays the same once it has read what was sent.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);
/// Checks of the peak at most before the process counts as settled.
const SETTLE_CHECKS: u32 = 20;

/// Waits until a process has read what a crowd has sent.
async fn settle(id: u32) {
    let mut peak = read_peak(id);
    for _check in 0..SETTLE_CHECKS {
        tokio::time::sleep(SETTLE_TIME).await;
        let former = core::mem::replace(&mut peak, read_peak(id));
        if peak == former {
            return;
        }
    }
}

/// Returns the most memory that a living process has had resident, in bytes.
fn read_peak(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("a living process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    let kilobytes: u64 = peak.and_then(|peak| peak.parse().ok()).expect("a peak");
    kilobytes * 1024
}

/// Checks that a process lives and never had more memory resident than this.
fn assert_memory(id: u32, bytes: u64) {
    let peak = read_peak(id);
    println!("peak={peak} bound={bytes}");
    assert!(peak < bytes, "{peak} bytes were resident");
}

/// Checks that a process lives and has fewer descriptors open than this.
fn assert_descriptors(id: u32, bound: usize) {
    let open = fs::read_dir(format!("/proc/{id}/fd"))
        .expect("a living process")
        .count();
    println!("descriptors={open} bound={bound}");
    assert!(open < bound, "{open} descriptors are open");
}
