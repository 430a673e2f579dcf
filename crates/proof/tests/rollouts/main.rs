//! Rollouts on the real programs: three control hosts, three gateways and stand-in upstreams in
//! several versions.

mod deployment;

use std::time;

use deployment::Deployment;
use peargap_fake::runner;

/// Time limit of the orders.
const DURATION: time::Duration = time::Duration::from_secs(10);
/// Bounds on a bad version, as in the settings of the control hosts.
const FRACTION: f64 = 0.1;
const TOLERANCE: f64 = 50.0;
const ROLLBACK: time::Duration = time::Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_good_version_gets_all_requests_and_a_bad_one_is_rolled_back() {
    let mut deployment = Deployment::start().await;
    deployment.start_runners("v1", 3).await;
    deployment
        .call(200, "PUT", "/api/config", deployment::DOCUMENT)
        .await;
    let load = deployment.start_load();
    deployment.wait_for_runs("v1", 100).await;

    // A good version, while the control hosts are all killed once.
    deployment.start_runners("v2", 3).await;
    let ordered = time::Instant::now();
    deployment.order(200, "v2", DURATION).await;
    deployment.order(200, "v2", DURATION).await;
    deployment.order(409, "v9", DURATION).await;
    deployment.restart_control();
    assert_eq!(
        deployment.read_state().await,
        ("in_progress".to_owned(), "v2".to_owned())
    );
    deployment.wait_for_state("completed").await;
    assert!(ordered.elapsed() < DURATION, "{:?}", ordered.elapsed());
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let former = deployment.count_runs("v1");
    deployment.wait_for_runs("v2", 500).await;
    assert_eq!(deployment.count_runs("v1"), former);

    // A bad one, while the leader is killed.
    deployment.start_runners("v3", 3).await;
    deployment.set_behaviour("v3", runner::Behaviour::Fail);
    let before = deployment.count_all_runs();
    let ordered = time::Instant::now();
    deployment.order(200, "v3", DURATION).await;
    deployment.kill_leader();
    deployment.wait_for_state("rolled_back").await;
    assert!(ordered.elapsed() < ROLLBACK, "{:?}", ordered.elapsed());
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let bad = deployment.count_runs("v3");
    tokio::time::sleep(DURATION.saturating_sub(ordered.elapsed())).await;
    assert_eq!(deployment.count_runs("v3"), bad);
    let all = deployment.count_all_runs() - before;
    let bound = FRACTION * f64::from(all) + TOLERANCE;
    assert!(f64::from(bad) <= bound, "{bad} of {all}");
    println!("bad version: {bad} of {all} requests");
    load.abort();
}
