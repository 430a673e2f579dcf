//! A node keeps its lease, without which it takes no new work, while one control host is frozen,
//! whether that is the leader or not.

mod support;

use std::time;

use peargap_adapters::digest;
use peargap_adapters::follow;
use peargap_wire::control;
use tokio::sync::watch;
use tokio_util::sync as cancel;

const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Longer than a lease, the node's timeout for a silent host and an election together.
const FROZEN_TIME: time::Duration = time::Duration::from_secs(4);

fn attach(
    cluster: &support::Cluster,
    first: usize,
    token: &cancel::CancellationToken,
) -> follow::View {
    let count = cluster.hosts.len();
    // The client picks its first host by the bytes of the node's name: for `a` it is the host at
    // index `shift`.
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

/// Freezes the host `frozen`, to which a node is attached, and returns how long the node had no
/// lease.
fn freeze(cluster: &support::Cluster, frozen: usize) -> time::Duration {
    support::block_on(async {
        let token = cancel::CancellationToken::new();
        let view = attach(cluster, frozen, &token);
        let end = time::Instant::now() + support::WAIT_TIMEOUT;
        while !view.is_fresh() {
            assert!(time::Instant::now() < end, "no lease");
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        cluster.hosts[frozen].signal("STOP");
        let began = time::Instant::now();
        let mut last = began;
        let mut time_without_lease = time::Duration::ZERO;
        while began.elapsed() < FROZEN_TIME {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = time::Instant::now();
            if !view.is_fresh() {
                time_without_lease += now - last;
            }
            last = now;
        }
        cluster.hosts[frozen].signal("CONT");
        token.cancel();
        time_without_lease
    })
}

#[test]
fn a_frozen_control_host_interrupts_no_lease() {
    let digest = digest::hash_key(b"unused");
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let cluster = support::Cluster::start(3, &format!("[operators]\nkey_sha256={hex}\n"));
    let leader = cluster.wait_for_leader();
    let time_without_lease = freeze(&cluster, (leader + 1) % 3);
    assert_eq!(time_without_lease, time::Duration::ZERO, "follower frozen");
    let leader = cluster.wait_for_leader();
    let time_without_lease = freeze(&cluster, leader);
    assert_eq!(time_without_lease, time::Duration::ZERO, "leader frozen");
}
