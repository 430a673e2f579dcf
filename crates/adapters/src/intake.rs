//! One bound of what callers make a process hold: the connections of all its ports, and the memory
//! for heads and bodies that arrive and for answers that are not read.
//!
//! A caller that keeps within the limits meets the bound only beside others that do not. Who is ended
//! then is decided by [`peargap_core::body_budget`] and [`peargap_core::connections`].

pub mod answer;
pub mod body;
pub mod http;
pub mod limits;
pub mod listener;
pub mod messages;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use peargap_core::connections;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::body_budget;
use crate::clock;
use crate::logs;

/// What the budget counts for a connection without a request: its task and its read buffer.
const CONNECTION_BYTES: usize = 8 << 10;
/// What the budget counts for a request beside its head and body: its task and its stream.
const REQUEST_BYTES: usize = 2 << 10;
/// Longest wait for a connection to be closed that is being ended.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_millis(100);

const CONNECTION_ENDED: logs::Event = logs::Event::warn(
    1009,
    "connection without a request ended, too many are open",
);
const CONNECTION_REFUSED: logs::Event =
    logs::Event::warn(1010, "connection refused, too many are open");
/// Logged for each request that is ended as the memory for callers is used up.
pub const REQUEST_ENDED: logs::Event =
    logs::Event::warn(1011, "request ended, the memory for callers is used up");

/// What callers make a process hold; clones share it.
#[derive(Clone, Debug)]
pub struct Intake(sync::Arc<Inner>);

#[derive(Debug)]
struct Inner {
    budget: body_budget::Budget,
    clock: clock::Clock,
    /// Notified when a connection is closed.
    closed: Notify,
    max_connections: usize,
    /// Connections whose sockets are open, with those that are being ended.
    open: atomic::AtomicUsize,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: connections::Table,
    tokens: SecondaryMap<connections::Key, CancellationToken>,
}

impl Intake {
    /// Returns an intake with these limits. `ended` is logged for each holder of memory that is
    /// ended.
    #[must_use]
    pub fn new(limits: limits::Limits, ended: logs::Event) -> Intake {
        let max_connections = limits.max_connections(CONNECTION_BYTES);
        Intake(sync::Arc::new(Inner {
            budget: body_budget::Budget::new(limits.memory_bytes(), ended),
            clock: clock::Clock::start(),
            closed: Notify::new(),
            max_connections,
            open: atomic::AtomicUsize::new(0),
            state: sync::Mutex::new(State {
                table: connections::Table::new(max_connections),
                tokens: SecondaryMap::new(),
            }),
        }))
    }

    /// Returns the memory for callers.
    #[must_use]
    pub fn budget(&self) -> &body_budget::Budget {
        &self.0.budget
    }

    /// Returns a new connection, for which another one may be ended; `None` if it is refused.
    fn connect(&self, peer: net::SocketAddr) -> Option<Connection> {
        let ended = CancellationToken::new();
        let key = {
            let mut state = self.lock();
            let key = match state.table.open(self.0.clock.now()) {
                connections::Opened::Accepted(key) => key,
                connections::Opened::AcceptedFor { ended, key } => {
                    state.end_for_another(ended);
                    key
                }
                connections::Opened::Refused => {
                    let open = state.table.count();
                    logs::emit(CONNECTION_REFUSED, format_args!("peer={peer} open={open}"));
                    return None;
                }
            };
            state.tokens.insert(key, ended.clone());
            key
        };
        self.0.open.fetch_add(1, atomic::Ordering::AcqRel);
        let peer = Bytes::from(peer.to_string());
        Some(Connection(sync::Arc::new(Accepted {
            hold: self.0.budget.connect(peer, CONNECTION_BYTES, ended.clone()),
            ended,
            intake: self.clone(),
            is_cut_short: atomic::AtomicBool::new(false),
            is_multiplexed: atomic::AtomicBool::new(false),
            key,
            opened: atomic::AtomicUsize::new(0),
            requests: atomic::AtomicUsize::new(0),
        })))
    }

