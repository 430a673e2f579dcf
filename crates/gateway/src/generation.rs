//! Start of a generation at an engine, and its response to the caller.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body;
use peargap_adapters::logs;
use peargap_core::balance;
use peargap_core::event_timing;
use peargap_core::quarantine;
use peargap_core::rate_limit;
use peargap_core::routes;
use peargap_platform::head;
use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers;

use crate::attempts;
use crate::call;
use crate::events;
use crate::fleet;
use crate::gateway;
use crate::migrate;
use crate::placement;
use crate::plain;
use crate::relay;
use crate::response;

/// Maximum number of engines that a request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Events buffered for a slow caller.
const EVENT_BUFFER: usize = 32;
/// Assumed prompt length of a request that declares none, in tokens.
const DEFAULT_PROMPT_TOKENS: u64 = 1000;
/// Output tokens reserved beyond those received so far.
const RESERVED_OUTPUT_TOKENS: u64 = 200;
/// Interval at which a waiting generation looks for an engine with free capacity.
const CAPACITY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(30);
/// A request waits for free capacity for at most the latency objective divided by this. After that
/// it is refused, so that its caller learns early that there is none.
const CAPACITY_WAIT_DIVISOR: u32 = 8;

/// State of a generation that its relay and its moves share.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) engine: routes::Engine,
    /// ID of the last event sent to the caller; 0 before the first.
    pub(crate) last_event: atomic::AtomicU64,
    pub(crate) targets: event_timing::Targets,
    pub(crate) request: call::Request,
    pub(crate) service: routes::Service,
}

impl Generation {
    /// Estimates the tokens that it holds in an engine's memory after this many events.
    pub(crate) fn estimate_tokens(&self, events: u64) -> u64 {
        let usage = self.request.head.usage;
        let prompt = usage.map_or(DEFAULT_PROMPT_TOKENS, |usage| usage.prompt);
        prompt + events * self.engine.stride + RESERVED_OUTPUT_TOKENS
    }

    /// Returns the ID of the last event sent to the caller.
    pub(crate) fn last_event(&self) -> Option<u64> {
        match self.last_event.load(atomic::Ordering::Relaxed) {
            0 => None,
            id => Some(id),
        }
    }
}

/// A generation at one engine.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) response: call::Response,
    /// Backup copy of its memory.
    pub(crate) copy: Option<migrate::Copy>,
    pub(crate) placement: placement::Placement,
}

/// Serves a request as a generation, or as a plain call if the service has no engines.
pub(crate) async fn serve(
    gateway: &gateway::Gateway,
    request: call::Request,
    route: &routes::Route,
    service: &routes::Service,
) -> response::Response {
    let Some(engine) = service.engine else {
        return plain::serve(gateway, &request, route, service).await;
    };
    let attempt = request.head.attempt.clone();
    let generation = sync::Arc::new(Generation {
        engine,
        last_event: atomic::AtomicU64::new(0),
        targets: event_timing::Targets {
            first_ms: route.objective_ms,
            gap_ms: route.gap_ms,
        },
        request,
        service: service.clone(),
    });
    if gateway.stop.may_cut_off(&generation) {
        return gateway.refuse(&attempt, response::Refusal::Stopping);
    }
    let objective = time::Duration::from_millis(route.objective_ms);
    let repeats = match route.is_resumable {
        true => route.attempts.saturating_sub(1),
        false => 0,
    };
    let started = start(gateway, &generation, objective, repeats);
    let run = match time::timeout_at(generation.request.deadline, started).await {
        Ok(Ok(run)) => run,
        Ok(Err(refusal)) => return gateway.refuse(&attempt, refusal),
        Err(_elapsed) => return gateway.refuse(&attempt, response::Refusal::TimedOut),
    };
    relay(gateway, generation, run).await
}

