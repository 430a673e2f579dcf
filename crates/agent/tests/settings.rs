//! Checks of the settings file report all problems at once.

use std::fs;
use std::process;

const VALID: &str = "[node]\nname=agent-1\ndomain=a\n\
    [listen]\ninternal=127.0.0.1:1\nhealth=127.0.0.1:2\n\
    [control]\naddresses=127.0.0.1:3,127.0.0.1:4\n\
    [upstream]\nname=up-1\nkind=engine\naddress=127.0.0.1:5\noffers=transcript\n\
    memory_tokens=1000\n";

fn check(text: &str) -> process::Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agent.ini");
    fs::write(&path, text).unwrap();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_peargap-agent"));
    command.arg("--check").arg("--config").arg(&path);
    command.output().unwrap()
}

#[test]
fn valid_settings_pass() {
    let output = check(VALID);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn every_finding_is_reported_at_once() {
    let invalid = VALID
        .replace("domain=a\n", "")
        .replace("kind=engine", "kind=oven")
        .replace("127.0.0.1:5", "here")
        .replace("memory_tokens=1000", "max_running=0\ncolour=red");
    let output = check(&invalid);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in [
        "[node] domain",
        "[upstream] kind",
        "[upstream] address",
        "[upstream] max_running",
        "[upstream] colour",
    ] {
        assert!(text.contains(part), "no finding on {part}: {text}");
    }
}

#[test]
fn engine_requires_memory_tokens() {
    let output = check(&VALID.replace("memory_tokens=1000\n", ""));
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("[upstream] memory_tokens"), "{text}");
}
