//! Simulated runner of the platform: plain calls, generations and copies of their KV memory.
//!
//! It uses the platform's header and route names and records each request that it runs, so that a
//! test can compare the responses that callers received with the requests that ran.

use std::collections;
use std::convert;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use axum::body;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use futures::StreamExt as _;
use http::HeaderMap;
use http::StatusCode;

/// How a runner handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs the request and responds with 200.
    #[default]
    Answer,
    /// Runs the request and responds with 500.
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

/// A request that a runner has run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Value of the `attempt-id` header.
    pub attempt: String,
    /// Request body.
    pub body: Bytes,
    /// Value of `last-event-id`: the last event that the caller received before a resumption.
    pub after_event: Option<u64>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request URI.
    pub path: String,
}

/// Group of runners that can copy KV memory to each other; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Rack(sync::Arc<sync::Mutex<collections::HashMap<String, Runner>>>);

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
    announced: sync::OnceLock<net::SocketAddr>,
    /// Number of the last stream to interrupt; later streams continue.
    broken: atomic::AtomicU64,
    /// Number of events produced, over all generations.
    made: atomic::AtomicU64,
    rack: Rack,
    running: atomic::AtomicUsize,
    state: sync::Mutex<State>,
    streams: atomic::AtomicU64,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    /// Handles of the generation copies that this runner holds.
    copies: collections::HashSet<String>,
    /// Number of events in a generation.
    events: u64,
    /// Time between events.
    pace: time::Duration,
    /// Delay before the response to a resumed generation.
    resume_delay: time::Duration,
    runs: Vec<Run>,
}

impl Default for State {
    fn default() -> State {
        State {
            behaviour: Behaviour::Answer,
            copies: collections::HashSet::new(),
            events: 5,
            pace: time::Duration::from_millis(1),
            resume_delay: time::Duration::ZERO,
            runs: Vec::new(),
        }
    }
}

/// Counts a generation as running until it is dropped.
#[derive(Debug)]
struct Running(Runner);

