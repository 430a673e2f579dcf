//! A request whose response is a stream of events, and the response to its caller.
//!
//! Most streams come from engines. What only those have, such as memory that can be copied, is left out for
//! the streams of other services.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use futures::StreamExt as _;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body;
use peargap_adapters::logs;
use peargap_adapters::panics;
use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::event_timing;
use peargap_core::output_forecast;
use peargap_core::pace;
use peargap_core::rate_limit;
use peargap_core::rollout::counts;
use peargap_core::routes;
use peargap_core::sse;
use peargap_platform::head;
use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers;

use crate::call;
use crate::events;
use crate::fleet;
use crate::gateway;
use crate::migrate;
use crate::placement;
use crate::plain;
use crate::relay;
use crate::response;
use crate::run_guard;
use crate::starting;

/// Assumed prompt length of a request that declares none, in tokens.
const DEFAULT_PROMPT_TOKENS: u64 = 1000;
/// Output tokens reserved beyond those received so far.
const RESERVED_OUTPUT_TOKENS: u64 = 200;

/// How generations of a service get the room of its engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Order {
    /// Each looks again and again for a short time.
    Poll,
    /// They wait in an order, at all gateways.
    Queue,
}

/// State of a stream that its relay and its moves share.
#[derive(Debug)]
pub(crate) struct Generation {
    /// Class by which its output is forecast.
    pub(crate) class: output_forecast::Class,
    /// Engines of its service; `None` for a service without engines.
    pub(crate) engine: Option<routes::Engine>,
    /// Engines at which it runs.
    pub(crate) engines: run_guard::Engines,
    /// ID of the last event sent to the caller; 0 before the first.
    pub(crate) last_event: atomic::AtomicU64,
    pub(crate) order: Order,
    pub(crate) targets: event_timing::Targets,
    pub(crate) request: call::Request,
    /// Name of its route.
    pub(crate) route: String,
    pub(crate) service: routes::Service,
}

impl Generation {
    /// Estimates the tokens that it holds in an engine's memory after this many events; 0 at a service
    /// without engines.
    pub(crate) fn estimate_tokens(&self, events: u64) -> u64 {
        match self.engine {
            Some(_engine) => estimate_tokens(&self.request, self.count_tokens(events)),
            None => 0,
        }
    }

    /// Returns the output tokens in this many events.
    pub(crate) fn count_tokens(&self, events: u64) -> u64 {
        events * self.stride()
    }

    /// Returns the output tokens in an event; 1 where it is not known.
    pub(crate) fn stride(&self) -> u64 {
        self.engine.map_or(1, |engine| engine.stride)
    }

    /// Returns whether the memory of its run can be copied to another engine on demand.
    pub(crate) fn can_move(&self) -> bool {
        self.engine.is_some_and(|engine| engine.can_move)
    }

    /// Returns what it is expected to hold later in an engine's memory after `produced` tokens.
    pub(crate) fn later(
        &self,
        forecasts: &output_forecast::Forecasts,
        produced: u64,
    ) -> engine_room::Later {
        forecasts.later(self.class, self.forecast_request(), produced)
    }

    fn forecast_request(&self) -> output_forecast::Request {
        forecast_request(&self.request)
    }

    /// Returns what it needs of an upstream.
    pub(crate) fn need(&self) -> pace::Need {
        pace_need(&self.request, self.targets, self.engine)
    }

    /// Counts what the engine at `placement` answered, for a rollout in progress.
    pub(crate) fn count_sample(
        &self,
        fleet: &fleet::Fleet,
        placement: &placement::Placement,
        sample: counts::Sample,
    ) {
        fleet.count_sample(&self.route, &self.request, placement, sample);
    }

    /// Returns the ID of the last event sent to the caller.
    pub(crate) fn last_event(&self) -> Option<u64> {
        match self.last_event.load(atomic::Ordering::Relaxed) {
            0 => None,
            id => Some(id),
        }
    }
}

/// Estimates the tokens that a request holds in an engine's memory as it begins.
pub(crate) fn estimate_start_tokens(request: &call::Request) -> u64 {
    estimate_tokens(request, 0)
}

/// Estimates the tokens that a request holds in an engine's memory after `produced` tokens.
fn estimate_tokens(request: &call::Request, produced: u64) -> u64 {
    forecast_request(request).prompt + produced + RESERVED_OUTPUT_TOKENS
}

fn forecast_request(request: &call::Request) -> output_forecast::Request {
    let head = &request.head;
    output_forecast::Request {
        hint: head.length_hint,
        max_output: head.usage.map(|usage| usage.max_output),
        prompt: head
            .usage
            .map_or(DEFAULT_PROMPT_TOKENS, |usage| usage.prompt),
    }
}

/// Returns what a request needs of an upstream. Without a declared output it counts as long at an
/// engine.
pub(crate) fn pace_need(
    request: &call::Request,
    targets: event_timing::Targets,
    engine: Option<routes::Engine>,
) -> pace::Need {
    let Some(engine) = engine else {
        return pace::Need {
            objective_ms: targets.first_ms,
            ..pace::Need::default()
        };
    };
    let declared = request.head.usage.map(|usage| usage.max_output);
    let output = request.head.length_hint.or(declared);
    pace::Need {
        gap_ms: targets.gap_ms,
        objective_ms: targets.first_ms,
        span: output.map_or(pace::Span::Long, |output| {
            pace::Span::of_output(output, engine.stride)
        }),
    }
}

