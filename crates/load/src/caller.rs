//! Sends one request of a load run and measures it from its scheduled start.

use core::time;

use bytes::Bytes;

use crate::client;
use crate::token;

/// The part of a gap between tokens that exceeds this counts as stall time.
const STALL_LIMIT: time::Duration = time::Duration::from_millis(250);

/// Parameters of a streamed completion.
#[derive(Clone, Debug)]
pub struct Completion {
    /// URLs of the entries: the next one is tried when a connection fails.
    pub entries: Vec<String>,
    /// Output limit in tokens.
    pub max_tokens: u32,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
}

/// Parameters of a call to a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// URLs of the entries: the next one is tried when a connection fails.
    pub entries: Vec<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Service.
    pub service: String,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A token was wrong, missing or repeated.
    Faulty(token::Fault),
    /// No answer, or a truncated answer without an error event.
    Lost(String),
    /// An error answer, with its HTTP status; 0 for an error event in the stream.
    Refused(u16),
    /// The answer is complete and correct.
    Whole,
}

/// Measurements of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// How it ended.
    pub outcome: Outcome,
    /// From the scheduled start to the first token, or to the answer of a service call.
    pub first_token: Option<time::Duration>,
    /// Gaps between events with tokens.
    pub gaps: Vec<time::Duration>,
    /// Attempts that ended without a complete answer or an error answer.
    pub reconnects: u64,
    /// Time by which gaps exceeded the stall limit.
    pub stall: time::Duration,
    /// Tokens received.
    pub tokens: u64,
    /// From the scheduled start to the end.
    pub total: time::Duration,
}

impl Sample {
    fn new() -> Sample {
        Sample {
            outcome: Outcome::Lost("not sent".to_owned()),
            first_token: None,
            gaps: Vec::new(),
            reconnects: 0,
            stall: time::Duration::ZERO,
            tokens: 0,
            total: time::Duration::ZERO,
        }
    }
}

/// Sends a streamed completion and reads it to its end; times count from `intended`.
pub async fn run_stream(
    client: &client::Client,
    completion: &Completion,
    intended: tokio::time::Instant,
) -> Sample {
    let mut sample = Sample::new();
    sample.outcome = read_stream(client, completion, intended, &mut sample).await;
    sample.total = intended.elapsed();
    sample
}

/// Sends a call to a service; times count from `intended`.
pub async fn run_call(
    client: &client::Client,
    call: &Call,
    intended: tokio::time::Instant,
) -> Sample {
    let mut sample = Sample::new();
    for entry in &call.entries {
        sample.outcome = send_call(client, call, entry).await;
        if !matches!(sample.outcome, Outcome::Lost(_)) {
            break;
        }
        sample.reconnects += 1;
    }
    sample.total = intended.elapsed();
    sample.first_token = Some(sample.total);
    sample
}

async fn send_call(client: &client::Client, call: &Call, entry: &str) -> Outcome {
    let url = format!("{entry}/services/{}/orders", call.service);
    let mut request = http::Request::post(url);
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", key);
    }
    match client.call(request, Bytes::from_static(b"{}")).await {
        Ok(answer) if answer.status.is_success() => Outcome::Whole,
        Ok(answer) => Outcome::Refused(answer.status.as_u16()),
        Err(error) => Outcome::Lost(error.to_string()),
    }
}

/// Reads a streamed answer, which may be resumed over several connections.
struct StreamReader<'a> {
    checker: token::Checker,
    intended: tokio::time::Instant,
    last_token_at: tokio::time::Instant,
    last_id: String,
    sample: &'a mut Sample,
}

async fn read_stream(
    client: &client::Client,
    completion: &Completion,
    intended: tokio::time::Instant,
    sample: &mut Sample,
) -> Outcome {
    let mut reader = StreamReader {
        checker: token::Checker::new(&completion.prompt),
        intended,
        last_token_at: intended,
        last_id: String::new(),
        sample,
    };
    let mut outcome = Outcome::Lost("no entry configured".to_owned());
    for entry in &completion.entries {
        outcome = reader.read(client, completion, entry).await;
        if !matches!(outcome, Outcome::Lost(_)) {
            return outcome;
        }
        reader.sample.reconnects += 1;
    }
    outcome
}

impl StreamReader<'_> {
    /// Reads from one entry, resuming after the last event that was received.
    async fn read(
        &mut self,
        client: &client::Client,
        completion: &Completion,
        entry: &str,
    ) -> Outcome {
        let body = serde_json::json!({
            "model": completion.model,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
            "stream": true,
        });
        let mut request = http::Request::post(format!("{entry}/v1/completions"));
        if !self.last_id.is_empty() {
            request = request.header("last-event-id", &self.last_id);
        }
        let mut stream = match client.open(request, Bytes::from(body.to_string())).await {
            Ok(client::Opened::Stream(stream)) => stream,
            Ok(client::Opened::Refused(answer)) => return Outcome::Refused(answer.status.as_u16()),
            Err(error) => return Outcome::Lost(error.to_string()),
        };
        while let Some(event) = stream.next().await {
            match event {
                Ok(client::Event::Done) => return Outcome::Whole,
                Ok(client::Event::Failed(_)) => return Outcome::Refused(0),
                Ok(client::Event::Other) => {}
                Ok(client::Event::Text { id, text }) => {
                    if let Err(fault) = self.checker.check(&text) {
                        return Outcome::Faulty(fault);
                    }
                    self.last_id = id;
                    record_token_event(self.sample, &mut self.last_token_at, self.intended);
                    self.sample.tokens = self.checker.count();
                }
                Err(error) => return Outcome::Lost(error.to_string()),
            }
        }
        Outcome::Lost("the stream ended without a final event".to_owned())
    }
}

fn record_token_event(
    sample: &mut Sample,
    last_token_at: &mut tokio::time::Instant,
    intended: tokio::time::Instant,
) {
    let now = tokio::time::Instant::now();
    if sample.first_token.is_none() {
        sample.first_token = Some(now - intended);
    } else {
        let gap = now - *last_token_at;
        sample.gaps.push(gap);
        sample.stall += gap.saturating_sub(STALL_LIMIT);
    }
    *last_token_at = now;
}
