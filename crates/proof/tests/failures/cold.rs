//! Engines that have just started get no more requests than they can run.

use crate::caller;
use crate::fleet;

/// Concurrent requests; the cold engine can run two at a time.
const REQUESTS: usize = 16;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_engine_is_not_overloaded() {
    let mut fleet = fleet::Fleet::start(fleet::Plan {
        engine_arguments: &["--cold-ms", "2000", "--cold-limit", "2"],
        engines: 1,
        ..fleet::Plan::default()
    })
    .await;
    request_all(&fleet, "first start").await;
    fleet.kill("engine-0");
    fleet.restart("engine-0");
    request_all(&fleet, "second start").await;
    let port = fleet.engine_ports[0];
    fleet::wait_until("the engine reports that it is warm", async || {
        fleet.get_json(port, "/load").await["cold"] == false
    })
    .await;
    assert_eq!(fleet.get_json(port, "/load").await["falls"], 0);
}

/// Sends concurrent requests through both entries and retries each until it succeeds.
async fn request_all(fleet: &fleet::Fleet, name: &str) {
    let mut answers = tokio::task::JoinSet::new();
    for index in 0..REQUESTS {
        let entry = fleet.entry_urls[index % 2].clone();
        let prompt = caller::build_prompt(&format!("{name} {index}"), 15);
        answers.spawn(request_until_success(entry, prompt));
    }
    answers.join_all().await;
}

async fn request_until_success(entry: String, prompt: String) {
    let deadline = tokio::time::Instant::now() + fleet::STEP_TIMEOUT;
    while !caller::request_completion(&entry, &prompt)
        .await
        .status
        .is_success()
    {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the request did not succeed in time"
        );
        tokio::time::sleep(fleet::POLL_INTERVAL).await;
    }
}
