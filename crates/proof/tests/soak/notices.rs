//! Checks that gateways respect what runners say of themselves in their responses.

use std::ops;
use std::time;

use peargap_fake::runner;

use crate::deployment;
use crate::ledger;

/// `Retry-After` of a runner that asks for a pause.
pub(crate) const PAUSE_TEXT: &str = "1.5";
const PAUSE: time::Duration = time::Duration::from_millis(1500);
/// Time that a response and requests on their way may take.
const REACTION_TIME: time::Duration = time::Duration::from_millis(500);
/// Requests of one gateway that a runner accepts in the rest of a pause.
const MAX_IN_PAUSE: usize = 2;
/// Time within which a gateway sends nothing more to a runner that said that it leaves.
const DRAIN_TIME: time::Duration = time::Duration::from_secs(2);

/// Records a violation for each gateway that sent requests to a runner in a pause, or to one that had
/// told it that it leaves.
pub(crate) fn check(deployment: &deployment::Deployment, ledger: &ledger::Ledger) {
    for upstream in &deployment.upstreams {
        for gateway in 0..deployment::GATEWAYS {
            let mut arrivals = upstream.runner.arrivals();
            arrivals.retain(|arrival| ledger.gateway_of(&arrival.attempt) == Some(gateway));
            check_pauses(&upstream.runner.name, gateway, &arrivals, ledger);
            check_departure(&upstream.runner.name, gateway, &arrivals, ledger);
        }
    }
}

fn count_in(arrivals: &[runner::Arrival], range: &ops::Range<time::Instant>) -> usize {
    let within = arrivals
        .iter()
        .filter(|arrival| range.contains(&arrival.at));
    within.count()
}

fn check_pauses(
    runner: &str,
    gateway: usize,
    arrivals: &[runner::Arrival],
    ledger: &ledger::Ledger,
) {
    let rejected = arrivals
        .iter()
        .filter(|arrival| arrival.retry_after.is_some());
    for arrival in rejected {
        let end = arrival.at + PAUSE;
        let count = count_in(arrivals, &(arrival.at + REACTION_TIME..end));
        if count > MAX_IN_PAUSE && !ledger.is_disturbed(gateway, arrival.at..end) {
            ledger.record_violation(format!(
                "{runner} got {count} requests of gateway {gateway} in a pause that it told {}",
                arrival.attempt
            ));
        }
    }
}

fn check_departure(
    runner: &str,
    gateway: usize,
    arrivals: &[runner::Arrival],
    ledger: &ledger::Ledger,
) {
    // A response that did not reach the caller may not have reached the gateway either.
    let told = arrivals
        .iter()
        .find(|arrival| arrival.leaving && ledger.is_complete(&arrival.attempt));
    let Some(told) = told else {
        return;
    };
    let late = arrivals.iter().find(|arrival| {
        let is_late = arrival.at > told.at + DRAIN_TIME;
        is_late && !ledger.is_disturbed(gateway, told.at..arrival.at)
    });
    if let Some(late) = late {
        ledger.record_violation(format!(
            "{runner} got {} of gateway {gateway} {:?} after it told {} that it leaves",
            late.attempt,
            late.at - told.at,
            told.attempt
        ));
    }
}
