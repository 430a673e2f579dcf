//! Manifest checks and diffs, the settings file, and exit codes of the `peargap` binary.

use std::net;
use std::path;
use std::process;

use peargap_cli::diff;

fn run(arguments: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_peargap"))
        .args(arguments)
        .output()
        .unwrap()
}

fn example(name: &str) -> path::PathBuf {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join("examples").join(name).join("manifest.ini")
}

#[test]
fn the_example_manifests_are_valid() {
    for name in ["archive", "lending"] {
        let file = example(name);
        let output = run(&["manifest", "check", file.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
    }
}

#[test]
fn each_finding_names_its_section_and_key() {
    let file = std::env::temp_dir().join(format!("peargap-wrong-{}.ini", process::id()));
    std::fs::write(&file, "[domain a]\n[team t]\nweight = 0\nkey_sha256 = 12\n").unwrap();
    let output = run(&["manifest", "check", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for expected in [
        "[deployment] name",
        "[domain a] region",
        "[team t] weight",
        "[team t] key_sha256",
    ] {
        assert!(text.contains(expected), "{expected} is not in {text}");
    }
}

#[test]
fn invalid_arguments_exit_with_code_2() {
    for arguments in [
        &["manifest"][..],
        &["domain", "out"],
        &["status", "--bogus"],
        &["status"],
    ] {
        assert_eq!(run(arguments).status.code(), Some(2), "{arguments:?}");
    }
}

#[test]
fn an_unreachable_control_host_exits_with_code_4() {
    let key = std::env::temp_dir().join(format!("peargap-key-{}", process::id()));
    std::fs::write(&key, "key").unwrap();
    // Nothing listens on this port once the listener is dropped.
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let control = listener.local_addr().unwrap().to_string();
    drop(listener);
    let key_file = key.to_str().unwrap();
    let output = run(&["status", "--control", &control, "--key-file", key_file]);
    std::fs::remove_file(&key).unwrap();
    assert_eq!(output.status.code(), Some(4), "{output:?}");
}

#[test]
fn the_settings_file_supplies_hosts_key_and_operator() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, "key\n").unwrap();
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let control = listener.local_addr().unwrap();
    drop(listener);
    let valid = format!(
        "[control]\naddresses={control}\n[operator]\nname=ada\nkey_file={}\n",
        key.display()
    );
    for (text, code) in [(valid.as_str(), 4), ("[control]\nadresses=x\n", 2)] {
        let settings = folder.path().join("peargap.ini");
        std::fs::write(&settings, text).unwrap();
        let output = run(&["--config", settings.to_str().unwrap(), "status"]);
        assert_eq!(output.status.code(), Some(code), "{output:?}");
    }
}

#[test]
fn a_diff_lists_sections_and_values() {
    let old = "[model a]\npriority = 1\n[model b]\npriority = 2\n";
    let new = "[model a]\npriority = 3\n[model c]\npriority = 2\n";
    let lines = diff::compare(old, new);
    let texts: Vec<String> = lines.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        ["~ [model a] priority: 1 -> 3", "+ [model c]", "- [model b]"]
    );
    assert_eq!(diff::compare(new, new), []);
}
