//! Processes accept connections only from processes with the same deployment key.

use crate::caller;
use crate::fleet;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_with_another_deployments_key_is_refused() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("before", 3);
    let answer = caller::request_completion(&fleet.entry_urls[0], &prompt).await;
    assert!(answer.status.is_success(), "{answer:?}");
    fleet.write_deployment_key("another-key");
    fleet.kill("entry-0");
    fleet.restart("entry-0");
    fleet::wait_until("control refuses the entry", async || {
        fleet.read_log("entry-0").contains("Unauthenticated")
    })
    .await;
    let prompt = caller::build_prompt("after", 3);
    let answer = caller::request_completion(&fleet.entry_urls[0], &prompt).await;
    assert!(!answer.status.is_success(), "{answer:?}");
    assert_ne!(caller::read_ran(&answer.body), "ran", "{answer:?}");
}
