//! Dispatches a call to a plain service's agent.

use core::time;
use std::sync;

use axum::body;
use axum::http;
use axum::response;
use peargap_core::retry;
use peargap_core::status;
use peargap_wire::agent as wire;
use peargap_wire::agent::call_reply;
use peargap_wire::control;
use tokio::time as clock;

use crate::agent;
use crate::app;
use crate::generations;
use crate::hedge;
use crate::place;
use crate::refusal;

/// Time after the deadline in which the agent may still report that it was exceeded.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Maximum number of times a call is sent to one agent over broken connections; the agent runs
/// only the first copy that it receives.
const MAX_SENDS: u32 = 3;

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) deadline: clock::Instant,
    /// Whether the call may run more than once.
    pub(crate) repeatable: bool,
    pub(crate) request: wire::CallRequest,
}

/// Runs a call and returns the service's answer as an HTTP response.
pub(crate) async fn run(
    app: sync::Arc<app::App>,
    job: Job,
) -> Result<response::Response, refusal::Refusal> {
    let answer = dispatch(&app, &job).await?;
    Ok(respond(answer))
}

/// Runs a call and returns the service's answer; retries it only if it may run again.
pub(crate) async fn dispatch(
    app: &app::App,
    job: &Job,
) -> Result<wire::Response, refusal::Refusal> {
    let _active = app.metrics.count_active();
    let mut history = place::History::default();
    app.retry_budget.record_first_attempt();
    loop {
        if let Some(refusal) = app.refuse_stale() {
            return Err(history.final_refusal(refusal));
        }
        let request = place::Request {
            deadline: job.deadline,
            kind: control::Kind::Service,
            offer: &job.request.service,
            prefix: &[],
            request: &job.request.request,
            tokens: 0,
        };
        let agent = place::pick_agent(app, &request, &history);
        let agent = agent.map_err(|refusal| history.final_refusal(refusal))?;
        let attempted = if job.repeatable {
            hedge::attempt_hedged(app, &agent, job, &request, &history).await
        } else {
            attempt(app, &agent, job, &history.attempts().to_string()).await
        };
        let refusal = match attempted {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let attempt = retry::Attempt {
            deadline: app.upstream_table.instant(job.deadline),
            number: history.attempts() + 1,
            ran: refusal.ran.to_core(),
            repeatable: job.repeatable,
        };
        let next = history.plan_retry(app, &agent, &refusal, &attempt, &request);
        let Some(pause) = next else {
            return Err(history.final_refusal(refusal));
        };
        clock::sleep(pause).await;
    }
}

/// Sends a call to one agent; `tag` makes the request id of this attempt unique.
pub(crate) async fn attempt(
    app: &app::App,
    agent: &agent::Agent,
    job: &Job,
    tag: &str,
) -> Result<wire::Response, refusal::Refusal> {
    let mut request = job.request.clone();
    request.config_version = app.view.version();
    request.deadline_ms = app::millis_until(job.deadline);
    request.incarnation = agent.incarnation();
    request.request = format!("{}.{tag}", job.request.request);
    app.upstream_table.record_sent(agent.key, 0);
    let give_up_at = job.deadline + DEADLINE_MARGIN;
    let mut sent = false;
    for _ in 0..MAX_SENDS {
        let connection = agent.connections.current();
        let (mut client, sent_flag) = connection.client();
        let reply = clock::timeout_at(give_up_at, client.call(request.clone())).await;
        let resent = sent;
        sent |= sent_flag.is_sent();
        match reply {
            Ok(Ok(reply)) => {
                let answer = read_reply(reply.into_inner(), resent)?;
                app.upstream_table.record_answer(agent.key, true);
                return Ok(answer);
            }
            Ok(Err(_)) => {}
            Err(_) => return Err(refuse_deadline(map_sent(sent))),
        }
        // Only the incarnation that was named can tell a repeated request from a new one.
        if !sent || request.incarnation.is_empty() {
            break;
        }
        agent.connections.replace(connection.number);
    }
    Err(refuse_broken(map_sent(sent)))
}

fn map_sent(sent: bool) -> refusal::Ran {
    if sent {
        refusal::Ran::Unknown
    } else {
        refusal::Ran::No
    }
}

fn read_reply(reply: wire::CallReply, resent: bool) -> Result<wire::Response, refusal::Refusal> {
    let failed = match reply.kind {
        Some(call_reply::Kind::Response(answer)) if has_final_status(&answer) => return Ok(answer),
        Some(call_reply::Kind::Response(_odd)) => return Err(refuse_broken(refusal::Ran::Unknown)),
        Some(call_reply::Kind::Failed(failed)) => failed,
        None => return Err(refuse_broken(refusal::Ran::Unknown)),
    };
    let refusal = refusal::Refusal::from_failed(&failed);
    match (failed.reason(), resent) {
        // The agent has restarted under an incarnation that this entry did not know, and refused
        // the only copy.
        (wire::Reason::Gone, false) => Err(refusal.with_ran(refusal::Ran::No)),
        (_, true) => {
            let ran = refusal.ran.merge(refusal::Ran::Unknown);
            Err(refusal.with_ran(ran))
        }
        (_, false) => Err(refusal),
    }
}

fn has_final_status(answer: &wire::Response) -> bool {
    u16::try_from(answer.status).is_ok_and(status::is_final)
}

fn refuse_broken(ran: refusal::Ran) -> refusal::Refusal {
    let message = "The connection to the upstream was lost before it answered.";
    refusal::Refusal::failed(ran, message)
}

fn refuse_deadline(ran: refusal::Ran) -> refusal::Refusal {
    let message = "The call was not answered within its deadline.";
    refusal::Refusal::not_run(refusal::Code::Deadline, message).with_ran(ran)
}

/// Converts a service's answer to an HTTP response.
pub(crate) fn respond(answer: wire::Response) -> response::Response {
    let mut response = response::Response::new(body::Body::from(answer.body));
    let status = u16::try_from(answer.status).ok();
    let status = status.and_then(|status| http::StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
    for header in answer.headers {
        let name = http::HeaderName::try_from(header.name);
        let value = http::HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            if !generations::is_stripped_header(&name) {
                response.headers_mut().append(name, value);
            }
        }
    }
    response
}
