//! Connection pool of one upstream.

use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use peargap_adapters::body_budget;
use peargap_adapters::logs;
use peargap_adapters::read_budget;
use peargap_core::status;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::events;
use crate::socket;
use crate::unread;

/// Time limit for opening a connection. TCP retransmits a lost SYN only after a second; by then
/// another upstream would have responded.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// How long a connection is kept idle if the upstream sends no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(2);
/// Longest time for which a connection is kept idle, whatever the upstream allows.
const MAX_KEEP_ALIVE: time::Duration = time::Duration::from_secs(600);
/// How long before the upstream's keep-alive timeout an idle connection is dropped, so that a
/// request does not meet the upstream's close.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Time that sent data may stay unacknowledged before the connection is closed.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Interval of TCP keep-alive probes on an idle connection.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is closed.
const MAX_PROBES: u32 = 2;

/// Bytes of a head that are read at once at most.
const MAX_READ_BYTES: usize = 64 << 10;
/// Bytes that an upstream may send from a request up to the end of the response's head, with all
/// informational responses before it. A read may take some of the body with the head.
const MAX_HEAD_BYTES: usize = 4 * MAX_READ_BYTES;

/// The same for an answer to an order, which has few headers. No budget counts these heads.
const MAX_ORDER_HEAD_BYTES: usize = 16 << 10;

/// Sender of requests on one connection.
#[derive(Debug)]
pub(crate) struct Sender {
    address: net::SocketAddr,
    /// Ends the connection when the sender is dropped. By itself, the connection would only end once
    /// the upstream has read what was handed to it.
    _ending: DropGuard,
    /// Bytes that the upstream may send before a response.
    budget: read_budget::Budget,
    inner: http1::SendRequest<unread::Body>,
}

impl Sender {
    async fn send(
        &mut self,
        request: http::Request<unread::Body>,
        head_bytes: usize,
        arriving: Option<body_budget::Hold>,
    ) -> Result<http::Response<body::Incoming>, SendError> {
        self.budget.set(head_bytes, arriving);
        let result = self.inner.send_request(request).await;
        if result.is_err() && self.budget.is_spent() {
            logs::emit(
                events::RESPONSE_TOO_LONG,
                format_args!("part=head address={} limit={head_bytes}", self.address),
            );
        }
        let response = result.map_err(SendError::Http)?;
        self.budget.lift();
        match status::is_final(response.status().as_u16()) {
            true => Ok(response),
            false => Err(SendError::Status(response.status())),
        }
    }

    fn is_ready(&self) -> bool {
        self.inner.is_ready()
    }

    fn is_closed(&self) -> bool {
        self.inner.is_closed()
    }
}

/// Why a request got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection failed, or what came is no response.
    Http(hyper::Error),
    /// The response has a status that no answer may have.
    Status(http::StatusCode),
}

impl core::fmt::Display for SendError {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            SendError::Http(error) => error.fmt(formatter),
            SendError::Status(status) => write!(formatter, "status {} is none", status.as_u16()),
        }
    }
}

impl SendError {
    /// Returns whether the connection failed, and not what came on it.
    fn is_of_connection(&self) -> bool {
        let SendError::Http(error) = self else {
            return false;
        };
        let cause = std::error::Error::source(error);
        let is_system_error = cause.is_some_and(|cause| cause.is::<io::Error>());
        is_system_error || error.is_canceled() || error.is_incomplete_message()
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    expires: time::Instant,
    since: time::Instant,
}

/// Idle connections to one upstream, shared by all clones.
#[derive(Clone, Debug, Default)]
struct Idle(sync::Arc<sync::Mutex<Vec<IdleConnection>>>);

impl Idle {
    fn take(&self) -> Option<IdleConnection> {
        let now = time::Instant::now();
        let mut connections = self.lock();
        while let Some(connection) = connections.pop() {
            if now < connection.expires && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes the connections that have been idle since this time or longer.
    fn close_older(&self, since: time::Instant) {
        self.lock().retain(|connection| connection.since > since);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<IdleConnection>> {
        let locked = self.0.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Connections to one upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    address: net::SocketAddr,
    idle: Idle,
}

/// An open connection for one request.
///
/// If it was idle and fails, the upstream may have dropped it without notice, and others with it: those
/// that have been idle for at least as long are closed.
#[derive(Debug)]
pub(crate) struct Connection {
    idle: Idle,
    /// Since when it was idle, if it has carried a request before.
    idle_since: Option<time::Instant>,
    sender: Sender,
}

impl Connection {
    /// Returns whether it has carried a request before.
    pub(crate) fn is_reused(&self) -> bool {
        self.idle_since.is_some()
    }

    /// Sends a request and returns the head of the response, with its unread body. `arriving` counts
    /// the bytes of the head.
    pub(crate) async fn send_request(
        &mut self,
        request: http::Request<unread::Body>,
        arriving: body_budget::Hold,
    ) -> Result<http::Response<body::Incoming>, SendError> {
        self.send(request, MAX_HEAD_BYTES, Some(arriving)).await
    }

    async fn send(
        &mut self,
        request: http::Request<unread::Body>,
        head_bytes: usize,
        arriving: Option<body_budget::Hold>,
    ) -> Result<http::Response<body::Incoming>, SendError> {
        let sent = self.sender.send(request, head_bytes, arriving).await;
        if let (Err(error), Some(since)) = (&sent, self.idle_since) {
            if error.is_of_connection() {
                self.idle.close_older(since);
            }
        }
        sent
    }

    /// Returns its sender, as its response is about to be read.
    pub(crate) fn into_sender(self) -> Sender {
        self.sender
    }
}

/// A connection for one order to an engine's own API.
///
/// The answer to an order names no request, so a second copy of it can't be told from the answer to
/// the next call. There is no way to return such a connection to the pool.
#[derive(Debug)]
pub(crate) struct OrderConnection(Connection);

/// Why an order got no answer.
#[derive(Debug)]
pub(crate) struct OrderError {
    /// Whether a connection failed that had been idle, so that the order may be sent again at once on a
    /// new one.
    pub(crate) is_stale: bool,
    pub(crate) why: SendError,
}

impl OrderConnection {
    /// Sends the order and returns the head of the answer, with its unread body. The connection ends
    /// when the returned guard is dropped.
    pub(crate) async fn send_request(
        mut self,
        request: http::Request<unread::Body>,
    ) -> Result<(http::Response<body::Incoming>, impl Sized), OrderError> {
        match self.0.send(request, MAX_ORDER_HEAD_BYTES, None).await {
            Ok(response) => Ok((response, self.0)),
            Err(why) => Err(OrderError {
                is_stale: self.0.is_reused() && why.is_of_connection(),
                why,
            }),
        }
    }
}

/// A connection whose last response is being read.
#[derive(Debug)]
pub(crate) struct Answering {
    /// What becomes of it after the response.
    pub(crate) next: Next,
    pub(crate) sender: Sender,
}

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Next {
    /// It is closed, as a second copy of the response could not be told from another one.
    Close,
    /// It returns to the pool; the seconds for which the upstream keeps it open, if it says so.
    Keep(Option<u64>),
}

/// Why no connection could be opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Error {
    /// Another error, as reported by the system.
    Other(String),
    /// No process listens at the address.
    Refused,
    /// The upstream did not answer in time.
    TimedOut,
}

/// What a new connection to an upstream's address says of its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Process {
    /// No process listens at the address.
    Ended,
    /// A process listens there.
    Running,
    /// The network did not answer.
    Unknown,
}

impl core::fmt::Display for Error {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            Error::Other(error) => formatter.write_str(error),
            Error::Refused => formatter.write_str("connection refused"),
            Error::TimedOut => formatter.write_str("connection attempt timed out"),
        }
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Error::Refused,
            _ => Error::Other(error.to_string()),
        }
    }
}

