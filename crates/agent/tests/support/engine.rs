//! A fake engine that produces tokens at a fixed rate, and a fake service that counts calls.

use core::convert;
use core::future::IntoFuture as _;
use core::net;
use core::time;
use std::collections;
use std::sync;

use axum::extract;
use axum::response;
use axum::response::sse;
use axum::response::IntoResponse as _;
use axum::routing;

/// Interval between tokens.
const TOKEN_INTERVAL: time::Duration = time::Duration::from_millis(10);
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// A fake upstream; clones share its state.
#[derive(Clone, Default)]
pub(crate) struct Engine(sync::Arc<sync::Mutex<State>>);

#[derive(Default)]
pub(crate) struct State {
    /// Number of streams cancelled by the agent.
    pub(crate) cancelled: u64,
    /// Fences of the orders received.
    pub(crate) orders: Vec<u64>,
    /// Number of service calls by idempotency key.
    pub(crate) runs: collections::BTreeMap<String, u64>,
    /// Number of generations started.
    pub(crate) starts: u64,
    pub(crate) streams: collections::BTreeMap<String, Generation>,
}

#[derive(Clone, Copy)]
pub(crate) struct Generation {
    started_at: tokio::time::Instant,
    length: u64,
}

/// Returns the text of one token.
pub(crate) fn format_token(offset: u64) -> String {
    format!("t{offset} ")
}

impl Engine {
    /// Starts the server; it also answers service calls.
    pub(crate) async fn start() -> (Engine, net::SocketAddr) {
        let engine = Engine::default();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let router = axum::Router::new()
            .route("/v1/completions", routing::post(answer_start))
            .route(
                "/v1/streams/{id}",
                routing::get(answer_resume).delete(answer_cancel),
            )
            .route("/load", routing::get(answer_load))
            .route("/orders", routing::post(answer_order))
            .fallback(answer_call)
            .with_state(engine.clone());
        tokio::spawn(axum::serve(listener, router).into_future());
        (engine, address)
    }

    /// Calls `inspect` with the current state.
    pub(crate) fn inspect<T>(&self, inspect: impl FnOnce(&State) -> T) -> T {
        inspect(&self.0.lock().unwrap())
    }

    fn respond(&self, id: &str, offset: u64) -> response::Response {
        let Some(generation) = self.inspect(|state| state.streams.get(id).copied()) else {
            return axum::http::StatusCode::NOT_FOUND.into_response();
        };
        let events = futures::stream::unfold(offset, move |offset| async move {
            if offset > generation.length + 1 {
                return None;
            }
            if offset < generation.length {
                let due =
                    generation.started_at + TOKEN_INTERVAL * u32::try_from(offset + 1).unwrap();
                tokio::time::sleep_until(due).await;
            }
            let event = Ok::<_, convert::Infallible>(build_event(generation.length, offset));
            Some((event, offset + 1))
        });
        let alive = sse::KeepAlive::new().interval(KEEP_ALIVE_INTERVAL);
        sse::Sse::new(events).keep_alive(alive).into_response()
    }
}

fn build_event(length: u64, offset: u64) -> sse::Event {
    let event = sse::Event::default();
    if offset == length {
        let usage = format!(r#""prompt_tokens":4,"completion_tokens":{length}"#);
        return event.data(format!(r#"{{"choices":[],"usage":{{{usage}}}}}"#));
    }
    if offset > length {
        return event.data("[DONE]");
    }
    let reason = if offset + 1 == length {
        r#""stop""#
    } else {
        "null"
    };
    let text = format_token(offset);
    let choice = format!(r#"{{"index":0,"text":"{text}","finish_reason":{reason}}}"#);
    event
        .id(offset.to_string())
        .data(format!(r#"{{"choices":[{choice}]}}"#))
}

async fn answer_start(
    extract::State(engine): extract::State<Engine>,
    headers: axum::http::HeaderMap,
    axum::Json(body): axum::Json<serde_json::Value>,
) -> response::Response {
    assert_eq!(body["stream"], true);
    let id = headers["x-request-id"].to_str().unwrap().to_owned();
    let length = body["prompt"].as_str().unwrap().parse().unwrap();
    let started_at = tokio::time::Instant::now();
    {
        let mut state = engine.0.lock().unwrap();
        state.starts += 1;
        state
            .streams
            .insert(id.clone(), Generation { started_at, length });
    }
    engine.respond(&id, 0)
}

async fn answer_resume(
    extract::State(engine): extract::State<Engine>,
    extract::Path(id): extract::Path<String>,
    extract::Query(query): extract::Query<collections::HashMap<String, u64>>,
) -> response::Response {
    engine.respond(&id, query["offset"])
}

async fn answer_cancel(
    extract::State(engine): extract::State<Engine>,
    extract::Path(id): extract::Path<String>,
) -> axum::http::StatusCode {
    let mut state = engine.0.lock().unwrap();
    state.cancelled += 1;
    state.streams.remove(&id);
    axum::http::StatusCode::NO_CONTENT
}

async fn answer_load() -> axum::Json<serde_json::Value> {
    axum::Json(serde_json::json!({"incarnation": "one", "memory_tokens": 100_000}))
}

async fn answer_order(
    extract::State(engine): extract::State<Engine>,
    axum::Json(order): axum::Json<serde_json::Value>,
) -> axum::Json<serde_json::Value> {
    let fence = order["fence"].as_u64().unwrap();
    engine.0.lock().unwrap().orders.push(fence);
    axum::Json(serde_json::json!({"fence": fence}))
}

async fn answer_call(
    extract::State(engine): extract::State<Engine>,
    headers: axum::http::HeaderMap,
) -> &'static str {
    let key = headers
        .get("idempotency-key")
        .map_or("", |key| key.to_str().unwrap());
    *engine
        .0
        .lock()
        .unwrap()
        .runs
        .entry(key.to_owned())
        .or_default() += 1;
    "lent"
}
