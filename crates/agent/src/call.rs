//! Calls to a service.

use core::time::Duration;
use std::sync;

use peargap_adapters::body_budget;
use peargap_adapters::logs;
use peargap_core::admit;
use peargap_core::status;
use peargap_wire::agent as wire;

use crate::admission_api;
use crate::agent;
use crate::events;
use crate::http as upstream;
use crate::meters;
use crate::start;
use crate::stream;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Retry delay after a failure of the service.
const FAILED_RETRY_MS: u32 = 1_000;
/// Hop-by-hop headers, and headers that the agent sets itself.
const DROPPED_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Runs a call; without a response, the failure says whether the service may have run it.
pub(crate) async fn run(agent: &agent::Agent, call: wire::CallRequest) -> wire::CallReply {
    let request_id = call.request.clone();
    let started_at = tokio::time::Instant::now();
    let outcome = execute(agent, call).await;
    log_outcome(agent, &request_id, started_at.elapsed(), &outcome);
    let kind = match outcome {
        Ok(response) => wire::call_reply::Kind::Response(response),
        Err(failed) => wire::call_reply::Kind::Failed(failed),
    };
    wire::CallReply { kind: Some(kind) }
}

async fn execute(
    agent: &agent::Agent,
    call: wire::CallRequest,
) -> Result<wire::Response, wire::Failed> {
    if agent.is_for_other_incarnation(&call.incarnation) {
        let detail = "the call is addressed to another incarnation of the agent";
        let (ran, reason) = (wire::Ran::Unknown, wire::Reason::Gone);
        return Err(stream::build_failed(ran, reason, 0, detail));
    }
    let info = agent::RequestInfo {
        offer: &call.service,
        request_id: &call.request,
    };
    if let Some(failed) = agent.check_and_record(info) {
        agent.meters.count_refusal(failed.reason());
        return Err(failed);
    }
    let request = build_http_request(agent, &call)?;
    let deadline = agent.compute_deadline(call.deadline_ms);
    let mut permit = wait_for_permit(agent, &call, deadline).await?;
    // Checked last, so that a call refused above does not consume its fence.
    check_claim(agent, &call)?;
    let remaining = Duration::from_millis(deadline.millis_since(agent.clock.now()));
    let side = body_budget::Side::Upstream;
    let id = bytes::Bytes::from(call.request.clone());
    let arriving = agent.intake.budget().receive(side, id);
    let exchange = exchange(agent, request, remaining, &arriving);
    let outcome = match tokio::time::timeout(remaining, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Err(upstream::Fault::Silent),
    };
    if outcome.is_ok() {
        permit.report_response();
    }
    permit.set_end(match &outcome {
        Ok(response) if response.status < 500 => admit::End::Completed,
        Err(upstream::Fault::Silent) => admit::End::Cancelled,
        Ok(_) | Err(_) => admit::End::Failed,
    });
    outcome.map_err(classify_fault)
}

async fn wait_for_permit(
    agent: &agent::Agent,
    call: &wire::CallRequest,
    deadline: peargap_core::time::Instant,
) -> Result<admission_api::Permit, wire::Failed> {
    let mut verdicts = agent
        .admission
        .request(build_admission_request(agent, call, deadline));
    loop {
        match verdicts.recv().await {
            Some(admission_api::Verdict::Admitted(permit)) => return Ok(permit),
            Some(admission_api::Verdict::Queued(_)) => {}
            Some(admission_api::Verdict::Refused {
                reason,
                retry_after_ms,
            }) => {
                return Err(agent::refuse(
                    reason,
                    retry_after_ms,
                    "refused by admission",
                ))
            }
            None => {
                let detail = "the agent is stopping";
                return Err(agent::refuse(wire::Reason::Draining, 0, detail));
            }
        }
    }
}

fn build_admission_request(
    agent: &agent::Agent,
    call: &wire::CallRequest,
    deadline: peargap_core::time::Instant,
) -> admission_api::Request {
    let config = agent.view.config();
    let config = config.borrow();
    let mut services = config.manifest.services.iter();
    let service = services.find(|service| service.name == call.service);
    let team = config
        .manifest
        .teams
        .iter()
        .find(|team| team.name == call.team);
    admission_api::Request {
        deadline,
        max_tokens: 0,
        model: call.service.clone(),
        priority: start::combine_priorities(service.map(|service| service.priority), team),
        produced: sync::Arc::default(),
        prompt_tokens: 0,
        id: call.request.clone(),
        team: call.team.clone(),
        weight: team.map_or(1, |team| team.weight),
    }
}

