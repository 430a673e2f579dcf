//! HTTP/1.1 to the upstream, each request over a connection of its own.
//!
//! A pooled connection may have gone silent or been closed at the other end, and then nobody can
//! say whether a request that failed on it was received. On a fresh one a refused connection
//! proves that the upstream received nothing.

use core::future;
use core::net;
use core::time;
use std::io;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;

/// Time for the upstream's host to accept a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Body of a request.
pub(crate) type Body = http_body_util::Full<Bytes>;

/// Why there is no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The connection broke after the request may have arrived.
    Lost(String),
    /// The upstream's host refused the connection: nothing listens there.
    Refused,
    /// Nothing came in time; the request may have arrived.
    Silent,
    /// The body is longer than allowed.
    TooLarge,
    /// The request never reached the upstream.
    Unreachable(String),
}

impl Fault {
    /// Returns whether the request provably never reached the upstream.
    pub(crate) fn is_before_send(&self) -> bool {
        match self {
            Fault::Refused | Fault::Unreachable(_) => true,
            Fault::Lost(_) | Fault::Silent | Fault::TooLarge => false,
        }
    }
}

/// Sends a request and waits for the head of its response for `patience`.
pub(crate) async fn send(
    address: net::SocketAddr,
    request: http::Request<Body>,
    patience: time::Duration,
) -> Result<http::Response<body::Incoming>, Fault> {
    let mut sender = connect(address).await?;
    match tokio::time::timeout(patience, sender.send_request(request)).await {
        Err(_) => Err(Fault::Silent),
        Ok(Err(error)) => Err(Fault::Lost(error.to_string())),
        Ok(Ok(response)) => Ok(response),
    }
}

async fn connect(address: net::SocketAddr) -> Result<http1::SendRequest<Body>, Fault> {
    let connecting = tokio::net::TcpStream::connect(address);
    let socket = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Err(_) => return Err(Fault::Unreachable("connect timeout".to_owned())),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Fault::Refused);
        }
        Ok(Err(error)) => return Err(Fault::Unreachable(error.to_string())),
        Ok(Ok(socket)) => socket,
    };
    socket
        .set_nodelay(true)
        .map_err(|error| Fault::Unreachable(error.to_string()))?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(socket))
        .await
        .map_err(|error| Fault::Unreachable(error.to_string()))?;
    tokio::spawn(connection);
    future::poll_fn(|context| sender.poll_ready(context))
        .await
        .map_err(|error| Fault::Unreachable(error.to_string()))?;
    Ok(sender)
}

/// Opens a connection that carries nothing and returns once the other end closes it, or when it
/// cannot be opened.
pub(crate) async fn wait_closed(address: net::SocketAddr) {
    let connecting = tokio::net::TcpStream::connect(address);
    let Ok(Ok(socket)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return;
    };
    // Nothing was asked, so whatever comes is the end.
    let _ = socket.readable().await;
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read_body(body: body::Incoming, limit: usize) -> Result<Bytes, Fault> {
    match http_body_util::Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Fault::TooLarge),
        Err(error) => Err(Fault::Lost(error.to_string())),
    }
}
