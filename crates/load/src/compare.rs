//! `peargap-load compare`: latency and processor time that entry and agent add to the engine's.
//!
//! Requests alternate between the two paths within one run, so that both see the same conditions.

use core::time;
use std::fs;

use bytes::Bytes;
use serde::Serialize;

use crate::caller;
use crate::client;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Parameters of a comparison.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Process id of the agent.
    pub agent_pid: u32,
    /// Engine's URL.
    pub direct: String,
    /// Entry's URL.
    pub entry: String,
    /// Process id of the entry.
    pub entry_pid: u32,
    /// Bearer key.
    pub key: String,
    /// Model.
    pub model: String,
    /// Number of request pairs (one direct, one through the entry) for the latency.
    pub pairs: u32,
    /// Concurrent streams for the processor time of relaying.
    pub streams: u32,
    /// Tokens of each answer.
    pub tokens: u32,
}

/// One quantile, measured on both paths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct QuantilePair {
    /// Difference in milliseconds.
    pub added_ms: f64,
    /// Milliseconds when the engine is asked directly.
    pub direct_ms: f64,
    /// `through_ms / direct_ms`.
    pub ratio: f64,
    /// Milliseconds through entry and agent.
    pub through_ms: f64,
}

/// The results, printed as JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Results {
    /// Tokens relayed per second of the agent's processor time.
    pub agent_tokens_per_core_second: f64,
    /// Tokens relayed per second of the entry's processor time.
    pub entry_tokens_per_core_second: f64,
    /// Time to the first token, median.
    pub first_p50: QuantilePair,
    /// Time to the first token, 99th percentile.
    pub first_p99: QuantilePair,
    /// Time between tokens, median.
    pub gap_p50: QuantilePair,
    /// Time between tokens, 99th percentile.
    pub gap_p99: QuantilePair,
    /// Answers that were not complete.
    pub not_whole: u64,
    /// Tokens relayed while the processor time was measured.
    pub relayed_tokens: u64,
    /// Relay rate while the processor time was measured.
    pub relayed_tokens_per_second: f64,
}

/// Times measured on one path, in milliseconds.
#[derive(Debug, Default)]
struct PathTimes {
    first_token: Vec<f64>,
    gaps: Vec<f64>,
    not_whole: u64,
}

/// Runs the comparison.
///
/// Fails when the processor time of the entry or the agent cannot be read.
pub async fn compare(comparison: &Comparison) -> Result<Results, String> {
    let direct = client::Client::new("");
    let through = client::Client::new(&comparison.key);
    let mut paths = [PathTimes::default(), PathTimes::default()];
    for index in 0..comparison.pairs {
        let prompt = build_prompt(comparison, index);
        let sample = run_completion(&direct, &comparison.direct, comparison, &prompt).await;
        paths[0].add(&sample);
        let sample = run_completion(&through, &comparison.entry, comparison, &prompt).await;
        paths[1].add(&sample);
    }
    let cost = measure_relay_cost(&through, comparison).await?;
    let [direct, through] = &mut paths;
    Ok(Results {
        agent_tokens_per_core_second: cost.agent_rate,
        entry_tokens_per_core_second: cost.entry_rate,
        first_p50: compare_quantile(&mut direct.first_token, &mut through.first_token, 0.5),
        first_p99: compare_quantile(&mut direct.first_token, &mut through.first_token, 0.99),
        gap_p50: compare_quantile(&mut direct.gaps, &mut through.gaps, 0.5),
        gap_p99: compare_quantile(&mut direct.gaps, &mut through.gaps, 0.99),
        not_whole: direct.not_whole + through.not_whole + cost.not_whole,
        relayed_tokens: cost.tokens,
        relayed_tokens_per_second: cost.tokens as f64 / cost.elapsed.as_secs_f64(),
    })
}

impl PathTimes {
    fn add(&mut self, sample: &caller::Sample) {
        if sample.outcome != caller::Outcome::Whole {
            self.not_whole += 1;
        }
        self.first_token.extend(sample.first_token.map(to_millis));
        self.gaps.extend(sample.gaps.iter().copied().map(to_millis));
    }
}

struct RelayCost {
    agent_rate: f64,
    entry_rate: f64,
    not_whole: u64,
    tokens: u64,
    elapsed: time::Duration,
}

async fn measure_relay_cost(
    client: &client::Client,
    comparison: &Comparison,
) -> Result<RelayCost, String> {
    let agent_start = read_cpu_seconds(comparison.agent_pid)?;
    let entry_start = read_cpu_seconds(comparison.entry_pid)?;
    let start = tokio::time::Instant::now();
    let mut streams = tokio::task::JoinSet::new();
    for index in 0..comparison.streams {
        let client = client.clone();
        let comparison = comparison.clone();
        let prompt = build_prompt(&comparison, comparison.pairs + index);
        streams.spawn(async move {
            run_completion(&client, &comparison.entry, &comparison, &prompt).await
        });
    }
    let samples = streams.join_all().await;
    let tokens: u64 = samples.iter().map(|sample| sample.tokens).sum();
    let incomplete = |sample: &&caller::Sample| sample.outcome != caller::Outcome::Whole;
    Ok(RelayCost {
        agent_rate: tokens as f64 / (read_cpu_seconds(comparison.agent_pid)? - agent_start),
        entry_rate: tokens as f64 / (read_cpu_seconds(comparison.entry_pid)? - entry_start),
        not_whole: samples.iter().filter(incomplete).count() as u64,
        tokens,
        elapsed: start.elapsed(),
    })
}

async fn run_completion(
    client: &client::Client,
    url: &str,
    comparison: &Comparison,
    prompt: &str,
) -> caller::Sample {
    let completion = caller::Completion {
        entries: vec![url.to_owned()],
        max_tokens: comparison.tokens,
        model: comparison.model.clone(),
        prompt: prompt.to_owned(),
    };
    caller::run_stream(client, &completion, tokio::time::Instant::now()).await
}

fn build_prompt(comparison: &Comparison, index: u32) -> String {
    format!("compare {index} [[length={}]]", comparison.tokens)
}

/// Returns the user and system processor seconds that a process has used.
fn read_cpu_seconds(pid: u32) -> Result<f64, String> {
    let path = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let fields: Option<Vec<&str>> = text
        .rsplit_once(") ")
        .map(|(_, rest)| rest.split(' ').collect());
    let ticks = fields.and_then(|fields| {
        let user: f64 = fields.get(11)?.parse().ok()?;
        let system: f64 = fields.get(12)?.parse().ok()?;
        Some(user + system)
    });
    ticks
        .map(|ticks| ticks / TICKS_PER_SECOND)
        .ok_or_else(|| format!("{path}: cannot parse the processor times"))
}

fn compare_quantile(direct: &mut [f64], through: &mut [f64], quantile: f64) -> QuantilePair {
    let direct_ms = read_quantile(direct, quantile);
    let through_ms = read_quantile(through, quantile);
    QuantilePair {
        added_ms: through_ms - direct_ms,
        direct_ms,
        ratio: through_ms / direct_ms,
        through_ms,
    }
}

fn read_quantile(times: &mut [f64], quantile: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let last = times.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    times.get(index).copied().unwrap_or(f64::NAN)
}

fn to_millis(time: time::Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Checks that the engine answers, so that a wrong URL is reported before the run.
pub async fn check_direct(url: &str) -> Result<(), String> {
    let request = http::Request::get(format!("{url}/healthz"));
    let answer = client::Client::new("").call(request, Bytes::new()).await;
    answer
        .map(|_| ())
        .map_err(|error| format!("{url}: {error}"))
}
