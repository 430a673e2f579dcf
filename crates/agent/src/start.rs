//! Validates requests for new generations and spawns their tasks.

use std::sync;

use bytes::Bytes;
use peargap_core::manifest;
use peargap_wire::agent as wire;

use crate::admission_api;
use crate::agent;
use crate::body;
use crate::engine;
use crate::generation;
use crate::stream;

/// Output limit in tokens of a model that is not in the manifest.
const DEFAULT_MAX_TOKENS: u32 = 4_096;
/// Maximum length of a request ID in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// Starts the generation that an entry requests, or returns the refusal.
pub(crate) fn start_generation(
    agent: &sync::Arc<agent::Agent>,
    start: wire::Start,
) -> Result<sync::Arc<stream::Stream>, wire::Failed> {
    if agent.is_for_other_incarnation(&start.incarnation) {
        let detail = "the request is addressed to another incarnation of the agent";
        return Err(agent::refuse(wire::Reason::Gone, 0, detail));
    }
    if start.request.is_empty() || start.request.len() > MAX_REQUEST_ID_BYTES {
        let detail = "the request ID is empty or too long";
        return Err(agent::refuse(wire::Reason::Invalid, 0, detail));
    }
    let parameters = find_parameters(agent, &start);
    let body = rewrite_body(&start, &parameters)?;
    let info = agent::RequestInfo {
        offer: &start.model,
        request_id: &start.request,
    };
    if let Some(failed) = agent.check_and_record(info) {
        return Err(failed);
    }
    let stream = sync::Arc::new(stream::Stream::new(
        agent.next_generation_id(),
        start.request.clone(),
        start.team.clone(),
        agent.settings.stream.replay_bytes,
        &agent.unread,
        agent.clock.now(),
    ));
    agent::lock(&agent.prefix_cache).record_chain(&start.prefix);
    agent::lock(&agent.generations).add(sync::Arc::clone(&stream));
    let job = generation::Job {
        request: build_request(agent, &start, &parameters, &stream),
        body,
        endpoint: select_endpoint(&start),
    };
    tokio::spawn(generation::run(
        sync::Arc::clone(agent),
        sync::Arc::clone(&stream),
        job,
    ));
    Ok(stream)
}

/// Limits and scheduling parameters of a request, from the manifest.
#[derive(Clone, Copy, Debug)]
struct Parameters {
    max_tokens: u32,
    priority: u8,
    weight: u32,
}

fn find_parameters(agent: &agent::Agent, start: &wire::Start) -> Parameters {
    let config = agent.view.config();
    let config = config.borrow();
    let model = config
        .manifest
        .models
        .iter()
        .find(|model| model.name == start.model);
    let team = config
        .manifest
        .teams
        .iter()
        .find(|team| team.name == start.team);
    let limit = model.map_or(DEFAULT_MAX_TOKENS, |model| model.max_output_tokens);
    let max_tokens = match start.max_tokens {
        0 => limit,
        requested => requested.min(limit),
    };
    Parameters {
        max_tokens,
        priority: combine_priorities(model.map(|model| model.priority), team),
        weight: team.map_or(1, |team| team.weight),
    }
}

/// Combines two priorities, each clamped to 0..=15: the offer's in the upper four bits, the team's
/// in the lower four.
pub(crate) fn combine_priorities(offer: Option<u8>, team: Option<&manifest::Team>) -> u8 {
    let offer = offer.unwrap_or(0).min(15);
    let team = team.map_or(0, |team| team.priority).min(15);
    offer << 4 | team
}

fn rewrite_body(start: &wire::Start, parameters: &Parameters) -> Result<Bytes, wire::Failed> {
    let overrides = body::Overrides {
        max_tokens: parameters.max_tokens,
        priority: parameters.priority,
    };
    body::rewrite(&start.body, overrides).map_err(|error| {
        // The error's own text may quote the body, so only the position is reported.
        let (line, column) = (error.line(), error.column());
        let detail = format!("the body is not a JSON object: line {line} column {column}");
        agent::refuse(wire::Reason::Invalid, 0, detail)
    })
}

fn build_request(
    agent: &agent::Agent,
    start: &wire::Start,
    parameters: &Parameters,
    stream: &stream::Stream,
) -> admission_api::Request {
    admission_api::Request {
        deadline: agent.compute_deadline(start.deadline_ms),
        max_tokens: parameters.max_tokens,
        model: start.model.clone(),
        priority: parameters.priority,
        produced: sync::Arc::clone(&stream.produced),
        prompt_tokens: start.prompt_tokens,
        id: start.request.clone(),
        team: start.team.clone(),
        weight: parameters.weight,
    }
}

fn select_endpoint(start: &wire::Start) -> engine::Endpoint {
    match start.shape() {
        wire::Shape::Chat => engine::Endpoint::Chat,
        wire::Shape::Completion => engine::Endpoint::Completion,
    }
}
