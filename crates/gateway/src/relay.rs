//! The relay of a generation's events, from one engine after the other.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body;
use peargap_adapters::logs;
use peargap_core::balance;
use peargap_core::event;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::answer;
use crate::call;
use crate::events;
use crate::fleet;
use crate::gateway;
use crate::generation;
use crate::migrate;
use crate::pool;

/// Time between tries to get a copy for a generation whose engine leaves.
const COPY_RETRY: time::Duration = time::Duration::from_millis(60);

/// Passes a generation's events on until its end.
pub(crate) struct Relay {
    buffer: BytesMut,
    changes: watch::Receiver<u64>,
    copy: Option<migrate::Copy>,
    copying: Option<migrate::Task<migrate::Copy>>,
    events: u64,
    gateway: gateway::Gateway,
    generation: sync::Arc<generation::Generation>,
    moving: Option<migrate::Task<generation::Run>>,
    place: fleet::Place,
    sender: mpsc::Sender<Result<Bytes, answer::Broken>>,
    source: Source,
    /// When to look after the copy again.
    wake: Option<time::Instant>,
}

/// Where events come from.
enum Source {
    /// The present engine.
    Engine(Box<Stream>),
    /// The present engine has broken off.
    Stopped,
}

/// An engine's answer.
struct Stream {
    body: body::Incoming,
    keep_s: Option<u64>,
    sender: pool::Sender,
}

/// What happened to a relay.
enum Step {
    /// The caller has left.
    CallerLeft,
    /// A copy ended.
    Copied(Result<migrate::Copy, migrate::Failure>),
    /// Bytes arrived.
    Data(Bytes),
    /// The engine says that the answer is complete.
    End,
    /// The stream broke, for this reason.
    Fault(String),
    /// A move ended.
    Moved(Result<Box<generation::Run>, migrate::Failure>),
    /// Something changed in the fleet, or it is time to look after the copy.
    Noticed,
    /// The deadline has passed.
    TimedOut,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// Stop; the answer was broken off.
    Broken(&'static str),
    /// Stop; the answer is complete.
    Complete,
    /// Go on.
    GoOn,
    /// Stop; nobody waits.
    Left,
}

impl Relay {
    /// Returns the relay of a run to a caller.
    pub(crate) fn new(
        gateway: gateway::Gateway,
        generation: sync::Arc<generation::Generation>,
        run: generation::Run,
        sender: mpsc::Sender<Result<Bytes, answer::Broken>>,
    ) -> Relay {
        let mut changes = gateway.fleet.changes();
        // The engine may have begun to leave before its first token.
        changes.mark_changed();
        Relay {
            buffer: BytesMut::new(),
            changes,
            copy: run.copy,
            copying: None,
            events: 0,
            gateway,
            generation,
            moving: None,
            place: run.place,
            sender,
            source: Source::from_answer(run.answer),
            wake: None,
        }
    }

