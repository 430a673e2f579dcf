//! Upstreams that leave while control hosts fail.

use std::time;

use crate::caller;
use crate::deployment;
use crate::ledger;
use crate::operator;

const GATEWAYS: usize = 2;
const CALLERS: u64 = 6;
/// Time after the acknowledgement of a leave until which requests may reach the upstream.
const DRAIN_TIME: time::Duration = time::Duration::from_secs(2);
/// Time for which an upstream is watched then.
const WATCH_TIME: time::Duration = time::Duration::from_secs(3);

/// Guards against requests to an upstream whose leave was acknowledged by a control host that it had
/// not called before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_leaves_at_a_host_that_does_not_know_it_gets_nothing_more() {
    let mut deployment = deployment::Deployment::start(GATEWAYS).await;
    let ledger = ledger::Ledger::default();
    let operator = operator::Operator::start(&deployment, ledger.clone()).await;
    let callers = caller::spawn_all(CALLERS, 3, &deployment, &ledger);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let desks = deployment.upstreams.iter();
    let desks: Vec<_> = desks.filter(|one| one.service == "desk").cloned().collect();
    let [leaving, staying] = desks.as_slice() else {
        panic!("two upstreams serve plain calls");
    };
    assert!(!leaving.runner.arrivals().is_empty(), "it is in use");
    // All heartbeats went to the first host.
    deployment.controls[0].kill();
    *leaving.state.lock().expect("a state") = None;
    let path = format!("/api/instances/{}", leaving.runner.name);
    let address = deployment.platform_address(1);
    let answer = operator::call(address, "DELETE", &path, String::new()).await;
    assert_eq!(answer.expect("an answer").0, 200);
    let limit = time::Instant::now() + DRAIN_TIME;
    // The host that knew it comes back, and knows nothing.
    deployment.controls[0].start();
    tokio::time::sleep(DRAIN_TIME + WATCH_TIME).await;
    caller::stop(callers, &ledger).await;
    drop(operator);
    let arrivals = |upstream: &deployment::Upstream| {
        let arrivals = upstream.runner.arrivals();
        arrivals.iter().filter(|one| one.at > limit).count()
    };
    let (late, others) = (arrivals(leaving), arrivals(staying));
    println!("{late} requests after the limit, {others} at the other upstream");
    assert!(others > 0, "callers are served");
    assert_eq!(late, 0, "requests to an upstream that has left");
}
