//! HTTP servers whose requests count to the process's intake.

use core::convert;
use core::future::Future;
use std::time;

use axum::body;
use axum::extract;
use axum::middleware;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use http::header;
use http::StatusCode;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use hyper_util::service;
use tokio_util::sync::CancellationToken;

use crate::intake;
use crate::intake::listener;

/// Time after which a caller may try again whose request was ended, in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Read buffer of a connection, and longest head, in bytes. By default hyper takes 400 KiB.
const BUFFER_BYTES: usize = 16 << 10;
/// Time for which a stopping server waits for requests that have not arrived whole.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Bound of the bodies that a router takes.
#[derive(Clone, Copy, Debug)]
struct Bound {
    bytes: usize,
}

/// Serves a router until `stop` is cancelled. Its requests come with their bodies, of at most
/// `body_bytes`, already received.
pub async fn serve(
    socket: tokio::net::TcpListener,
    router: axum::Router,
    intake: intake::Intake,
    body_bytes: usize,
    stop: CancellationToken,
) {
    let bound = Bound { bytes: body_bytes };
    let router = count(router.layer(middleware::from_fn_with_state(bound, receive)));
    let listener = listener::Listener::new(socket, intake);
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder.http1().max_buf_size(BUFFER_BYTES);
    let connections = graceful::GracefulShutdown::new();
    loop {
        let (stream, _peer) = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let service = build_service(router.clone(), stream.connection());
        let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
        let connection = connections.watch(connection.into_owned());
        tokio::spawn(async move {
            // An error ends the connection and its requests; no caller is left to report it to.
            let _ = connection.await;
        });
    }
    drop(listener);
    // Requests that have not arrived whole by then end with the process.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, connections.shutdown()).await;
}

/// Returns a router as the service of a connection, which its requests find in their extensions.
pub fn build_service(
    router: axum::Router,
    connection: &intake::Connection,
) -> impl hyper::service::Service<
    http::Request<hyper::body::Incoming>,
    Response = response::Response,
    Error = convert::Infallible,
    Future = impl Future<Output = Result<response::Response, convert::Infallible>> + Send,
> + Clone {
    let connected = extract::ConnectInfo(connection.clone());
    let router = service::TowerToHyperService::new(router);
    hyper::service::service_fn(move |mut request: http::Request<hyper::body::Incoming>| {
        request.extensions_mut().insert(connected.clone());
        hyper::service::Service::call(&router, request)
    })
}

/// Counts the requests of a router, which finds each of them in its extensions. The connection, an
/// extension as well, is put there by the server.
pub fn count(router: axum::Router) -> axum::Router {
    router.layer(middleware::from_fn(open))
}

async fn open(
    extract::ConnectInfo(connection): extract::ConnectInfo<intake::Connection>,
    mut request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let path = request.uri().path();
    let id = Bytes::copy_from_slice(path.as_bytes());
    let opened = connection.open_request(id, count_head_bytes(path, request.headers()));
    request.extensions_mut().insert(opened.clone());
    let response = next.run(request).await;
    response.map(|body| body::Body::new(opened.attach(body)))
}

async fn receive(
    extract::State(bound): extract::State<Bound>,
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let (parts, body) = request.into_parts();
    let Some(opened) = parts.extensions.get::<intake::Request>() else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    match intake::body::read(body, bound.bytes, opened).await {
        Ok(bytes) => {
            let request = extract::Request::from_parts(parts, body::Body::from(bytes));
            next.run(request).await
        }
        Err(error) => refuse(&error),
    }
}

/// Returns the response to a request that has not arrived whole, and so has not run.
fn refuse(error: &intake::body::Error) -> response::Response {
    let close = (header::CONNECTION, "close");
    match error {
        intake::body::Error::Broken(why) => {
            (StatusCode::BAD_REQUEST, [close], why.clone()).into_response()
        }
        intake::body::Error::Ended => {
            let again = (header::RETRY_AFTER, RETRY_AFTER_S.to_string());
            let status = StatusCode::SERVICE_UNAVAILABLE;
            (status, [close], [again], "no memory for the request\n").into_response()
        }
        intake::body::Error::TooLong => {
            (StatusCode::PAYLOAD_TOO_LARGE, [close], "body too long\n").into_response()
        }
    }
}

/// Returns the bytes of a request's path and headers.
#[must_use]
pub fn count_head_bytes(path: &str, headers: &http::HeaderMap) -> usize {
    let headers = headers.iter();
    let lengths = headers.map(|(name, value)| name.as_str().len() + value.len());
    path.len() + lengths.sum::<usize>()
}
