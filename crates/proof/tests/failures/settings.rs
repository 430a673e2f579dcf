//! Contents of the settings files and the manifest that the tests use.

use std::fmt::Write as _;

/// Bearer key of the tests' team.
pub(crate) const TEAM_KEY: &str = "proof-key";
/// Bearer key of the tests' operator.
pub(crate) const OPERATOR_KEY: &str = "proof-operator-key";

/// Loopback ports of a control host.
#[derive(Clone, Debug)]
pub(crate) struct ControlPorts {
    pub(crate) health: u16,
    pub(crate) internal: u16,
    pub(crate) operators: u16,
}

/// Returns the SHA-256 digest of a key in hexadecimal digits.
pub(crate) fn format_key_digest(key: &str) -> String {
    let digest = peargap_adapters::digest::hash_key(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns the settings of control host `index`.
pub(crate) fn format_control(controls: &[ControlPorts], index: usize, folder: &str) -> String {
    let own = &controls[index];
    let mut text = format!(
        "[node]\nname = control-{index}\ndomain = zone-{}\n\n\
         [listen]\ninternal = 127.0.0.1:{}\noperators = 127.0.0.1:{}\nhealth = 127.0.0.1:{}\n\n\
         [data]\nfolder = {folder}/control-{index}\n\n\
         [bootstrap]\nvoters = {}\n\n[operators]\nkey_sha256 = {}\n",
        index % 2,
        own.internal,
        own.operators,
        own.health,
        format_voters(controls.len()),
        format_key_digest(OPERATOR_KEY),
    );
    for (peer, control) in controls.iter().enumerate() {
        let _ = write!(
            text,
            "\n[peer control-{peer}]\naddress = 127.0.0.1:{}\n",
            control.internal
        );
    }
    text
}

fn format_voters(count: usize) -> String {
    let names: Vec<String> = (0..count).map(|index| format!("control-{index}")).collect();
    names.join(",")
}

/// Returns the settings of the agent of an upstream.
pub(crate) fn format_agent(agent: &Agent<'_>) -> String {
    format!(
        "[node]\nname = agent-{name}\ndomain = {domain}\n\n\
         [listen]\ninternal = 127.0.0.1:{internal}\nhealth = 127.0.0.1:{health}\n\n\
         [control]\naddresses = {controls}\n\n\
         [upstream]\nname = {name}\nkind = {kind}\naddress = 127.0.0.1:{upstream_port}\n\
         offers = {offers}\nmemory_tokens = 32768\nmax_running = 64\nchecks_fences = true\n",
        name = agent.name,
        domain = agent.domain,
        internal = agent.internal,
        health = agent.health,
        controls = agent.controls,
        kind = agent.kind,
        upstream_port = agent.upstream_port,
        offers = agent.offers,
    )
}

/// Values of an agent's settings.
#[derive(Clone, Debug)]
pub(crate) struct Agent<'a> {
    pub(crate) upstream_port: u16,
    pub(crate) controls: &'a str,
    pub(crate) domain: &'a str,
    pub(crate) health: u16,
    pub(crate) internal: u16,
    pub(crate) kind: &'a str,
    pub(crate) name: &'a str,
    pub(crate) offers: &'a str,
}

/// Returns the settings of an entry.
pub(crate) fn format_entry(index: usize, callers: u16, health: u16, controls: &str) -> String {
    format!(
        "[node]\nname = entry-{index}\ndomain = zone-{}\n\n\
         [listen]\ncallers = 127.0.0.1:{callers}\nhealth = 127.0.0.1:{health}\n\n\
         [control]\naddresses = {controls}\n",
        index % 2
    )
}

/// Returns the manifest of the tests; manifests with different notes differ in the deployment name.
pub(crate) fn format_manifest(note: u32) -> String {
    format!(
        "[deployment]\nname = proof-{note}\n\n[domain zone-0]\nregion = local\n\n\
         [domain zone-1]\nregion = local\n\n\
         [model transcript]\nmax_output_tokens = 4000\nmax_prompt_tokens = 16000\n\
         priority = 1\nreplicas = 2\n\n\
         [service loans]\nrepeatable = false\npriority = 1\n\n\
         [service lookups]\nrepeatable = true\npriority = 2\n\n\
         [team proof]\nkey_sha256 = {}\nweight = 1\npriority = 1\n",
        format_key_digest(TEAM_KEY)
    )
}
