//! HTTP client for the public API of entries.

use core::fmt;
use core::str;
use core::time;

use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;

/// Connect timeout.
const CONNECT_LIMIT: time::Duration = time::Duration::from_secs(2);

/// A client with one API key; clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>,
    key: String,
}

/// Why a request failed without a usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The request could not be built or the answer could not be parsed.
    Malformed(String),
    /// The connection failed.
    Transport(String),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Malformed(detail) => write!(formatter, "malformed answer: {detail}"),
            Error::Transport(detail) => write!(formatter, "no answer: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

/// An answer whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Body.
    pub body: Bytes,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Status.
    pub status: http::StatusCode,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// `[DONE]`: the stream is complete.
    Done,
    /// An error event, with its JSON text.
    Failed(String),
    /// Generated text, with the event's id.
    Text {
        /// `{generation}.{offset of the next token}`.
        id: String,
        /// Text of one or more tokens.
        text: String,
    },
    /// Any other event, such as usage.
    Other,
}

/// The events of a streamed answer.
pub struct Stream {
    events: futures::stream::BoxStream<'static, Result<eventsource_stream::Event, Error>>,
}

/// The answer to a streamed request.
pub enum Opened {
    /// An error status, with the body.
    Refused(Answer),
    /// Success; the events follow.
    Stream(Stream),
}

impl Client {
    /// Returns a client that sends `key` as its bearer key.
    #[must_use]
    pub fn new(key: &str) -> Client {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        Client {
            http: legacy::Client::builder(rt::TokioExecutor::new()).build(connector),
            key: key.to_owned(),
        }
    }

    /// Sends a request and reads the answer to its end.
    ///
    /// Fails when the connection fails or the request is malformed, such as by an invalid URL.
    pub async fn call(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Answer, Error> {
        let response = self.send(request, body).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(transport_error)?.to_bytes();
        Ok(Answer {
            body,
            headers: parts.headers,
            status: parts.status,
        })
    }

    /// Sends a request whose answer is streamed.
    ///
    /// Fails when the connection fails or the request is malformed.
    pub async fn open(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Opened, Error> {
        let response = self.send(request, body).await?;
        let (parts, body) = response.into_parts();
        if !parts.status.is_success() {
            let body = body.collect().await.map_err(transport_error)?.to_bytes();
            return Ok(Opened::Refused(Answer {
                body,
                headers: parts.headers,
                status: parts.status,
            }));
        }
        let events = body
            .into_data_stream()
            .eventsource()
            .map(|event| event.map_err(transport_error));
        Ok(Opened::Stream(Stream {
            events: events.boxed(),
        }))
    }

    async fn send(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<http::Response<hyper::body::Incoming>, Error> {
        let request = request
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(body))
            .map_err(|error| Error::Malformed(error.to_string()))?;
        self.http.request(request).await.map_err(transport_error)
    }
}

impl Stream {
    /// Returns the next event, or `None` at the end of the body.
    pub async fn next(&mut self) -> Option<Result<Event, Error>> {
        let event = match self.events.next().await? {
            Ok(event) => event,
            Err(error) => return Some(Err(error)),
        };
        Some(parse_event(event))
    }
}

fn parse_event(event: eventsource_stream::Event) -> Result<Event, Error> {
    if event.data == "[DONE]" {
        return Ok(Event::Done);
    }
    let data: serde_json::Value =
        serde_json::from_str(&event.data).map_err(|error| Error::Malformed(error.to_string()))?;
    if data.get("error").is_some() {
        return Ok(Event::Failed(event.data));
    }
    let choice = &data["choices"][0];
    let text = choice["text"]
        .as_str()
        .or_else(|| choice["delta"]["content"].as_str());
    Ok(match text {
        Some(text) if !text.is_empty() => Event::Text {
            id: event.id,
            text: text.to_owned(),
        },
        Some(_) | None => Event::Other,
    })
}

/// Returns the generated text of an unstreamed text or chat completion.
#[must_use]
pub fn read_completion(body: &[u8]) -> Option<String> {
    let data: serde_json::Value = serde_json::from_slice(body).ok()?;
    let choice = &data["choices"][0];
    let text = choice["text"]
        .as_str()
        .or_else(|| choice["message"]["content"].as_str())?;
    Some(text.to_owned())
}

/// Returns a body as text, or its length if it is not UTF-8.
#[must_use]
pub fn show_body(body: &[u8]) -> String {
    str::from_utf8(body).map_or_else(|_| format!("{} bytes", body.len()), str::to_owned)
}

fn transport_error(error: impl std::error::Error) -> Error {
    let mut text = error.to_string();
    if let Some(source) = error.source() {
        text = format!("{text}: {source}");
    }
    Error::Transport(text)
}