fn check_claim(agent: &agent::Agent, call: &wire::CallRequest) -> Result<(), wire::Failed> {
    let Some(claim) = &call.claim else {
        return Ok(());
    };
    let now = agent.clock.now();
    if agent::lock(&agent.claims).admit(&claim.key, claim.fence, now) {
        return Ok(());
    }
    let detail = format!("fence {} is not newer than one already seen", claim.fence);
    let (ran, reason) = (wire::Ran::Unknown, wire::Reason::Fenced);
    Err(stream::build_failed(ran, reason, 0, detail))
}

fn build_http_request(
    agent: &agent::Agent,
    call: &wire::CallRequest,
) -> Result<::http::Request<upstream::Body>, wire::Failed> {
    if !call.path.starts_with('/') {
        let detail = "the path does not start with a slash";
        return Err(agent::refuse(wire::Reason::Invalid, 0, detail));
    }
    let address = agent.settings.upstream.address;
    let mut builder = ::http::Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .header(::http::header::HOST, address.to_string());
    for header in &call.headers {
        if is_forwarded(&header.name) {
            builder = builder.header(header.name.as_str(), header.value.as_ref());
        }
    }
    let body = upstream::Body::new(call.body.clone());
    builder.body(body).map_err(|error| {
        let detail = format!("the call is malformed: {error}");
        agent::refuse(wire::Reason::Invalid, 0, detail)
    })
}

fn is_forwarded(name: &str) -> bool {
    let mut dropped = DROPPED_HEADERS.iter();
    !dropped.any(|dropped| name.eq_ignore_ascii_case(dropped))
}

async fn exchange(
    agent: &agent::Agent,
    request: ::http::Request<upstream::Body>,
    timeout: Duration,
    arriving: &body_budget::Hold,
) -> Result<wire::Response, upstream::Fault> {
    let address = agent.settings.upstream.address;
    let response = upstream::send(address, request, timeout).await?;
    let (head, body) = response.into_parts();
    if !status::is_final(head.status.as_u16()) {
        let why = format!("status {} is none", head.status.as_u16());
        return Err(upstream::Fault::Lost(why));
    }
    let body = tokio::select! {
        biased;
        () = arriving.ended() => return Err(upstream::Fault::TooLarge),
        body = upstream::read_counted_body(body, MAX_RESPONSE_BYTES, arriving) => body?,
    };
    let headers = head
        .headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()));
    let headers = headers.map(|(name, value)| wire::Header {
        name: name.as_str().to_owned(),
        value: bytes::Bytes::copy_from_slice(value.as_bytes()),
    });
    Ok(wire::Response {
        status: u32::from(head.status.as_u16()),
        headers: headers.collect(),
        body,
    })
}

fn classify_fault(fault: upstream::Fault) -> wire::Failed {
    if fault.is_before_send() {
        let detail = format!("the service was not reached: {fault:?}");
        return agent::refuse(wire::Reason::Upstream, FAILED_RETRY_MS, detail);
    }
    let (ran, reason) = match fault {
        upstream::Fault::Silent => (wire::Ran::Unknown, wire::Reason::Deadline),
        upstream::Fault::TooLarge => (wire::Ran::Yes, wire::Reason::Upstream),
        upstream::Fault::Lost(_) | upstream::Fault::Refused | upstream::Fault::Unreachable(_) => {
            (wire::Ran::Unknown, wire::Reason::Upstream)
        }
    };
    stream::build_failed(
        ran,
        reason,
        0,
        format!("no response from the service: {fault:?}"),
    )
}

fn log_outcome(
    agent: &agent::Agent,
    request: &str,
    took: Duration,
    outcome: &Result<wire::Response, wire::Failed>,
) {
    let took = took.as_millis();
    match outcome {
        Ok(response) => {
            agent.meters.count_end(meters::Ended::Finished);
            let status = response.status;
            logs::emit(
                events::CALLED,
                format_args!("request={request} status={status} took_ms={took}"),
            );
        }
        Err(failed) => {
            agent.meters.count_end(meters::Ended::Failed);
            logs::emit(
                events::CALL_FAILED,
                format_args!(
                    "request={request} ran={} reason={} took_ms={took} detail={:?}",
                    failed.ran().as_str_name(),
                    failed.reason().as_str_name(),
                    failed.detail
                ),
            );
        }
    }
}
