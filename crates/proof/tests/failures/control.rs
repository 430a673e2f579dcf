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
        .run_peargap(&["domain", "out", "zone-1", "--wait", "15"])
        .await;
    assert!(
        outcome.status.success(),
        "{}",
        fleet::format_output(&outcome)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_new_work_is_refused_and_running_work_completes() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("no quorum", 1_500);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(10).await, None);
    fleet.kill("control-0");
    fleet.kill("control-1");
    let entry = fleet.entry_urls[1].clone();
    fleet::wait_until("new work is refused", async || {
        let prompt = caller::build_prompt("stale", 1);
        let answer = caller::request_completion(&entry, &prompt).await;
        answer.status.as_u16() == 503 && caller::read_ran(&answer.body) == "not_run"
    })
    .await;
    assert_eq!(stream.read_to_end().await, caller::StreamEnd::Complete);
    let outcome = fleet.run_peargap(&["domain", "out", "zone-1"]).await;
    assert!(
        !outcome.status.success(),
        "{}",
        fleet::format_output(&outcome)
    );
    fleet.restart("control-0");
    fleet::wait_until("new work is accepted again", async || {
        let prompt = caller::build_prompt("fresh", 1);
        caller::request_completion(&entry, &prompt)
            .await
            .status
            .is_success()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_leader_is_replaced_and_claims_are_accepted() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let leader = find_leader(&fleet).await;
    fleet.signal(&leader, unix::Signal::STOP);
    let entry = fleet.entry_urls[0].clone();
    fleet::wait_until("a call is claimed under a new leader", async || {
        let answer = caller::call_service(&entry, "loans/book", "after-freeze").await;
        answer.status.is_success()
    })
    .await;
    fleet.signal(&leader, unix::Signal::CONT);
    assert_eq!(
        fleet.get_json(fleet.service_ports[0], "/runs").await["after-freeze"],
        1
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_changes_outlive_a_restart_of_every_host() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let outcome = fleet
        .run_peargap(&["domain", "out", "zone-0", "--wait", "10"])
        .await;
    assert!(
        outcome.status.success(),
        "{}",
        fleet::format_output(&outcome)
    );
    for index in 0..3 {
        fleet.kill(&format!("control-{index}"));
    }
    for index in 0..3 {
        fleet.restart(&format!("control-{index}"));
    }
    for index in 0..3 {
        fleet.wait_ready(&format!("control-{index}")).await;
    }
    let shown = fleet.run_peargap(&["--json", "manifest", "show"]).await;
    let text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(text.contains("zone-0"), "{}", fleet::format_output(&shown));
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = fleet.get_json(fleet.engine_ports[0], "/load").await["tokens"].clone();
    let entry = fleet.entry_urls[0].clone();
    fleet::wait_until("the other domain serves a request", async || {
        let prompt = caller::build_prompt("after restart", 5);
        caller::request_completion(&entry, &prompt)
            .await
            .status
            .is_success()
    })
    .await;
    assert_eq!(
        fleet.get_json(fleet.engine_ports[0], "/load").await["tokens"],
        before
    );
}

async fn find_leader(fleet: &fleet::Fleet) -> String {
    let outcome = fleet.run_peargap(&["--json", "status"]).await;
    let text = String::from_utf8_lossy(&outcome.stdout).into_owned();
    let name = text.split('"').find(|word| {
        word.starts_with("control-") && text.contains(&format!("\"leader\":\"{word}\""))
            || text.contains(&format!("\"leader\": \"{word}\""))
    });
    name.unwrap_or_else(|| panic!("no leader in {}", fleet::format_output(&outcome)))
        .to_owned()
}
