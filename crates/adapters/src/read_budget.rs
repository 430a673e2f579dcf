//! Connections on which a peer may send only so many bytes before a response is complete to its head.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::body_budget;

/// Bytes that may still be read from a connection; clones share them.
#[derive(Clone, Debug)]
pub struct Budget(sync::Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// Counts what is read, for all connections of the process together.
    hold: sync::Mutex<Option<body_budget::Hold>>,
    left: atomic::AtomicUsize,
}

impl Budget {
    /// Returns a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Budget {
        Budget(sync::Arc::new(Inner {
            hold: sync::Mutex::default(),
            left: atomic::AtomicUsize::new(bytes),
        }))
    }

    /// Allows this many bytes from now on, which `hold` counts, if there is one.
    pub fn set(&self, bytes: usize, hold: Option<body_budget::Hold>) {
        *self.lock() = hold;
        self.0.left.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Allows any number of bytes from now on, which are not counted.
    pub fn lift(&self) {
        self.set(usize::MAX, None);
    }

    /// Returns whether the peer has sent more than it may.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.0.left.load(atomic::Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let left = self.0.left.load(atomic::Ordering::Relaxed);
        if left == usize::MAX {
            return;
        }
        let left = left.saturating_sub(bytes);
        self.0.left.store(left, atomic::Ordering::Relaxed);
        if let Some(hold) = &*self.lock() {
            hold.arrive(body_budget::BUFFER_FACTOR * bytes);
        }
    }

    /// Returns the hold, if what was ended for it and others is still in memory.
    fn get_freeing(&self) -> Option<body_budget::Hold> {
        let hold = self.lock().clone();
        hold.filter(body_budget::Hold::is_freeing)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<body_budget::Hold>> {
        let locked = self.0.hold.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A wait until more may be read.
type Wait = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A connection whose reads fail once its budget is spent, and wait while what was ended for them is
/// still in memory.
pub struct Stream<S> {
    budget: Budget,
    inner: S,
    wait: Option<Wait>,
}

impl<S: core::fmt::Debug> core::fmt::Debug for Stream<S> {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        let mut fields = formatter.debug_struct("Stream");
        fields.field("budget", &self.budget);
        fields.field("inner", &self.inner);
        fields.finish_non_exhaustive()
    }
}

impl<S> Stream<S> {
    /// Returns a connection with a budget.
    pub fn new(inner: S, budget: Budget) -> Stream<S> {
        Stream {
            budget,
            inner,
            wait: None,
        }
    }

    fn poll_wait(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        if self.wait.is_none() {
            let hold = self.budget.get_freeing();
            self.wait =
                hold.map(|hold| -> Wait { Box::pin(async move { hold.wait_freed().await }) });
        }
        if let Some(wait) = &mut self.wait {
            task::ready!(wait.as_mut().poll(context));
            self.wait = None;
        }
        task::Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.budget.is_spent() {
            let error = io::Error::other("peer sent more than a head may have");
            return task::Poll::Ready(Err(error));
        }
        task::ready!(self.poll_wait(context));
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.budget.spend(buffer.filled().len() - filled);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }
}
