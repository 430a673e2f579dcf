//! Runs one generation: admission, relay of the engine's tokens, resumption and end.

use core::time::Duration;
use std::sync;

use bytes::Bytes;
use peargap_adapters::body_budget;
use peargap_adapters::logs;
use peargap_core::fetch;
use peargap_core::replay_buffer;
use peargap_core::time;
use peargap_wire::agent as wire;

use crate::admission_api;
use crate::agent;
use crate::engine;
use crate::events;
use crate::http;
use crate::outcome;
use crate::stream;
use crate::tokens;

/// How long to retry resuming a stream after its connection broke; the engine keeps it for 10 s.
const RESUME_WINDOW: Duration = Duration::from_secs(8);
/// Delay between attempts to resume or cancel.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Attempts to cancel a stream at the engine.
const CANCEL_ATTEMPTS: u32 = 3;
/// Maximum number of tokens stored before readers are notified.
const MAX_BATCH_TOKENS: u64 = 64;

/// A generation to run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: admission_api::Request,
    pub(crate) body: Bytes,
    pub(crate) endpoint: engine::Endpoint,
}

/// Runs `job` and records its end in `stream`.
pub(crate) async fn run(
    agent: sync::Arc<agent::Agent>,
    stream: sync::Arc<stream::Stream>,
    job: Job,
) {
    let deadline = job.request.deadline;
    let mut permit = match wait_for_permit(&agent, &stream, job.request).await {
        PermitOutcome::Admitted(permit) => permit,
        PermitOutcome::Refused(failed) => {
            stream.end(stream::End::Failed(failed), agent.clock.now());
            return;
        }
    };
    let mut driver = Driver {
        agent: &agent,
        admitted_at: tokio::time::Instant::now(),
        cause: String::new(),
        detail: String::new(),
        fetch: fetch::Fetch::new(RESUME_WINDOW),
        finish: Finish::default(),
        last_published: None,
        permit: &permit,
        reader: None,
        stream: &stream,
    };
    let end = tokio::select! {
        biased;
        () = stream.cancelled.cancelled() => None,
        () = tokio::time::sleep(time_until(&agent, deadline)) => None,
        end = driver.run(job.endpoint, job.body) => Some(end),
    };
    let end = match end {
        Some(end) => end,
        None => {
            stream.release_overdue();
            cancel_at_engine(&agent, &stream).await
        }
    };
    let cause = driver.cause;
    let (admission_end, ended) = outcome::classify_end(&end);
    permit.set_end(admission_end);
    drop(permit);
    agent.meters.count_end(ended);
    log_end(&stream, &end, &cause);
    stream.end(end, agent.clock.now());
}

enum PermitOutcome {
    Admitted(admission_api::Permit),
    Refused(wire::Failed),
}

async fn wait_for_permit(
    agent: &agent::Agent,
    stream: &stream::Stream,
    request: admission_api::Request,
) -> PermitOutcome {
    let mut verdicts = agent.admission.request(request);
    loop {
        let verdict = tokio::select! {
            biased;
            () = stream.cancelled.cancelled() => {
                let detail = "cancelled before admission";
                return PermitOutcome::Refused(agent::refuse(wire::Reason::Cancelled, 0, detail));
            }
            verdict = verdicts.recv() => verdict,
        };
        match verdict {
            Some(admission_api::Verdict::Admitted(permit)) => {
                stream.accept(0);
                return PermitOutcome::Admitted(permit);
            }
            Some(admission_api::Verdict::Queued(ahead)) => stream.accept(ahead),
            Some(admission_api::Verdict::Refused {
                reason,
                retry_after_ms,
            }) => {
                return PermitOutcome::Refused(agent::refuse(
                    reason,
                    retry_after_ms,
                    "refused by admission",
                ))
            }
            None => {
                let detail = "the agent is stopping";
                return PermitOutcome::Refused(agent::refuse(wire::Reason::Draining, 0, detail));
            }
        }
    }
}

