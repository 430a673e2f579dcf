//! Client of the engine's HTTP API: generations, load reports, cache events and orders.

use core::net;
use core::time;

use bytes::Bytes;
use peargap_adapters::body_budget;

use crate::http as upstream;
use crate::tokens;

/// Timeout of requests with a short response.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout of an order, which may load models.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Maximum size of a short response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Bytes of an error response body that are passed on.
const MAX_DETAIL_BYTES: usize = 512;

/// Client of one engine; holds no connection.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    address: net::SocketAddr,
    silent_after: time::Duration,
}

/// Endpoint that a generation is requested from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    Chat,
    Completion,
}

/// Result of a request for a token stream.
#[derive(Debug)]
pub(crate) enum StreamResponse {
    /// No response head arrived; unless the fault excludes it, the engine may run the request.
    Fault(upstream::Fault),
    /// The engine responded with an error status.
    Refused {
        detail: String,
        status: http::StatusCode,
    },
    /// The response body is a stream of tokens.
    Tokens(tokens::Reader),
}

/// The engine's load report, a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(default)]
pub(crate) struct Report {
    pub(crate) cold: bool,
    pub(crate) incarnation: String,
    pub(crate) memory_tokens: u64,
    pub(crate) models: Vec<String>,
    pub(crate) preemptions: u64,
    pub(crate) running: u32,
    pub(crate) sequence: u64,
    pub(crate) stall_ms: u64,
    pub(crate) used_tokens: u64,
    pub(crate) waiting: u32,
}

/// Recent changes of the engine's prefix cache; delayed and possibly incomplete.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize)]
pub(crate) struct CacheEvents {
    pub(crate) events: Vec<CacheEvent>,
    /// Sequence number of the newest change, published or not.
    pub(crate) last: u64,
}

/// One change of the prefix cache.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
pub(crate) struct CacheEvent {
    /// 16 hexadecimal digits.
    pub(crate) hash: String,
    /// `stored` or `evicted`.
    pub(crate) kind: String,
    pub(crate) sequence: u64,
}

/// Result of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    Done,
    /// The engine has already seen a larger fence.
    Fenced,
    Failed(String),
}

#[derive(serde::Serialize)]
struct OrderBody<'a> {
    fence: u64,
    models: &'a [String],
}

impl Client {
    /// Returns a client of the engine at `address`.
    pub(crate) fn new(address: net::SocketAddr, silent_after: time::Duration) -> Client {
        Client {
            address,
            silent_after,
        }
    }

    /// Requests a new generation. `arriving` counts what has arrived of an event.
    pub(crate) async fn start(
        &self,
        endpoint: Endpoint,
        id: &str,
        body: Bytes,
        arriving: body_budget::Hold,
    ) -> StreamResponse {
        let path = match endpoint {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Completion => "/v1/completions",
        };
        let request = self
            .request_builder(http::Method::POST, path)
            .header(http::header::CONTENT_TYPE, "application/json")
            .header("x-request-id", id);
        self.open_stream(request, body, arriving).await
    }

    /// Requests the tokens of a generation from `offset` on. `arriving` counts what has arrived of an
    /// event.
    pub(crate) async fn resume(
        &self,
        id: &str,
        offset: u64,
        arriving: body_budget::Hold,
    ) -> StreamResponse {
        let path = format!("/v1/streams/{id}?offset={offset}");
        let request = self.request_builder(http::Method::GET, &path);
        self.open_stream(request, Bytes::new(), arriving).await
    }

    /// Stops a generation and frees its memory.
    pub(crate) async fn cancel(&self, id: &str) -> Result<(), upstream::Fault> {
        let request = self.request_builder(http::Method::DELETE, &format!("/v1/streams/{id}"));
        let request = finish_request(request, Bytes::new())?;
        upstream::send(self.address, request, RESPONSE_TIMEOUT).await?;
        Ok(())
    }

