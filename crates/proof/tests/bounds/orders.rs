//! Operators' orders that are held up between control hosts and come late.

use std::fs;
use std::time;

use crate::caller;
use crate::deployment;
use crate::ledger;
use crate::operator;

const GATEWAYS: usize = 2;
const CALLERS: u64 = 4;
/// Failure domain of all upstreams.
const EVACUATION: &str = "/api/evacuations/d0";
/// Time after the acknowledgement of an evacuation until which requests may reach the domain.
const EVACUATE_TIME: time::Duration = time::Duration::from_secs(5);
/// Time for which the domain is watched then.
const WATCH_TIME: time::Duration = time::Duration::from_secs(2);

async fn order(deployment: &deployment::Deployment, host: usize, method: &str) -> Option<u16> {
    let address = deployment.platform_address(host);
    let answer = operator::call(address, method, EVACUATION, String::new()).await;
    answer.map(|(status, _body)| status)
}

/// Returns the control host that has last become the leader.
fn find_leader(deployment: &deployment::Deployment) -> usize {
    let leads = |process: &deployment::Process| {
        let text = fs::read_to_string(&process.log).expect("a log");
        let role = text.lines().rev().find(|line| line.contains("E2003"));
        role.is_some_and(|line| line.contains("Leader"))
    };
    let leader = deployment.controls.iter().position(leads);
    leader.expect("a leader")
}

/// Guards against an order that takes effect although later ones were acknowledged meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_comes_late_does_not_undo_a_later_one() {
    let deployment = deployment::Deployment::start(GATEWAYS).await;
    let ledger = ledger::Ledger::default();
    let operator = operator::Operator::start(&deployment, ledger.clone()).await;
    let callers = caller::spawn_all(CALLERS, 4, &deployment, &ledger);
    let leader = find_leader(&deployment);
    let behind = (leader + 1) % deployment::CONTROLS;
    assert_eq!(order(&deployment, leader, "POST").await, Some(200));
    // The documents of the operator go through each host, so connections for orders are open.
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    deployment.hold_peers(behind, true);
    assert_ne!(order(&deployment, behind, "DELETE").await, Some(200));
    assert_eq!(order(&deployment, leader, "DELETE").await, Some(200));
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert_eq!(order(&deployment, leader, "POST").await, Some(200));
    let limit = time::Instant::now() + EVACUATE_TIME;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    deployment.hold_peers(behind, false);
    tokio::time::sleep_until((limit + WATCH_TIME).into()).await;
    // The next order takes effect at once, also at the host that was behind.
    assert_eq!(order(&deployment, behind, "DELETE").await, Some(200));
    let returned = time::Instant::now();
    tokio::time::sleep(WATCH_TIME).await;
    caller::stop(callers, &ledger).await;
    drop(operator);
    let arrivals = deployment.upstreams.iter();
    let arrivals: Vec<_> = arrivals.flat_map(|one| one.runner.arrivals()).collect();
    let late = arrivals
        .iter()
        .filter(|one| one.at > limit && one.at < returned);
    let after = arrivals.iter().filter(|one| one.at > returned);
    let (late, after) = (late.count(), after.count());
    println!("{late} requests after the evacuation, {after} after its end");
    assert!(after > 0, "callers are served when the domain is back");
    assert_eq!(late, 0, "requests to an evacuated domain");
}