/// Cancels a generation at the engine, which frees its memory, after the caller cancelled it or its
/// deadline passed.
async fn cancel_at_engine(agent: &agent::Agent, stream: &stream::Stream) -> stream::End {
    for _ in 0..CANCEL_ATTEMPTS {
        match agent.engine.cancel(&stream.id).await {
            Ok(()) | Err(http::Fault::Refused) => break,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
    let failed = if stream.is_overdue() {
        stream::build_overdue()
    } else if stream.cancelled.is_cancelled() {
        build_failed(wire::Reason::Cancelled, 0, "cancelled")
    } else {
        build_failed(wire::Reason::Deadline, 0, "the deadline passed")
    };
    stream::End::Failed(failed)
}

fn time_until(agent: &agent::Agent, deadline: time::Instant) -> Duration {
    Duration::from_millis(deadline.millis_since(agent.clock.now()))
}

fn build_failed(
    reason: wire::Reason,
    retry_after_ms: u32,
    detail: impl Into<String>,
) -> wire::Failed {
    stream::build_failed(wire::Ran::Yes, reason, retry_after_ms, detail)
}

fn log_end(stream: &stream::Stream, end: &stream::End, cause: &str) {
    let (request, id, next) = (&stream.request_id, &stream.id, stream.next());
    match end {
        stream::End::Finished(finished) => logs::emit(
            events::FINISHED,
            format_args!(
                "request={request} generation={id} tokens={next} prompt_tokens={} reason={}",
                finished.prompt_tokens, finished.reason
            ),
        ),
        stream::End::Failed(failed) => {
            let event = match failed.reason() {
                wire::Reason::Cancelled | wire::Reason::Deadline => events::CANCELLED,
                _ => events::GENERATION_FAILED,
            };
            logs::emit(
                event,
                format_args!(
                    "request={request} generation={id} tokens={next} ran={} reason={} cause={cause:?}",
                    failed.ran().as_str_name(),
                    failed.reason().as_str_name()
                ),
            );
        }
    }
}

/// The engine's finish reason and token counts, as far as received.
#[derive(Debug, Default)]
struct Finish {
    reason: Option<String>,
    usage: tokens::Usage,
}

struct Driver<'a> {
    agent: &'a agent::Agent,
    admitted_at: tokio::time::Instant,
    /// Last failure seen, without text from the engine; safe to log.
    cause: String,
    /// The engine's error text. For the caller only, never logged: it may quote the prompt.
    detail: String,
    fetch: fetch::Fetch,
    finish: Finish,
    /// When tokens were last published.
    last_published: Option<tokio::time::Instant>,
    permit: &'a admission_api::Permit,
    /// The open response, while tokens are being read.
    reader: Option<tokens::Reader>,
    stream: &'a stream::Stream,
}

impl Driver<'_> {
    async fn run(&mut self, endpoint: engine::Endpoint, body: Bytes) -> stream::End {
        loop {
            let event = match self.fetch.next() {
                fetch::Next::End(end) => return self.build_end(end),
                fetch::Next::Read => self.relay().await,
                fetch::Next::Resume => self.resume().await,
                fetch::Next::Start => self.start(endpoint, body.clone()).await,
            };
            self.fetch.handle(self.agent.clock.now(), event);
        }
    }

    async fn start(&mut self, endpoint: engine::Endpoint, body: Bytes) -> fetch::Event {
        let arriving = self.open_hold();
        let engine = &self.agent.engine;
        let response = engine.start(endpoint, &self.stream.id, body, arriving);
        let response = response.await;
        self.handle_response(response)
    }

    /// Returns a hold for what arrives of the engine's response.
    fn open_hold(&self) -> body_budget::Hold {
        let request = Bytes::from(self.stream.request_id.clone());
        let budget = self.agent.intake.budget();
        budget.receive(body_budget::Side::Upstream, request)
    }

    /// Requests the rest of the stream over a new connection.
    async fn resume(&mut self) -> fetch::Event {
        self.agent.meters.count_engine_resume();
        let offset = self.stream.next();
        let arriving = self.open_hold();
        let engine = &self.agent.engine;
        let response = engine.resume(&self.stream.id, offset, arriving).await;
        let event = self.handle_response(response);
        if matches!(event, fetch::Event::Lost | fetch::Event::Unreachable) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        event
    }

    fn handle_response(&mut self, response: engine::StreamResponse) -> fetch::Event {
        match response {
            engine::StreamResponse::Tokens(reader) => {
                self.reader = Some(reader);
                fetch::Event::Opened
            }
            engine::StreamResponse::Refused { status, detail } => {
                self.cause = format!("the engine returned status {status}");
                self.detail = detail;
                fetch::Event::Refused(outcome::classify_status(status))
            }
            engine::StreamResponse::Fault(fault) => {
                self.cause = format!("no response from the engine: {fault:?}");
                outcome::classify_fault(&fault)
            }
        }
    }

    /// Stores tokens until the response yields another event.
    async fn relay(&mut self) -> fetch::Event {
        let Some(mut reader) = self.reader.take() else {
            return self.record_lost_connection("no open connection");
        };
        loop {
            let mut next = reader.next().await;
            let mut stored = 0;
            let event = loop {
                match self.handle_item(next).await {
                    Handled::Event(event) => break Some(event),
                    Handled::Stored => stored += 1,
                    Handled::Nothing => {}
                }
                if stored >= MAX_BATCH_TOKENS {
                    break None;
                }
                next = match reader.poll_ready() {
                    Some(next) => next,
                    None => break None,
                };
            };
            self.publish(stored);
            match event {
                Some(fetch::Event::LastToken) => {
                    // Usage counts follow the last token on the same connection.
                    self.reader = Some(reader);
                    return fetch::Event::LastToken;
                }
                Some(event) => return event,
                None => {}
            }
        }
    }

    async fn handle_item(&mut self, item: tokens::Item) -> Handled {
        match item {
            tokens::Item::Step(step) => self.handle_step(step).await,
            tokens::Item::Done => Handled::Event(fetch::Event::Completed),
            tokens::Item::Failed(detail) => {
                self.cause = "the engine reported an error".to_owned();
                self.detail = detail;
                Handled::Event(fetch::Event::Failed)
            }
            tokens::Item::TooLong(why) => {
                self.cause = why;
                Handled::Event(fetch::Event::Failed)
            }
            tokens::Item::Lost(cause) => Handled::Event(self.record_lost_connection(&cause)),
            tokens::Item::Silent => Handled::Event(self.record_lost_connection("silent")),
        }
    }

    async fn handle_step(&mut self, step: tokens::Step) -> Handled {
        if let Some(usage) = step.usage {
            self.finish.usage = usage;
        }
        let is_last = step.reason.is_some();
        let handled = match step.text {
            Some(text) => self.store(step.offset, text).await,
            None => Handled::Nothing,
        };
        if matches!(handled, Handled::Event(_)) || !is_last {
            return handled;
        }
        self.finish.reason = step.reason;
        self.publish(u64::from(matches!(handled, Handled::Stored)));
        Handled::Event(fetch::Event::LastToken)
    }

    /// Stores a token; while the buffer is full, waits for the reader to acknowledge tokens.
    async fn store(&mut self, offset: Option<u64>, text: Bytes) -> Handled {
        loop {
            match self.stream.push(offset, text.clone()) {
                replay_buffer::Push::Full => {
                    self.stream.publish();
                    self.stream.wait_for_space().await;
                }
                replay_buffer::Push::Gap => {
                    return Handled::Event(self.record_lost_connection("gap in the offsets"))
                }
                replay_buffer::Push::Repeated => return Handled::Nothing,
                replay_buffer::Push::Stored => return Handled::Stored,
            }
        }
    }

    /// Notifies readers of `stored` new tokens and updates the metrics.
    fn publish(&mut self, stored: u64) {
        if stored == 0 {
            return;
        }
        self.stream.publish();
        let now = tokio::time::Instant::now();
        let gap = self.last_published.map(|last| millis(now - last));
        if self.last_published.is_none() {
            self.permit.report_first_token();
            let waited = millis(now - self.admitted_at);
            self.agent.meters.record_first_token(waited);
        }
        self.last_published = Some(now);
        self.agent.meters.count_tokens(stored, gap);
    }

    fn record_lost_connection(&mut self, cause: &str) -> fetch::Event {
        let (id, offset) = (&self.stream.id, self.stream.next());
        logs::emit(
            events::ENGINE_CONNECTION_LOST,
            format_args!("generation={id} offset={offset} cause={cause:?}"),
        );
        fetch::Event::Lost
    }

    fn build_end(&mut self, end: fetch::End) -> stream::End {
        match end {
            fetch::End::Complete => self.build_finished(),
            fetch::End::Failed { cause, ran } => {
                let detail = format!("{} {}", self.cause, self.detail);
                stream::End::Failed(outcome::build_failed(cause, ran, detail))
            }
        }
    }

    fn build_finished(&mut self) -> stream::End {
        let usage = self.finish.usage;
        let reason = self.finish.reason.take();
        let details = usage.prompt_tokens_details.unwrap_or_default();
        stream::End::Finished(wire::Finished {
            prompt_tokens: usage.prompt_tokens,
            output_tokens: u32::try_from(self.stream.next()).unwrap_or(u32::MAX),
            reason: reason.unwrap_or_else(|| "stop".to_owned()),
            cached_tokens: details.cached_tokens,
        })
    }
}

/// Result of handling one item of the engine's response.
enum Handled {
    Event(fetch::Event),
    Nothing,
    Stored,
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
