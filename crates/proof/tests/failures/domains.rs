//! Failure domains that are taken out and put back.

use core::time;

use crate::caller;
use crate::fleet;

/// Time after an accepted `domain out` within which the domain stops getting new work.
const OUT_LIMIT: time::Duration = time::Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domain_out_gets_no_new_work_and_finishes_what_runs() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let prompt = caller::build_prompt("runs on", 400);
    let opened = caller::open_stream(&fleet.entry_urls[0], &prompt).await;
    let mut stream = opened.unwrap_or_else(|answer| panic!("{answer:?}"));
    assert_eq!(stream.read_tokens(10).await, None);

    let outcome = fleet
        .run_peargap(&["domain", "out", "zone-0", "--wait", "10"])
        .await;
    assert!(
        outcome.status.success(),
        "{}",
        fleet::format_output(&outcome)
    );
    tokio::time::sleep(OUT_LIMIT).await;
    let before = count_tokens(&fleet).await;
    for index in 0..8 {
        let prompt = caller::build_prompt(&format!("out {index}"), 5);
        let answer = caller::request_completion(&fleet.entry_urls[index % 2], &prompt).await;
        assert!(answer.status.is_success(), "{answer:?}");
    }
    assert_eq!(stream.read_to_end().await, caller::StreamEnd::Complete);
    let after = count_tokens(&fleet).await;
    let grown = after - before;
    assert!(grown <= 400, "engine-0 got new work: {grown} tokens");

    let outcome = fleet
        .run_peargap(&["domain", "back", "zone-0", "--wait", "10"])
        .await;
    assert!(
        outcome.status.success(),
        "{}",
        fleet::format_output(&outcome)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_domain_out_refuses_requests_as_not_run() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    for zone in ["zone-0", "zone-1"] {
        let outcome = fleet
            .run_peargap(&["domain", "out", zone, "--wait", "10"])
            .await;
        assert!(
            outcome.status.success(),
            "{}",
            fleet::format_output(&outcome)
        );
    }
    let prompt = caller::build_prompt("nowhere", 5);
    let answer = caller::request_completion(&fleet.entry_urls[0], &prompt).await;
    assert_eq!(answer.status.as_u16(), 503, "{answer:?}");
    assert_eq!(caller::read_ran(&answer.body), "not_run", "{answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    for port in &fleet.engine_ports {
        assert_eq!(fleet.get_json(*port, "/load").await["tokens"], 0);
    }
}

/// Returns the tokens that the engine of zone-0 has produced.
async fn count_tokens(fleet: &fleet::Fleet) -> u64 {
    // The fake engine's load report lags by half a second.
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    let load = fleet.get_json(fleet.engine_ports[0], "/load").await;
    load["tokens"].as_u64().expect("a number")
}
