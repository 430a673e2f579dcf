//! Connections to upstreams, which tell an upstream that reads slowly from one that is gone.

use std::io;
use std::pin;
use std::task;
use std::time;

use peargap_adapters::logs;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::events;
use crate::pool;

/// Time that sent data may stay unacknowledged before the connection is closed, for a request that the
/// upstream's system may not take whole before the upstream reads it. The deadline of the request ends
/// it earlier.
const UNREAD_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Bytes that the system of any upstream takes for it.
const TAKEN_BYTES: usize = 64 << 10;

/// Bytes that the system takes for a peer before it has sent those that it has. It shows soon that
/// a peer reads on, and little is held where no budget counts it.
const UNSENT_BYTES: u32 = 4 << 10;

/// Bounds what the system buffers for a peer, or for all peers that a listener accepts.
pub(crate) fn bound_unsent(socket: &socket2::SockRef<'_>) {
    if let Err(error) = socket.set_tcp_notsent_lowat(UNSENT_BYTES) {
        logs::emit(events::UNSENT_UNBOUNDED, format_args!("why={error}"));
    }
}

/// A connection whose timeout for unacknowledged data is longer while a long request is sent.
#[derive(Debug)]
pub(crate) struct Socket {
    is_patient: bool,
    stream: TcpStream,
    /// Bytes written since the upstream last sent something.
    written: usize,
}

impl Socket {
    /// Returns a connection with the short timeout, which has been set on `stream`.
    pub(crate) fn new(stream: TcpStream) -> Socket {
        Socket {
            is_patient: false,
            stream,
            written: 0,
        }
    }

    fn record_write(&mut self, bytes: usize) -> io::Result<()> {
        self.written = self.written.saturating_add(bytes);
        match self.written > TAKEN_BYTES {
            true => self.set_patient(true),
            false => Ok(()),
        }
    }

    fn record_read(&mut self) -> io::Result<()> {
        self.written = 0;
        self.set_patient(false)
    }

    fn set_patient(&mut self, is_patient: bool) -> io::Result<()> {
        if self.is_patient == is_patient {
            return Ok(());
        }
        self.is_patient = is_patient;
        let timeout = match is_patient {
            true => UNREAD_TIMEOUT,
            false => pool::UNACKNOWLEDGED_TIMEOUT,
        };
        let socket = socket2::SockRef::from(&self.stream);
        if is_patient {
            bound_unsent(&socket);
        }
        socket.set_tcp_user_timeout(Some(timeout))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let result = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        match result {
            task::Poll::Ready(Ok(())) => task::Poll::Ready(self.record_read()),
            pending_or_error => pending_or_error,
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = task::ready!(pin::Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.record_write(written)?;
        task::Poll::Ready(Ok(written))
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let written = task::ready!(written)?;
        self.record_write(written)?;
        task::Poll::Ready(Ok(written))
    }
}
