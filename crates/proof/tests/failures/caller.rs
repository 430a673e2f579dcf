//! Requests of the tests: streams whose tokens are checked, completions and service calls.

use bytes::Bytes;
use peargap_load::client;
use peargap_load::token;

use crate::settings;

/// A streamed completion; checks each token that it reads.
pub(crate) struct CheckedStream {
    pub(crate) checker: token::Checker,
    pub(crate) last_event_id: String,
    stream: client::Stream,
}

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The connection ended without a terminal event.
    Disconnected,
    /// An error event ended the stream; holds the event's JSON.
    Failed(String),
    /// `[DONE]` ended the stream.
    Complete,
}

/// Returns a prompt for which the fake engine generates `length` tokens.
pub(crate) fn build_prompt(name: &str, length: u32) -> String {
    format!("{name} [[length={length}]]")
}

/// Opens a stream for a prompt at `entry`.
pub(crate) async fn open_stream(
    entry: &str,
    prompt: &str,
) -> Result<CheckedStream, client::Answer> {
    open_from(entry, prompt, None, token::Checker::new(prompt)).await
}

/// Resumes `interrupted` at `entry`, after the last event that it received.
pub(crate) async fn resume(
    entry: &str,
    prompt: &str,
    interrupted: CheckedStream,
) -> Result<CheckedStream, client::Answer> {
    open_from(
        entry,
        prompt,
        Some(interrupted.last_event_id),
        interrupted.checker,
    )
    .await
}

async fn open_from(
    entry: &str,
    prompt: &str,
    last_event_id: Option<String>,
    checker: token::Checker,
) -> Result<CheckedStream, client::Answer> {
    let body = serde_json::json!({"model": "transcript", "prompt": prompt, "stream": true});
    let mut request = http::Request::post(format!("{entry}/v1/completions"));
    if let Some(id) = &last_event_id {
        request = request.header("last-event-id", id);
    }
    let client = client::Client::new(settings::TEAM_KEY);
    let opened = client.open(request, Bytes::from(body.to_string())).await;
    match opened.expect("the entry answers") {
        client::Opened::Refused(answer) => Err(answer),
        client::Opened::Stream(stream) => Ok(CheckedStream {
            checker,
            last_event_id: last_event_id.unwrap_or_default(),
            stream,
        }),
    }
}

impl CheckedStream {
    /// Reads until `count` tokens have arrived in total, before and after a resume; returns how the
    /// stream ended if it ends before that.
    pub(crate) async fn read_tokens(&mut self, count: u64) -> Option<StreamEnd> {
        while self.checker.count() < count {
            match self.stream.next().await {
                None | Some(Err(_)) => return Some(StreamEnd::Disconnected),
                Some(Ok(client::Event::Done)) => return Some(StreamEnd::Complete),
                Some(Ok(client::Event::Failed(text))) => return Some(StreamEnd::Failed(text)),
                Some(Ok(client::Event::Other)) => {}
                Some(Ok(client::Event::Text { id, text })) => {
                    self.checker.check(&text).expect("the expected tokens");
                    self.last_event_id = id;
                }
            }
        }
        None
    }

    /// Reads until the stream ends.
    pub(crate) async fn read_to_end(&mut self) -> StreamEnd {
        self.read_tokens(u64::MAX).await.expect("the stream ends")
    }
}

/// Requests a completion that isn't streamed.
pub(crate) async fn request_completion(entry: &str, prompt: &str) -> client::Answer {
    let body = serde_json::json!({"model": "transcript", "prompt": prompt});
    let request = http::Request::post(format!("{entry}/v1/completions"));
    let client = client::Client::new(settings::TEAM_KEY);
    let answer = client.call(request, Bytes::from(body.to_string())).await;
    answer.expect("the entry answers")
}

/// Calls a service with an idempotency key.
pub(crate) async fn call_service(entry: &str, path: &str, key: &str) -> client::Answer {
    let request = http::Request::post(format!("{entry}/services/{path}"));
    let request = request.header("idempotency-key", key);
    let client = client::Client::new(settings::TEAM_KEY);
    let answer = client.call(request, Bytes::from_static(b"{}")).await;
    answer.expect("the entry answers")
}

/// Returns the `ran` field of an error body: whether the request has run.
pub(crate) fn read_ran(body: &[u8]) -> String {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let ran = body["error"]["ran"]
        .as_str()
        .or_else(|| body["ran"].as_str());
    ran.unwrap_or_default().to_owned()
}
