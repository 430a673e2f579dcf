//! HTTP server for callers.

use std::net;
use std::time;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use peargap_adapters::intake::listener;
use peargap_adapters::logs;
use tokio_util::sync::CancellationToken;
use tokio_util::task;

use crate::events;
use crate::gateway;
use crate::pool;

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// How long a stopping gateway still accepts connections. The load balancer probes readiness once a
/// second and stops sending after two failures.
const DRAIN_DELAY: time::Duration = time::Duration::from_millis(2500);
/// Time that a caller may leave sent data unread. A caller that is gone without closing its
/// connection looks the same; its generation still ends at its deadline.
const UNREAD_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Time reserved for the exit of the process after the last response.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(400);

/// Serves callers until `stop` is cancelled, then drains the connections for the rest of `grace`.
pub(crate) async fn run(
    listener: listener::Listener,
    gateway: gateway::Gateway,
    grace: time::Duration,
    stop: CancellationToken,
) {
    let shutdown = CancellationToken::new();
    let connections = task::TaskTracker::new();
    let accepting = accept(&listener, &gateway, &shutdown, &connections);
    let stopped = async {
        stop.cancelled().await;
        let rest = grace.saturating_sub(EXIT_MARGIN).max(DRAIN_DELAY);
        let ends_at = tokio::time::Instant::now() + rest;
        gateway.stop.begin(ends_at);
        tokio::time::sleep(DRAIN_DELAY).await;
    };
    tokio::select! {
        () = accepting => {}
        () = stopped => {}
    }
    gateway.stop.close();
    shutdown.cancel();
    connections.close();
    let remaining = grace.saturating_sub(DRAIN_DELAY + EXIT_MARGIN);
    // Requests still running after that are aborted when the process exits.
    let _ = tokio::time::timeout(remaining, connections.wait()).await;
}

async fn accept(
    listener: &listener::Listener,
    gateway: &gateway::Gateway,
    shutdown: &CancellationToken,
    connections: &task::TaskTracker,
) {
    loop {
        let (stream, peer) = listener.accept().await;
        let served = serve(stream, peer, gateway.clone(), shutdown.clone());
        connections.spawn(served);
    }
}

async fn serve(
    mut stream: listener::Stream,
    peer: net::SocketAddr,
    gateway: gateway::Gateway,
    shutdown: CancellationToken,
) {
    if let Err(error) = pool::set_tcp_options(stream.tcp(), UNREAD_TIMEOUT) {
        logs::emit(
            events::CALLER_CONNECTION_FAILED,
            format_args!("peer={peer} why={error}"),
        );
        return;
    }
    // The limits of the routing table when the connection opens apply to all its requests.
    let limits = gateway.fleet.table().map(|table| table.limits());
    let limits = limits.unwrap_or_default();
    let head_bytes = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX);
    stream.set_head_limit(time::Duration::from_millis(limits.head_ms));
    let ended = CancellationToken::new();
    let token = ended.clone();
    let counted = stream.connection().clone();
    let handler = service::service_fn(move |request| {
        gateway
            .clone()
            .serve(request, counted.clone(), token.clone())
    });
    let mut connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(limits.idle_ms))
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(rt::TokioIo::new(stream), handler);
    let served = async {
        tokio::select! {
            result = &mut connection => result,
            () = shutdown.cancelled() => {
                core::pin::Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        }
    };
    let result = tokio::select! {
        result = served => result,
        () = ended.cancelled() => {
            reset(connection.into_parts().io.inner().tcp(), peer);
            return;
        }
    };
    if let Err(error) = result {
        logs::emit(
            events::CALLER_CONNECTION_FAILED,
            format_args!("peer={peer} why={error}"),
        );
    }
}

/// Has the connection reset when it is dropped, so that its caller sees that the response is
/// incomplete and the system frees what it buffers.
fn reset(stream: &tokio::net::TcpStream, peer: net::SocketAddr) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
        logs::emit(
            events::CALLER_CONNECTION_FAILED,
            format_args!("peer={peer} why={error}"),
        );
    }
}
