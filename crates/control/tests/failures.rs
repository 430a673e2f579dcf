//! Failures of control hosts: crashes, lost, copied and full disks, pauses.

mod support;

use std::fs;
use std::io::Write as _;
use std::path;
use std::time;

use support::wait_until;
use support::Cluster;
use support::Outcome;

/// Lease in [`TIMING`], in milliseconds.
const LEASE_MS: u64 = 400;
const TIMING: &str = "[timing]\nlease_ms=400\n";

fn copy_folder(from: &path::Path, to: &path::Path) {
    fs::create_dir_all(to).expect("a folder");
    for item in fs::read_dir(from).expect("a folder") {
        let item = item.expect("an item");
        fs::copy(item.path(), to.join(item.file_name())).expect("copied");
    }
}

fn find_last_segment(folder: &path::Path) -> path::PathBuf {
    let items = fs::read_dir(folder).expect("a folder");
    let paths = items.map(|item| item.expect("an item").path());
    let segments = paths.filter(|path| {
        let name = path.file_name().expect("a name").to_string_lossy();
        name.starts_with("log-") && fs::metadata(path).expect("metadata").len() > 0
    });
    segments.max().expect("a segment")
}

fn name_commands(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("command {number:03}"))
        .collect()
}

#[test]
fn commits_survive_a_crash_of_each_host_in_turn() {
    let mut cluster = Cluster::start(3, "");
    let commands = name_commands(12);
    for (number, command) in commands.iter().enumerate() {
        let crashed = number % 3;
        cluster.wait_for_leader();
        cluster.hosts[crashed].kill();
        cluster.commit(command);
        cluster.hosts[crashed].start();
    }
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    for index in 0..3 {
        let mut stored = cluster.read_commands(index);
        // A command whose reply was lost is proposed again and may be committed twice.
        stored.dedup();
        assert_eq!(stored, commands, "host {index}");
    }
}

#[test]
fn commits_survive_a_crash_of_all_hosts() {
    let mut cluster = Cluster::start(3, "");
    cluster.wait_for_leader();
    cluster.commit("before");
    for host in &mut cluster.hosts {
        host.kill();
    }
    for host in &mut cluster.hosts {
        host.start();
    }
    let leader = cluster.wait_for_leader();
    cluster.commit("after");
    cluster.wait_for_catch_up(leader);
    assert_eq!(cluster.read_commands(leader), ["before", "after"]);
}

#[test]
fn a_host_catches_up_after_five_hundred_changes() {
    let mut cluster = Cluster::start(3, "");
    let leader = cluster.wait_for_leader();
    let behind = (leader + 1) % 3;
    cluster.hosts[behind].kill();
    let commands = name_commands(500);
    for command in &commands {
        cluster.commit(command);
    }
    cluster.hosts[behind].start();
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    let mut stored = cluster.read_commands(behind);
    stored.dedup();
    assert_eq!(stored, commands);
}

#[test]
fn a_host_that_lags_far_behind_receives_a_snapshot() {
    let mut cluster = Cluster::start(3, "");
    for host in &mut cluster.hosts {
        host.kill();
        host.add_data_settings("limit_mb=32\n");
        host.start();
    }
    let leader = cluster.wait_for_leader();
    let behind = (leader + 1) % 3;
    cluster.hosts[behind].kill();
    // More than the leader keeps of the entries that its snapshot covers.
    for number in 0..24 {
        let filler = "x".repeat(1 << 20);
        cluster.commit(&format!("command {number:03} {filler}"));
    }
    cluster.hosts[behind].start();
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    assert!(cluster.hosts[leader].read_log().contains("E2010"));
    assert!(cluster.hosts[behind].read_log().contains("E2011"));
    cluster.commit("after");
    cluster.wait_for_catch_up(leader);
    assert_eq!(
        cluster.read_commands(behind).last().expect("a command"),
        "after"
    );
}

#[test]
fn a_host_truncates_a_torn_tail_and_catches_up() {
    let mut cluster = Cluster::start(3, "");
    let leader = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.wait_for_catch_up(leader);
    let torn = (leader + 1) % 3;
    cluster.hosts[torn].kill();
    let segment = find_last_segment(&cluster.hosts[torn].folder);
    let segment_bytes = fs::read(&segment).expect("a segment");
    let file = fs::OpenOptions::new().append(true).open(&segment);
    let half = &segment_bytes[..segment_bytes.len().min(24)];
    file.expect("a segment").write_all(half).expect("written");
    cluster.commit("two");
    cluster.hosts[torn].start();
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    assert!(cluster.hosts[torn].read_log().contains("E2012"));
    assert_eq!(cluster.read_commands(torn), ["one", "two"]);
}

