//! `peargap-load run`: open-loop arrivals against real entries.
//!
//! Latencies count from the scheduled start of a request rather than from when it was sent, so
//! that a slow system cannot hide its delay by slowing the arrivals (coordinated omission).

use core::time;
use std::sync;

use rand::RngExt as _;
use rand::SeedableRng as _;

use crate::caller;
use crate::client;
use crate::tally;

/// Interval between progress lines.
const PROGRESS_PERIOD: time::Duration = time::Duration::from_secs(5);
/// Words that prompts are filled with.
const WORDS: [&str; 8] = [
    "sermon", "hymn", "harvest", "tape", "kente", "gown", "stitch", "psalm",
];

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// URLs of the entries, used in rotation.
    pub entries: Vec<String>,
    /// Bearer key.
    pub key: String,
    /// Longest output in tokens.
    pub max_tokens: u32,
    /// Model of the completions; without one, only service calls are sent.
    pub model: Option<String>,
    /// Words in a prompt.
    pub prompt_words: usize,
    /// Requests a second.
    pub rate: f64,
    /// Seconds during which requests are sent.
    pub seconds: u64,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Service to call; without one, only completions are sent.
    pub service: Option<String>,
    /// Share of requests that are calls to the service.
    pub service_share: f64,
}

/// Sends the load, waits for every answer and returns the report.
pub async fn run(load: &Load) -> tally::Report {
    let tally = sync::Arc::new(sync::Mutex::new(tally::Tally::default()));
    let client = client::Client::new(&load.key);
    let progress = tokio::spawn(print_progress(sync::Arc::clone(&tally)));
    let mut random = rand::rngs::SmallRng::seed_from_u64(load.seed);
    let start = tokio::time::Instant::now();
    let mut offset = time::Duration::ZERO;
    let mut requests = tokio::task::JoinSet::new();
    let mut number = 0_usize;
    while offset < time::Duration::from_secs(load.seconds) {
        tokio::time::sleep_until(start + offset).await;
        let intended = start + offset;
        let request = build_request(load, number, &mut random);
        let client = client.clone();
        let tally = sync::Arc::clone(&tally);
        requests.spawn(async move {
            let sample = match request {
                Request::Call(call) => caller::run_call(&client, &call, intended).await,
                Request::Completion(completion) => {
                    caller::run_stream(&client, &completion, intended).await
                }
            };
            lock(&tally).add(&sample);
        });
        number += 1;
        // Exponential gaps make the arrivals a Poisson process.
        let uniform: f64 = random.random();
        offset += time::Duration::from_secs_f64(-(1.0 - uniform).ln() / load.rate);
    }
    while requests.join_next().await.is_some() {}
    progress.abort();
    let report = lock(&tally).report();
    report
}

enum Request {
    Call(caller::Call),
    Completion(caller::Completion),
}

fn build_request(load: &Load, number: usize, random: &mut rand::rngs::SmallRng) -> Request {
    let mut entries = load.entries.clone();
    entries.rotate_left(number % load.entries.len());
    let share: f64 = random.random();
    match (&load.model, &load.service) {
        (_, Some(service)) if share < load.service_share || load.model.is_none() => {
            Request::Call(caller::Call {
                entries,
                key: Some(format!("load-{}-{number}", load.seed)),
                service: service.clone(),
            })
        }
        (model, _) => Request::Completion(caller::Completion {
            entries,
            max_tokens: load.max_tokens,
            model: model.clone().unwrap_or_default(),
            prompt: build_prompt(load, number, random),
        }),
    }
}

fn build_prompt(load: &Load, number: usize, random: &mut rand::rngs::SmallRng) -> String {
    let mut prompt = format!("{}-{number}:", load.seed);
    for _ in 0..load.prompt_words {
        prompt.push(' ');
        prompt.push_str(WORDS[random.random_range(0..WORDS.len())]);
    }
    prompt
}

async fn print_progress(tally: sync::Arc<sync::Mutex<tally::Tally>>) {
    let mut timer = tokio::time::interval(PROGRESS_PERIOD);
    timer.tick().await;
    loop {
        timer.tick().await;
        let report = lock(&tally).report();
        eprintln!(
            "ended={} whole={} lost={} refused={:?} tokens={}",
            report.sent, report.whole, report.lost, report.refused, report.tokens
        );
    }
}

fn lock(tally: &sync::Mutex<tally::Tally>) -> sync::MutexGuard<'_, tally::Tally> {
    tally.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
