//! Relay of a stream's events to its caller, across the upstreams that run it in turn. Only engines hand
//! over to each other.

mod moves;

use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use peargap_adapters::body_budget;
use peargap_adapters::logs;
use peargap_core::engine_room;
use peargap_core::event_timing;
use peargap_core::rollout::counts;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time;

use crate::crash;
use crate::event_buffer;
use crate::events;
use crate::fleet;
use crate::gateway;
use crate::generation;
use crate::migrate;
use crate::placement;
use crate::response;
use crate::source;

/// Relays a stream's events to the caller until its end.
pub(crate) struct Relay {
    /// Set once the current engine's stream has broken as the generation began.
    broken: Option<crash::Broken>,
    buffer: event_buffer::EventBuffer,
    changes: watch::Receiver<u64>,
    copy: Option<migrate::Copy>,
    copying: Option<migrate::Task<migrate::Copy>>,
    events: u64,
    gateway: gateway::Gateway,
    generation: sync::Arc<generation::Generation>,
    /// Engine that sent the last event; after a move, the current engine is another one until it
    /// sends an event.
    last_event_engine: fleet::UpstreamKey,
    moves: u32,
    moving: Option<migrate::Task<generation::Run>>,
    pace: event_timing::EventTiming,
    /// Whether the engine changed during the longest pause.
    paused_by_move: bool,
    placement: placement::Placement,
    sender: mpsc::UnboundedSender<Result<Bytes, response::Interrupted>>,
    source: source::Source,
    /// When to try again to make a copy.
    retry_copy_at: Option<time::Instant>,
    /// Counts the events that the caller has not read yet.
    unread: body_budget::Hold,
}

/// What a relay has to handle.
enum Input {
    /// The engine that the generation moves to is assumed to have accepted the resume.
    Accepted,
    /// The caller has left.
    CallerLeft,
    /// A copy has completed or failed.
    Copied(Result<Box<migrate::Copy>, migrate::Failure>),
    /// The gateway is shutting down.
    Shutdown,
    /// A read from the upstream has ended.
    Read(source::Read),
    /// A move has completed or failed.
    Moved(Result<Box<generation::Run>, migrate::Failure>),
    /// The fleet has changed, or it is time to try a copy again.
    Changed,
    /// The deadline has passed.
    TimedOut,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    /// Stop; the response is incomplete, for this reason.
    Broken(&'static str),
    /// Stop; the response is complete.
    Complete,
    /// Continue.
    Continue,
    /// Stop; the caller has left.
    Left,
}

impl Next {
    /// Returns the label value for metrics.
    fn as_str(self) -> &'static str {
        match self {
            Next::Broken(_why) => "broken",
            Next::Complete => "complete",
            Next::Continue => "running",
            Next::Left => "caller_left",
        }
    }
}

impl Relay {
    /// Returns a relay that sends the events of `run` to the caller through `sender`.
    pub(crate) fn new(
        gateway: gateway::Gateway,
        generation: sync::Arc<generation::Generation>,
        run: generation::Run,
        sender: mpsc::UnboundedSender<Result<Bytes, response::Interrupted>>,
    ) -> Relay {
        let mut changes = gateway.fleet.changes();
        // The engine may have started to leave before this subscription.
        changes.mark_changed();
        let pace = event_timing::EventTiming::start(generation.request.arrived, generation.targets);
        let request = &generation.request;
        let unread = request.unread.open_response(&request.head.attempt);
        Relay {
            broken: None,
            buffer: event_buffer::EventBuffer::new(run.response.arriving.clone()),
            changes,
            copy: run.copy,
            copying: None,
            events: 0,
            gateway,
            generation,
            last_event_engine: run.placement.key,
            moves: 0,
            moving: None,
            pace,
            paused_by_move: false,
            placement: run.placement,
            sender,
            source: source::Source::new(run.response, run.guard),
            retry_copy_at: None,
            unread,
        }
    }

    /// Relays until the response ends.
    pub(crate) async fn run(mut self) {
        let end = loop {
            let input = self.next_input().await;
            match self.handle(input) {
                Next::Continue => {}
                end => break end,
            }
        };
        if let Next::Broken(_why) = end {
            // Fails if the caller has left.
            let _ = self.sender.send(Err(response::Interrupted));
        }
        self.log_end(end);
    }

