//! Simulated runner of the platform: plain calls, generations and copies of their KV memory.
//!
//! It uses the platform's header and route names and records each request that it runs, so that a
//! test can compare the responses that callers received with the requests that ran.

mod answer;
mod generation;
mod process;

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use axum::middleware;
use bytes::Bytes;
use http::HeaderMap;
use tokio_util::sync::CancellationToken;

/// How a runner handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs the request and responds with 200.
    #[default]
    Answer,
    /// Runs the request and sends a response body without end.
    Endless,
    /// Runs the request and responds with 500; keeps the copy that it should resume from.
    Fail,
    /// Runs the request and breaks off the connection within the response body.
    Reset,
    /// Runs the request and responds with the id of another attempt.
    OtherAttempt,
    /// Rejects the request with 503, marked as not executed.
    Shed,
    /// Runs the request and responds without `server-signature` and `attempt-id`.
    Unsigned,
}

/// Requests that crash the process that begins to write an answer to them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trigger {
    /// Those with this body.
    Body(&'static str),
    /// Those whose prompt has the part with this ID.
    Part(&'static str),
}

/// A request that a runner has run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Value of the `attempt-id` header.
    pub attempt: String,
    /// Request body.
    pub body: Bytes,
    /// Value of `last-event-id`: the last event that the caller received before a resumption.
    pub last_event_id: Option<u64>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request URI.
    pub path: String,
}

/// A request that arrived at a runner, also if it was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// When it arrived.
    pub at: time::Instant,
    /// Value of the `attempt-id` header.
    pub attempt: String,
    /// Whether the response says that the runner is leaving.
    pub leaving: bool,
    /// Limit that the response names.
    pub limit: Option<&'static str>,
    /// `Retry-After` value of the response, if the request was rejected with one.
    pub retry_after: Option<&'static str>,
}

/// Group of runners that can copy KV memory to each other; clones share it.
#[derive(Clone, Debug, Default)]
pub struct RunnerGroup(sync::Arc<sync::Mutex<collections::HashMap<String, Runner>>>);

/// A simulated runner; clones share their state.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Address that the runner listens on.
    pub address: net::SocketAddr,
    /// Name of the instance, compared with `target-instance`.
    pub name: String,
    inner: sync::Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Address under which other runners reach it, if not the one that it listens on.
    announced_address: sync::OnceLock<net::SocketAddr>,
    /// Number of the last stream to interrupt; later streams continue.
    interrupted_streams: atomic::AtomicU64,
    /// Number of events produced, over all generations.
    produced_events: atomic::AtomicU64,
    group: RunnerGroup,
    running: atomic::AtomicUsize,
    state: sync::Mutex<State>,
    streams: atomic::AtomicU64,
}

#[derive(Debug)]
struct State {
    /// Delay before the response to a request that is not a generation.
    answer_delay: time::Duration,
    arrivals: Vec<Arrival>,
    behaviour: Behaviour,
    /// Length of the body of a response to a plain call; `None` returns the body of the request.
    body_bytes: Option<usize>,
    /// Handles of the generation copies that this runner holds.
    copies: collections::HashSet<String>,
    /// Cancelled when the process crashes.
    crash: CancellationToken,
    /// Requests that crash the process.
    crash_trigger: Option<Trigger>,
    /// Number of crashes.
    crashes: usize,
    /// Time for which nothing listens after a crash.
    down_time: time::Duration,
    /// Number of events in a generation.
    events: u64,
    /// Handles of copies that were freed by an order.
    freed: Vec<String>,
    /// Running generations by their attempt: number of the stream, and the token that stops it.
    generations: collections::HashMap<String, (u64, CancellationToken)>,
    /// When orders arrived.
    orders: Vec<time::Instant>,
    /// Whether all responses say that the runner is leaving.
    is_leaving: bool,
    /// Limit that all responses name.
    limit: Option<&'static str>,
    /// `Retry-After` value of the responses that reject a request.
    retry_after: Option<&'static str>,
    /// Time between events.
    event_interval: time::Duration,
    /// Delay before the response to a resumed generation.
    resume_delay: time::Duration,
    runs: Vec<Run>,
    /// Whether generations run on after their connection has closed.
    works_on: bool,
}

impl Default for State {
    fn default() -> State {
        State {
            answer_delay: time::Duration::ZERO,
            arrivals: Vec::new(),
            behaviour: Behaviour::Answer,
            body_bytes: None,
            copies: collections::HashSet::new(),
            crash: CancellationToken::new(),
            crash_trigger: None,
            crashes: 0,
            down_time: time::Duration::from_millis(100),
            events: 5,
            freed: Vec::new(),
            generations: collections::HashMap::new(),
            orders: Vec::new(),
            is_leaving: false,
            limit: None,
            retry_after: None,
            event_interval: time::Duration::from_millis(1),
            resume_delay: time::Duration::ZERO,
            runs: Vec::new(),
            works_on: false,
        }
    }
}

impl State {
    /// Records that a request arrived; returns how it is handled.
    fn record_arrival(&mut self, attempt: &str) -> Behaviour {
        let is_rejected = self.behaviour == Behaviour::Shed;
        self.arrivals.push(Arrival {
            at: time::Instant::now(),
            attempt: attempt.to_owned(),
            leaving: self.is_leaving,
            limit: self.limit,
            retry_after: self.retry_after.filter(|_value| is_rejected),
        });
        self.behaviour
    }
}

