//! Handler of `/services/{service}/{path}`: calls to plain services.

use std::sync;

use axum::body;
use axum::extract;
use axum::http;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use peargap_core::manifest;
use peargap_wire::agent as wire;
use tokio::time as clock;

use crate::app;
use crate::auth;
use crate::call;
use crate::claim;
use crate::generations;
use crate::refusal;

type AppState = extract::State<sync::Arc<app::App>>;

/// Handles a call to a plain service.
pub(crate) async fn answer_call(
    extract::State(app): AppState,
    request: extract::Request,
) -> response::Response {
    let id = app.ids.next();
    let (parts, body) = request.into_parts();
    let answer = match prepare(&app, &id, &parts, body).await {
        Ok(Prepared::Repeatable(job)) => call::run(app.clone(), job).await,
        Ok(Prepared::Claimed(job, key)) => claim::run(app.clone(), job, key).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match answer {
        Ok(response) => response,
        Err(refusal) => {
            app.log_refusal(&id, "", &refusal);
            refusal.into_response()
        }
    };
    if let Ok(id) = http::HeaderValue::from_str(&id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

enum Prepared {
    Claimed(call::Job, claim::Key),
    Repeatable(call::Job),
}

async fn prepare(
    app: &app::App,
    id: &str,
    parts: &http::request::Parts,
    body: body::Body,
) -> Result<Prepared, refusal::Refusal> {
    let fleet = app.fleet();
    let manifest = &fleet.config.manifest;
    let team = auth::find_team(manifest, &parts.headers)?;
    let (service, path) = split_path(&parts.uri).ok_or_else(refuse_unknown_service)?;
    let service = find_service(manifest, service)?;
    let timeout = app::read_timeout(&app.settings.limits, &parts.headers)?;
    let deadline = clock::Instant::now() + timeout;
    let key = read_key(&parts.headers)?;
    let body = generations::read_body(app, &parts.extensions, body, deadline).await?;
    let request = build_request(app, id, &team, &service.name, parts, path, body);
    let repeatable = service.repeatable;
    let job = call::Job {
        deadline,
        repeatable,
        request,
    };
    if repeatable {
        return Ok(Prepared::Repeatable(job));
    }
    match key {
        Some(key) => {
            let key = claim::Key::new(&job.request, &key);
            Ok(Prepared::Claimed(job, key))
        }
        None => Err(refuse_missing_key()),
    }
}

/// Splits a URI into the service's name and the path and query after it.
fn split_path(uri: &http::Uri) -> Option<(&str, &str)> {
    let path_and_query = uri.path_and_query()?.as_str();
    let rest = path_and_query.strip_prefix("/services/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    (!service.is_empty()).then_some((service, path))
}

fn find_service<'a>(
    manifest: &'a manifest::Manifest,
    name: &str,
) -> Result<&'a manifest::Service, refusal::Refusal> {
    let mut services = manifest.services.iter();
    services
        .find(|service| service.name == name)
        .ok_or_else(refuse_unknown_service)
}

fn refuse_unknown_service() -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Code::NotFound, "The service does not exist.")
}

fn refuse_missing_key() -> refusal::Refusal {
    let message = "Calls to this service are not repeatable: send an `Idempotency-Key` header, \
                   with the same value on each retry of the call.";
    refusal::Refusal::invalid("Idempotency-Key", message)
}

fn read_key(headers: &http::HeaderMap) -> Result<Option<String>, refusal::Refusal> {
    /// Maximum length of a key in bytes.
    const MAX_KEY_BYTES: usize = 255;
    let mut values = headers.get_all(claim::KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().trim();
    if values.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message =
            format!("`Idempotency-Key` must be a single value of 1 to {MAX_KEY_BYTES} bytes.");
        return Err(refusal::Refusal::invalid("Idempotency-Key", message));
    }
    Ok(Some(key.to_owned()))
}

fn build_request(
    app: &app::App,
    id: &str,
    team: &str,
    service: &str,
    parts: &http::request::Parts,
    path: &str,
    body: Bytes,
) -> wire::CallRequest {
    let headers = parts.headers.iter();
    let passed = headers.filter(|(name, _)| !generations::is_stripped_header(name));
    let slash = if path.starts_with('/') { "" } else { "/" };
    wire::CallRequest {
        body,
        entry: app.settings.node.name.clone(),
        headers: passed
            .map(|(name, value)| wire::Header {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect(),
        method: parts.method.as_str().to_owned(),
        path: format!("{slash}{path}"),
        request: id.to_owned(),
        service: service.to_owned(),
        team: team.to_owned(),
        ..wire::CallRequest::default()
    }
}
