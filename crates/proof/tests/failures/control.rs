//! Control hosts that are killed, frozen, restarted or left without a quorum.

use core::time;

use rustix::process as unix;

use crate::caller;
use crate::fleet;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_accepted_with_one_host_down() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    fleet.kill("control-0");
    let outcome = fleet
        .operate(&["domain", "out", "zone-1", "--wait", "15"])
        .await;
    assert!(outcome.status.success(), "{}", fleet::show(&outcome));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_new_work_is_refused_and_running_work_completes() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("no quorum", 1_500);
    let opened = caller::open(&fleet.entries[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(10).await, None);
    fleet.kill("control-0");
    fleet.kill("control-1");
    let entry = fleet.entries[1].clone();
    fleet::wait_until("new work is refused", async || {
        let prompt = caller::build_prompt("stale", 1);
        let answer = caller::ask_whole(&entry, &prompt).await;
        answer.status.as_u16() == 503 && caller::read_ran(&answer.body) == "not_run"
    })
    .await;
    assert_eq!(stream.finish().await, caller::End::Whole);
    let outcome = fleet.operate(&["domain", "out", "zone-1"]).await;
    assert!(!outcome.status.success(), "{}", fleet::show(&outcome));
    fleet.restart("control-0");
    fleet::wait_until("new work is accepted again", async || {
        let prompt = caller::build_prompt("fresh", 1);
        caller::ask_whole(&entry, &prompt).await.status.is_success()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_leader_is_replaced_and_claims_are_accepted() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let leader = find_leader(&fleet).await;
    fleet.signal(&leader, unix::Signal::STOP);
    let entry = fleet.entries[0].clone();
    fleet::wait_until("a call is claimed under a new leader", async || {
        let answer = caller::call(&entry, "loans/book", "after-freeze").await;
        answer.status.is_success()
    })
    .await;
    fleet.signal(&leader, unix::Signal::CONT);
    assert_eq!(
        fleet.ask(fleet.services[0], "/runs").await["after-freeze"],
        1
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_changes_outlive_a_restart_of_every_host() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let outcome = fleet
        .operate(&["domain", "out", "zone-0", "--wait", "10"])
        .await;
    assert!(outcome.status.success(), "{}", fleet::show(&outcome));
    for index in 0..3 {
        fleet.kill(&format!("control-{index}"));
    }
    for index in 0..3 {
        fleet.restart(&format!("control-{index}"));
    }
    for index in 0..3 {
        fleet.wait_ready(&format!("control-{index}")).await;
    }
    let shown = fleet.operate(&["--json", "manifest", "show"]).await;
    let text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(text.contains("zone-0"), "{}", fleet::show(&shown));
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = fleet.ask(fleet.engines[0], "/load").await["tokens"].clone();
    let entry = fleet.entries[0].clone();
    fleet::wait_until("the other domain serves a request", async || {
        let prompt = caller::build_prompt("after restart", 5);
        caller::ask_whole(&entry, &prompt).await.status.is_success()
    })
    .await;
    assert_eq!(fleet.ask(fleet.engines[0], "/load").await["tokens"], before);
}

async fn find_leader(fleet: &fleet::Fleet) -> String {
    let outcome = fleet.operate(&["--json", "status"]).await;
    let text = String::from_utf8_lossy(&outcome.stdout).into_owned();
    let name = text.split('"').find(|word| {
        word.starts_with("control-") && text.contains(&format!("\"leader\":\"{word}\""))
            || text.contains(&format!("\"leader\": \"{word}\""))
    });
    name.unwrap_or_else(|| panic!("no leader in {}", fleet::show(&outcome)))
        .to_owned()
}
