//! Generations: where one starts, and the relay of its events.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body;
use peargap_adapters::logs;
use peargap_core::event;
use peargap_core::routes;
use peargap_platform::head;
use tokio::sync::mpsc;
use tokio::time;
use tokio_stream::wrappers;

use crate::answer;
use crate::call;
use crate::events;
use crate::fleet;
use crate::gateway;
use crate::migrate;
use crate::plain;
use crate::pool;

/// Engines that one request is offered to at most.
const MAX_OFFERS: usize = 3;
/// Events that may wait for a slow caller.
const EVENT_BUFFER: usize = 32;
/// Tokens that a generation without a declared size is counted as.
const DEFAULT_TOKENS: u64 = 1000;
/// Tokens of an answer that are counted before it has begun.
const FIRST_TOKENS: u64 = 200;

/// What a generation's relay and its moves share.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) engine: routes::Engine,
    /// Id of the last event that went to the caller; 0 before the first.
    pub(crate) last_event: atomic::AtomicU64,
    pub(crate) request: call::Request,
    pub(crate) service: routes::Service,
}

impl Generation {
    /// Returns the tokens that it holds after so many events.
    pub(crate) fn count_tokens(&self, events: u64) -> u64 {
        let usage = self.request.head.usage;
        let prompt = usage.map_or(DEFAULT_TOKENS, |usage| usage.prompt);
        prompt + events * self.engine.stride + FIRST_TOKENS
    }

    /// Returns the id of the last event that went to the caller.
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
    pub(crate) answer: call::Answer,
    /// Engine that receives a copy of its memory.
    pub(crate) copy: Option<fleet::Place>,
    pub(crate) place: fleet::Place,
}

/// Serves a request by one engine.
pub(crate) async fn serve(
    gateway: &gateway::Gateway,
    request: call::Request,
    route: &routes::Route,
    service: &routes::Service,
) -> answer::Response {
    let Some(engine) = service.engine else {
        // A stream of a plain service is relayed like any answer.
        return plain_stream(gateway, request, route, service).await;
    };
    let attempt = request.head.attempt.clone();
    let generation = sync::Arc::new(Generation {
        engine,
        last_event: atomic::AtomicU64::new(0),
        request,
        service: service.clone(),
    });
    let started = start(gateway, &generation);
    let run = match time::timeout_at(generation.request.deadline, started).await {
        Ok(Ok(run)) => run,
        Ok(Err(refusal)) => return answer::refuse(&attempt, refusal),
        Err(_elapsed) => return answer::refuse(&attempt, answer::Refusal::TimedOut),
    };
    relay(gateway, generation, run).await
}

async fn plain_stream(
    gateway: &gateway::Gateway,
    request: call::Request,
    route: &routes::Route,
    service: &routes::Service,
) -> answer::Response {
    plain::serve(gateway, &request, route, service).await
}

/// Sends a generation to an engine; to another one where the first says that it has not run.
async fn start(
    gateway: &gateway::Gateway,
    generation: &Generation,
) -> Result<Run, answer::Refusal> {
    let mut tried = Vec::new();
    while tried.len() < MAX_OFFERS {
        let tokens = generation.count_tokens(0);
        let need = fleet::Need {
            except: &tried,
            service: &generation.service,
            tokens,
        };
        let place = match gateway.fleet.place_generation(need) {
            Ok(place) => place,
            Err(_miss) if !tried.is_empty() => break,
            Err(fleet::Miss::Full) => return Err(answer::Refusal::Full),
            Err(fleet::Miss::Nobody) => return Err(answer::Refusal::Nobody),
        };
        if !tried.is_empty() && !gateway.spend_retry() {
            break;
        }
        tried.push(place.key);
        let copy = place_copy(gateway, generation, &place, 0);
        let attempt = answer::show(&generation.request.head.attempt);
        logs::emit(
            events::REQUEST_PLACED,
            format_args!(
                "request={attempt} upstream={} copy={} tokens={}",
                place.name,
                copy.as_ref().map_or("none", |copy| &copy.name),
                tokens
            ),
        );
        let way = call::Way {
            copy_to: copy.as_ref().map(|copy| copy.address.as_str()),
            resume: None,
        };
        let sent = call::send(&generation.request, &place, way).await;
        gateway.fleet.note(place.key, sent.is_ok());
        match sent {
            Ok(answer) => {
                return Ok(Run {
                    answer,
                    copy,
                    place,
                })
            }
            Err(failure) => {
                logs::emit(
                    events::ATTEMPT_FAILED,
                    format_args!("request={attempt} upstream={} why={failure:?}", place.name),
                );
                if matches!(failure, call::Failure::Unknown(_)) {
                    return Err(answer::Refusal::UpstreamFailed);
                }
            }
        }
    }
    Err(answer::Refusal::NotTaken)
}

/// Picks the engine that receives a copy, where there is room for one.
pub(crate) fn place_copy(
    gateway: &gateway::Gateway,
    generation: &Generation,
    place: &fleet::Place,
    events: u64,
) -> Option<fleet::Place> {
    if !generation.engine.backs_up {
        return None;
    }
    let need = fleet::Need {
        except: &[place.key],
        service: &generation.service,
        tokens: generation.count_tokens(events),
    };
    gateway.fleet.place_copy(need).ok()
}

