//! `/healthz`, `/readyz` and `/metrics` of a process.

use std::sync;
use std::sync::atomic;

use axum::extract;
use axum::http;
use axum::routing;

use crate::metrics;

/// Whether the process takes new work; shared by clones.
#[derive(Clone, Debug, Default)]
pub struct Readiness(sync::Arc<atomic::AtomicBool>);

impl Readiness {
    /// Returns whether the process takes new work.
    pub fn is_ready(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire)
    }

    /// Sets whether the process takes new work.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, atomic::Ordering::Release);
    }
}

#[derive(Clone)]
struct Probe {
    readiness: Readiness,
    registry: metrics::Registry,
}

/// Returns the routes `/healthz`, `/readyz` and `/metrics`.
pub fn build_router(readiness: Readiness, registry: metrics::Registry) -> axum::Router {
    let probe = Probe {
        readiness,
        registry,
    };
    axum::Router::new()
        .route("/healthz", routing::get(answer_health))
        .route("/readyz", routing::get(answer_readiness))
        .route("/metrics", routing::get(answer_metrics))
        .with_state(probe)
}

async fn answer_health() -> &'static str {
    "ok\n"
}

async fn answer_readiness(
    extract::State(probe): extract::State<Probe>,
) -> (http::StatusCode, &'static str) {
    if probe.readiness.is_ready() {
        (http::StatusCode::OK, "ready\n")
    } else {
        (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn answer_metrics(extract::State(probe): extract::State<Probe>) -> String {
    probe.registry.encode()
}
