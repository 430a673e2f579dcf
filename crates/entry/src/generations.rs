//! `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models`.

use core::time;
use std::sync;

use axum::body;
use axum::extract;
use axum::http;
use axum::http::header;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use peargap_adapters::intake;
use peargap_core::manifest;
use peargap_core::prefix;
use peargap_wire::agent as wire;
use tokio::time as clock;

use crate::app;
use crate::auth;
use crate::buffered;
use crate::output;
use crate::prompt;
use crate::refusal;
use crate::relay;
use crate::render;
use crate::stream;

/// Time in which a disconnected streaming caller may resume.
const RESUME_GRACE: time::Duration = time::Duration::from_secs(5);

type AppState = extract::State<sync::Arc<app::App>>;

/// Handles a chat completion request.
pub(crate) async fn answer_chat(
    extract::State(app): AppState,
    request: extract::Request,
) -> response::Response {
    answer(app, prompt::Shape::Chat, request).await
}

/// Handles a completion request.
pub(crate) async fn answer_completion(
    extract::State(app): AppState,
    request: extract::Request,
) -> response::Response {
    answer(app, prompt::Shape::Completion, request).await
}

/// Lists the models of the manifest.
pub(crate) async fn list_models(
    extract::State(app): AppState,
    headers: http::HeaderMap,
) -> response::Response {
    let fleet = app.fleet();
    if let Err(refusal) = auth::find_team(&fleet.config.manifest, &headers) {
        return refusal.into_response();
    }
    let models = fleet.config.manifest.models.iter().map(|model| {
        serde_json::json!({
            "id": model.name,
            "object": "model",
            "created": 0,
            "owned_by": fleet.config.manifest.deployment,
        })
    });
    let data: Vec<_> = models.collect();
    axum::Json(serde_json::json!({"object": "list", "data": data})).into_response()
}

async fn answer(
    app: sync::Arc<app::App>,
    shape: prompt::Shape,
    request: extract::Request,
) -> response::Response {
    let id = app.ids.next();
    let (parts, body) = request.into_parts();
    let team = match auth::find_team(&app.fleet().config.manifest, &parts.headers) {
        Ok(team) => team,
        Err(refusal) => {
            app.log_refusal(&id, "", &refusal);
            return refusal.into_response();
        }
    };
    let mut response = match prepare(&app, shape, &id, &team, &parts, body).await {
        Ok(call) => run(app, call).await,
        Err(refusal) => {
            app.log_refusal(&id, &team, &refusal);
            refusal.into_response()
        }
    };
    if let Ok(id) = http::HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// A validated request.
struct Call {
    job: relay::Job,
    prompt: prompt::Prompt,
}

async fn prepare(
    app: &app::App,
    shape: prompt::Shape,
    id: &str,
    team: &str,
    parts: &http::request::Parts,
    body: body::Body,
) -> Result<Call, refusal::Refusal> {
    let headers = &parts.headers;
    let timeout = app::read_timeout(&app.settings.limits, headers)?;
    let deadline = clock::Instant::now() + timeout;
    let body = read_body(app, &parts.extensions, body, deadline).await?;
    let prompt =
        prompt::parse_prompt(shape, body).map_err(prompt::ValidationError::into_refusal)?;
    let fleet = app.fleet();
    check_model(&fleet.config.manifest, &prompt)?;
    let operation = match read_resume(headers)? {
        Some(resume) if prompt.stream => resume,
        Some(_) => {
            let message = "`Last-Event-ID` requires `stream` to be true.";
            return Err(refusal::Refusal::invalid("stream", message));
        }
        None => relay::Operation::Start(Box::new(build_start(app, team, &prompt))),
    };
    let job = relay::Job {
        delivery: read_delivery(headers, &prompt),
        deadline,
        operation,
        request: id.to_owned(),
        team: team.to_owned(),
    };
    Ok(Call { job, prompt })
}

/// Reads the body of the request with these extensions within the entry's limit and the deadline.
pub(crate) async fn read_body(
    app: &app::App,
    extensions: &http::Extensions,
    body: body::Body,
    deadline: clock::Instant,
) -> Result<Bytes, refusal::Refusal> {
    let limit = app.settings.limits.body_bytes;
    let Some(received) = extensions.get::<intake::Request>() else {
        let message = "The entry has a fault.";
        return Err(refusal::Refusal::failed(refusal::Ran::No, message));
    };
    let (code, message) =
        match clock::timeout_at(deadline, intake::body::read(body, limit, received)).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(intake::body::Error::TooLong)) => (
                refusal::Code::TooLarge,
                format!("The body is larger than {limit} bytes."),
            ),
            Ok(Err(intake::body::Error::Broken(_why))) => (
                refusal::Code::InvalidRequest,
                "The body was not received completely.".to_owned(),
            ),
            Ok(Err(intake::body::Error::Ended)) => {
                let message = "The entry has no memory for the request.";
                let refusal = refusal::Refusal::not_run(refusal::Code::Busy, message);
                return Err(refusal.with_retry(refusal::DEFAULT_RETRY_MS));
            }
            Err(_elapsed) => (
                refusal::Code::Deadline,
                "The body was not received within the deadline.".to_owned(),
            ),
        };
    Err(refusal::Refusal::not_run(code, message))
}

