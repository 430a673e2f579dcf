//! Models are loaded on as many engines as the manifest asks for, and no more.

use crate::fleet;
use crate::settings;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_model_takes_the_surplus_engine_and_no_other() {
    let fleet = fleet::Fleet::start(fleet::Plan::default()).await;
    let text = settings::format_manifest(1).replace("replicas = 2", "replicas = 1");
    let text = format!(
        "{text}\n[model tagger]\nmax_output_tokens = 100\nmax_prompt_tokens = 1000\n\
         priority = 3\nreplicas = 1\n"
    );
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("placement.ini");
    std::fs::write(&path, text).expect("manifest written");
    let path = path.display().to_string();
    let applied = fleet
        .run_peargap(&["manifest", "apply", &path, "--wait", "7"])
        .await;
    assert!(
        applied.status.success(),
        "{}",
        fleet::format_output(&applied)
    );
    let mut models = Vec::new();
    fleet::wait_until("an engine has loaded the new model", async || {
        models.clear();
        for port in &fleet.engine_ports {
            let load = fleet.get_json(*port, "/load").await;
            models.push(load["models"][0].as_str().unwrap_or_default().to_owned());
        }
        models.contains(&"tagger".to_owned())
    })
    .await;
    models.sort();
    assert_eq!(models, ["tagger", "transcript"]);
    fleet::wait_until("the members list shows the new model", async || {
        let shown = fleet.run_peargap(&["members"]).await;
        String::from_utf8_lossy(&shown.stdout).contains("offers tagger")
    })
    .await;
}
