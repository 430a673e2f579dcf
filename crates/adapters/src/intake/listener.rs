//! Listening sockets whose connections count to the process's intake.

use core::future::Future as _;
use std::io;
use std::net;
use std::pin;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::WaitForCancellationFutureOwned;
use tonic::transport::server;

use crate::intake;
use crate::logs;

/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_DELAY: time::Duration = time::Duration::from_millis(20);
/// Bytes that are read and dropped at once while a connection closes.
const DISCARD_BYTES: usize = 4 << 10;
/// Time for which a caller may send on after the answer to a request that had not arrived whole. A
/// connection that is closed at once is reset, and the reset may overtake the answer.
const CLOSE_TIME: time::Duration = time::Duration::from_secs(1);
/// What a client sends first that speaks HTTP/2.
const MULTIPLEXED_PREFACE: &[u8] = b"PRI";
/// Bytes that the system takes for a connection before the process reads them.
const UNREAD_BYTES: usize = 64 << 10;

const ACCEPT_FAILED: logs::Event = logs::Event::warn(1012, "connection not accepted");
const UNREAD_UNBOUNDED: logs::Event =
    logs::Event::warn(1013, "unread bytes of callers not bounded");

/// A listening socket.
#[derive(Debug)]
pub struct Listener {
    intake: intake::Intake,
    socket: TcpListener,
}

impl Listener {
    /// Returns a listener whose connections count to `intake`.
    #[must_use]
    pub fn new(socket: TcpListener, intake: intake::Intake) -> Listener {
        // Connections inherit it from their listener.
        let bounded = socket2::SockRef::from(&socket).set_recv_buffer_size(UNREAD_BYTES);
        if let Err(error) = bounded {
            logs::emit(UNREAD_UNBOUNDED, format_args!("why={error}"));
        }
        Listener { intake, socket }
    }

    /// Returns the next connection. A connection that carries no request may be ended for it.
    pub async fn accept(&self) -> (Stream, net::SocketAddr) {
        loop {
            self.intake.wait_for_closes().await;
            match self.socket.accept().await {
                Ok((socket, peer)) => {
                    if let Some(connection) = self.intake.connect(peer) {
                        return (Stream::new(socket, connection), peer);
                    }
                }
                Err(error) => {
                    logs::emit(ACCEPT_FAILED, format_args!("why={error}"));
                    self.intake.end_one();
                    tokio::time::sleep(ACCEPT_DELAY).await;
                }
            }
        }
    }

    /// Returns the connections as a stream, for a server of messages between processes.
    pub fn into_incoming(self) -> impl futures::Stream<Item = io::Result<Stream>> {
        futures::stream::unfold(self, |listener| async move {
            let (stream, _peer) = listener.accept().await;
            // Without it, small messages wait for the acknowledgement of earlier ones.
            let accepted = stream.tcp().set_nodelay(true).map(|()| stream);
            Some((accepted, listener))
        })
    }
}

/// A connection that a caller has opened; reads fail once it has to end.
#[derive(Debug)]
pub struct Stream {
    /// Ends a close that waits for the caller.
    closing: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    connection: intake::Connection,
    ended: pin::Pin<Box<WaitForCancellationFutureOwned>>,
    /// Time limit of a head.
    head_limit: Option<time::Duration>,
    /// Requests before the head that arrives, and when that began.
    heads_before: usize,
    head_since: Option<tokio::time::Instant>,
    /// Ends a head of which a read has not brought the end.
    head_timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    /// Whether nothing has been received yet.
    is_new: bool,
    socket: TcpStream,
}

impl Stream {
    fn new(socket: TcpStream, connection: intake::Connection) -> Stream {
        Stream {
            closing: None,
            ended: Box::pin(connection.token().clone().cancelled_owned()),
            connection,
            head_limit: None,
            heads_before: 0,
            head_since: None,
            head_timer: None,
            is_new: true,
            socket,
        }
    }

    /// Bounds the time from the first byte of a head to its last.
    pub fn set_head_limit(&mut self, limit: time::Duration) {
        self.head_limit = Some(limit);
    }

    /// Forgets when a head began that has become a request.
    fn forget_former_head(&mut self) {
        let opened = self.connection.count_opened();
        if core::mem::replace(&mut self.heads_before, opened) != opened {
            self.head_since = None;
            self.head_timer = None;
        }
    }

    /// Returns whether the head that arrives has taken too long.
    fn poll_head_timeout(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let (Some(since), Some(limit)) = (self.head_since, self.head_limit) else {
            return task::Poll::Pending;
        };
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(since + limit)));
        timer.as_mut().poll(context)
    }

    /// Returns the connection's share in the intake.
    #[must_use]
    pub fn connection(&self) -> &intake::Connection {
        &self.connection
    }

    /// Returns the socket.
    #[must_use]
    pub fn tcp(&self) -> &TcpStream {
        &self.socket
    }

    /// Reads and drops what the caller sends until it closes the connection, or its time is over.
    fn poll_discard(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let Some(closing) = &mut self.closing else {
            return task::Poll::Ready(Ok(()));
        };
        if closing.as_mut().poll(context).is_ready() || self.ended.as_mut().poll(context).is_ready()
        {
            return task::Poll::Ready(Ok(()));
        }
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = pin::Pin::new(&mut self.socket).poll_read(context, &mut buffer);
            task::ready!(read)?;
            if buffer.filled().is_empty() {
                return task::Poll::Ready(Ok(()));
            }
        }
    }

    fn record_received(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.is_new && bytes.starts_with(MULTIPLEXED_PREFACE) {
            self.connection.set_multiplexed();
        }
        self.is_new = false;
        if self.head_limit.is_some() && self.connection.is_between_requests() {
            self.head_since
                .get_or_insert_with(tokio::time::Instant::now);
        }
        self.connection.record_received(bytes.len());
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.ended.as_mut().poll(context).is_ready() {
            let error = io::Error::other("ended, as others need what it holds");
            return task::Poll::Ready(Err(error));
        }
        self.forget_former_head();
        let filled = buffer.filled().len();
        let result = pin::Pin::new(&mut self.socket).poll_read(context, buffer);
        // What has arrived is read first: the process may have been suspended.
        if result.is_pending() && self.poll_head_timeout(context).is_ready() {
            return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        self.record_received(&buffer.filled()[filled..]);
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.closing.is_none() {
            task::ready!(pin::Pin::new(&mut self.socket).poll_shutdown(context))?;
            if self.connection.is_cut_short() {
                self.closing = Some(Box::pin(tokio::time::sleep(CLOSE_TIME)));
            }
        }
        self.poll_discard(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }
}

impl server::Connected for Stream {
    type ConnectInfo = intake::Connection;

    fn connect_info(&self) -> intake::Connection {
        self.connection.clone()
    }
}
