//! Concurrent and resent changes, and changes that a frozen node can't acknowledge.

use crate::fleet;
use crate::settings;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_manifests_wins_and_the_other_conflicts() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut paths = Vec::new();
    for note in 1..=2 {
        let path = folder.path().join(format!("race-{note}.ini"));
        std::fs::write(&path, settings::format_manifest(note)).expect("manifest written");
        paths.push(path.display().to_string());
    }
    let first = [
        "manifest",
        "apply",
        &paths[0],
        "--base",
        "1",
        "--operator",
        "ama",
    ];
    let second = [
        "manifest",
        "apply",
        &paths[1],
        "--base",
        "1",
        "--operator",
        "kofi",
    ];
    let outcomes = tokio::join!(fleet.run_peargap(&first), fleet.run_peargap(&second));
    let codes = [outcomes.0.status.code(), outcomes.1.status.code()];
    assert!(
        codes == [Some(0), Some(3)] || codes == [Some(3), Some(0)],
        "{}\n{}",
        fleet::format_output(&outcomes.0),
        fleet::format_output(&outcomes.1)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_of_a_change_gets_the_first_answer_after_a_failover() {
    let mut fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let words = ["domain", "out", "zone-0", "--id", "move-1"];
    let first = fleet.run_peargap(&words).await;
    assert!(first.status.success(), "{}", fleet::format_output(&first));
    let back = fleet
        .run_peargap(&["domain", "back", "zone-0", "--id", "move-2"])
        .await;
    assert!(back.status.success(), "{}", fleet::format_output(&back));
    fleet.kill("control-0");
    let again = fleet.run_peargap(&words).await;
    assert!(again.status.success(), "{}", fleet::format_output(&again));
    let shown = fleet.run_peargap(&["--json", "manifest", "show"]).await;
    let text = String::from_utf8_lossy(&shown.stdout).into_owned();
    let shown: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let out = shown["domains_out"].as_array().expect("a list");
    assert!(
        out.is_empty(),
        "the resend took the domain out again: {text}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_node_is_named_until_its_lease_has_run_out() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    fleet.signal("agent-engine-0", rustix::process::Signal::STOP);
    let short_wait = fleet
        .run_peargap(&["--json", "domain", "out", "zone-0", "--wait", "0.2"])
        .await;
    assert_eq!(
        short_wait.status.code(),
        Some(5),
        "{}",
        fleet::format_output(&short_wait)
    );
    let report: serde_json::Value = serde_json::from_slice(&short_wait.stdout).expect("JSON");
    let missing = report["missing"].as_array().expect("a list");
    assert!(missing.contains(&"agent-engine-0".into()), "{missing:?}");
    let long_wait = fleet
        .run_peargap(&["--json", "domain", "out", "zone-1", "--wait", "7"])
        .await;
    assert_eq!(
        long_wait.status.code(),
        Some(0),
        "{}",
        fleet::format_output(&long_wait)
    );
    let report: serde_json::Value = serde_json::from_slice(&long_wait.stdout).expect("JSON");
    assert_eq!(report["in_force"], serde_json::json!(true));
    assert_eq!(report["lapsed"], serde_json::json!(["agent-engine-0"]));
    fleet.signal("agent-engine-0", rustix::process::Signal::CONT);
}
