//! HTTP server: the listener and the routes of the simulated engine.

use core::convert;
use core::time;
use std::io;

use axum::extract;
use axum::http;
use axum::response;
use axum::response::sse;
use axum::response::IntoResponse as _;
use axum::routing;
use futures::Stream;
use serde::Deserialize;
use tokio::sync::watch;

use crate::cache;
use crate::engine;
use crate::options;
use crate::orders;
use crate::report;
use crate::service;
use crate::stream;

/// Interval of SSE comments on a stream without events.
const KEEP_ALIVE: time::Duration = time::Duration::from_millis(200);

#[derive(Clone)]
struct App {
    engine: engine::Engine,
    publisher: report::Publisher,
}

#[derive(Debug, Deserialize)]
struct Body {
    max_completion_tokens: Option<u64>,
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<Message>,
    model: String,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    prompt: serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: serde_json::Value,
    #[serde(default)]
    role: String,
}

#[derive(Debug, Deserialize)]
struct OffsetQuery {
    #[serde(default)]
    offset: u64,
}

#[derive(Debug, Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

/// Serves the simulation until SIGTERM; prints the address when it listens.
pub(crate) async fn serve(mode: options::Mode) -> io::Result<()> {
    let token = peargap_adapters::signals::listen()?;
    let listen = match &mode {
        options::Mode::Engine(options) => options.listen,
        options::Mode::Service(options) => options.listen,
    };
    let router = match mode {
        options::Mode::Engine(options) => build_engine_router(options),
        options::Mode::Service(options) => service::build_router(options),
    };
    let listener = tokio::net::TcpListener::bind(listen).await?;
    println!("listening {}", listener.local_addr()?);
    let serving = axum::serve(listener, router).with_graceful_shutdown(token.cancelled_owned());
    serving.await
}

fn build_engine_router(options: options::Engine) -> axum::Router {
    let engine = engine::Engine::new(options);
    tokio::spawn(engine.clone().run());
    let app = App {
        publisher: report::Publisher::new(&engine),
        engine,
    };
    axum::Router::new()
        .route("/healthz", routing::get(handle_health))
        .route("/v1/completions", routing::post(handle_completion))
        .route("/v1/chat/completions", routing::post(handle_chat))
        .route("/v1/models", routing::get(handle_models))
        .route(
            "/v1/streams/{id}",
            routing::get(handle_resume).delete(handle_cancel),
        )
        .route("/load", routing::get(handle_load))
        .route("/cache-events", routing::get(handle_events))
        .route("/orders", routing::post(handle_order))
        .route("/turn-cold", routing::post(handle_turn_cold))
        .with_state(app)
}

async fn handle_health() -> &'static str {
    "ok\n"
}

async fn handle_completion(
    extract::State(app): extract::State<App>,
    headers: http::HeaderMap,
    axum::Json(body): axum::Json<Body>,
) -> response::Response {
    start(&app, &headers, body, false)
}

async fn handle_chat(
    extract::State(app): extract::State<App>,
    headers: http::HeaderMap,
    axum::Json(body): axum::Json<Body>,
) -> response::Response {
    start(&app, &headers, body, true)
}

fn start(app: &App, headers: &http::HeaderMap, body: Body, chat: bool) -> response::Response {
    let request = read_request(headers, body, chat);
    let id = request.id.clone();
    match app.engine.start(request) {
        engine::StartResult::ModelNotLoaded => http::StatusCode::NOT_FOUND.into_response(),
        engine::StartResult::Overloaded => http::StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        engine::StartResult::Running => respond_with_stream(app, &id, 0),
    }
}

fn read_request(headers: &http::HeaderMap, body: Body, chat: bool) -> engine::Request {
    let id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned);
    let prompt = if chat {
        body.messages
            .iter()
            .map(|message| format!("{}: {}\n", message.role, read_text(&message.content)))
            .collect()
    } else {
        read_text(&body.prompt)
    };
    engine::Request {
        chat,
        id,
        max_tokens: body.max_completion_tokens.or(body.max_tokens),
        model: body.model,
        priority: body.priority,
        prompt,
    }
}

fn read_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

async fn handle_resume(
    extract::State(app): extract::State<App>,
    extract::Path(id): extract::Path<String>,
    extract::Query(query): extract::Query<OffsetQuery>,
) -> response::Response {
    respond_with_stream(&app, &id, query.offset)
}

async fn handle_cancel(
    extract::State(app): extract::State<App>,
    extract::Path(id): extract::Path<String>,
) -> http::StatusCode {
    if app.engine.cancel(&id) {
        http::StatusCode::NO_CONTENT
    } else {
        http::StatusCode::NOT_FOUND
    }
}

async fn handle_models(extract::State(app): extract::State<App>) -> axum::Json<serde_json::Value> {
    let state = app.engine.lock();
    let models: Vec<_> = state
        .orders
        .models
        .iter()
        .map(|model| serde_json::json!({"id": model, "object": "model"}))
        .collect();
    axum::Json(serde_json::json!({"object": "list", "data": models}))
}