impl Pool {
    /// Returns an empty pool.
    pub(crate) fn new(address: net::SocketAddr) -> Pool {
        Pool {
            address,
            idle: Idle::default(),
        }
    }

    /// Returns an idle connection, or opens one.
    pub(crate) async fn acquire(&self) -> Result<Connection, Error> {
        match self.idle.take() {
            Some(IdleConnection { sender, since, .. }) => Ok(Connection {
                idle: self.idle.clone(),
                idle_since: Some(since),
                sender,
            }),
            None => self.open().await,
        }
    }

    /// Opens a connection.
    async fn open(&self) -> Result<Connection, Error> {
        match tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await {
            Ok(Ok(sender)) => Ok(Connection {
                idle: self.idle.clone(),
                idle_since: None,
                sender,
            }),
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => Err(Error::TimedOut),
        }
    }

    /// Returns an idle connection, or opens one, for an order. Responses on an idle connection name
    /// their requests, so a late copy of one is not taken for the answer to the order.
    pub(crate) async fn acquire_for_order(&self) -> Result<OrderConnection, Error> {
        self.acquire().await.map(OrderConnection)
    }

    /// Opens a connection for an order.
    pub(crate) async fn open_for_order(&self) -> Result<OrderConnection, Error> {
        self.open().await.map(OrderConnection)
    }

    /// Opens a connection to find out whether the upstream's process has ended.
    pub(crate) async fn examine_process(&self) -> Process {
        match tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await {
            Ok(Ok(sender)) => {
                let next = Next::Keep(None);
                self.release(Answering { next, sender });
                Process::Running
            }
            Ok(Err(Error::Refused)) => Process::Ended,
            Ok(Err(Error::Other(_) | Error::TimedOut)) | Err(_) => Process::Unknown,
        }
    }

    async fn connect(&self) -> Result<Sender, Error> {
        let stream = tokio::net::TcpStream::connect(self.address).await?;
        set_tcp_options(&stream, UNACKNOWLEDGED_TIMEOUT)?;
        let budget = read_budget::Budget::new(MAX_HEAD_BYTES);
        let stream = read_budget::Stream::new(socket::Socket::new(stream), budget.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await;
        let (inner, connection) = handshake.map_err(|error| Error::Other(error.to_string()))?;
        // Errors are reported to the request on this connection.
        let ended = CancellationToken::new();
        let ending = ended.clone().drop_guard();
        tokio::spawn(async move {
            let _ = ended.run_until_cancelled_owned(connection).await;
        });
        Ok(Sender {
            address: self.address,
            _ending: ending,
            budget,
            inner,
        })
    }

    /// Returns a connection to the pool after its last response was read completely, unless it is to
    /// be closed.
    pub(crate) fn release(&self, connection: Answering) {
        let Answering { next, sender } = connection;
        let Next::Keep(keep_alive_s) = next else {
            return;
        };
        let keep_alive = keep_alive_s.map_or(DEFAULT_KEEP_ALIVE, time::Duration::from_secs);
        let keep_alive = keep_alive.min(MAX_KEEP_ALIVE);
        let keep_alive = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        if keep_alive.is_zero() || sender.is_closed() {
            return;
        }
        let since = time::Instant::now();
        self.idle.lock().push(IdleConnection {
            sender,
            expires: since + keep_alive,
            since,
        });
    }
}

/// Disables Nagle's algorithm, and sets the TCP timeouts by which the kernel closes a connection
/// whose peer is gone without closing it, or reads nothing for `unacknowledged`.
pub(crate) fn set_tcp_options(
    stream: &tokio::net::TcpStream,
    unacknowledged: time::Duration,
) -> Result<(), std::io::Error> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)
}
