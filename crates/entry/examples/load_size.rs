//! Prints the size of the load reports that an entry receives from each agent.

use peargap_wire::agent as wire;
use prost::Message as _;

/// Reports per second on a link while nothing changes.
const IDLE_REPORTS: f64 = 2.5;
/// Maximum number of prefix lists per second.
const LISTS: f64 = 0.5;

fn main() {
    let bare = build_load(0).encoded_len() as f64;
    println!("prefixes  bytes a report  bytes/s, list in each  bytes/s, list each 2 s");
    for prefixes in [0, 32, 128] {
        let full = build_load(prefixes).encoded_len() as f64;
        let each = full * IDLE_REPORTS;
        let seldom = bare * IDLE_REPORTS + (full - bare) * LISTS;
        println!("{prefixes:>8}  {full:>14}  {each:>21.0}  {seldom:>22.0}");
    }
}

fn build_load(prefixes: u64) -> wire::Load {
    wire::Load {
        upstream: "transcript-17".to_owned(),
        incarnation: "0123456789abcdef".to_owned(),
        sequence: 1_000_000,
        config_version: 10_000,
        memory_tokens: 500_000,
        used_tokens: 400_000,
        running: 48,
        queued: 4,
        limit: 64,
        wait_ms: 1_200,
        draining: false,
        healthy: true,
        models: vec!["transcript".to_owned()],
        prefixes: (0..prefixes).map(|hash| hash << 32).collect(),
        prefixes_kept: false,
    }
}