impl RunnerGroup {
    /// Starts a runner, which serves until the runtime shuts down.
    ///
    /// Fails if no port can be bound.
    pub async fn start(&self, name: &str) -> std::io::Result<Runner> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Inner {
            group: self.clone(),
            ..Inner::default()
        };
        let runner = Runner {
            address,
            inner: sync::Arc::new(inner),
            name: name.to_owned(),
        };
        self.lock().insert(address.to_string(), runner.clone());
        let router = axum::Router::new()
            .route("/api/kv-move", axum::routing::post(answer::handle_copy))
            .route(
                "/api/kv-handle/{handle}",
                axum::routing::delete(answer::handle_free),
            )
            .fallback(answer::handle_request)
            .layer(middleware::from_fn_with_state(
                runner.clone(),
                answer::add_notices,
            ))
            .with_state(runner.clone());
        tokio::spawn(process::serve(runner.clone(), listener, router));
        Ok(runner)
    }

    fn find(&self, address: &str) -> Option<Runner> {
        self.lock().get(address).cloned()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<String, Runner>> {
        let locked = self.0.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Runner {
    /// Makes the runner reachable by other runners at the address of a relay.
    pub fn set_announced_address(&self, relay: net::SocketAddr) {
        // Only the first call sets the announced address.
        let _ = self.inner.announced_address.set(relay);
        let group = &self.inner.group;
        group.lock().insert(relay.to_string(), self.clone());
    }

    fn announced_address(&self) -> net::SocketAddr {
        let announced = self.inner.announced_address.get();
        announced.copied().unwrap_or(self.address)
    }

    /// Sets how the runner handles further requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Makes all further responses say that the runner is leaving.
    pub fn announce_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// Makes all further responses name this limit, or none.
    pub fn set_limit(&self, value: Option<&'static str>) {
        self.lock().limit = value;
    }

    /// Rejects all further requests with this `Retry-After` value.
    pub fn reject_with_retry_after(&self, value: &'static str) {
        let mut state = self.lock();
        state.behaviour = Behaviour::Shed;
        state.retry_after = Some(value);
    }

    /// Sets the length of the body of the responses to plain calls.
    pub fn set_body_bytes(&self, bytes: usize) {
        self.lock().body_bytes = Some(bytes);
    }

    /// Sets the delay before the response to a request that is not a generation.
    pub fn set_answer_delay(&self, delay: time::Duration) {
        self.lock().answer_delay = delay;
    }

    /// Sets the number of events in a generation and the time between them.
    pub fn set_events(&self, events: u64, event_interval: time::Duration) {
        let mut state = self.lock();
        state.events = events;
        state.event_interval = event_interval;
    }

    /// Sets the delay before the response to a resumed generation.
    pub fn set_resume_delay(&self, delay: time::Duration) {
        self.lock().resume_delay = delay;
    }

    /// Makes further generations run on after their connection has closed, until they are done or ordered
    /// to stop.
    pub fn work_on(&self) {
        self.lock().works_on = true;
    }

    /// Returns the handles of copies that were freed by an order.
    pub fn freed(&self) -> Vec<String> {
        self.lock().freed.clone()
    }

    /// Returns the number of copies that the runner holds.
    pub fn count_copies(&self) -> usize {
        self.lock().copies.len()
    }

    /// Returns the number of events produced, over all generations.
    pub fn count_events(&self) -> u64 {
        self.inner.produced_events.load(atomic::Ordering::SeqCst)
    }

    /// Makes these requests crash the process, which is back after `down_time`.
    pub fn crash_on(&self, trigger: Option<Trigger>, down_time: time::Duration) {
        let mut state = self.lock();
        state.crash_trigger = trigger;
        state.down_time = down_time;
    }

    /// Closes all connections; nothing listens for the runner's down time.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.crashes += 1;
        state.crash.cancel();
    }

    /// Returns the number of crashes.
    pub fn count_crashes(&self) -> usize {
        self.lock().crashes
    }

    fn crashes_on(&self, headers: &HeaderMap, body: &Bytes) -> bool {
        match self.lock().crash_trigger {
            None => false,
            Some(Trigger::Body(deadly)) => body == deadly,
            Some(Trigger::Part(part)) => {
                let parts = answer::header_text(headers, "prefix-hash").unwrap_or_default();
                let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
                ids.any(|id| id == part)
            }
        }
    }

    /// Interrupts all running streams.
    pub fn interrupt_streams(&self) {
        let begun = self.inner.streams.load(atomic::Ordering::SeqCst);
        self.inner
            .interrupted_streams
            .store(begun, atomic::Ordering::SeqCst);
    }

    /// Returns the requests that the runner has run, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the requests that arrived, in order, also those that were rejected.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Returns when orders to copy memory or to free it arrived.
    pub fn orders(&self) -> Vec<time::Instant> {
        self.lock().orders.clone()
    }

    /// Returns whether a generation with this attempt ID is running.
    pub fn is_running(&self, attempt: &str) -> bool {
        self.lock().generations.contains_key(attempt)
    }

    /// Returns the number of generations that are streaming.
    pub fn count_running(&self) -> usize {
        self.inner.running.load(atomic::Ordering::SeqCst)
    }

    fn remove_copy(&self, handle: &str) -> bool {
        self.lock().copies.remove(handle)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.inner.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