async fn handle_load(extract::State(app): extract::State<App>) -> axum::Json<report::Load> {
    axum::Json(app.publisher.read(&app.engine))
}

async fn handle_events(
    extract::State(app): extract::State<App>,
    extract::Query(query): extract::Query<AfterQuery>,
) -> axum::Json<serde_json::Value> {
    let state = app.engine.lock();
    let events: Vec<cache::Event> = state.cache.list_events(query.after);
    axum::Json(serde_json::json!({"events": events, "last": state.cache.last_sequence()}))
}

async fn handle_order(
    extract::State(app): extract::State<App>,
    axum::Json(order): axum::Json<orders::Order>,
) -> response::Response {
    let mut state = app.engine.lock();
    let done = state.orders.apply(order);
    let fence = axum::Json(serde_json::json!({"fence": state.orders.fence}));
    if done {
        fence.into_response()
    } else {
        (http::StatusCode::CONFLICT, fence).into_response()
    }
}

async fn handle_turn_cold(extract::State(app): extract::State<App>) -> &'static str {
    app.engine.turn_cold();
    "cold\n"
}

fn respond_with_stream(app: &App, id: &str, offset: u64) -> response::Response {
    let (number, progress) = {
        let mut state = app.engine.lock();
        let Some(stream) = state.streams.get_mut(id) else {
            return http::StatusCode::NOT_FOUND.into_response();
        };
        stream.abandoned_at = None;
        stream.latest_reader += 1;
        (stream.latest_reader, stream.progress.subscribe())
    };
    let reader = Reader {
        engine: app.engine.clone(),
        id: id.to_owned(),
        number,
        offset,
        progress,
        stage: Stage::Tokens,
    };
    sse::Sse::new(read_events(reader))
        .keep_alive(sse::KeepAlive::new().interval(KEEP_ALIVE))
        .into_response()
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Done,
    Ended,
    Tokens,
    Usage,
}

/// A client's connection to a stream. Dropping it marks the stream as abandoned until another reader
/// connects.
struct Reader {
    engine: engine::Engine,
    id: String,
    number: u64,
    offset: u64,
    progress: watch::Receiver<stream::Progress>,
    stage: Stage,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        let stream = state.streams.get_mut(&self.id);
        // A later reader has replaced this one if the numbers differ; the stream isn't abandoned.
        if let Some(stream) = stream.filter(|stream| stream.latest_reader == self.number) {
            stream.abandoned_at = Some(tokio::time::Instant::now());
        }
    }
}

fn read_events(reader: Reader) -> impl Stream<Item = Result<sse::Event, convert::Infallible>> {
    futures::stream::unfold(reader, |mut reader| async {
        let event = reader.next_event().await?;
        Some((Ok(event), reader))
    })
}

impl Reader {
    async fn next_event(&mut self) -> Option<sse::Event> {
        match self.stage {
            Stage::Tokens => self.next_token().await,
            Stage::Usage => self.build_usage(),
            Stage::Done => {
                self.stage = Stage::Ended;
                Some(sse::Event::default().data("[DONE]"))
            }
            Stage::Ended => None,
        }
    }

    async fn next_token(&mut self) -> Option<sse::Event> {
        let offset = self.offset;
        let progress = *self
            .progress
            .wait_for(|progress| {
                progress.produced > offset
                    || progress.state != stream::State::Running
                        && progress.state != stream::State::Waiting
            })
            .await
            .ok()?;
        if progress.produced <= offset {
            self.stage = Stage::Usage;
            return match progress.state {
                stream::State::Finished => self.build_usage(),
                stream::State::Failed | stream::State::Running | stream::State::Waiting => None,
            };
        }
        self.offset += 1;
        let last = progress.state == stream::State::Finished && self.offset >= progress.produced;
        if last {
            self.stage = Stage::Usage;
        }
        self.build_token(offset, last)
    }

    fn build_token(&self, offset: u64, last: bool) -> Option<sse::Event> {
        let state = self.engine.lock();
        let stream = state.streams.get(&self.id)?;
        let text = stream.format_token(offset);
        let reason = last.then_some(stream.finish_reason);
        let choice = if stream.chat {
            serde_json::json!({"index": 0, "delta": {"content": text}, "finish_reason": reason})
        } else {
            serde_json::json!({"index": 0, "text": text, "finish_reason": reason})
        };
        let data = serde_json::json!({"id": stream.id, "model": stream.model, "choices": [choice]});
        Some(
            sse::Event::default()
                .id(offset.to_string())
                .data(data.to_string()),
        )
    }

    fn build_usage(&mut self) -> Option<sse::Event> {
        self.stage = Stage::Done;
        let state = self.engine.lock();
        let stream = state.streams.get(&self.id)?;
        let data = serde_json::json!({
            "id": stream.id,
            "model": stream.model,
            "choices": [],
            "usage": {
                "prompt_tokens": stream.prompt_tokens,
                "completion_tokens": stream.produced(),
                "total_tokens": stream.prompt_tokens + stream.produced(),
                "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
            },
        });
        Some(sse::Event::default().data(data.to_string()))
    }
}
