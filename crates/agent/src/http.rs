//! HTTP/1.1 client of the upstream that opens a new connection for each request.
//!
//! A pooled connection may be dead or closed by the peer, and then it is unknown whether a request
//! that failed on it was received. With a new connection, a failure to connect proves that the
//! upstream received nothing.

use core::future;
use core::net;
use core::time;
use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use peargap_adapters::body_budget;
use peargap_adapters::body_buffer;
use peargap_adapters::read_budget;

/// Timeout of connecting to the upstream.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Bytes of a head that are read at once at most.
const MAX_READ_BYTES: usize = 64 << 10;
/// Bytes that the upstream may send up to the end of the response's head, with all informational
/// responses before it. A read may take some of the body with the head.
const MAX_HEAD_BYTES: usize = 4 * MAX_READ_BYTES;

/// Request body.
pub(crate) type Body = http_body_util::Full<Bytes>;

/// Reason why a request has no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The connection failed; the request may have been received.
    Lost(String),
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The response timed out; the request may have been received.
    Silent,
    /// The response body exceeds its limit, or those that arrive together exceed theirs.
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

/// Sends a request and waits up to `timeout` for the response head.
pub(crate) async fn send(
    address: net::SocketAddr,
    request: http::Request<Body>,
    timeout: time::Duration,
) -> Result<http::Response<body::Incoming>, Fault> {
    let budget = read_budget::Budget::new(MAX_HEAD_BYTES);
    let mut sender = connect(address, budget.clone()).await?;
    match tokio::time::timeout(timeout, sender.send_request(request)).await {
        Err(_) => Err(Fault::Silent),
        Ok(Err(error)) => Err(Fault::Lost(error.to_string())),
        Ok(Ok(response)) => {
            budget.lift();
            Ok(response)
        }
    }
}

async fn connect(
    address: net::SocketAddr,
    budget: read_budget::Budget,
) -> Result<http1::SendRequest<Body>, Fault> {
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
    let socket = read_budget::Stream::new(socket, budget);
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(rt::TokioIo::new(socket))
        .await
        .map_err(|error| Fault::Unreachable(error.to_string()))?;
    tokio::spawn(connection);
    future::poll_fn(|context| sender.poll_ready(context))
        .await
        .map_err(|error| Fault::Unreachable(error.to_string()))?;
    Ok(sender)
}

/// Opens an idle connection and returns once the peer closes it, or at once if the connection
/// fails.
pub(crate) async fn wait_closed(address: net::SocketAddr) {
    let connecting = tokio::net::TcpStream::connect(address);
    let Ok(Ok(socket)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return;
    };
    // No request was sent, so the socket becomes readable only when the peer closes it.
    let _ = socket.readable().await;
}

/// Reads a whole body of at most `limit` bytes, which `arriving` counts meanwhile.
pub(crate) async fn read_counted_body(
    mut body: body::Incoming,
    limit: usize,
    arriving: &body_budget::Hold,
) -> Result<Bytes, Fault> {
    let mut buffer = body_buffer::Buffer::new(arriving.clone());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Fault::Lost(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(Fault::TooLarge);
        }
        buffer.push(&data).await;
    }
    Ok(buffer.freeze())
}

/// Reads a whole body of at most `limit` bytes, of which there are few at a time.
pub(crate) async fn read_body(body: body::Incoming, limit: usize) -> Result<Bytes, Fault> {
    match http_body_util::Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Fault::TooLarge),
        Err(error) => Err(Fault::Lost(error.to_string())),
    }
}

/// Reads at most `limit` bytes from the beginning of a body, and no more of it than the reads that
/// bring them.
pub(crate) async fn read_beginning(mut body: body::Incoming, limit: usize) -> Result<Bytes, Fault> {
    let mut beginning = BytesMut::new();
    while beginning.len() < limit {
        let Some(frame) = body.frame().await else {
            break;
        };
        let frame = frame.map_err(|error| Fault::Lost(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            let wanted = data.len().min(limit - beginning.len());
            beginning.extend_from_slice(&data[..wanted]);
        }
    }
    Ok(beginning.freeze())
}
