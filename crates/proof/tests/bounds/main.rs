//! Bounds that hold for all gateways together: retries to a service that refuses requests, while
//! gateways and control hosts restart again and again, the limits that upstreams name, prompts that
//! crash engines, routing documents on thin links, upstreams that leave and operators' orders.

#![allow(
    dead_code,
    reason = "the soak test uses the rest of the shared modules"
)]

#[path = "../soak/caller.rs"]
mod caller;
mod deadly;
#[path = "../soak/deployment.rs"]
mod deployment;
mod documents;
mod leaves;
#[path = "../soak/ledger.rs"]
mod ledger;
#[path = "../soak/operator.rs"]
mod operator;
mod orders;
#[path = "../failures/program.rs"]
mod program;
#[path = "../failures/relay.rs"]
mod relay;

use std::collections;
use std::ops;
use std::time;

use peargap_fake::runner;

const GATEWAYS: usize = 6;
const CALLERS: u64 = 30;
/// Time for which the upstreams refuse requests.
const SHEDDING_TIME: time::Duration = time::Duration::from_secs(14);
/// Time between two restarts of gateways.
const RESTART_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Restarts of gateways for each one of a control host.
const CONTROL_INTERVAL: usize = 5;
/// Bounds of the retries, as the gateways have them by default.
const RATIO: f64 = 0.2;
const BURST: f64 = 64.0;
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Time for which the upstreams name a limit.
const LIMITED_TIME: time::Duration = time::Duration::from_secs(12);
/// Limit that each upstream names, in requests a second, as sent.
const LIMIT: &str = "3.0";
const LIMIT_PER_S: f64 = 3.0;
const LIMIT_WINDOW: time::Duration = time::Duration::from_secs(4);
/// Requests beyond the limit that are allowed in a window.
const LIMIT_TOLERANCE: f64 = 5.0;
/// Time in which gateways learn that a limit has ended, from a request that leaves within a window,
/// and send again as before.
const END_TIME: time::Duration = time::Duration::from_secs(8);
/// Time in which all gateways learn of a limit.
const NEWS_TIME: time::Duration = time::Duration::from_millis(500);

/// Restarts gateways, and now and then a control host, until `end`.
async fn restart_in_turn(deployment: &mut deployment::Deployment, end: time::Instant) {
    let mut count = 0;
    while time::Instant::now() < end {
        let gateway = count % GATEWAYS;
        deployment.gateways[gateway].kill();
        deployment.gateways[gateway].start();
        if count % CONTROL_INTERVAL == 0 {
            let host = count / CONTROL_INTERVAL % deployment::CONTROLS;
            deployment.controls[host].kill();
            deployment.controls[host].start();
        }
        count += 1;
        tokio::time::sleep(RESTART_INTERVAL).await;
    }
}

/// Returns when each attempt arrived at an upstream of the plain service, in order.
fn list_arrivals(deployment: &deployment::Deployment) -> Vec<runner::Arrival> {
    let desks = deployment.upstreams.iter();
    let desks = desks.filter(|upstream| upstream.service == "desk");
    let mut arrivals: Vec<_> = desks.flat_map(|desk| desk.runner.arrivals()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Returns the largest part of the bound that a window spends, and a line on the totals.
fn measure(arrivals: &[runner::Arrival]) -> (f64, String) {
    let mut seen = collections::HashSet::new();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for arrival in arrivals {
        match seen.insert(arrival.attempt.as_str()) {
            true => requests.push(arrival.at),
            false => retries.push(arrival.at),
        }
    }
    let spent = retries.iter().map(|end| {
        // Requests that never arrived only raise the bound, and are left out.
        let start = end.checked_sub(WINDOW).unwrap_or(*end);
        let within = |at: &&time::Instant| **at > start && **at <= *end;
        let allowed = RATIO * as_number(requests.iter().filter(within).count()) + BURST;
        as_number(retries.iter().filter(within).count()) / allowed
    });
    let worst = spent.fold(0.0, f64::max);
    let text = format!(
        "{} requests arrived, {} retries, {worst:.2} of the bound",
        requests.len(),
        retries.len()
    );
    (worst, text)
}

fn as_number(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("few"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_stay_within_the_bound_while_gateways_restart() {
    let mut deployment = deployment::Deployment::start(GATEWAYS).await;
    for _upstream in 0..2 {
        deployment.add_upstream("desk").await;
    }
    let ledger = ledger::Ledger::default();
    let operator = operator::Operator::start(&deployment, ledger.clone()).await;
    let callers = caller::spawn_all(CALLERS, 1, &deployment, &ledger);
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    for upstream in &deployment.upstreams {
        if upstream.service == "desk" {
            upstream.runner.set_behaviour(runner::Behaviour::Shed);
        }
    }
    restart_in_turn(&mut deployment, time::Instant::now() + SHEDDING_TIME).await;
    caller::stop(callers, &ledger).await;
    drop(operator);
    let (worst, text) = measure(&list_arrivals(&deployment));
    println!("{text}; {}", ledger.summary());
    assert!(worst <= 1.0, "{text}");
}

/// Returns the most requests in any window of a range of time.
fn count_busiest(arrivals: &[runner::Arrival], range: &ops::Range<time::Instant>) -> usize {
    let counted = arrivals.iter().filter(|one| range.contains(&one.at));
    let counted: Vec<_> = counted.map(|one| one.at).collect();
    let windows = counted.iter().map(|start| {
        let window = *start..*start + LIMIT_WINDOW;
        counted.iter().filter(|at| window.contains(*at)).count()
    });
    windows.max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_that_an_upstream_names_holds_over_all_gateways() {
    let deployment = deployment::Deployment::start(GATEWAYS).await;
    let ledger = ledger::Ledger::default();
    let operator = operator::Operator::start(&deployment, ledger.clone()).await;
    let callers = caller::spawn_all(CALLERS, 2, &deployment, &ledger);
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    let desks = deployment.upstreams.iter();
    let desks: Vec<_> = desks.filter(|one| one.service == "desk").collect();
    for desk in &desks {
        desk.runner.set_limit(Some(LIMIT));
    }
    let begun = time::Instant::now();
    tokio::time::sleep(LIMITED_TIME).await;
    let ended = time::Instant::now();
    for desk in &desks {
        desk.runner.set_limit(None);
    }
    tokio::time::sleep(END_TIME).await;
    caller::stop(callers, &ledger).await;
    drop(operator);
    for desk in desks {
        let name = &desk.runner.name;
        let arrivals = desk.runner.arrivals();
        let busiest = count_busiest(&arrivals, &(begun + NEWS_TIME..ended));
        let bound = LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() + LIMIT_TOLERANCE;
        let limited = arrivals.iter().filter(|one| one.limit.is_some()).count();
        let after = arrivals.iter().filter(|one| one.at > ended).count();
        let offsets = arrivals.iter().filter(|one| one.at >= begun);
        let offsets: Vec<u128> = offsets.map(|one| (one.at - begun).as_millis()).collect();
        println!("{name}: busiest window {busiest}, {limited} limited, {after} after");
        println!(
            "{name}: ms since the limit was named: {:?}",
            &offsets[..limited]
        );
        assert!(
            as_number(busiest) <= bound,
            "{name}: {busiest} requests in 4 s"
        );
        let wanted = LIMIT_PER_S * LIMITED_TIME.as_secs_f64() * 0.6;
        assert!(as_number(limited) >= wanted, "{name}: {limited} requests");
        assert!(after >= limited, "{name}: {after} requests after the limit");
    }
}
