//! Prints the size of manifests and the time to read one, by number of teams.

use std::fmt::Write as _;
use std::time;

use peargap_adapters::manifest;

const MODELS: usize = 23;
const DOMAINS: usize = 13;
const REPEATS: u32 = 20;

fn main() {
    println!("teams  bytes  ms to read");
    for teams in [10, 105, 210, 420, 840] {
        let text = format_manifest(teams);
        let start = time::Instant::now();
        for _ in 0..REPEATS {
            assert!(manifest::parse_manifest("manifest", &text).is_ok());
        }
        let took = start.elapsed().as_secs_f64() * 1_000.0 / f64::from(REPEATS);
        println!("{teams:>5}  {:>6}  {took:.2}", text.len());
    }
}

fn format_manifest(teams: usize) -> String {
    let mut text = "[deployment]\nname = fleet\n".to_owned();
    for domain in 0..DOMAINS {
        let _ = write!(
            text,
            "\n[domain zone-{domain}]\nregion = region-{}\n",
            domain % 6
        );
    }
    for model in 0..MODELS {
        let _ = write!(
            text,
            "\n[model model-{model}]\nmax_output_tokens = 20000\nmax_prompt_tokens = 16000\n\
             priority = {}\nreplicas = 40\n",
            model % 5
        );
    }
    for team in 0..teams {
        let _ = write!(
            text,
            "\n[team team-{team}]\nkey_sha256 = {team:064x}\nweight = 10\npriority = {}\n",
            team % 5
        );
    }
    text
}