    fn log_end(&self, end: Next) {
        let verdict = self.pace.verdict();
        self.gateway.meters.count_generation(end.as_str(), verdict);
        let usage = self.generation.request.head.usage;
        logs::emit(
            events::REQUEST_ENDED,
            format_args!(
                "request={} end={end:?} pace={verdict:?} events={} upstream={} leaving={} \
                 first_ms={} pause_ms={} pause_by_move={} silent_ms={} moves={} prompt={} output={}",
                self.attempt(),
                self.events,
                self.placement.name,
                self.gateway.fleet.is_leaving(self.placement.key),
                self.pace.first_ms().unwrap_or_default(),
                self.pace.longest_gap_ms(),
                self.paused_by_move,
                self.pace.idle_ms(self.gateway.fleet.clock.now()),
                self.moves,
                usage.map_or(0, |usage| usage.prompt),
                usage.map_or(0, |usage| usage.max_output),
            ),
        );
    }

    /// Records the timing of an event that was sent to the caller.
    fn record_event(&mut self) {
        let longest_ms = self.pace.longest_gap_ms();
        let arrival = self.pace.record_event(self.gateway.fleet.clock.now());
        self.gateway.meters.record_event(arrival);
        if let event_timing::Arrival::Next(gap_ms) = arrival {
            self.gateway.stop.record_gap(gap_ms);
            if self.last_event_engine == self.placement.key {
                self.placement.record_gap(gap_ms);
            }
        }
        if let (event_timing::Arrival::First(first_ms), 0) = (arrival, self.moves) {
            self.count_sample(counts::Sample::Began(Some(first_ms)));
        }
        if self.pace.longest_gap_ms() > longest_ms {
            self.paused_by_move = self.last_event_engine != self.placement.key;
        }
        self.last_event_engine = self.placement.key;
    }

    fn count_sample(&self, sample: counts::Sample) {
        let fleet = &self.gateway.fleet;
        self.generation.count_sample(fleet, &self.placement, sample);
    }

