//! Simulated HTTP service that counts runs by idempotency key.

use std::collections;
use std::sync;

use core::time;

use axum::extract;
use axum::http;
use axum::response;
use axum::routing;
use serde::Deserialize;
use serde::Serialize;

use crate::options;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A simulated service; clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    incarnation: sync::Arc<str>,
    options: sync::Arc<options::Service>,
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug)]
struct State {
    cold_until: tokio::time::Instant,
    running: usize,
    runs: collections::BTreeMap<String, u64>,
    total: u64,
}

#[derive(Debug, Deserialize)]
struct CallQuery {
    #[serde(default)]
    delay_ms: u64,
}

#[derive(Debug, Serialize)]
struct CallResponse {
    body: String,
    key: String,
    method: String,
    path: String,
    run: u64,
    service: String,
}

#[derive(Debug, Serialize)]
struct Load {
    cold: bool,
    incarnation: String,
    memory_tokens: u64,
    running: usize,
    total: u64,
    used_tokens: u64,
}

/// Returns a router for the routes of the service.
pub(crate) fn build_router(options: options::Service) -> axum::Router {
    let state = State {
        cold_until: tokio::time::Instant::now() + options.cold_time,
        running: 0,
        runs: collections::BTreeMap::new(),
        total: 0,
    };
    let service = Service {
        incarnation: format!("{:08x}", rand::random::<u32>()).into(),
        options: sync::Arc::new(options),
        state: sync::Arc::new(sync::Mutex::new(state)),
    };
    axum::Router::new()
        .route("/healthz", routing::get(handle_health))
        .route("/load", routing::get(handle_load))
        .route("/runs", routing::get(handle_runs))
        .route("/turn-cold", routing::post(handle_turn_cold))
        .fallback(handle_call)
        .with_state(service)
}

impl Service {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a run; returns its number among the runs with this key, or `None` if the service is cold
    /// and at its limit.
    fn start_run(&self, key: &str) -> Option<u64> {
        let mut state = self.lock();
        let cold = tokio::time::Instant::now() < state.cold_until;
        if cold && state.running >= self.options.cold_limit {
            return None;
        }
        state.running += 1;
        state.total += 1;
        let run = state.runs.entry(key.to_owned()).or_insert(0);
        *run += 1;
        Some(*run)
    }
}

async fn handle_health() -> &'static str {
    "ok\n"
}

async fn handle_load(extract::State(service): extract::State<Service>) -> axum::Json<Load> {
    let state = service.lock();
    axum::Json(Load {
        cold: tokio::time::Instant::now() < state.cold_until,
        incarnation: service.incarnation.to_string(),
        memory_tokens: 0,
        running: state.running,
        total: state.total,
        used_tokens: 0,
    })
}

async fn handle_runs(
    extract::State(service): extract::State<Service>,
) -> axum::Json<collections::BTreeMap<String, u64>> {
    axum::Json(service.lock().runs.clone())
}

async fn handle_turn_cold(extract::State(service): extract::State<Service>) -> &'static str {
    service.lock().cold_until = tokio::time::Instant::now() + service.options.cold_time;
    "cold\n"
}

async fn handle_call(
    extract::State(service): extract::State<Service>,
    extract::Query(query): extract::Query<CallQuery>,
    request: extract::Request,
) -> response::Response {
    use response::IntoResponse as _;
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let method = request.method().to_string();
    let path = request.uri().path().to_owned();
    let Ok(body) = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES).await else {
        return http::StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let Some(run) = service.start_run(&key) else {
        return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    // A task of its own continues when the caller disconnects, as the work of a real service does.
    let work = tokio::spawn(async move {
        tokio::time::sleep(time::Duration::from_millis(query.delay_ms)).await;
        service.lock().running -= 1;
        service.options.name.clone()
    });
    let Ok(name) = work.await else {
        return http::StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    axum::Json(CallResponse {
        body: String::from_utf8_lossy(&body).into_owned(),
        key,
        method,
        path,
        run,
        service: name,
    })
    .into_response()
}