/// A stream at one upstream.
#[derive(Debug)]
pub(crate) struct Run {
    /// Backup copy of its memory.
    pub(crate) copy: Option<migrate::Copy>,
    pub(crate) guard: run_guard::Guard,
    pub(crate) placement: placement::Placement,
    pub(crate) response: call::Response,
}

/// Head of the response to a request that runs, or has run.
#[derive(Debug)]
pub(crate) struct Sent {
    pub(crate) guard: run_guard::Guard,
    pub(crate) response: call::Response,
}

/// Sends the request to an upstream and returns the head of the response. If that does not come, or
/// nobody waits for it any more, a run that may have begun is ended.
pub(crate) async fn send(
    gateway: &gateway::Gateway,
    generation: &Generation,
    placement: &placement::Placement,
    options: call::Options<'_>,
) -> Result<Sent, call::Failure> {
    let guard = run_guard::Guard::begin(&gateway.fleet, &gateway.meters, generation, placement);
    match call::send(&generation.request, placement, options).await {
        Ok(response) => Ok(Sent { guard, response }),
        Err(failure) => {
            if !failure.may_have_run() {
                guard.finish();
            }
            Err(failure)
        }
    }
}

/// Serves a request by a stream from an upstream of a service. One whose response has not begun when the
/// process ends is answered like one whose deadline has passed.
pub(crate) async fn serve(
    gateway: &gateway::Gateway,
    request: call::Request,
    route: &routes::Route,
    service: &routes::Service,
    order: Order,
) -> response::Response {
    let attempt = request.head.attempt.clone();
    tokio::select! {
        biased;
        response = begin(gateway, request, route, service, order) => response,
        () = gateway.stop.wait_for_last_answers() => {
            gateway.refuse(&attempt, response::Refusal::CutOff)
        }
    }
}

/// Returns the response to a request once it has begun.
async fn begin(
    gateway: &gateway::Gateway,
    request: call::Request,
    route: &routes::Route,
    service: &routes::Service,
    order: Order,
) -> response::Response {
    let attempt = request.head.attempt.clone();
    let room = &gateway.fleet.room;
    let generation = sync::Arc::new(Generation {
        class: room.classify(&route.name, request.head.length_hint),
        engine: service.engine,
        engines: run_guard::Engines::default(),
        order,
        last_event: atomic::AtomicU64::new(0),
        targets: event_timing::Targets {
            first_ms: route.objective_ms,
            gap_ms: route.gap_ms,
        },
        request,
        route: route.name.clone(),
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
    let started = starting::Starting::new(gateway, &generation, objective, repeats).run();
    let run = match time::timeout_at(generation.request.deadline, started).await {
        Ok(Ok(run)) => run,
        Ok(Err(refusal)) => return gateway.refuse(&attempt, refusal),
        Err(_elapsed) => return gateway.refuse(&attempt, response::Refusal::TimedOut),
    };
    relay(gateway, generation, run).await
}

/// Picks an engine for the backup copy, if the service keeps one and an engine has the capacity.
pub(crate) fn place_backup(
    gateway: &gateway::Gateway,
    generation: &Generation,
    placement: &placement::Placement,
    events: u64,
) -> Option<migrate::Copy> {
    let keeps_backup = generation.engine.is_some_and(|engine| engine.keeps_backup);
    if !keeps_backup {
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
        need: generation.need(),
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
    let is_stream = match sse::content(run.response.head.headers.get(header::CONTENT_TYPE)) {
        sse::Content::Events | sse::Content::Undeclared => status.is_success(),
        sse::Content::Other => false,
    };
    if !is_stream {
        return forward_whole(gateway, &generation, run).await;
    }
    // The budget for what callers have not read bounds it.
    let (sender, events) = mpsc::unbounded_channel();
    let relay = relay::Relay::new(gateway.clone(), generation, run, sender.clone());
    tokio::spawn(async move {
        if panics::catch(relay.run()).await.is_err() {
            // Without it, the response would look complete. Fails if the caller has left.
            let _ = sender.send(Err(response::Interrupted));
        }
    });
    let frames = wrappers::UnboundedReceiverStream::new(events);
    let frames =
        frames.map(|event: Result<Bytes, response::Interrupted>| event.map(body::Frame::data));
    let mut response = http::Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Forwards a response that is no stream of events, such as a failure.
async fn forward_whole(
    gateway: &gateway::Gateway,
    generation: &Generation,
    run: Run,
) -> response::Response {
    let request = &generation.request;
    let Run {
        guard,
        placement,
        response,
        ..
    } = run;
    // An engine that answers a failure has ended the run, whatever it sends on.
    let guard = match response.head.status.is_server_error() {
        true => {
            guard.finish();
            None
        }
        false => Some(guard),
    };
    match call::read_to_end(request, response, &placement.pool, &gateway.bodies).await {
        Ok(response) => {
            if let Some(guard) = guard {
                guard.finish();
            }
            gateway.fleet.record_answered(request);
            plain::forward(gateway, request, response)
        }
        Err(failure) => {
            logs::emit(
                events::ATTEMPT_FAILED,
                format_args!(
                    "request={} upstream={} why={failure:?}",
                    response::attempt_text(&request.head.attempt),
                    placement.name
                ),
            );
            let refusal = response::Refusal::of_failure(&failure);
            gateway.refuse(&request.head.attempt, refusal)
        }
    }
}