impl Running {
    fn new(runner: &Runner) -> Running {
        runner.inner.running.fetch_add(1, atomic::Ordering::SeqCst);
        Running(runner.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.inner.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl Rack {
    /// Starts a runner, which serves until the runtime shuts down.
    ///
    /// Fails if no port can be bound.
    pub async fn start(&self, name: &str) -> std::io::Result<Runner> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Inner {
            rack: self.clone(),
            ..Inner::default()
        };
        let runner = Runner {
            address,
            inner: sync::Arc::new(inner),
            name: name.to_owned(),
        };
        self.lock().insert(address.to_string(), runner.clone());
        let router = axum::Router::new()
            .route("/api/kv-move", axum::routing::post(copy))
            .fallback(serve)
            .with_state(runner.clone());
        tokio::spawn(async move {
            // Ends with the runtime.
            let _ = axum::serve(listener, router).await;
        });
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
    pub fn announce_behind(&self, relay: net::SocketAddr) {
        // Only the first call sets the announced address.
        let _ = self.inner.announced.set(relay);
        let rack = &self.inner.rack;
        rack.lock().insert(relay.to_string(), self.clone());
    }

    fn announced(&self) -> net::SocketAddr {
        let announced = self.inner.announced.get();
        announced.copied().unwrap_or(self.address)
    }

    /// Sets how the runner handles further requests.
    pub fn behave(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Sets the number of events in a generation and the time between them.
    pub fn set_events(&self, events: u64, pace: time::Duration) {
        let mut state = self.lock();
        state.events = events;
        state.pace = pace;
    }

    /// Sets the delay before the response to a resumed generation.
    pub fn delay_resumes(&self, delay: time::Duration) {
        self.lock().resume_delay = delay;
    }

    /// Returns the number of events produced, over all generations.
    pub fn count_made(&self) -> u64 {
        self.inner.made.load(atomic::Ordering::SeqCst)
    }

    /// Interrupts all running streams.
    pub fn break_streams(&self) {
        let begun = self.inner.streams.load(atomic::Ordering::SeqCst);
        self.inner.broken.store(begun, atomic::Ordering::SeqCst);
    }

    /// Returns the requests that the runner has run, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of generations that are streaming.
    pub fn count_running(&self) -> usize {
        self.inner.running.load(atomic::Ordering::SeqCst)
    }

    fn take_copy(&self, handle: &str) -> bool {
        self.lock().copies.remove(handle)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        let locked = self.inner.state.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn read_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

async fn serve(
    extract::State(runner): extract::State<Runner>,
    request: extract::Request,
) -> response::Response {
    let (parts, body) = request.into_parts();
    let headers = parts.headers;
    let body = body::to_bytes(body, usize::MAX).await.unwrap_or_default();
    let attempt = read_text(&headers, "attempt-id").unwrap_or_default();
    if read_text(&headers, "target-instance").is_some_and(|target| target != runner.name) {
        return refuse(StatusCode::MISDIRECTED_REQUEST, &attempt);
    }
    let behaviour = runner.lock().behaviour;
    if behaviour == Behaviour::Shed {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, &attempt);
    }
    let resumed = read_text(&headers, "kv-from");
    let is_resumed = resumed.is_some();
    if resumed.is_some_and(|handle| !runner.take_copy(&handle)) {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, &attempt);
    }
    let after_event = read_text(&headers, "last-event-id").and_then(|id| id.parse().ok());
    runner.lock().runs.push(Run {
        after_event,
        attempt: attempt.clone(),
        body: body.clone(),
        headers: headers.clone(),
        path: parts.uri.to_string(),
    });
    if let Some(target) = read_text(&headers, "kv-backup") {
        if let Some(target) = runner.inner.rack.find(&target) {
            let handle = format!("{}/{attempt}", target.announced());
            target.lock().copies.insert(handle);
        }
    }
    let resume_delay = runner.lock().resume_delay;
    if is_resumed {
        tokio::time::sleep(resume_delay).await;
    }
    match behaviour {
        Behaviour::Fail => answer(StatusCode::INTERNAL_SERVER_ERROR, &attempt, body),
        Behaviour::OtherAttempt => answer(StatusCode::OK, "other", body),
        Behaviour::Reset => {
            let broken = futures::stream::once(async { Err::<Bytes, _>(broken()) });
            (StatusCode::OK, body::Body::from_stream(broken)).into_response()
        }
        Behaviour::Unsigned => (StatusCode::OK, body).into_response(),
        Behaviour::Answer | Behaviour::Shed if headers.contains_key("token-usage") => {
            stream(&runner, &attempt, after_event.unwrap_or(0))
        }
        Behaviour::Answer | Behaviour::Shed => answer(StatusCode::OK, &attempt, body),
    }
}

fn refuse(status: StatusCode, attempt: &str) -> response::Response {
    let headers = [("not-executed", "1"), ("attempt-id", attempt)];
    (status, headers).into_response()
}

fn answer(status: StatusCode, attempt: &str, body: Bytes) -> response::Response {
    let headers = [("server-signature", "proof"), ("attempt-id", attempt)];
    (status, headers, body).into_response()
}

fn broken() -> std::io::Error {
    std::io::Error::other("stream interrupted")
}

/// Streams the events of a generation that follow event `after`.
fn stream(runner: &Runner, attempt: &str, after: u64) -> response::Response {
    // Moved into the closure below, so that the generation counts until the stream is dropped.
    let running = Running::new(runner);
    let number = runner.inner.streams.fetch_add(1, atomic::Ordering::SeqCst) + 1;
    let (events, pace) = {
        let state = runner.lock();
        (state.events, state.pace)
    };
    let pieces = futures::stream::iter(after + 1..=events).then(move |id| {
        let runner = running.0.clone();
        async move {
            tokio::time::sleep(pace).await;
            runner.inner.made.fetch_add(1, atomic::Ordering::SeqCst);
            match runner.inner.broken.load(atomic::Ordering::SeqCst) >= number {
                true => Err(broken()),
                false => Ok::<_, std::io::Error>(Bytes::from(format!("id: {id}\ndata: t{id}\n\n"))),
            }
        }
    });
    let headers = [
        ("server-signature", "proof"),
        ("attempt-id", attempt),
        ("content-type", "text/event-stream"),
    ];
    (headers, body::Body::from_stream(pieces)).into_response()
}

async fn copy(
    extract::State(runner): extract::State<Runner>,
    extract::Json(order): extract::Json<serde_json::Value>,
) -> Result<response::Response, convert::Infallible> {
    let target = order["target"].as_str().unwrap_or_default();
    let attempt = order["id"].as_str().unwrap_or_default();
    let Some(target) = runner.inner.rack.find(target) else {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    };
    let handle = format!("h-{attempt}");
    target
        .lock()
        .copies
        .insert(format!("{}/{handle}", runner.announced()));
    let copied = serde_json::json!({"kvHandle": handle, "made": 0});
    Ok(axum::Json(copied).into_response())
}
