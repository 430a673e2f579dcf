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
use axum::middleware;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use futures::StreamExt as _;
use http::HeaderMap;
use http::StatusCode;
use hyper::server::conn::http1;
use hyper_util::rt;
use tokio_util::sync::CancellationToken;

/// Bytes that a runner sends at once of a body without end.
const ENDLESS_PIECE_BYTES: usize = 16 << 10;
/// Pieces after which such a body ends all the same, so that a relay that drops them is done some time.
const ENDLESS_PIECES: usize = 4096;

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
    /// ID of the part of prompts on which the process crashes as it begins to write.
    crash_part: Option<&'static str>,
    /// Number of crashes.
    crashes: usize,
    /// Time for which nothing listens after a crash.
    down_time: time::Duration,
    /// Number of events in a generation.
    events: u64,
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
            crash_part: None,
            crashes: 0,
            down_time: time::Duration::from_millis(100),
            events: 5,
            is_leaving: false,
            limit: None,
            retry_after: None,
            event_interval: time::Duration::from_millis(1),
            resume_delay: time::Duration::ZERO,
            runs: Vec::new(),
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

/// Counts a generation as running until it is dropped.
#[derive(Debug)]
struct RunningGuard(Runner);

impl RunningGuard {
    fn new(runner: &Runner) -> RunningGuard {
        runner.inner.running.fetch_add(1, atomic::Ordering::SeqCst);
        RunningGuard(runner.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.inner.running.fetch_sub(1, atomic::Ordering::SeqCst);
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
            .route("/api/kv-move", axum::routing::post(handle_copy))
            .fallback(handle_request)
            .layer(middleware::from_fn_with_state(runner.clone(), add_notices))
            .with_state(runner.clone());
        tokio::spawn(serve(runner.clone(), listener, router));
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

/// Serves until the runtime shuts down; after each crash, nothing listens for the runner's down time.
async fn serve(runner: Runner, listener: tokio::net::TcpListener, router: axum::Router) {
    let mut listener = Some(listener);
    loop {
        let crash = runner.lock().crash.clone();
        if let Some(listener) = listener.take() {
            accept_until_crash(&listener, &router, &crash).await;
        }
        let down_time = runner.lock().down_time;
        tokio::time::sleep(down_time).await;
        match tokio::net::TcpListener::bind(runner.address).await {
            Ok(bound) => {
                listener = Some(bound);
                runner.lock().crash = CancellationToken::new();
            }
            Err(error) => eprintln!("runner {} cannot listen again: {error}", runner.name),
        }
    }
}

/// Accepts connections until the runner crashes, which closes all of them.
async fn accept_until_crash(
    listener: &tokio::net::TcpListener,
    router: &axum::Router,
    crash: &CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = crash.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _peer)) = accepted else {
            continue;
        };
        let service = hyper_util::service::TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
        let crash = crash.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = crash.cancelled() => {}
                // Its error shows at the other end.
                _result = connection => {}
            }
        });
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

    /// Returns the number of events produced, over all generations.
    pub fn count_events(&self) -> u64 {
        self.inner.produced_events.load(atomic::Ordering::SeqCst)
    }

    /// Makes the process crash when it begins to write on a prompt with this part, and be back after
    /// `down_time`.
    pub fn crash_on_part(&self, id: Option<&'static str>, down_time: time::Duration) {
        let mut state = self.lock();
        state.crash_part = id;
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

    fn crashes_on(&self, headers: &HeaderMap) -> bool {
        let Some(part) = self.lock().crash_part else {
            return false;
        };
        let parts = header_text(headers, "prefix-hash").unwrap_or_default();
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        ids.any(|id| id == part)
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

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Adds what the runner says of itself to its responses.
async fn add_notices(
    extract::State(runner): extract::State<Runner>,
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let mut response = next.run(request).await;
    let (is_leaving, limit, retry_after) = {
        let state = runner.lock();
        (state.is_leaving, state.limit, state.retry_after)
    };
    if is_leaving {
        let value = http::HeaderValue::from_static("1");
        response.headers_mut().insert("server-leaving", value);
    }
    if let Some(limit) = limit {
        let value = http::HeaderValue::from_static(limit);
        response.headers_mut().insert("server-limit", value);
    }
    let rejects = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if let Some(retry_after) = retry_after.filter(|_value| rejects) {
        let value = http::HeaderValue::from_static(retry_after);
        response.headers_mut().insert("retry-after", value);
    }
    response
}

async fn handle_request(
    extract::State(runner): extract::State<Runner>,
    request: extract::Request,
) -> response::Response {
    let (parts, body) = request.into_parts();
    let headers = parts.headers;
    let body = body::to_bytes(body, usize::MAX).await.unwrap_or_default();
    let attempt = header_text(&headers, "attempt-id").unwrap_or_default();
    if header_text(&headers, "target-instance").is_some_and(|target| target != runner.name) {
        return reject(StatusCode::MISDIRECTED_REQUEST, &attempt);
    }
    let behaviour = runner.lock().record_arrival(&attempt);
    if behaviour == Behaviour::Shed {
        return reject(StatusCode::SERVICE_UNAVAILABLE, &attempt);
    }
    let source_handle = header_text(&headers, "kv-from");
    let is_resumed = source_handle.is_some();
    // A runner that fails requests does so before it uses the copy, which it keeps.
    if let Some(handle) = source_handle.filter(|_handle| behaviour != Behaviour::Fail) {
        if !runner.remove_copy(&handle) {
            return reject(StatusCode::SERVICE_UNAVAILABLE, &attempt);
        }
    }
    let last_event_id = header_text(&headers, "last-event-id").and_then(|id| id.parse().ok());
    runner.lock().runs.push(Run {
        last_event_id,
        attempt: attempt.clone(),
        body: body.clone(),
        headers: headers.clone(),
        path: parts.uri.to_string(),
    });
    if let Some(target) = header_text(&headers, "kv-backup") {
        if let Some(target) = runner.inner.group.find(&target) {
            let handle = format!("{}/{attempt}", target.announced_address());
            target.lock().copies.insert(handle);
        }
    }
    let resume_delay = runner.lock().resume_delay;
    if is_resumed {
        tokio::time::sleep(resume_delay).await;
    }
    match behaviour {
        Behaviour::Endless => {
            let piece = Bytes::from_static(&[b'x'; ENDLESS_PIECE_BYTES]);
            let pieces =
                futures::stream::repeat_with(move || Ok::<_, std::io::Error>(piece.clone()));
            let pieces = pieces.take(ENDLESS_PIECES);
            let headers = [("server-signature", "proof"), ("attempt-id", &attempt)];
            (StatusCode::OK, headers, body::Body::from_stream(pieces)).into_response()
        }
        Behaviour::Fail => respond(StatusCode::INTERNAL_SERVER_ERROR, &attempt, body),
        Behaviour::OtherAttempt => respond(StatusCode::OK, "other", body),
        Behaviour::Reset => {
            let interrupted = futures::stream::once(async { Err::<Bytes, _>(interrupted_error()) });
            (StatusCode::OK, body::Body::from_stream(interrupted)).into_response()
        }
        Behaviour::Unsigned => (StatusCode::OK, body).into_response(),
        Behaviour::Answer | Behaviour::Shed if headers.contains_key("token-usage") => {
            let crashes = runner.crashes_on(&headers);
            stream_events(&runner, &attempt, last_event_id.unwrap_or(0), crashes)
        }
        Behaviour::Answer | Behaviour::Shed => {
            let (delay, body_bytes) = {
                let state = runner.lock();
                (state.answer_delay, state.body_bytes)
            };
            tokio::time::sleep(delay).await;
            let body = body_bytes.map_or(body, |bytes| vec![b'x'; bytes].into());
            respond(StatusCode::OK, &attempt, body)
        }
    }
}

fn reject(status: StatusCode, attempt: &str) -> response::Response {
    let headers = [("not-executed", "1"), ("attempt-id", attempt)];
    (status, headers).into_response()
}

fn respond(status: StatusCode, attempt: &str, body: Bytes) -> response::Response {
    let headers = [("server-signature", "proof"), ("attempt-id", attempt)];
    (status, headers, body).into_response()
}

fn interrupted_error() -> std::io::Error {
    std::io::Error::other("stream interrupted")
}

/// Streams the events of a generation that follow event `after`, or crashes in place of the first.
fn stream_events(runner: &Runner, attempt: &str, after: u64, crashes: bool) -> response::Response {
    // Moved into the closure below, so that the generation counts until the stream is dropped.
    let running = RunningGuard::new(runner);
    let number = runner.inner.streams.fetch_add(1, atomic::Ordering::SeqCst) + 1;
    let (events, event_interval) = {
        let state = runner.lock();
        (state.events, state.event_interval)
    };
    let pieces = futures::stream::iter(after + 1..=events).then(move |id| {
        let runner = running.0.clone();
        async move {
            tokio::time::sleep(event_interval).await;
            if crashes {
                runner.crash();
            }
            runner
                .inner
                .produced_events
                .fetch_add(1, atomic::Ordering::SeqCst);
            match runner
                .inner
                .interrupted_streams
                .load(atomic::Ordering::SeqCst)
                >= number
            {
                true => Err(interrupted_error()),
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

async fn handle_copy(
    extract::State(runner): extract::State<Runner>,
    extract::Json(order): extract::Json<serde_json::Value>,
) -> Result<response::Response, convert::Infallible> {
    let target = order["target"].as_str().unwrap_or_default();
    let attempt = order["id"].as_str().unwrap_or_default();
    let Some(target) = runner.inner.group.find(target) else {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    };
    let handle = format!("h-{attempt}");
    target
        .lock()
        .copies
        .insert(format!("{}/{handle}", runner.announced_address()));
    let copied = serde_json::json!({"kvHandle": handle, "made": 0});
    Ok(axum::Json(copied).into_response())
}
