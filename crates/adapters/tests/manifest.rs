//! The manifest's grammar: round trips, findings, and no panic on any text.

use std::collections;
use std::fmt::Write as _;

use peargap_adapters::manifest;
use peargap_adapters::settings;
use peargap_core::manifest as core;
use quickcheck::Arbitrary as _;

const RUNS: u64 = 300;
const SIZE: usize = 12;

/// Fragments with which random texts get past the parser's first checks.
const WORDS: [&str; 24] = [
    "[deployment]",
    "[domain a]",
    "[domain ",
    "[model m]",
    "[team t]",
    "[service s]",
    "[upstream u]",
    "[weights]",
    "name",
    "region",
    "key_sha256",
    "repeatable",
    "priority",
    "max_output_tokens",
    "=",
    "=",
    "\n",
    "\n",
    "]",
    "0",
    "99999999999",
    "true",
    ";",
    "\u{0}é\\",
];

fn generator(seed: u64) -> quickcheck::Gen {
    quickcheck::Gen::from_size_and_seed(SIZE, seed)
}

fn names(random: &mut quickcheck::Gen, start: &str) -> Vec<String> {
    let numbers = collections::BTreeSet::<u8>::arbitrary(random);
    numbers
        .iter()
        .map(|number| format!("{start}{number}"))
        .collect()
}

fn number(random: &mut quickcheck::Gen, least: u32, most: u32) -> u32 {
    least + u32::arbitrary(random) % (most - least + 1)
}

fn priority(random: &mut quickcheck::Gen) -> u8 {
    u8::arbitrary(random) % 10
}

fn key(number: u8, index: usize) -> [u8; 32] {
    let mut key = [number; 32];
    key[0] = u8::try_from(index).unwrap();
    key
}

fn build_manifest(random: &mut quickcheck::Gen) -> core::Manifest {
    let mut manifest = core::Manifest {
        deployment: "d".to_owned(),
        ..core::Manifest::default()
    };
    manifest.weights.loads_per_minute = number(random, 1, 100_000);
    manifest.domains.push(core::Domain {
        name: "first".to_owned(),
        region: "r".to_owned(),
    });
    for name in names(random, "domain.") {
        let region = format!("r{}", number(random, 0, 3));
        manifest.domains.push(core::Domain { name, region });
    }
    for name in names(random, "org/model:") {
        manifest.models.push(core::Model {
            max_output_tokens: number(random, 1, 10_000_000),
            max_prompt_tokens: number(random, 1, 10_000_000),
            name,
            priority: priority(random),
            replicas: number(random, 0, 100_000),
        });
    }
    for name in names(random, "service-") {
        manifest.services.push(core::Service {
            name,
            priority: priority(random),
            repeatable: bool::arbitrary(random),
        });
    }
    for (index, name) in names(random, "team_").into_iter().enumerate() {
        manifest.teams.push(core::Team {
            keys: vec![key(1, index), key(2, index)],
            name,
            priority: priority(random),
            weight: number(random, 1, 1_000_000),
        });
    }
    for name in names(random, "upstream-") {
        let checks_fences = bool::arbitrary(random);
        manifest.upstreams.push(core::Upstream {
            checks_fences,
            name,
        });
    }
    manifest
}

fn write_manifest(manifest: &core::Manifest) -> String {
    let mut text = format!("[deployment]\nname = {}\n", manifest.deployment);
    for domain in &manifest.domains {
        let _ = writeln!(text, "[domain {}]\nregion={}", domain.name, domain.region);
    }
    for model in &manifest.models {
        let _ = writeln!(
            text,
            "[model {}]\nmax_output_tokens = {}\nmax_prompt_tokens = {}\npriority = {}\n\
             replicas = {}",
            model.name,
            model.max_output_tokens,
            model.max_prompt_tokens,
            model.priority,
            model.replicas
        );
    }
    for service in &manifest.services {
        let _ = writeln!(
            text,
            "[service {}]\nrepeatable = {}\npriority = {}",
            service.name, service.repeatable, service.priority
        );
    }
    for team in &manifest.teams {
        let keys: Vec<String> = team.keys.iter().map(|key| write_hex(key)).collect();
        let _ = writeln!(
            text,
            "[team {}]\nkey_sha256 = {}\nweight = {}\npriority = {}",
            team.name,
            keys.join(", "),
            team.weight,
            team.priority
        );
    }
    for upstream in &manifest.upstreams {
        let _ = writeln!(
            text,
            "[upstream {}]\nchecks_fences = {}",
            upstream.name, upstream.checks_fences
        );
    }
    let _ = writeln!(
        text,
        "[weights]\nloads_per_minute = {}",
        manifest.weights.loads_per_minute
    );
    text
}

fn write_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn written_manifests_are_parsed_back() {
    for seed in 0..RUNS {
        let manifest = build_manifest(&mut generator(seed));
        let text = write_manifest(&manifest);
        assert_eq!(manifest::parse_manifest("m", &text), Ok(manifest), "{text}");
    }
}

#[test]
fn no_text_makes_the_parsers_panic() {
    for seed in 0..RUNS * 10 {
        let random = &mut generator(seed);
        let mut text = String::new();
        for choice in Vec::<bool>::arbitrary(random) {
            if choice {
                text.push_str(random.choose(&WORDS).unwrap());
            } else {
                text.push_str(&String::arbitrary(random));
            }
        }
        let _ = manifest::parse_manifest("m", &text);
        let mut reader = settings::Reader::parse("s", &text);
        let _: Option<u16> = reader.required("deployment", "name", "a number");
        let _: Vec<u8> = reader.list("team t", "key_sha256", "numbers");
        let _ = reader.ranged("model m", "priority", 1_u8, 0..=9);
        let _ = reader.finish(Some(()));
    }
}

#[test]
fn findings_name_their_place() {
    let cases = [
        ("[domain a]\nregion=r", "m: [deployment] name: is missing"),
        ("[deployment]\nname=d", "m: names no failure domain"),
        (
            "[deployment]\nname=d\n[domain a]\nregion=r\n[domain a]\nregion=r",
            "m: [domain a] region: stands twice",
        ),
        (
            "[deployment]\nname=d\n[domain a b]\nregion=r",
            "m: [domain a b] needs a name",
        ),
        (
            "[deployment]\nname=d\n[domain a]\nregion=r\ncolour=red",
            "[domain a] colour: is unknown",
        ),
        (
            "[deployment]\nname=d\n[domain a]\nregion=r\n[model m]\nmax_output_tokens=0\n\
             max_prompt_tokens=9",
            "[model m] max_output_tokens: 0 is not",
        ),
    ];
    for (text, expected) in cases {
        let findings = manifest::parse_manifest("m", text).unwrap_err().to_string();
        assert!(findings.contains(expected), "{findings}");
    }
}

#[test]
fn a_key_of_two_teams_is_a_finding() {
    let key = write_hex(&[7; 32]);
    let text = format!(
        "[deployment]\nname=d\n[domain a]\nregion=r\n[team one]\nkey_sha256={key}\n\
         [team two]\nkey_sha256={key}\n"
    );
    let findings = manifest::parse_manifest("m", &text)
        .unwrap_err()
        .to_string();
    assert!(
        findings.contains("[team two] key_sha256: has a key of team one"),
        "{findings}"
    );
}
