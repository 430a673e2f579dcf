//! Control hosts as real processes: elections, commits and catch-up.

mod support;

use support::Cluster;

#[test]
fn three_hosts_commit_and_outlive_the_leader() {
    let mut cluster = Cluster::start(3, "");
    let first = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.hosts[first].kill();
    let second = cluster.wait_for_leader();
    assert_ne!(first, second);
    cluster.commit("two");
    cluster.hosts[first].start();
    cluster.wait_for_all(second);
    for index in 0..3 {
        let commands = cluster.read_commands(index);
        assert_eq!(commands, ["one", "two"], "host {index}");
    }
}