#[test]
fn a_corrupt_synced_record_stops_the_host_and_is_reported() {
    let mut cluster = Cluster::start(3, "");
    let leader = cluster.wait_for_leader();
    for command in name_commands(5) {
        cluster.commit(&command);
    }
    cluster.wait_for_catch_up(leader);
    let corrupt = (leader + 1) % 3;
    cluster.hosts[corrupt].kill();
    let segment = find_last_segment(&cluster.hosts[corrupt].folder);
    let mut bytes = fs::read(&segment).expect("a segment");
    bytes[40] ^= 1;
    fs::write(&segment, bytes).expect("written");
    cluster.hosts[corrupt].start();
    assert!(!cluster.hosts[corrupt].wait_for_exit());
    let log = cluster.hosts[corrupt].read_log();
    let name = segment
        .file_name()
        .expect("a name")
        .to_string_lossy()
        .into_owned();
    assert!(log.contains("E2009") && log.contains(&name), "{log}");
    assert!(log.contains("is corrupt at offset 0"), "{log}");
    cluster.commit("the others go on");
}

#[test]
fn commits_survive_disk_losses_one_after_another() {
    let mut cluster = Cluster::start(3, "");
    let mut leader = cluster.wait_for_leader();
    let commands = name_commands(60);
    let mut lost = (leader + 1) % 3;
    for round in 0..3 {
        for command in &commands[round * 20..(round + 1) * 20] {
            cluster.commit(command);
        }
        let old_disk = cluster.read_disk_id(lost);
        cluster.replace_disk(lost);
        leader = cluster.wait_for_leader();
        cluster.wait_for_new_voter(leader, &old_disk);
        // The current leader loses its disk next.
        lost = leader;
    }
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    for index in 0..3 {
        let mut stored = cluster.read_commands(index);
        stored.dedup();
        assert_eq!(stored, commands, "host {index}");
    }
}

#[test]
fn a_host_with_an_old_copy_of_its_disk_rejoins_as_a_new_member() {
    let mut cluster = Cluster::start(3, "");
    let leader = cluster.wait_for_leader();
    let copied = (leader + 1) % 3;
    let lagging = (leader + 2) % 3;
    cluster.hosts[copied].kill();
    let backup = cluster.root.path().join("backup");
    copy_folder(&cluster.hosts[copied].folder, &backup);
    cluster.hosts[copied].start();
    cluster.wait_for_catch_up(leader);
    // Only the leader and the host whose disk is rolled back next store this command.
    cluster.hosts[lagging].kill();
    cluster.commit("accepted");
    let old_disk = cluster.read_disk_id(copied);
    cluster.hosts[copied].kill();
    cluster.hosts[leader].signal("STOP");
    let folder = cluster.hosts[copied].folder.clone();
    fs::remove_dir_all(&folder).expect("removed");
    copy_folder(&backup, &folder);
    cluster.hosts[copied].start();
    cluster.hosts[lagging].start();
    // The lagging host still has its disk, so it rejects the copy although the leader is paused.
    wait_until("the copied disk to be set aside", || {
        cluster.hosts[copied].read_log().contains("E2005")
    });
    cluster.hosts[leader].signal("CONT");
    let leader = cluster.wait_for_leader();
    cluster.wait_for_new_voter(leader, &old_disk);
    cluster.wait_for_catch_up(leader);
    for index in 0..3 {
        assert_eq!(cluster.read_commands(index), ["accepted"], "host {index}");
    }
}

#[test]
fn a_cluster_of_only_copied_disks_continues() {
    let mut cluster = Cluster::start(3, "");
    let leader = cluster.wait_for_leader();
    cluster.commit("before");
    cluster.wait_for_catch_up(leader);
    // All are stopped first: a copy is set aside as soon as it meets a host with its original disk.
    for host in &mut cluster.hosts {
        host.kill();
    }
    for host in &mut cluster.hosts {
        let folder = host.folder.clone();
        let original = folder.with_extension("aside");
        fs::rename(&folder, &original).expect("renamed");
        copy_folder(&original, &folder);
        host.start();
    }
    let leader = cluster.wait_for_leader();
    cluster.commit("after");
    cluster.wait_for_catch_up(leader);
    for index in 0..3 {
        assert_eq!(
            cluster.read_commands(index),
            ["before", "after"],
            "host {index}"
        );
    }
}

