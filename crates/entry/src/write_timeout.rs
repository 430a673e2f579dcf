//! Write timeout on a caller's connection, for callers that stop reading.

use core::future::Future as _;
use core::pin;
use core::task;
use core::time;
use std::io;

use peargap_adapters::intake::listener;
use tokio::io as async_io;
use tokio::time as clock;

/// A connection whose writes fail with `TimedOut` when the peer does not read.
#[derive(Debug)]
pub(crate) struct WriteTimeoutStream {
    limit: time::Duration,
    stream: listener::Stream,
    /// Runs while a write is pending.
    timer: Option<pin::Pin<Box<clock::Sleep>>>,
}

impl WriteTimeoutStream {
    /// Wraps a connection; `limit` bounds how long a write may be pending.
    pub(crate) fn new(stream: listener::Stream, limit: time::Duration) -> WriteTimeoutStream {
        WriteTimeoutStream {
            limit,
            stream,
            timer: None,
        }
    }

    fn apply_timeout<T>(
        &mut self,
        context: &mut task::Context<'_>,
        polled: task::Poll<io::Result<T>>,
    ) -> task::Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let limit = self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(clock::sleep(limit)));
        match timer.as_mut().poll(context) {
            task::Poll::Pending => task::Poll::Pending,
            task::Poll::Ready(()) => task::Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }
}

impl async_io::AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut async_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl async_io::AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.apply_timeout(context, polled)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.apply_timeout(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let polled = pin::Pin::new(&mut self.stream).poll_flush(context);
        self.apply_timeout(context, polled)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