    /// Opens an idle connection and returns once the upstream closes it, or at once if the
    /// connection fails.
    pub(crate) async fn wait_closed(&self) {
        upstream::wait_closed(self.address).await;
    }

    /// Fetches the load report.
    pub(crate) async fn fetch_load(&self) -> Result<Report, upstream::Fault> {
        self.fetch_json("/load").await
    }

    /// Fetches the changes of the prefix cache after sequence number `after`.
    pub(crate) async fn fetch_cache_events(
        &self,
        after: u64,
    ) -> Result<CacheEvents, upstream::Fault> {
        self.fetch_json(&format!("/cache-events?after={after}"))
            .await
    }

    async fn fetch_json<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, upstream::Fault> {
        let request = finish_request(self.request_builder(http::Method::GET, path), Bytes::new())?;
        let response = upstream::send(self.address, request, RESPONSE_TIMEOUT).await?;
        let status = response.status();
        let reading = upstream::read_body(response.into_body(), MAX_RESPONSE_BYTES);
        let body = tokio::time::timeout(RESPONSE_TIMEOUT, reading)
            .await
            .map_err(|_| upstream::Fault::Silent)??;
        if !status.is_success() {
            return Err(upstream::Fault::Lost(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|error| upstream::Fault::Lost(error.to_string()))
    }

    /// Orders the engine to load `models`.
    pub(crate) async fn order(&self, fence: u64, models: &[String]) -> OrderOutcome {
        let body = match serde_json::to_vec(&OrderBody { fence, models }) {
            Ok(body) => body,
            Err(error) => return OrderOutcome::Failed(error.to_string()),
        };
        let request = self
            .request_builder(http::Method::POST, "/orders")
            .header(http::header::CONTENT_TYPE, "application/json");
        let request = match finish_request(request, body.into()) {
            Ok(request) => request,
            Err(fault) => return OrderOutcome::Failed(format!("{fault:?}")),
        };
        match upstream::send(self.address, request, ORDER_TIMEOUT).await {
            Ok(response) if response.status().is_success() => OrderOutcome::Done,
            Ok(response) if response.status() == http::StatusCode::CONFLICT => OrderOutcome::Fenced,
            Ok(response) => OrderOutcome::Failed(format!("status {}", response.status())),
            Err(fault) => OrderOutcome::Failed(format!("{fault:?}")),
        }
    }

    async fn open_stream(
        &self,
        request: http::request::Builder,
        body: Bytes,
        arriving: body_budget::Hold,
    ) -> StreamResponse {
        let request = match finish_request(request, body) {
            Ok(request) => request,
            Err(fault) => return StreamResponse::Fault(fault),
        };
        let response = match upstream::send(self.address, request, self.silent_after).await {
            Ok(response) => response,
            Err(fault) => return StreamResponse::Fault(fault),
        };
        let status = response.status();
        if status.is_success() {
            let reader = tokens::Reader::new(response.into_body(), self.silent_after, arriving);
            return StreamResponse::Tokens(reader);
        }
        StreamResponse::Refused {
            detail: self.read_detail(response).await,
            status,
        }
    }

    async fn read_detail(&self, response: http::Response<hyper::body::Incoming>) -> String {
        let reading = upstream::read_beginning(response.into_body(), MAX_DETAIL_BYTES);
        match tokio::time::timeout(self.silent_after, reading).await {
            Ok(Ok(beginning)) => String::from_utf8_lossy(&beginning).into_owned(),
            Ok(Err(_)) | Err(_) => String::new(),
        }
    }

    fn request_builder(&self, method: http::Method, path: &str) -> http::request::Builder {
        http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
    }
}

/// Builds the request; a request that can't be built counts as never sent.
fn finish_request(
    request: http::request::Builder,
    body: Bytes,
) -> Result<http::Request<upstream::Body>, upstream::Fault> {
    request
        .body(upstream::Body::new(body))
        .map_err(|error| upstream::Fault::Unreachable(error.to_string()))
}