fn check_model(
    manifest: &manifest::Manifest,
    prompt: &prompt::Prompt,
) -> Result<(), refusal::Refusal> {
    let model = manifest
        .models
        .iter()
        .find(|model| model.name == prompt.model);
    let Some(model) = model else {
        let message = format!("The model `{}` does not exist.", prompt.model);
        let mut refusal = refusal::Refusal::not_run(refusal::Code::ModelNotFound, message);
        refusal.param = Some("model".to_owned());
        return Err(refusal);
    };
    if prompt.max_tokens > model.max_output_tokens {
        let field = prompt.limit_field;
        let message = format!(
            "`{field}` exceeds the model's limit of {}.",
            model.max_output_tokens
        );
        return Err(refusal::Refusal::invalid(field, message));
    }
    let tokens = prompt.estimate_tokens();
    if tokens > model.max_prompt_tokens {
        let message = format!(
            "The prompt has about {tokens} tokens; the model's limit is {}.",
            model.max_prompt_tokens
        );
        return Err(refusal::Refusal::invalid(prompt.text_field(), message));
    }
    Ok(())
}

fn build_start(app: &app::App, team: &str, prompt: &prompt::Prompt) -> wire::Start {
    wire::Start {
        body: prompt.body.clone(),
        entry: app.settings.node.name.clone(),
        max_tokens: prompt.max_tokens,
        model: prompt.model.clone(),
        prefix: prefix::hash_blocks(&prompt.text),
        prompt_tokens: prompt.estimate_tokens(),
        shape: prompt.shape.to_wire().into(),
        streaming: prompt.stream,
        team: team.to_owned(),
        ..wire::Start::default()
    }
}

/// Returns the generation and offset at which the caller resumes, if it does.
fn read_resume(headers: &http::HeaderMap) -> Result<Option<relay::Operation>, refusal::Refusal> {
    let Some(value) = headers.get("last-event-id") else {
        return Ok(None);
    };
    match value.to_str().ok().and_then(parse_event_id) {
        Some(operation) => Ok(Some(operation)),
        None => {
            let message = "`Last-Event-ID` must be an event id of an earlier stream.";
            Err(refusal::Refusal::invalid("Last-Event-ID", message))
        }
    }
}

fn parse_event_id(text: &str) -> Option<relay::Operation> {
    let (generation, offset) = text.rsplit_once('.')?;
    let parts = generation.split('~').filter(|part| !part.is_empty());
    if parts.count() != 3 {
        return None;
    }
    Some(relay::Operation::Resume {
        generation: generation.to_owned(),
        offset: offset.parse().ok()?,
    })
}

fn read_delivery(headers: &http::HeaderMap, prompt: &prompt::Prompt) -> output::Delivery {
    if !prompt.stream {
        return output::Delivery::Buffered;
    }
    let leaves = headers
        .get("x-on-disconnect")
        .map(http::HeaderValue::as_bytes);
    let grace = match leaves {
        Some(b"cancel") => time::Duration::ZERO,
        Some(_) | None => RESUME_GRACE,
    };
    output::Delivery::Stream { grace }
}

async fn run(app: sync::Arc<app::App>, call: Call) -> response::Response {
    let renderer = render::Renderer::new(&call.prompt);
    let resumed = match &call.job.operation {
        relay::Operation::Resume { generation, .. } => Some(generation.clone()),
        relay::Operation::Start(_) => None,
    };
    let delivery = call.job.delivery;
    let (mut outputs, written) = relay::spawn(app, call.job);
    if delivery == output::Delivery::Buffered {
        let buffered = buffered::collect(&renderer, outputs).await;
        return buffered.unwrap_or_else(refusal::Refusal::into_response);
    }
    // The status line is held back until the first output, so that a refusal gets its own status.
    match outputs.recv().await {
        Some(output::Output::Failed(refusal)) => refusal.into_response(),
        Some(first) => stream::respond(renderer, resumed.as_deref(), first, outputs, written),
        None => http::StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Refuses a request to an unknown path.
pub(crate) async fn refuse_unknown_path() -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Code::NotFound, "The path does not exist.")
}

/// Refuses a request with a method that the path does not support.
pub(crate) async fn refuse_method() -> refusal::Refusal {
    let message = "The path does not support this method.";
    refusal::Refusal::not_run(refusal::Code::MethodNotAllowed, message)
}

/// Returns whether a header belongs to one connection or to this entry and is not forwarded.
pub(crate) fn is_stripped_header(name: &http::HeaderName) -> bool {
    const STRIPPED: [http::HeaderName; 8] = [
        header::AUTHORIZATION,
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    STRIPPED.contains(name) || name.as_str() == "keep-alive" || name.as_str() == "proxy-connection"
}
