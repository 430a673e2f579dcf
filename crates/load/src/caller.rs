//! One request of a load run, from its intended start to its end.

use core::time;

use bytes::Bytes;

use crate::client;
use crate::token;

/// A gap between tokens longer than this is stall time.
const STALL_LIMIT: time::Duration = time::Duration::from_millis(250);

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Entry's URL.
    pub entry: String,
    /// Longest output in tokens.
    pub max_tokens: u32,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Entry's URL.
    pub entry: String,
    /// Key for a call that may not be repeated.
    pub key: Option<String>,
    /// Service.
    pub service: String,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// A token was wrong, missing, repeated or another's.
    Faulty(token::Fault),
    /// No answer, or an answer cut off without a word.
    Lost(String),
    /// Refused or failed truthfully, with the status.
    Refused(u16),
    /// The whole answer came.
    Whole,
}

/// What was measured of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// How it ended.
    pub end: End,
    /// From the intended start to the first token or the answer.
    pub first: Option<time::Duration>,
    /// Gaps between events with tokens.
    pub gaps: Vec<time::Duration>,
    /// Time in gaps beyond the stall limit.
    pub stall: time::Duration,
    /// Tokens that came.
    pub tokens: u64,
    /// From the intended start to the end.
    pub total: time::Duration,
}

impl Sample {
    fn new() -> Sample {
        Sample {
            end: End::Lost("never sent".to_owned()),
            first: None,
            gaps: Vec::new(),
            stall: time::Duration::ZERO,
            tokens: 0,
            total: time::Duration::ZERO,
        }
    }
}

/// Sends a streamed completion and reads it to its end; times run from `intended`.
pub async fn run_stream(
    client: &client::Client,
    wish: &Wish,
    intended: tokio::time::Instant,
) -> Sample {
    let mut sample = Sample::new();
    sample.end = read_stream(client, wish, intended, &mut sample).await;
    sample.total = intended.elapsed();
    sample
}

/// Sends a call to a plain service; times run from `intended`.
pub async fn run_call(
    client: &client::Client,
    call: &Call,
    intended: tokio::time::Instant,
) -> Sample {
    let mut sample = Sample::new();
    let url = format!("{}/services/{}/load", call.entry, call.service);
    let mut request = http::Request::post(url);
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    sample.end = match client.call(request, Bytes::from_static(b"{}")).await {
        Ok(answer) if answer.status.is_success() => End::Whole,
        Ok(answer) => End::Refused(answer.status.as_u16()),
        Err(error) => End::Lost(error.to_string()),
    };
    sample.total = intended.elapsed();
    sample.first = Some(sample.total);
    sample
}

async fn read_stream(
    client: &client::Client,
    wish: &Wish,
    intended: tokio::time::Instant,
    sample: &mut Sample,
) -> End {
    let body = serde_json::json!({
        "model": wish.model,
        "prompt": wish.prompt,
        "max_tokens": wish.max_tokens,
        "stream": true,
    });
    let request = http::Request::post(format!("{}/v1/completions", wish.entry));
    let mut stream = match client.open(request, Bytes::from(body.to_string())).await {
        Ok(client::Opened::Stream(stream)) => stream,
        Ok(client::Opened::Refused(answer)) => return End::Refused(answer.status.as_u16()),
        Err(error) => return End::Lost(error.to_string()),
    };
    let mut checker = token::Checker::new(&wish.prompt);
    let mut last = intended;
    while let Some(event) = stream.next().await {
        match event {
            Ok(client::Event::Done) => return End::Whole,
            Ok(client::Event::Failed(_)) => return End::Refused(0),
            Ok(client::Event::Other) => {}
            Ok(client::Event::Text { text, .. }) => {
                if let Err(fault) = checker.check(&text) {
                    return End::Faulty(fault);
                }
                note_gap(sample, &mut last, intended);
                sample.tokens = checker.count();
            }
            Err(error) => return End::Lost(error.to_string()),
        }
    }
    End::Lost("ended without a last event".to_owned())
}

fn note_gap(sample: &mut Sample, last: &mut tokio::time::Instant, intended: tokio::time::Instant) {
    let now = tokio::time::Instant::now();
    if sample.first.is_none() {
        sample.first = Some(now - intended);
    } else {
        let gap = now - *last;
        sample.gaps.push(gap);
        sample.stall += gap.saturating_sub(STALL_LIMIT);
    }
    *last = now;
}