#[test]
fn a_leader_paused_for_longer_than_a_lease_is_replaced() {
    let mut cluster = Cluster::start(3, TIMING);
    let first = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.hosts[first].signal("STOP");
    let mut others = (0..3).filter(|index| *index != first);
    let running = [
        others.next().expect("a host"),
        others.next().expect("a host"),
    ];
    wait_until("another leader", || {
        let mut hosts = running.iter().map(|index| &cluster.hosts[*index]);
        hosts.any(|host| host.read_gauge("leader") == Some(1) && host.is_fresh())
    });
    let paused = time::Instant::now();
    let lease = time::Duration::from_millis(LEASE_MS);
    wait_until("the lease to expire", || paused.elapsed() > lease);
    wait_until("a commit without the paused leader", || {
        running
            .iter()
            .any(|index| cluster.hosts[*index].propose("two") == Some(Outcome::Reply))
    });
    cluster.hosts[first].signal("CONT");
    // While it does not lead, it refuses the command or reports it as unknown; it never replies.
    let reply = cluster.hosts[first].propose("three");
    let is_leader = cluster.hosts[first].read_gauge("leader") == Some(1);
    assert!(reply != Some(Outcome::Reply) || is_leader, "{reply:?}");
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    let stored = cluster.read_commands(first);
    assert_eq!(stored[..2], ["one", "two"]);
}

#[test]
fn an_isolated_leader_loses_its_lease_and_steps_down() {
    let mut cluster = Cluster::start(3, TIMING);
    let leader = cluster.wait_for_leader();
    cluster.commit("one");
    for index in 0..3 {
        wait_until("a fresh host", || cluster.hosts[index].is_fresh());
    }
    for index in 0..3 {
        if index != leader {
            cluster.hosts[index].kill();
        }
    }
    wait_until("the lease to expire", || !cluster.hosts[leader].is_fresh());
    wait_until("the leader to step down", || {
        cluster.hosts[leader].read_gauge("leader") == Some(0)
    });
    assert_ne!(cluster.hosts[leader].propose("two"), Some(Outcome::Reply));
}

#[test]
fn a_full_disk_refuses_changes_and_keeps_serving() {
    let mut cluster = Cluster::start(3, "");
    let leader = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.wait_for_catch_up(leader);
    let extra = "limit_mb=16\n";
    for host in &mut cluster.hosts {
        host.kill();
        host.add_data_settings(extra);
        let ballast = fs::File::create(host.folder.join("ballast")).expect("a file");
        ballast.set_len(14 << 20).expect("a size");
        host.start();
    }
    let leader = cluster.wait_for_leader();
    assert_eq!(
        cluster.hosts[leader].propose("two"),
        Some(Outcome::DiskFull)
    );
    assert!(cluster.hosts[leader].is_fresh());
    for host in &cluster.hosts {
        fs::remove_file(host.folder.join("ballast")).expect("removed");
    }
    cluster.commit("three");
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    assert_eq!(cluster.read_commands(leader), ["one", "three"]);
}

#[test]
fn a_host_that_waits_for_room_on_its_disk_can_be_stopped() {
    let mut cluster = Cluster::start(3, "");
    let leader = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.wait_for_catch_up(leader);
    for host in &mut cluster.hosts {
        host.kill();
        host.add_data_settings("limit_mb=16\n");
        let ballast = fs::File::create(host.folder.join("ballast")).expect("a file");
        ballast.set_len(16 << 20).expect("a size");
        host.start();
    }
    let mut waiting = None;
    wait_until("a host that waits for room", || {
        let mut hosts = 0..cluster.hosts.len();
        waiting = hosts.find(|index| cluster.hosts[*index].read_log().contains("E2006"));
        waiting.is_some()
    });
    let host = &mut cluster.hosts[waiting.expect("a host")];
    host.signal("TERM");
    assert!(host.wait_for_exit());
}

#[test]
fn a_fourth_host_joins_and_votes() {
    let mut cluster = Cluster::prepare(4, 3, "");
    for index in 0..3 {
        cluster.hosts[index].start();
    }
    let leader = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.hosts[3].start();
    wait_until("four voters", || {
        cluster.hosts[leader].read_gauge("voters") == Some(4)
    });
    cluster.wait_for_catch_up(leader);
    assert_eq!(cluster.read_commands(3), ["one"]);
}

#[test]
fn a_stopping_leader_transfers_its_leadership() {
    let mut cluster = Cluster::start(3, "");
    let first = cluster.wait_for_leader();
    cluster.commit("one");
    cluster.hosts[first].signal("TERM");
    assert!(cluster.hosts[first].wait_for_exit());
    let second = cluster.wait_for_leader();
    assert_ne!(first, second);
    cluster.commit("two");
}
