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

/// Limit of a runner that names one, in requests a second, as sent.
pub(crate) const LIMIT_TEXT: &str = "2.0";
const LIMIT_PER_S: f64 = 2.0;
/// Time for which a runner names its limit.
pub(crate) const LIMIT_TIME: time::Duration = time::Duration::from_millis(7500);
const LIMIT_WINDOW: time::Duration = time::Duration::from_secs(4);
/// Requests for each one that the limit allows in a window, and those beside them, that a runner
/// accepts.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_TOLERANCE: f64 = 5.0;
/// Time after which a limit binds the gateways that have passed on a response that names it.
const LIMIT_DELAY: time::Duration = time::Duration::from_secs(3);

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
        check_limit(&upstream.runner.name, &upstream.runner.arrivals(), ledger);
    }
}

fn count_in(arrivals: &[runner::Arrival], range: &ops::Range<time::Instant>) -> usize {
    let within = arrivals
        .iter()
        .filter(|arrival| range.contains(&arrival.at));
    within.count()
}

/// Checks the requests that a runner got while it named its limit, from the gateways that it had told.
fn check_limit(runner: &str, arrivals: &[runner::Arrival], ledger: &ledger::Ledger) {
    let Some(first) = arrivals.iter().find(|arrival| arrival.limit.is_some()) else {
        return;
    };
    let is_told = |arrival: &runner::Arrival| {
        let gateway = ledger.gateway_of(&arrival.attempt);
        arrivals.iter().any(|told| {
            let is_same = ledger.gateway_of(&told.attempt) == gateway;
            let is_passed_on = ledger.is_complete(&told.attempt);
            told.limit.is_some() && is_same && is_passed_on && told.at + REACTION_TIME <= arrival.at
        })
    };
    let is_bound = |arrival: &&runner::Arrival| {
        let gateway = ledger.gateway_of(&arrival.attempt);
        let is_disturbed =
            gateway.is_none_or(|gateway| ledger.is_disturbed(gateway, first.at..arrival.at));
        arrival.limit.is_some()
            && arrival.at >= first.at + LIMIT_DELAY
            && !is_disturbed
            && is_told(arrival)
    };
    let bound: Vec<time::Instant> = arrivals.iter().filter(is_bound).map(|one| one.at).collect();
    let allowed = LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() + LIMIT_TOLERANCE;
    for start in &bound {
        let window = *start..*start + LIMIT_WINDOW;
        let count = bound.iter().filter(|at| window.contains(*at)).count();
        if f64::from(u32::try_from(count).expect("few")) > allowed {
            ledger.record_violation(format!(
                "{runner} got {count} requests in 4 s from gateways that it had told its limit"
            ));
            return;
        }
    }
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