/// Starts a generation at an engine. Another engine is tried if the request has not run at the first
/// one. If it may have run there, it continues at its copy, if there is one, or is repeated up to
/// `repeats` times.
async fn start(
    gateway: &gateway::Gateway,
    generation: &sync::Arc<Generation>,
    objective: time::Duration,
    mut repeats: u32,
) -> Result<Run, response::Refusal> {
    let mut attempts = attempts::Attempts::new(MAX_ATTEMPTS);
    // Refusal if no other engine is tried.
    let mut refusal = response::Refusal::NotTaken;
    let waiting_since = time::Instant::now();
    let capacity_deadline = waiting_since + objective / CAPACITY_WAIT_DIVISOR;
    while !attempts.is_exhausted() {
        let prompt = &generation.request.head.prompt;
        let verdict = gateway.fleet.admit_prompt(prompt);
        if let quarantine::Verdict::Refuse {
            part,
            retry_after_ms,
        } = verdict
        {
            return Err(match refusal {
                response::Refusal::NotTaken => response::Refusal::Quarantined {
                    part,
                    retry_after_ms,
                },
                may_have_run => may_have_run,
            });
        }
        let tokens = generation.estimate_tokens(0);
        let criteria = fleet::Criteria {
            exclude: attempts.tried(),
            near: None,
            purpose: attempts.purpose(),
            service: &generation.service,
            tokens,
        };
        let mut placement = match gateway.fleet.place_generation(criteria) {
            Ok(placement) => placement,
            Err(fleet::PlacementError::Paused { retry_after_ms })
                if refusal == response::Refusal::NotTaken =>
            {
                return Err(response::Refusal::Paused { retry_after_ms });
            }
            Err(_error) if attempts.has_arrived() => break,
            Err(fleet::PlacementError::Full | fleet::PlacementError::Limited { .. })
                if time::Instant::now() < capacity_deadline =>
            {
                time::sleep(CAPACITY_POLL_INTERVAL).await;
                continue;
            }
            Err(fleet::PlacementError::Full) => return Err(response::Refusal::Full),
            Err(fleet::PlacementError::Limited { retry_after_ms }) => {
                gateway.meters.count_limited(&generation.service.name);
                return Err(response::Refusal::Limited { retry_after_ms });
            }
            Err(fleet::PlacementError::NoUpstream | fleet::PlacementError::Paused { .. }) => {
                return Err(response::Refusal::Nobody);
            }
        };
        if attempts.tried().is_empty() {
            gateway.meters.record_wait(waiting_since.elapsed());
        }
        if attempts.has_arrived()
            && !gateway
                .retries
                .try_withdraw(&generation.request, &generation.service.name)
        {
            break;
        }
        attempts.record_choice(placement.key);
        let sent_at = time::Instant::now();
        let copy = place_backup(gateway, generation, &placement, 0);
        let attempt = response::attempt_text(&generation.request.head.attempt);
        logs::emit(
            events::REQUEST_PLACED,
            format_args!(
                "request={attempt} upstream={} copy={} tokens={tokens} {}",
                placement.name,
                copy.as_ref().map_or("none", |copy| &copy.placement.name),
                placement.view
            ),
        );
        let options = call::Options {
            copy_to: copy.as_ref().map(|copy| copy.placement.address.as_str()),
            resume: None,
        };
        let sent = tokio::select! {
            sent = call::send(&generation.request, &placement, options) => sent,
            // An engine that has not begun to write drops the request with its connection.
            () = gateway.fleet.wait_until_quarantined(prompt),
                if verdict == quarantine::Verdict::Allow =>
            {
                return Err(response::Refusal::UpstreamFailed);
            }
        };
        gateway
            .fleet
            .record_outcome(placement.key, call::classify(&sent));
        attempts.record(&sent);
        match sent {
            Ok(response) => {
                placement.finish_prompt();
                logs::emit(
                    events::GENERATION_BEGUN,
                    format_args!(
                        "request={attempt} upstream={} waited_ms={} parts={}",
                        placement.name,
                        sent_at.elapsed().as_millis(),
                        generation.request.head.prompt
                    ),
                );
                return Ok(Run {
                    response,
                    copy,
                    placement,
                });
            }
            Err(failure) => {
                logs::emit(
                    events::ATTEMPT_FAILED,
                    format_args!(
                        "request={attempt} upstream={} why={failure:?}",
                        placement.name
                    ),
                );
                if !failure.may_have_run() {
                    continue;
                }
                if let Some(run) = resume_at_copy(gateway, generation, copy).await {
                    return Ok(run);
                }
                if repeats == 0 {
                    return Err(response::Refusal::UpstreamFailed);
                }
                repeats -= 1;
                refusal = response::Refusal::UpstreamFailed;
            }
        }
    }
    Err(refusal)
}

