//! Control hosts as real processes: elections, commits and catch-up.

mod support;

use support::Cluster;

#[test]
fn three_hosts_commit_before_and_after_a_leader_crash() {
    let mut cluster = Cluster::start(3, "");
    let first_leader = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.hosts[first_leader].kill();
    let second_leader = cluster.wait_for_leader();
    assert_ne!(first_leader, second_leader);
    cluster.commit("two");
    cluster.hosts[first_leader].start();
    cluster.wait_for_catch_up(second_leader);
    for index in 0..3 {
        let commands = cluster.read_commands(index);
        assert_eq!(commands, ["one", "two"], "host {index}");
    }
}
