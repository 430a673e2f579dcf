//! An HTTP client for HTTP/1.1 and HTTP/2 over cleartext TCP.

use std::net;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::rt;
use serde_json::Value;

/// A request to be sent.
pub struct Call {
    body: Bytes,
    http2: bool,
    request: http::request::Builder,
}

/// A response that was read to its end.
pub struct Answer {
    pub body: Bytes,
    pub headers: http::HeaderMap,
    pub status: u16,
}

impl Call {
    fn new(method: &str, path: &str) -> Call {
        Call {
            body: Bytes::new(),
            http2: false,
            request: http::Request::builder().method(method).uri(path),
        }
    }

    pub fn get(path: &str) -> Call {
        Call::new("GET", path)
    }

    /// Returns a request with the key of the team `desk`.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Call {
        Call::post_as(super::KEY, path, body)
    }

    /// Returns a request with another key.
    pub fn post_as(key: &str, path: &str, body: impl Into<Bytes>) -> Call {
        let mut call = Call::new("POST", path).key(key);
        call.body = body.into();
        call
    }

    pub fn key(self, key: &str) -> Call {
        self.header("authorization", &format!("Bearer {key}"))
    }

    pub fn header(mut self, name: &str, value: &str) -> Call {
        self.request = self.request.header(name, value);
        self
    }

    pub fn http2(mut self) -> Call {
        self.http2 = true;
        self
    }

    /// Sends the request and returns the response with its body still unread.
    pub async fn open(
        self,
        address: net::SocketAddr,
    ) -> Result<http::Response<hyper::body::Incoming>, legacy::Error> {
        let mut request = self
            .request
            .body(http_body_util::Full::new(self.body))
            .unwrap();
        let path = request.uri().path_and_query().unwrap().as_str();
        *request.uri_mut() = format!("http://{address}{path}").parse().unwrap();
        legacy::Client::builder(rt::TokioExecutor::new())
            .http2_only(self.http2)
            .build_http()
            .request(request)
            .await
    }

    /// Sends the request and reads the answer.
    pub async fn send(self, address: net::SocketAddr) -> Result<Answer, legacy::Error> {
        let response = self.open(address).await?;
        let (parts, body) = response.into_parts();
        Ok(Answer {
            body: body.collect().await.unwrap().to_bytes(),
            headers: parts.headers,
            status: parts.status.as_u16(),
        })
    }
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.body.to_vec()).unwrap()
    }

    /// Returns the error object, after checking the fields that every refusal has.
    pub fn error(&self) -> Value {
        let error = self.json()["error"].clone();
        assert!(
            error["message"].is_string() && error["type"].is_string(),
            "{error}"
        );
        assert_eq!(
            error["ran"].as_str(),
            self.headers["x-peargap-ran"].to_str().ok()
        );
        error
    }
}

/// One server-sent event with data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    pub data: String,
    pub id: Option<String>,
}

impl Event {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.data).unwrap()
    }

    /// Returns the text of a completion's or chat's token.
    pub fn token(&self) -> Option<String> {
        let choice = &self.json()["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        text.map(str::to_owned)
    }
}

/// A stream of server-sent events.
pub struct Events {
    body: hyper::body::Incoming,
    buffer: Vec<u8>,
}

impl Events {
    pub async fn open(call: Call, address: net::SocketAddr) -> Events {
        let response = call.open(address).await.unwrap();
        assert_eq!(response.status(), 200);
        let kind = response.headers()["content-type"].to_str().unwrap();
        assert!(kind.starts_with("text/event-stream"));
        Events {
            body: response.into_body(),
            buffer: Vec::new(),
        }
    }

    /// Returns the next event with data, or nothing at the end of the stream.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
                if let Some(event) = parse_event(&String::from_utf8(block).unwrap()) {
                    return Some(event);
                }
                continue;
            }
            let frame = tokio::time::timeout(super::TIMEOUT, self.body.frame());
            match frame.await.expect("no data on the stream in time") {
                Some(Ok(frame)) => self.buffer.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) | None => return None,
            }
        }
    }

    /// Returns the next `count` token events, which are those with an id.
    pub async fn take_tokens(&mut self, count: usize) -> Vec<Event> {
        let mut tokens = Vec::new();
        while tokens.len() < count {
            let event = self.next().await.expect("the stream ended early");
            if event.id.is_some() {
                tokens.push(event);
            }
        }
        tokens
    }

    /// Returns all events up to the end of the stream.
    pub async fn collect(mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await {
            events.push(event);
        }
        events
    }
}

fn parse_event(block: &str) -> Option<Event> {
    let mut event = Event {
        data: String::new(),
        id: None,
    };
    for line in block.lines() {
        if let Some(data) = line.strip_prefix("data: ") {
            event.data.push_str(data);
        }
        if let Some(id) = line.strip_prefix("id: ") {
            event.id = Some(id.to_owned());
        }
    }
    (!event.data.is_empty()).then_some(event)
}
