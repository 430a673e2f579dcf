//! Engines that have just started get no more than they can carry.

use crate::caller;
use crate::fleet;

/// Requests sent at once; the cold engine carries two.
const REQUESTS: usize = 16;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_engine_does_not_fall_over() {
    let mut fleet = fleet::Fleet::start(fleet::Plan {
        engine_arguments: &["--cold-ms", "2000", "--cold-limit", "2"],
        engines: 1,
        ..fleet::Plan::default()
    })
    .await;
    ask_all(&fleet, "first start").await;
    fleet.kill("engine-0");
    fleet.restart("engine-0");
    ask_all(&fleet, "second start").await;
    let port = fleet.engines[0];
    fleet::wait_until("a report of the warm engine", async || {
        fleet.ask(port, "/load").await["cold"] == false
    })
    .await;
    assert_eq!(fleet.ask(port, "/load").await["falls"], 0);
}

/// Sends requests at once through both entries; each is sent again until its answer is whole.
async fn ask_all(fleet: &fleet::Fleet, name: &str) {
    let mut answers = tokio::task::JoinSet::new();
    for index in 0..REQUESTS {
        let entry = fleet.entries[index % 2].clone();
        let prompt = caller::build_prompt(&format!("{name} {index}"), 15);
        answers.spawn(ask_until_whole(entry, prompt));
    }
    answers.join_all().await;
}

async fn ask_until_whole(entry: String, prompt: String) {
    let deadline = tokio::time::Instant::now() + fleet::LIMIT;
    while !caller::ask_whole(&entry, &prompt).await.status.is_success() {
        assert!(tokio::time::Instant::now() < deadline, "no whole answer");
        tokio::time::sleep(fleet::PERIOD).await;
    }
}
