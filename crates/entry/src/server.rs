//! HTTP server for callers: HTTP/1.1 and HTTP/2 over cleartext TCP, with graceful shutdown.

use core::time;
use std::sync;

use axum::extract;
use axum::http;
use axum::http::header;
use axum::middleware;
use axum::response;
use axum::routing;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use peargap_adapters::intake;
use peargap_adapters::intake::listener;
use tokio::time as clock;

use crate::app;
use crate::generations;
use crate::services;
use crate::write_timeout;

/// Timeout for receiving the head of an HTTP/1.1 request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of concurrent streams on an HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_000;
/// Size of the send buffer of an HTTP/2 stream, in bytes.
const STREAM_BUFFER_BYTES: usize = 64 << 10;

/// Builds the router for callers' requests.
pub(crate) fn build_router(app: sync::Arc<app::App>) -> axum::Router {
    let call = routing::any(services::answer_call);
    axum::Router::new()
        .route(
            "/v1/chat/completions",
            routing::post(generations::answer_chat),
        )
        .route(
            "/v1/completions",
            routing::post(generations::answer_completion),
        )
        .route("/v1/models", routing::get(generations::list_models))
        .route("/services/{service}", call.clone())
        .route("/services/{service}/", call.clone())
        .route("/services/{service}/{*path}", call)
        .fallback(generations::refuse_unknown_path)
        .method_not_allowed_fallback(generations::refuse_method)
        .layer(middleware::from_fn_with_state(
            app.clone(),
            close_when_stopping,
        ))
        .with_state(app)
}

/// Closes HTTP/1.1 connections after the current response while the entry is stopping.
async fn close_when_stopping(
    extract::State(app): extract::State<sync::Arc<app::App>>,
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let is_http1 = request.version() < http::Version::HTTP_2;
    let mut response = next.run(request).await;
    if is_http1 && app.stop.is_cancelled() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Serves callers until the entry stops, then waits for running requests.
pub(crate) async fn serve(
    app: sync::Arc<app::App>,
    listener: listener::Listener,
    intake: &intake::Intake,
) {
    let server = Server {
        builder: build_connections(&app),
        connections: graceful::GracefulShutdown::new(),
        router: intake::http::count(build_router(app.clone())),
        app,
    };
    server.run(listener, intake).await;
}

struct Server {
    app: sync::Arc<app::App>,
    builder: auto::Builder<rt::TokioExecutor>,
    connections: graceful::GracefulShutdown,
    router: axum::Router,
}

impl Server {
    async fn run(self, listener: listener::Listener, intake: &intake::Intake) {
        // Connections are accepted for a while longer, until load balancers see that this entry is
        // not ready.
        let stop = async {
            self.app.stop.cancelled().await;
            clock::sleep(self.app.settings.drain.linger).await;
        };
        tokio::pin!(stop);
        loop {
            tokio::select! {
                (stream, _peer) = listener.accept() => self.start_connection(stream),
                () = &mut stop => break,
            }
        }
        drop(listener);
        let shutdown = self.connections.shutdown();
        tokio::pin!(shutdown);
        // Requests that are arriving are served if they come whole in that time.
        tokio::select! {
            () = &mut shutdown => return,
            () = clock::sleep(self.app.settings.drain.linger) => intake.end_idle(),
        }
        shutdown.await;
    }

    fn start_connection(&self, stream: listener::Stream) {
        // Nagle's algorithm would hold small events back until the peer acknowledges earlier ones.
        let _ = stream.tcp().set_nodelay(true);
        let limit = self.app.settings.limits.stalled_reader;
        // Also drops a caller whose host or network fails without closing the connection.
        let _ = socket2::SockRef::from(stream.tcp()).set_tcp_user_timeout(Some(limit));
        let service = intake::http::build_service(self.router.clone(), stream.connection());
        let io = rt::TokioIo::new(write_timeout::WriteTimeoutStream::new(stream, limit));
        let connection = self.builder.serve_connection(io, service).into_owned();
        let connection = self.connections.watch(connection);
        tokio::spawn(async move {
            // An error ends the connection and its requests; no caller is left to report it to.
            let _ = connection.await;
        });
    }
}

fn build_connections(app: &app::App) -> auto::Builder<rt::TokioExecutor> {
    let header_bytes = app.settings.limits.header_bytes;
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(header_bytes);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX))
        .max_send_buf_size(STREAM_BUFFER_BYTES);
    builder
}