/// Continues a generation at its copy after its engine failed without a response.
async fn resume_at_copy(
    gateway: &gateway::Gateway,
    generation: &sync::Arc<Generation>,
    copy: Option<migrate::Copy>,
) -> Option<Run> {
    let reason = migrate::Reason::Broken;
    let mut resuming = migrate::resume(gateway.clone(), generation.clone(), copy?, reason, None);
    let attempt = response::attempt_text(&generation.request.head.attempt);
    match resuming.wait().await {
        Ok(run) => {
            logs::emit(
                events::MOVE_COMPLETED,
                format_args!(
                    "request={attempt} from=none to={} events=0",
                    run.placement.name
                ),
            );
            Some(run)
        }
        Err(failure) => {
            logs::emit(
                events::MOVE_FAILED,
                format_args!("request={attempt} from=none why={failure:?}"),
            );
            None
        }
    }
}

/// Picks an engine for the backup copy, if the service keeps one and an engine has the capacity.
pub(crate) fn place_backup(
    gateway: &gateway::Gateway,
    generation: &Generation,
    placement: &placement::Placement,
    events: u64,
) -> Option<migrate::Copy> {
    if !generation.engine.keeps_backup {
        return None;
    }
    let purpose = balance::Purpose::Backup;
    let placement = place_copy(gateway, generation, placement, events, purpose)?;
    let origin = migrate::Origin::Backup;
    Some(migrate::Copy { origin, placement })
}

/// Picks an engine with enough free memory for a copy of the generation at `placement`.
pub(crate) fn place_copy(
    gateway: &gateway::Gateway,
    generation: &Generation,
    placement: &placement::Placement,
    events: u64,
    purpose: balance::Purpose,
) -> Option<placement::Placement> {
    let criteria = fleet::Criteria {
        exclude: &[placement.key],
        near: Some(placement.key),
        purpose: rate_limit::Purpose::Copy,
        service: &generation.service,
        tokens: generation.estimate_tokens(events),
    };
    gateway.fleet.place_copy(criteria, purpose).ok()
}

/// Returns the response to the caller and starts the relay of events into its body.
async fn relay(
    gateway: &gateway::Gateway,
    generation: sync::Arc<Generation>,
    run: Run,
) -> response::Response {
    let status = run.response.head.status;
    let headers = head::copy_headers(&run.response.head.headers);
    if !status.is_success() {
        return forward_error(gateway, &generation, run).await;
    }
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let relay = relay::Relay::new(gateway.clone(), generation, run, sender);
    tokio::spawn(relay.run());
    let frames = wrappers::ReceiverStream::new(events);
    let frames =
        frames.map(|event: Result<Bytes, response::Interrupted>| event.map(body::Frame::data));
    let mut response = http::Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Forwards an engine's error response.
async fn forward_error(
    gateway: &gateway::Gateway,
    generation: &Generation,
    run: Run,
) -> response::Response {
    let attempt = &generation.request.head.attempt;
    match call::read_to_end(run.response, &run.placement.pool, &gateway.bodies).await {
        Ok((parts, body)) => {
            logs::emit(
                events::REQUEST_ENDED,
                format_args!(
                    "request={} status={} upstream={}",
                    response::attempt_text(attempt),
                    parts.status.as_u16(),
                    run.placement.name
                ),
            );
            response::forward(&parts, body)
        }
        Err(_failure) => gateway.refuse(attempt, response::Refusal::UpstreamFailed),
    }
}