    fn attempt(&self) -> std::borrow::Cow<'_, str> {
        response::attempt_text(&self.generation.request.head.attempt)
    }

    async fn next_input(&mut self) -> Input {
        let deadline = self.generation.request.deadline;
        let accepted = self.moving.as_ref().map(migrate::Task::accepted);
        tokio::select! {
            biased;
            () = self.sender.closed() => Input::CallerLeft,
            () = time::sleep_until(deadline) => Input::TimedOut,
            result = wait_task(&mut self.moving) => Input::Moved(result.map(Box::new)),
            result = wait_task(&mut self.copying) => Input::Copied(result.map(Box::new)),
            () = wait_accepted(accepted) => Input::Accepted,
            () = self.buffer.ended() => {
                Input::Read(source::Read::Error("no memory for an event".to_owned()))
            }
            read = read_when_freed(&self.buffer, &mut self.source) => Input::Read(read),
            result = self.changes.changed() => match result {
                Ok(()) => Input::Changed,
                Err(_closed) => Input::Shutdown,
            },
            () = wait_until(self.retry_copy_at) => Input::Changed,
        }
    }

    fn handle(&mut self, input: Input) -> Next {
        match input {
            Input::Accepted => self.stop_previous(),
            Input::CallerLeft if self.unread.is_ended() => Next::Broken("too many events unread"),
            Input::CallerLeft => Next::Left,
            Input::Copied(result) => self.finish_copy(result),
            Input::Shutdown => self.handle_stream_failure("gateway is shutting down"),
            Input::Read(source::Read::Data(data)) => self.forward(&data),
            Input::Read(source::Read::End) => self.end(),
            Input::Read(source::Read::Error(why)) => self.handle_stream_failure(&why),
            Input::Moved(result) => self.finish_move(result),
            Input::Changed => self.check_engine(),
            Input::TimedOut => Next::Broken("deadline exceeded"),
        }
    }

    /// Queues the complete events that have arrived for the caller, without those that it already
    /// has. The engine's stream is read on however slowly the caller reads, as the engine cuts off a
    /// stream that remains unread.
    fn forward(&mut self, data: &[u8]) -> Next {
        let events_before = self.events;
        self.buffer.push(data);
        while let Some(event) = self.buffer.take_event() {
            let last = self.generation.last_event.load(atomic::Ordering::Relaxed);
            if event.id.is_some_and(|id| id <= last && self.events > 0) {
                continue;
            }
            let counted = self.unread.copy(&event.bytes);
            if self.sender.send(Ok(counted)).is_err() {
                return Next::Left;
            }
            self.events += 1;
            if self.events == crash::BEGINNING_EVENTS {
                self.gateway.fleet.record_answered(&self.generation.request);
            }
            self.record_event();
            if let Some(id) = event.id {
                self.generation
                    .last_event
                    .store(id, atomic::Ordering::Relaxed);
            }
        }
        self.buffer.count_rest();
        let limit = self.gateway.bodies.limits().event_bytes;
        if self.buffer.len() > limit {
            logs::emit(
                events::RESPONSE_TOO_LONG,
                format_args!("part=event upstream={} limit={limit}", self.placement.name),
            );
            return self.handle_stream_failure("event longer than allowed");
        }
        if self.generation.engine.is_some() {
            self.update_tokens(events_before);
        }
        Next::Continue
    }

    /// Updates what the generation holds in the memory of its engine and of the one with its copy.
    fn update_tokens(&mut self, events_before: u64) {
        let tokens = self.generation.estimate_tokens(self.events);
        let later = self.forecast(events_before);
        self.placement.set_tokens(tokens, later);
        if let Some(copy) = &mut self.copy {
            copy.placement.set_tokens(tokens, later);
        }
    }

    /// Learns from the output's growth; returns what the generation is expected to hold later.
    fn forecast(&self, events_before: u64) -> engine_room::Later {
        let generation = &self.generation;
        let before = generation.count_tokens(events_before);
        let produced = generation.count_tokens(self.events);
        self.gateway.fleet.room.with_forecasts(|forecasts| {
            forecasts.record_growth(generation.class, before, produced);
            generation.later(forecasts, produced)
        })
    }

    fn end(&mut self) -> Next {
        if !self.buffer.is_empty() {
            return self.handle_stream_failure("stream ended in the middle of an event");
        }
        let source = core::mem::replace(&mut self.source, source::Source::Stopped);
        if let source::Source::Upstream(stream) = source {
            stream.guard.finish();
            self.placement.pool.release(stream.connection);
        }
        self.gateway
            .fleet
            .record_outcome(self.placement.key, fleet::Outcome::Succeeded);
        if crash::is_beginning(self.events) {
            self.gateway.fleet.record_answered(&self.generation.request);
        }
        let pause_ms = (self.moves == 0).then(|| self.pace.longest_gap_ms());
        self.count_sample(counts::Sample::Ended(pause_ms));
        let generation = &self.generation;
        if generation.engine.is_some() {
            let produced = generation.count_tokens(self.events);
            let room = &self.gateway.fleet.room;
            room.with_forecasts(|forecasts| forecasts.record_end(generation.class, produced));
        }
        Next::Complete
    }

    /// Stops reading from the previous engine once the next one has accepted the resume.
    ///
    /// The next engine resumes after the last event at the time of the request. It would generate
    /// again all events that the previous engine sent in the meantime before the caller gets a new
    /// one, which would double the pause.
    fn stop_previous(&mut self) -> Next {
        self.source = source::Source::Stopped;
        self.buffer.close();
        Next::Continue
    }

    /// Handles a failure of the current upstream's stream.
    fn handle_stream_failure(&mut self, why: &str) -> Next {
        self.source = source::Source::Stopped;
        self.buffer.close();
        self.copying = None;
        logs::emit(
            events::ATTEMPT_FAILED,
            format_args!(
                "request={} upstream={} why={why} events={}",
                self.attempt(),
                self.placement.name,
                self.events
            ),
        );
        if !self.gateway.fleet.is_leaving(self.placement.key) {
            let outcome = fleet::Outcome::Failed;
            self.count_sample(counts::Sample::Failed);
            self.gateway
                .fleet
                .record_outcome(self.placement.key, outcome);
            if crash::is_beginning(self.events) {
                let fleet = &self.gateway.fleet;
                let request = &self.generation.request;
                let broken = crash::Broken::new(fleet, request, &self.placement, self.events);
                self.broken = Some(broken);
            }
        }
        self.check_engine()
    }
}

async fn read_when_freed(
    buffer: &event_buffer::EventBuffer,
    source: &mut source::Source,
) -> source::Read {
    buffer.wait_freed().await;
    source.read().await
}

async fn wait_task<T: Send + 'static>(
    task: &mut Option<migrate::Task<T>>,
) -> Result<T, migrate::Failure> {
    match task {
        Some(task) => task.wait().await,
        None => core::future::pending().await,
    }
}

async fn wait_accepted(accepted: Option<sync::Arc<Notify>>) {
    match accepted {
        Some(accepted) => accepted.notified().await,
        None => core::future::pending().await,
    }
}

async fn wait_until(instant: Option<time::Instant>) {
    match instant {
        Some(instant) => time::sleep_until(instant).await,
        None => core::future::pending().await,
    }
}