    /// Relays until the answer ends.
    pub(crate) async fn run(mut self) {
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
                self.attempt(),
                self.events,
                self.place.name
            ),
        );
    }

    fn attempt(&self) -> std::borrow::Cow<'_, str> {
        answer::show(&self.generation.request.head.attempt)
    }

    async fn wait(&mut self) -> Step {
        let deadline = self.generation.request.deadline;
        tokio::select! {
            biased;
            () = self.sender.closed() => Step::CallerLeft,
            () = time::sleep_until(deadline) => Step::TimedOut,
            result = wait_task(&mut self.moving) => Step::Moved(result.map(Box::new)),
            result = wait_task(&mut self.copying) => Step::Copied(result),
            step = self.source.read() => step,
            result = self.changes.changed() => match result {
                Ok(()) => Step::Noticed,
                Err(_closed) => Step::Fault("the gateway ends".to_owned()),
            },
            () = wait_until(self.wake) => Step::Noticed,
        }
    }

    async fn handle(&mut self, step: Step) -> Next {
        match step {
            Step::CallerLeft => Next::Left,
            Step::Copied(result) => self.take_copy(result),
            Step::Data(data) => self.pass_on(&data).await,
            Step::End => self.end(),
            Step::Fault(why) => self.stop(&why),
            Step::Moved(result) => self.take_move(result),
            Step::Noticed => self.advance(),
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
            copy.place.grow(tokens);
        }
        Next::GoOn
    }

    fn end(&mut self) -> Next {
        if !self.buffer.is_empty() {
            return self.stop("the stream ended within an event");
        }
        let source = core::mem::replace(&mut self.source, Source::Stopped);
        if let Source::Engine(engine) = source {
            self.place.pool.release(engine.sender, engine.keep_s);
        }
        self.gateway.fleet.note(self.place.key, true);
        Next::Complete
    }

    /// Notes that the present engine broke off.
    fn stop(&mut self, why: &str) -> Next {
        self.source = Source::Stopped;
        self.buffer.clear();
        self.copying = None;
        logs::emit(
            events::ATTEMPT_FAILED,
            format_args!(
                "request={} upstream={} why={why} events={}",
                self.attempt(),
                self.place.name,
                self.events
            ),
        );
        if !self.gateway.fleet.is_leaving(self.place.key) {
            self.gateway.fleet.note(self.place.key, false);
        }
        self.advance()
    }

    /// Decides what the generation needs now: another engine, another copy, or nothing.
    fn advance(&mut self) -> Next {
        self.wake = None;
        if self.moving.is_some() {
            return Next::GoOn;
        }
        let fleet = &self.gateway.fleet;
        let is_sound = |copy: &migrate::Copy| fleet.is_steady(copy.place.key);
        if matches!(self.source, Source::Stopped) {
            return self.leave(migrate::Reason::Broken);
        }
        let leaves = fleet.is_leaving(self.place.key);
        if !self.copy.as_ref().is_some_and(is_sound) {
            self.copy = None;
        }
        match leaves {
            true => self.leave(migrate::Reason::Leaving),
            false => Next::GoOn,
        }
    }

    /// Goes on elsewhere, once there is a copy.
    fn leave(&mut self, reason: migrate::Reason) -> Next {
        if let Some(copy) = self.copy.take() {
            logs::emit(
                events::MOVE_STARTED,
                format_args!(
                    "request={} from={} to={} why={reason:?} events={}",
                    self.attempt(),
                    self.place.name,
                    copy.place.name,
                    self.events
                ),
            );
            let gateway = self.gateway.clone();
            let generation = self.generation.clone();
            self.moving = Some(migrate::go_on(gateway, generation, copy, reason));
            return Next::GoOn;
        }
        match reason {
            migrate::Reason::Broken => Next::Broken("the engine broke off"),
            migrate::Reason::Leaving => {
                if self.copying.is_none() {
                    let missed = !self.start_copy();
                    self.wake = missed.then(|| time::Instant::now() + COPY_RETRY);
                }
                Next::GoOn
            }
        }
    }

    /// Starts a copy on demand where there is room for one.
    fn start_copy(&mut self) -> bool {
        if !self.generation.engine.moves {
            return false;
        }
        let found = generation::find_room(
            &self.gateway,
            &self.generation,
            &self.place,
            self.events,
            balance::Purpose::Move,
        );
        let Some(place) = found else {
            return false;
        };
        self.copying = Some(self.copy_to(place));
        true
    }

    fn copy_to(&self, place: fleet::Place) -> migrate::Task<migrate::Copy> {
        let attempt = self.generation.request.head.attempt.clone();
        migrate::copy(attempt, &self.place, place)
    }

    fn take_copy(&mut self, result: Result<migrate::Copy, migrate::Failure>) -> Next {
        self.copying = None;
        match result {
            Ok(copy) => {
                logs::emit(
                    events::COPY_MADE,
                    format_args!(
                        "request={} from={} to={}",
                        self.attempt(),
                        self.place.name,
                        copy.place.name
                    ),
                );
                self.copy = Some(copy);
                return self.advance();
            }
            Err(failure) => {
                self.log_failure(&failure);
                self.wake = Some(time::Instant::now() + COPY_RETRY);
            }
        }
        Next::GoOn
    }

    fn take_move(&mut self, result: Result<Box<generation::Run>, migrate::Failure>) -> Next {
        self.moving = None;
        match result {
            Ok(run) => {
                logs::emit(
                    events::MOVE_DONE,
                    format_args!(
                        "request={} from={} to={} events={}",
                        self.attempt(),
                        self.place.name,
                        run.place.name,
                        self.events
                    ),
                );
                self.buffer.clear();
                self.source = Source::from_answer(run.answer);
                self.place = run.place;
                self.copy = run.copy;
            }
            Err(failure) => self.log_failure(&failure),
        }
        self.advance()
    }

    fn log_failure(&self, failure: &migrate::Failure) {
        logs::emit(
            events::MOVE_FAILED,
            format_args!(
                "request={} from={} why={failure:?}",
                self.attempt(),
                self.place.name
            ),
        );
    }
}

async fn wait_task<T: Send + 'static>(
    task: &mut Option<migrate::Task<T>>,
) -> Result<T, migrate::Failure> {
    match task {
        Some(task) => task.done().await,
        None => core::future::pending().await,
    }
}

async fn wait_until(instant: Option<time::Instant>) {
    match instant {
        Some(instant) => time::sleep_until(instant).await,
        None => core::future::pending().await,
    }
}

impl Source {
    fn from_answer(answer: call::Answer) -> Source {
        Source::Engine(Box::new(Stream {
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
