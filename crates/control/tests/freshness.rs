//! Nodes go on taking new work while one control host, the leader or not, is frozen.

mod support;

use std::time;

use peargap_adapters::digest;
use peargap_adapters::follow;
use peargap_wire::control;
use tokio::sync::watch;
use tokio_util::sync as cancel;

const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Longer than a lease, the silence limit and an election together.
const FROZEN_TIME: time::Duration = time::Duration::from_secs(4);

fn attach(
    cluster: &support::Cluster,
    first: usize,
    token: &cancel::CancellationToken,
) -> follow::View {
    let count = cluster.hosts.len();
    // The follower starts at a host by its name's bytes; `a` names the one at its own place.
    let shift = usize::from(b'a') % count;
    let start = (first + count - shift) % count;
    let controls = (0..count).map(|index| cluster.hosts[(start + index) % count].internal);
    let (_announcement, announcement) = watch::channel(None);
    let options = follow::Options {
        announcement,
        controls: controls.collect(),
        node: control::Node {
            address: "127.0.0.1:1".to_owned(),
            domain: "d".to_owned(),
            incarnation: "i".to_owned(),
            name: "a".to_owned(),
            role: control::Role::Entry.into(),
        },
    };
    follow::spawn(options, token.clone())
}

/// Freezes `frozen`, to which a node is attached; returns for how long the node was without a lease.
fn freeze(cluster: &support::Cluster, frozen: usize) -> time::Duration {
    support::block_on(async {
        let token = cancel::CancellationToken::new();
        let view = attach(cluster, frozen, &token);
        let end = time::Instant::now() + support::WAIT_TIMEOUT;
        while !view.is_fresh() {
            assert!(time::Instant::now() < end, "no lease");
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        cluster.hosts[frozen].signal("STOP");
        let began = time::Instant::now();
        let mut last = began;
        let mut without = time::Duration::ZERO;
        while began.elapsed() < FROZEN_TIME {
            tokio::time::sleep(LOOK_INTERVAL).await;
            let now = time::Instant::now();
            if !view.is_fresh() {
                without += now - last;
            }
            last = now;
        }
        cluster.hosts[frozen].signal("CONT");
        token.cancel();
        without
    })
}

#[test]
fn a_frozen_control_host_stops_no_new_work() {
    let digest = digest::hash_key(b"unused");
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let cluster = support::Cluster::start(3, &format!("[operators]\nkey_sha256={hex}\n"));
    let leader = cluster.wait_for_leader();
    let without = freeze(&cluster, (leader + 1) % 3);
    assert_eq!(without, time::Duration::ZERO, "follower frozen");
    let leader = cluster.wait_for_leader();
    let without = freeze(&cluster, leader);
    assert_eq!(without, time::Duration::ZERO, "leader frozen");
}
