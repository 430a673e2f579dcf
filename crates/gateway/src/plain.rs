//! Plain calls: requests whose response is read completely before it is forwarded.

use peargap_adapters::logs;
use peargap_core::pace;
use peargap_core::quarantine;
use peargap_core::routes;
use tokio::time;

use crate::attempts;
use crate::call;
use crate::crash;
use crate::events;
use crate::fleet;
use crate::gateway;
use crate::placement;
use crate::response;
use crate::rollout;
use crate::unread;

/// Maximum number of upstreams that a request is sent to.
const MAX_ATTEMPTS: usize = 4;

/// Serves a request by an upstream of a service. It is retried at another upstream if it has not
/// run, or if its route is idempotent and allows another attempt. A call that still runs when the
/// process ends is answered like one whose deadline has passed.
pub(crate) async fn serve(
    gateway: &gateway::Gateway,
    request: &call::Request,
    route: &routes::Route,
    service: &routes::Service,
) -> response::Response {
    let served = serve_in_time(gateway, request, route, service);
    tokio::select! {
        biased;
        response = served => response,
        () = time::sleep_until(request.deadline) => {
            gateway.refuse(&request.head.attempt, response::Refusal::TimedOut)
        }
        () = gateway.stop.wait_for_last_answers() => {
            gateway.refuse(&request.head.attempt, response::Refusal::CutOff)
        }
    }
}

async fn serve_in_time(
    gateway: &gateway::Gateway,
    request: &call::Request,
    route: &routes::Route,
    service: &routes::Service,
) -> response::Response {
    let trial = match gateway.fleet.admit(request) {
        quarantine::Verdict::Allow => None,
        quarantine::Verdict::Trial(subject) => Some(subject),
        quarantine::Verdict::Refuse {
            subject,
            retry_after_ms,
        } => {
            let refusal = response::Refusal::Quarantined {
                subject,
                retry_after_ms,
            };
            return gateway.refuse(&request.head.attempt, refusal);
        }
    };
    let mut attempts = attempts::Attempts::new(MAX_ATTEMPTS);
    let mut possible_runs = 0;
    // Response to the caller if no other upstream is tried.
    let mut refusal = response::Refusal::NotTaken;
    let mut error_response = None;
    while !attempts.is_exhausted() {
        if attempts.has_arrived() && trial.is_none() && gateway.fleet.is_quarantined(request) {
            break;
        }
        if possible_runs == 0 && gateway.stop.may_cut_off_call(request.deadline) {
            refusal = response::Refusal::Stopping;
            break;
        }
        let criteria = fleet::Criteria {
            exclude: attempts.tried(),
            near: None,
            need: pace::Need {
                objective_ms: route.objective_ms,
                ..pace::Need::default()
            },
            purpose: attempts.purpose(),
            service,
            tokens: 0,
        };
        let placement = match gateway.fleet.place_plain(criteria) {
            Ok(placement) => placement,
            Err(fleet::PlacementError::Paused { retry_after_ms }) if possible_runs == 0 => {
                refusal = response::Refusal::Paused { retry_after_ms };
                break;
            }
            Err(fleet::PlacementError::Limited { retry_after_ms }) if possible_runs == 0 => {
                gateway.meters.count_limited(&service.name);
                refusal = response::Refusal::Limited { retry_after_ms };
                break;
            }
            Err(_error) if attempts.has_arrived() => break,
            Err(_error) => return gateway.refuse(&request.head.attempt, response::Refusal::Nobody),
        };
        if attempts.has_arrived() && !gateway.retries.try_withdraw(request, &service.name) {
            break;
        }
        attempts.record_choice(placement.key);
        if let Some(subject) = trial {
            gateway.fleet.record_trial(request, subject);
        }
        let result = try_upstream(gateway, request, &route.name, &placement).await;
        attempts.record(&result);
        match result {
            Ok(response) if is_server_error(&response) => {
                possible_runs += 1;
                error_response = Some(response);
            }
            Ok(response) => return forward(gateway, request, response),
            Err(
                call::Failure::Displaced
                | call::Failure::NotRun(_)
                | call::Failure::NotSent(_)
                | call::Failure::Unreachable(_),
            ) => {}
            Err(
                failure @ (call::Failure::Late(_)
                | call::Failure::Lost(_)
                | call::Failure::Unknown(_)),
            ) => {
                possible_runs += 1;
                refusal = response::Refusal::of_failure(&failure);
            }
        }
        if request.unread.is_request_ended() || refusal == response::Refusal::TimedOut {
            break;
        }
        if possible_runs == 0 {
            continue;
        }
        let may_run_again =
            route.kind == routes::Kind::Idempotent && possible_runs < route.attempts;
        if trial.is_some() || !may_run_again || !gateway.fleet.may_repeat(request) {
            break;
        }
    }
    match error_response {
        // An upstream's error response tells the caller more than the gateway's.
        Some(response) => forward(gateway, request, response),
        None => gateway.refuse(&request.head.attempt, refusal),
    }
}

/// Head and complete body of an upstream's response.
pub(crate) type FullResponse = (http::response::Parts, unread::Body);

fn is_server_error(response: &FullResponse) -> bool {
    response.0.status.is_server_error()
}

/// Sends a request to one upstream and reads the complete response.
async fn try_upstream(
    gateway: &gateway::Gateway,
    request: &call::Request,
    route: &str,
    placement: &placement::Placement,
) -> Result<FullResponse, call::Failure> {
    let attempt = response::attempt_text(&request.head.attempt);
    logs::emit(
        events::REQUEST_PLACED,
        format_args!(
            "request={attempt} upstream={}{}",
            placement.name,
            placement::LimitText(placement.view.limit)
        ),
    );
    let options = call::Options {
        copy_to: None,
        resume: None,
    };
    let sent_at = time::Instant::now();
    let result = match call::send(request, placement, options).await {
        Ok(response) => {
            call::read_to_end(request, response, &placement.pool, &gateway.bodies).await
        }
        Err(failure) => Err(failure),
    };
    gateway
        .fleet
        .record_outcome(placement.key, call::classify(&result));
    if matches!(&result, Ok(response) if response.0.status.is_success()) {
        placement.record_first();
    }
    if let Some(sample) = rollout::sample_plain(&result, sent_at.elapsed()) {
        gateway
            .fleet
            .count_sample(route, request, placement, sample);
    }
    if result.is_ok() {
        // An error response, too, shows that the upstream lives on.
        gateway.fleet.record_answered(request);
    }
    if let Err(failure) = &result {
        logs::emit(
            events::ATTEMPT_FAILED,
            format_args!(
                "request={attempt} upstream={} why={failure:?}",
                placement.name
            ),
        );
        let broken = crash::Broken::of(&gateway.fleet, failure, request, placement);
        crash::examine(broken).await;
    }
    result
}

/// Returns an upstream's response as a response to the caller.
pub(crate) fn forward(
    gateway: &gateway::Gateway,
    request: &call::Request,
    response: FullResponse,
) -> response::Response {
    let (parts, body) = response;
    gateway.meters.count_answer(parts.status);
    logs::emit(
        events::REQUEST_ENDED,
        format_args!(
            "request={} status={} bytes={}",
            response::attempt_text(&request.head.attempt),
            parts.status.as_u16(),
            body.len()
        ),
    );
    response::forward(&parts, body)
}