    /// Waits until connections that are being ended for others have been closed, so that the
    /// descriptors of both are not needed at once.
    async fn wait_for_closes(&self) {
        loop {
            let closed = self.0.closed.notified();
            if self.0.open.load(atomic::Ordering::Acquire) <= self.0.max_connections {
                return;
            }
            if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
                return;
            }
        }
    }

    /// Ends all connections that carry no whole request, as the process stops.
    pub fn end_idle(&self) {
        let mut state = self.lock();
        while let Some(key) = state.table.end_one() {
            state.end(key);
        }
    }

    /// Ends the connection that others need least, so that its descriptor can be used.
    fn end_one(&self) {
        let mut state = self.lock();
        if let Some(key) = state.table.end_one() {
            state.end_for_another(key);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.0.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn end_for_another(&mut self, key: connections::Key) {
        let open = self.table.count();
        logs::emit(CONNECTION_ENDED, format_args!("open={open}"));
        self.end(key);
    }

    fn end(&mut self, key: connections::Key) {
        if let Some(token) = self.tokens.remove(key) {
            token.cancel();
        }
    }
}

/// An accepted connection; clones share it. It counts until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Connection(sync::Arc<Accepted>);

#[derive(Debug)]
struct Accepted {
    /// Cancelled when it has to end.
    ended: CancellationToken,
    hold: body_budget::Hold,
    intake: Intake,
    /// Whether the last request was answered before it had arrived whole.
    is_cut_short: atomic::AtomicBool,
    /// Whether it carries several requests at once, whose heads count with them.
    is_multiplexed: atomic::AtomicBool,
    key: connections::Key,
    /// Requests that it has carried so far.
    opened: atomic::AtomicUsize,
    /// Requests that it carries, whose heads are complete.
    requests: atomic::AtomicUsize,
}

impl Drop for Accepted {
    fn drop(&mut self) {
        let mut state = self.intake.lock();
        state.table.close(self.key);
        state.tokens.remove(self.key);
        drop(state);
        self.intake.0.open.fetch_sub(1, atomic::Ordering::AcqRel);
        self.intake.0.closed.notify_waiters();
    }
}

impl Connection {
    /// Returns a request whose head of `head_bytes` is complete; `id` is its name in log lines.
    #[must_use]
    pub fn open_request(&self, id: Bytes, head_bytes: usize) -> Request {
        let connection = &self.0;
        connection.requests.fetch_add(1, atomic::Ordering::AcqRel);
        connection.opened.fetch_add(1, atomic::Ordering::AcqRel);
        if !connection.is_multiplexed.load(atomic::Ordering::Relaxed) {
            // The request counts the head from now on.
            connection.hold.reset(CONNECTION_BYTES);
        }
        let hold = connection
            .intake
            .0
            .budget
            .receive(body_budget::Side::Request, id);
        let bytes = head_bytes + REQUEST_BYTES;
        hold.arrive(bytes);
        Request(sync::Arc::new(Open {
            bytes,
            connection: self.clone(),
            hold,
            is_whole: atomic::AtomicBool::new(false),
        }))
    }

    /// Counts bytes of a head, which arrive between requests.
    fn record_received(&self, bytes: usize) {
        let connection = &self.0;
        if self.is_between_requests() && !connection.is_multiplexed.load(atomic::Ordering::Relaxed)
        {
            connection.hold.arrive(bytes);
        }
    }

    /// Returns the number of requests that it has carried so far.
    fn count_opened(&self) -> usize {
        self.0.opened.load(atomic::Ordering::Acquire)
    }

    /// Returns whether it carries no request whose head is complete.
    fn is_between_requests(&self) -> bool {
        self.0.requests.load(atomic::Ordering::Acquire) == 0
    }

    fn is_cut_short(&self) -> bool {
        self.0.is_cut_short.load(atomic::Ordering::Acquire)
    }

    fn set_multiplexed(&self) {
        self.0.is_multiplexed.store(true, atomic::Ordering::Relaxed);
        self.0.hold.reset(CONNECTION_BYTES);
    }

    fn token(&self) -> &CancellationToken {
        &self.0.ended
    }
}

/// A request that is received or answered; clones share it. It counts until the last clone is
/// dropped.
#[derive(Clone, Debug)]
pub struct Request(sync::Arc<Open>);

#[derive(Debug)]
struct Open {
    /// Bytes that count for it beside its body.
    bytes: usize,
    connection: Connection,
    hold: body_budget::Hold,
    is_whole: atomic::AtomicBool,
}

impl Request {
    /// Returns what it holds.
    #[must_use]
    pub fn hold(&self) -> &body_budget::Hold {
        &self.0.hold
    }

    /// Records that it has arrived whole: its connection is kept until it has been answered.
    pub fn complete(&self) {
        self.0.hold.settle();
        if self.0.is_whole.swap(true, atomic::Ordering::AcqRel) {
            return;
        }
        let accepted = &self.0.connection.0;
        accepted
            .is_cut_short
            .store(false, atomic::Ordering::Release);
        accepted.intake.lock().table.begin_request(accepted.key);
    }

    /// Returns a body, which counts the request until it is dropped.
    #[must_use]
    pub fn attach<B>(self, body: B) -> answer::Answer<B> {
        answer::Answer::new(body, self)
    }

    /// Forgets what it holds beside its head.
    fn release_body(&self) {
        self.0.hold.reset(self.0.bytes);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let accepted = &self.connection.0;
        accepted.requests.fetch_sub(1, atomic::Ordering::AcqRel);
        let is_whole = self.is_whole.load(atomic::Ordering::Acquire);
        accepted
            .is_cut_short
            .store(!is_whole, atomic::Ordering::Release);
        if is_whole {
            let now = accepted.intake.0.clock.now();
            accepted.intake.lock().table.end_request(accepted.key, now);
        }
    }
}
