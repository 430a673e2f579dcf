//! What control hosts tell gateways of upstreams that they know already.

use std::time;

use crate::cluster::Cluster;
use crate::heartbeat;

const PATH: &str = "/api/instances/i-1";
/// Time in which a gateway hears of a change.
const NEWS_TIME: time::Duration = time::Duration::from_secs(2);
/// Time in which nothing is told of an entry that is refused.
const QUIET_TIME: time::Duration = time::Duration::from_millis(500);

/// Guards against an upstream that becomes cold again and gets its full load.
#[tokio::test]
async fn gateways_hear_of_a_new_cold_start() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    let warm = heartbeat("ready", 1);
    cluster.call(0, 200, "PUT", PATH, &warm).await;
    let mut follower = cluster.follow(0).await;
    assert_eq!(follower.wait_upstreams().await.upstreams[0].cold_ms, 0);
    let cold = heartbeat("ready", 2).replace("\"coldLeftMs\":0", "\"coldLeftMs\":5500");
    cluster.call(0, 200, "PUT", PATH, &cold).await;
    let told = tokio::time::timeout(NEWS_TIME, follower.wait_upstreams()).await;
    let told = told.expect("news of the cold start");
    assert!(told.upstreams[0].cold_ms > 5000, "{:?}", told.upstreams);
}

/// Guards against an upstream that is never used again because it called other hosts for a while, one of
/// which reports it silent.
#[tokio::test]
async fn an_upstream_that_comes_back_to_a_host_is_announced_again() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    let beat = |host, sequence| {
        let body = heartbeat("ready", sequence);
        let cluster = &cluster;
        async move { cluster.call(host, 200, "PUT", PATH, &body).await }
    };
    beat(0, 1).await;
    let mut follower = cluster.follow(0).await;
    assert_eq!(follower.wait_upstreams().await.upstreams[0].sequence, 1);
    beat(1, 2).await;
    beat(0, 3).await;
    let told = tokio::time::timeout(NEWS_TIME, follower.wait_upstreams()).await;
    let told = told.expect("news of the later heartbeat");
    assert_eq!(told.upstreams[0].sequence, 3);
}

/// Guards against a complete entry of another writer that moves an upstream to another service.
#[tokio::test]
async fn an_entry_that_contradicts_an_upstream_is_refused_and_not_told() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    let ready = heartbeat("ready", 1);
    cluster.call(0, 200, "PUT", PATH, &ready).await;
    let mut follower = cluster.follow(0).await;
    let known = follower.wait_upstreams().await.upstreams;
    let odd = heartbeat("ready", 2).replace("\"service\":\"s\"", "\"service\":\"t\"");
    let answer = cluster.try_call(0, "PUT", PATH, &odd).await;
    assert_eq!(answer.expect("an answer").0, 409);
    let told = tokio::time::timeout(QUIET_TIME, follower.wait_upstreams()).await;
    assert!(told.is_err(), "{told:?}");
    let next = heartbeat("ready", 2);
    cluster.call(0, 200, "PUT", PATH, &next).await;
    let mut later = cluster.follow(0).await;
    let held = later.wait_upstreams().await.upstreams;
    assert_eq!(held[0].service, known[0].service);
    assert_eq!(held[0].sequence, 2);
}
