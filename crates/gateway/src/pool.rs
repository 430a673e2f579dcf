//! Connections to one upstream.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;

/// Time to open a connection. A dropped opening packet is only sent again after a second, when
/// another upstream would long have answered.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Time that a connection is kept idle where the upstream names none.
const KEEP: time::Duration = time::Duration::from_secs(2);
/// How much earlier than the upstream a connection is given up, as both ends may use it at once.
const KEEP_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Time without acknowledgement after which a connection is dead.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// Time between probes of a connection that carries nothing.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes after which a connection is dead.
const PROBES: u32 = 2;

/// Sends requests on one connection.
pub(crate) type Sender = http1::SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: time::Instant,
}

/// Idle connections to one upstream.
#[derive(Debug)]
pub(crate) struct Pool {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<Idle>>,
}

/// A connection that may be sent on.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Whether it has carried requests before.
    pub(crate) is_used: bool,
    pub(crate) sender: Sender,
}

impl Pool {
    /// Returns a pool without connections.
    pub(crate) fn new(address: net::SocketAddr) -> Pool {
        Pool {
            address,
            idle: sync::Mutex::default(),
        }
    }

    /// Returns an idle connection or a new one; the reason when none can be opened.
    pub(crate) async fn acquire(&self) -> Result<Connection, String> {
        if let Some(sender) = self.take_idle() {
            return Ok(Connection {
                is_used: true,
                sender,
            });
        }
        match tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await {
            Ok(Ok(sender)) => Ok(Connection {
                is_used: false,
                sender,
            }),
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => Err("no connection in time".to_owned()),
        }
    }

    fn take_idle(&self) -> Option<Sender> {
        let now = time::Instant::now();
        let mut idle = self.lock();
        while let Some(Idle { sender, until }) = idle.pop() {
            if now < until && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Sender, String> {
        let stream = tokio::net::TcpStream::connect(self.address).await;
        let stream = stream.map_err(|error| error.to_string())?;
        watch_silence(&stream).map_err(|error| error.to_string())?;
        let shaken = http1::handshake(rt::TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|error| error.to_string())?;
        // Errors reach the request that they concern.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Keeps a connection whose last answer was read to its end.
    pub(crate) fn release(&self, sender: Sender, keep_s: Option<u64>) {
        let keep = keep_s.map_or(KEEP, time::Duration::from_secs);
        let keep = keep.saturating_sub(KEEP_MARGIN);
        if keep.is_zero() || sender.is_closed() {
            return;
        }
        let until = time::Instant::now() + keep;
        self.lock().push(Idle { sender, until });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Idle>> {
        let locked = self.idle.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Has the kernel notice when the other end of a connection is gone without a word.
pub(crate) fn watch_silence(stream: &tokio::net::TcpStream) -> Result<(), std::io::Error> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
