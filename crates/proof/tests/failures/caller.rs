//! A caller of the tests: streams whose tokens are checked, and calls to services.

use bytes::Bytes;
use peargap_load::client;
use peargap_load::token;

use crate::settings;

/// A streamed answer being read.
pub(crate) struct Reading {
    pub(crate) checker: token::Checker,
    pub(crate) last_id: String,
    stream: client::Stream,
}

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// The connection ended with no last event.
    Cut,
    /// An error event; its JSON.
    Failed(String),
    /// Whole.
    Whole,
}

/// Returns a prompt whose answer has `length` tokens.
pub(crate) fn build_prompt(name: &str, length: u32) -> String {
    format!("{name} [[length={length}]]")
}

/// Opens a stream for a prompt at `entry`.
pub(crate) async fn open(entry: &str, prompt: &str) -> Result<Reading, client::Answer> {
    open_from(entry, prompt, None, token::Checker::new(prompt)).await
}

/// Opens the rest of `reading`'s stream at `entry`.
pub(crate) async fn reopen(
    entry: &str,
    prompt: &str,
    reading: Reading,
) -> Result<Reading, client::Answer> {
    open_from(entry, prompt, Some(reading.last_id), reading.checker).await
}

async fn open_from(
    entry: &str,
    prompt: &str,
    last_id: Option<String>,
    checker: token::Checker,
) -> Result<Reading, client::Answer> {
    let body = serde_json::json!({"model": "transcript", "prompt": prompt, "stream": true});
    let mut request = http::Request::post(format!("{entry}/v1/completions"));
    if let Some(id) = &last_id {
        request = request.header("last-event-id", id);
    }
    let client = client::Client::new(settings::KEY);
    let opened = client.open(request, Bytes::from(body.to_string())).await;
    match opened.expect("the entry answers") {
        client::Opened::Refused(answer) => Err(answer),
        client::Opened::Stream(stream) => Ok(Reading {
            checker,
            last_id: last_id.unwrap_or_default(),
            stream,
        }),
    }
}

impl Reading {
    /// Reads until `count` tokens have come in all; returns the end when it comes first.
    pub(crate) async fn read_tokens(&mut self, count: u64) -> Option<End> {
        while self.checker.count() < count {
            match self.stream.next().await {
                None | Some(Err(_)) => return Some(End::Cut),
                Some(Ok(client::Event::Done)) => return Some(End::Whole),
                Some(Ok(client::Event::Failed(text))) => return Some(End::Failed(text)),
                Some(Ok(client::Event::Other)) => {}
                Some(Ok(client::Event::Text { id, text })) => {
                    self.checker.check(&text).expect("right tokens");
                    self.last_id = id;
                }
            }
        }
        None
    }

    /// Reads to the end.
    pub(crate) async fn finish(&mut self) -> End {
        self.read_tokens(u64::MAX).await.expect("an end")
    }
}

/// Asks for a whole answer.
pub(crate) async fn ask_whole(entry: &str, prompt: &str) -> client::Answer {
    let body = serde_json::json!({"model": "transcript", "prompt": prompt});
    let request = http::Request::post(format!("{entry}/v1/completions"));
    let client = client::Client::new(settings::KEY);
    let answer = client.call(request, Bytes::from(body.to_string())).await;
    answer.expect("the entry answers")
}

/// Calls a service with an idempotency key.
pub(crate) async fn call(entry: &str, path: &str, key: &str) -> client::Answer {
    let request = http::Request::post(format!("{entry}/services/{path}"));
    let request = request.header("idempotency-key", key);
    let client = client::Client::new(settings::KEY);
    let answer = client.call(request, Bytes::from_static(b"{}")).await;
    answer.expect("the entry answers")
}

/// Returns the error body's word on whether the request ran.
pub(crate) fn read_ran(body: &[u8]) -> String {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let ran = body["error"]["ran"]
        .as_str()
        .or_else(|| body["ran"].as_str());
    ran.unwrap_or_default().to_owned()
}
