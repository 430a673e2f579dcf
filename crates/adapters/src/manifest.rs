//! Parses and validates the manifest's INI text, which `docs/MANIFEST.md` describes.

use std::collections;
use std::ops;
use std::str;

use peargap_core::manifest;

use crate::digest;
use crate::settings;

const TOKEN_LIMITS: ops::RangeInclusive<u32> = 1..=10_000_000;
const PRIORITIES: ops::RangeInclusive<u8> = 0..=9;
const REPLICAS: ops::RangeInclusive<u32> = 0..=100_000;
const WEIGHTS: ops::RangeInclusive<u32> = 1..=1_000_000;
const LOADS_PER_MINUTE: ops::RangeInclusive<u32> = 1..=100_000;
/// Priority of models, services and teams that set none.
const DEFAULT_PRIORITY: u8 = 5;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum size of a manifest, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;

/// A key's SHA-256 digest in hexadecimal.
struct Digest([u8; 32]);

impl str::FromStr for Digest {
    type Err = ();

    fn from_str(text: &str) -> Result<Digest, ()> {
        digest::parse_hex(text).map(Digest).ok_or(())
    }
}

/// Parses a manifest; fails with every finding. `file` names the manifest in the findings.
pub fn parse_manifest(file: &str, text: &str) -> Result<manifest::Manifest, settings::Findings> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(report_oversize(file, text.len()));
    }
    let mut reader = settings::Reader::parse(file, text);
    let deployment = reader.required("deployment", "name", "the deployment's name");
    let manifest = manifest::Manifest {
        deployment: deployment.unwrap_or_default(),
        domains: read_sections(&mut reader, "domain", read_domain),
        models: read_sections(&mut reader, "model", read_model),
        services: read_sections(&mut reader, "service", read_service),
        teams: read_sections(&mut reader, "team", read_team),
        upstreams: read_sections(&mut reader, "upstream", read_upstream),
        weights: read_weights(&mut reader),
    };
    check_consistency(&mut reader, &manifest);
    reader.finish(Some(manifest))
}

fn report_oversize(file: &str, size: usize) -> settings::Findings {
    settings::Findings(vec![settings::Finding {
        file: file.to_owned(),
        key: String::new(),
        problem: format!("has {size} bytes; at most {MAX_TEXT_BYTES} are taken"),
        section: String::new(),
    }])
}

fn read_sections<T>(
    reader: &mut settings::Reader,
    kind: &str,
    read: fn(&mut settings::Reader, &str, String) -> T,
) -> Vec<T> {
    let mut values = Vec::new();
    for name in reader.list_names(kind) {
        let section = format!("{kind} {name}");
        let extra = list_extra_characters(kind);
        if !is_name(&name, extra) {
            let problem = format!("needs a name of letters, digits and ._-{extra} after its kind");
            reader.report(&section, "", problem);
        }
        values.push(read(reader, &section, name));
    }
    values
}

/// Returns the characters that names of this kind may contain besides letters, digits and `._-`.
///
/// Names of teams and services are parts of a claim's key, which slashes separate, so they must
/// not contain a slash.
fn list_extra_characters(kind: &str) -> &'static str {
    match kind {
        "model" => ":/",
        _ => "",
    }
}

fn is_name(name: &str, extra: &str) -> bool {
    let is_allowed = |character: char| {
        character.is_ascii_alphanumeric() || "._-".contains(character) || extra.contains(character)
    };
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}

fn read_domain(reader: &mut settings::Reader, section: &str, name: String) -> manifest::Domain {
    let region = reader.required(section, "region", "the region's name");
    manifest::Domain {
        name,
        region: region.unwrap_or_default(),
    }
}

fn read_model(reader: &mut settings::Reader, section: &str, name: String) -> manifest::Model {
    manifest::Model {
        max_output_tokens: read_limit(reader, section, "max_output_tokens"),
        max_prompt_tokens: read_limit(reader, section, "max_prompt_tokens"),
        name,
        priority: reader.ranged(section, "priority", DEFAULT_PRIORITY, PRIORITIES),
        replicas: reader.ranged(section, "replicas", 1, REPLICAS),
    }
}

fn read_limit(reader: &mut settings::Reader, section: &str, key: &str) -> u32 {
    let expected = format!(
        "a number from {} to {}",
        TOKEN_LIMITS.start(),
        TOKEN_LIMITS.end()
    );
    let Some(value) = reader.required(section, key, &expected) else {
        return 0;
    };
    if !TOKEN_LIMITS.contains(&value) {
        reader.report(section, key, format!("{value} is not {expected}"));
    }
    value
}

fn read_service(reader: &mut settings::Reader, section: &str, name: String) -> manifest::Service {
    manifest::Service {
        name,
        priority: reader.ranged(section, "priority", DEFAULT_PRIORITY, PRIORITIES),
        repeatable: reader.optional(section, "repeatable", false, "true or false"),
    }
}

fn read_team(reader: &mut settings::Reader, section: &str, name: String) -> manifest::Team {
    let expected = "the SHA-256 digest of a key in 64 hexadecimal digits";
    let keys: Vec<Digest> = reader.list(section, "key_sha256", expected);
    if keys.is_empty() {
        reader.report(
            section,
            "key_sha256",
            format!("is missing; give {expected}"),
        );
    }
    manifest::Team {
        keys: keys.into_iter().map(|digest| digest.0).collect(),
        name,
        priority: reader.ranged(section, "priority", DEFAULT_PRIORITY, PRIORITIES),
        weight: reader.ranged(section, "weight", 1, WEIGHTS),
    }
}

fn read_upstream(reader: &mut settings::Reader, section: &str, name: String) -> manifest::Upstream {
    let checks = reader.required(section, "checks_fences", "true or false");
    manifest::Upstream {
        checks_fences: checks.unwrap_or_default(),
        name,
    }
}

fn read_weights(reader: &mut settings::Reader) -> manifest::Weights {
    let default = manifest::Weights::default().loads_per_minute;
    let key = "loads_per_minute";
    manifest::Weights {
        loads_per_minute: reader.ranged("weights", key, default, LOADS_PER_MINUTE),
    }
}

/// Reports problems that concern several sections together.
fn check_consistency(reader: &mut settings::Reader, manifest: &manifest::Manifest) {
    if manifest.domains.is_empty() {
        reader.report(
            "",
            "",
            "names no failure domain; add [domain NAME]".to_owned(),
        );
    }
    let mut owners = collections::BTreeMap::new();
    for team in &manifest.teams {
        for key in &team.keys {
            let Some(owner) = owners.insert(*key, &team.name) else {
                continue;
            };
            let problem = format!("has a key of team {owner}; each key names one team");
            reader.report(&format!("team {}", team.name), "key_sha256", problem);
        }
    }
}