/// Answers with the head of a run and relays its events behind it.
async fn relay(
    gateway: &gateway::Gateway,
    generation: sync::Arc<Generation>,
    run: Run,
) -> answer::Response {
    let status = run.answer.head.status;
    let headers = head::copy_headers(&run.answer.head.headers);
    if !status.is_success() {
        return pass_failure(&generation, run).await;
    }
    let (sender, events) = mpsc::channel(EVENT_BUFFER);
    let relay = Relay::new(gateway.clone(), generation, run, sender);
    tokio::spawn(relay.run());
    let frames = wrappers::ReceiverStream::new(events);
    let frames = frames.map(|event: Result<Bytes, answer::Broken>| event.map(body::Frame::data));
    let mut response = http::Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Passes on an engine's own failure.
async fn pass_failure(generation: &Generation, run: Run) -> answer::Response {
    let attempt = &generation.request.head.attempt;
    match call::read_whole(run.answer, &run.place.pool).await {
        Ok((parts, body)) => {
            logs::emit(
                events::REQUEST_ENDED,
                format_args!(
                    "request={} status={} upstream={}",
                    answer::show(attempt),
                    parts.status.as_u16(),
                    run.place.name
                ),
            );
            let mut response = http::Response::new(answer::whole(body));
            *response.status_mut() = parts.status;
            *response.headers_mut() = head::copy_headers(&parts.headers);
            response
        }
        Err(_failure) => answer::refuse(attempt, answer::Refusal::UpstreamFailed),
    }
}

/// Passes a generation's events on until its end.
struct Relay {
    buffer: BytesMut,
    changes: tokio::sync::watch::Receiver<u64>,
    copy: Option<fleet::Place>,
    events: u64,
    gateway: gateway::Gateway,
    generation: sync::Arc<Generation>,
    migration: Option<migrate::Migration>,
    place: fleet::Place,
    sender: mpsc::Sender<Result<Bytes, answer::Broken>>,
    source: Source,
}

/// Where events come from.
enum Source {
    /// The present engine.
    Engine(Box<EngineBody>),
    /// The present engine has stopped; the next one is on its way.
    Stopped,
}

struct EngineBody {
    body: body::Incoming,
    keep_s: Option<u64>,
    sender: pool::Sender,
}

/// What happened to a relay.
enum Step {
    /// The caller has left.
    CallerLeft,
    /// Bytes arrived.
    Data(Bytes),
    /// The engine says that the answer is complete.
    End,
    /// The stream broke, for this reason.
    Fault(String),
    /// A move ended.
    Moved(Result<Run, migrate::Failure>),
    /// Something changed in the fleet.
    Noticed,
    /// The deadline has passed.
    TimedOut,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// Go on.
    GoOn,
    /// Stop; the answer was broken off.
    Broken(&'static str),
    /// Stop; the answer is complete.
    Complete,
    /// Stop; nobody waits.
    Left,
}

impl Relay {
    fn new(
        gateway: gateway::Gateway,
        generation: sync::Arc<Generation>,
        run: Run,
        sender: mpsc::Sender<Result<Bytes, answer::Broken>>,
    ) -> Relay {
        let changes = gateway.fleet.changes();
        Relay {
            buffer: BytesMut::new(),
            changes,
            copy: run.copy,
            events: 0,
            gateway,
            generation,
            migration: None,
            place: run.place,
            sender,
            source: Source::from_answer(run.answer),
        }
    }

    async fn run(mut self) {
        self.changes.mark_changed();
        let end = loop {
            let step = self.wait().await;
            match self.handle(step).await {
                Next::GoOn => {}
                end => break end,
            }
        };
        if let Next::Broken(_why) = end {
            // A caller that has left needs no word.
            let _ = self.sender.send(Err(answer::Broken)).await;
        }
        logs::emit(
            events::REQUEST_ENDED,
            format_args!(
                "request={} end={end:?} events={} upstream={}",
                answer::show(&self.generation.request.head.attempt),
                self.events,
                self.place.name
            ),
        );
    }

    async fn wait(&mut self) -> Step {
        let deadline = self.generation.request.deadline;
        let migration = self.migration.as_mut();
        let moved = async {
            match migration {
                Some(migration) => migration.done().await,
                None => core::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.sender.closed() => Step::CallerLeft,
            () = time::sleep_until(deadline) => Step::TimedOut,
            result = moved => Step::Moved(result),
            step = self.source.read() => step,
            result = self.changes.changed() => match result {
                Ok(()) => Step::Noticed,
                Err(_closed) => Step::Fault("the gateway ends".to_owned()),
            },
        }
    }

    async fn handle(&mut self, step: Step) -> Next {
        match step {
            Step::CallerLeft => Next::Left,
            Step::Data(data) => self.pass_on(&data).await,
            Step::End => self.end(),
            Step::Fault(why) => self.recover(&why),
            Step::Moved(result) => self.take_move(result),
            Step::Noticed => self.notice(),
            Step::TimedOut => Next::Broken("time is over"),
        }
    }

    /// Passes on the whole events that have arrived and that the caller has not had.
    async fn pass_on(&mut self, data: &[u8]) -> Next {
        self.buffer.extend_from_slice(data);
        while let Some(event) = event::scan_event(&self.buffer) {
            let bytes = self.buffer.split_to(event.bytes).freeze();
            let last = self.generation.last_event.load(atomic::Ordering::Relaxed);
            if event.id.is_some_and(|id| id <= last && self.events > 0) {
                continue;
            }
            if self.sender.send(Ok(bytes)).await.is_err() {
                return Next::Left;
            }
            self.events += 1;
            if let Some(id) = event.id {
                self.generation
                    .last_event
                    .store(id, atomic::Ordering::Relaxed);
            }
        }
        let tokens = self.generation.count_tokens(self.events);
        self.place.grow(tokens);
        if let Some(copy) = &mut self.copy {
            copy.grow(tokens);
        }
        Next::GoOn
    }

    fn end(&mut self) -> Next {
        if !self.buffer.is_empty() {
            return self.recover("the stream ended within an event");
        }
        // A last copy stops the run, which may look like its end.
        if self.migration.as_ref().is_some_and(migrate::Migration::has_stopped_run) {
            self.source = Source::Stopped;
            return Next::GoOn;
        }
        let source = core::mem::replace(&mut self.source, Source::Stopped);
        if let Source::Engine(engine) = source {
            self.place.pool.release(engine.sender, engine.keep_s);
        }
        self.gateway.fleet.note(self.place.key, true);
        Next::Complete
    }

    /// Goes on at the engine with the copy after the present one broke off.
    fn recover(&mut self, why: &str) -> Next {
        self.source = Source::Stopped;
        self.buffer.clear();
        logs::emit(
            events::ATTEMPT_FAILED,
            format_args!(
                "request={} upstream={} why={why} events={}",
                answer::show(&self.generation.request.head.attempt),
                self.place.name,
                self.events
            ),
        );
        if self.migration.is_some() {
            return Next::GoOn;
        }
        self.gateway.fleet.note(self.place.key, false);
        match self.copy.take() {
            Some(copy) => {
                self.migrate(migrate::Reason::Broken, Some(copy));
                Next::GoOn
            }
            None => Next::Broken("the engine broke off"),
        }
    }

    /// Moves the generation when its engine is about to leave.
    fn notice(&mut self) -> Next {
        if self.migration.is_some() || !self.gateway.fleet.is_leaving(self.place.key) {
            return Next::GoOn;
        }
        let copy = self.copy.take();
        let copy = copy.filter(|copy| self.gateway.fleet.is_steady(copy.key));
        self.migrate(migrate::Reason::Leaving, copy);
        Next::GoOn
    }

    fn migrate(&mut self, reason: migrate::Reason, copy: Option<fleet::Place>) {
        logs::emit(
            events::MOVE_STARTED,
            format_args!(
                "request={} from={} copy={} why={reason:?} events={}",
                answer::show(&self.generation.request.head.attempt),
                self.place.name,
                copy.as_ref().map_or("none", |copy| &copy.name),
                self.events
            ),
        );
        self.migration = Some(migrate::Migration::start(migrate::Start {
            copy,
            from_address: self.place.address.clone(),
            from_key: self.place.key,
            from_pool: self.place.pool.clone(),
            gateway: self.gateway.clone(),
            generation: self.generation.clone(),
            reason,
            tokens: self.generation.count_tokens(self.events),
        }));
    }

    fn take_move(&mut self, result: Result<Run, migrate::Failure>) -> Next {
        self.migration = None;
        match result {
            Ok(run) => {
                logs::emit(
                    events::MOVE_DONE,
                    format_args!(
                        "request={} from={} to={} events={}",
                        answer::show(&self.generation.request.head.attempt),
                        self.place.name,
                        run.place.name,
                        self.events
                    ),
                );
                self.buffer.clear();
                self.source = Source::from_answer(run.answer);
                self.place = run.place;
                self.copy = run.copy;
                // The new engine may be leaving by now.
                self.notice()
            }
            Err(failure) => {
                logs::emit(
                    events::MOVE_FAILED,
                    format_args!(
                        "request={} from={} why={failure:?}",
                        answer::show(&self.generation.request.head.attempt),
                        self.place.name
                    ),
                );
                match self.source {
                    Source::Engine(_) => Next::GoOn,
                    Source::Stopped => Next::Broken("no engine goes on"),
                }
            }
        }
    }
}

impl Source {
    fn from_answer(answer: call::Answer) -> Source {
        Source::Engine(Box::new(EngineBody {
            body: answer.body,
            keep_s: answer.keep_s,
            sender: answer.sender,
        }))
    }

    async fn read(&mut self) -> Step {
        let Source::Engine(engine) = self else {
            return core::future::pending().await;
        };
        loop {
            match engine.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Step::Data(data);
                    }
                }
                Some(Err(error)) => return Step::Fault(error.to_string()),
                None => return Step::End,
            }
        }
    }
}
