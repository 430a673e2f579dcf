//! Runs one generation: its turn at the gate, the engine's tokens, its end.

use core::time::Duration;
use std::sync;

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_core::replay;
use peargap_core::time;
use peargap_wire::agent as wire;

use crate::agent;
use crate::engine;
use crate::events;
use crate::gate;
use crate::http;
use crate::judge;
use crate::stream;
use crate::tokens;

/// How long a stream is sought after its link broke; the engine keeps it for 10 s.
const RESUME_WINDOW: Duration = Duration::from_secs(8);
/// Pause between two attempts to resume.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Attempts to cancel a stream at the engine.
const CANCEL_ATTEMPTS: u32 = 3;
/// Most tokens stored before the reader is told of them.
const MAX_READY: u64 = 64;

/// What to run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) ask: gate::Ask,
    pub(crate) body: Bytes,
    pub(crate) path: engine::Path,
}

/// Runs `job` until `stream` has its end.
pub(crate) async fn run(
    agent: sync::Arc<agent::Agent>,
    stream: sync::Arc<stream::Stream>,
    job: Job,
) {
    let deadline = job.ask.deadline;
    let mut permit = match wait_for_turn(&agent, &stream, job.ask).await {
        Turn::Admitted(permit) => permit,
        Turn::Over(failed) => {
            stream.end(stream::End::Failed(failed), agent.clock.now());
            return;
        }
    };
    let mut driver = Driver {
        agent: &agent,
        begun: tokio::time::Instant::now(),
        finish: Finish::default(),
        last: None,
        permit: &permit,
        stream: &stream,
    };
    let end = tokio::select! {
        biased;
        () = stream.cancelled.cancelled() => None,
        () = tokio::time::sleep(remaining(&agent, deadline)) => None,
        end = driver.read(job.path, job.body) => Some(end),
    };
    let end = match end {
        Some(end) => end,
        None => stop(&agent, &stream).await,
    };
    let (how, ended) = judge::classify(&end);
    permit.set_end(how);
    drop(permit);
    agent.meters.count_end(ended);
    log_end(&stream, &end);
    stream.end(end, agent.clock.now());
}

enum Turn {
    Admitted(gate::Permit),
    Over(wire::Failed),
}

async fn wait_for_turn(agent: &agent::Agent, stream: &stream::Stream, ask: gate::Ask) -> Turn {
    let mut verdicts = agent.gate.ask(ask);
    loop {
        let verdict = tokio::select! {
            biased;
            () = stream.cancelled.cancelled() => {
                let detail = "cancelled before it ran";
                return Turn::Over(agent::refuse(wire::Reason::Cancelled, 0, detail));
            }
            verdict = verdicts.recv() => verdict,
        };
        match verdict {
            Some(gate::Verdict::Admitted(permit)) => {
                stream.accept(0);
                return Turn::Admitted(permit);
            }
            Some(gate::Verdict::Queued(ahead)) => stream.accept(ahead),
            Some(gate::Verdict::Refused {
                reason,
                retry_after_ms,
            }) => {
                return Turn::Over(agent::refuse(
                    reason,
                    retry_after_ms,
                    "refused by admission",
                ))
            }
            None => {
                let detail = "the agent is stopping";
                return Turn::Over(agent::refuse(wire::Reason::Draining, 0, detail));
            }
        }
    }
}

/// Stops a generation that was cancelled or is late, and frees its memory at the engine.
async fn stop(agent: &agent::Agent, stream: &stream::Stream) -> stream::End {
    for _ in 0..CANCEL_ATTEMPTS {
        match agent.engine.cancel(&stream.id).await {
            Ok(()) | Err(http::Fault::Refused) => break,
            Err(_) => tokio::time::sleep(RESUME_PAUSE).await,
        }
    }
    let failed = if stream.cancelled.is_cancelled() {
        fail(wire::Reason::Cancelled, 0, "cancelled")
    } else {
        fail(wire::Reason::Deadline, 0, "the deadline passed")
    };
    stream::End::Failed(failed)
}

fn remaining(agent: &agent::Agent, deadline: time::Instant) -> Duration {
    Duration::from_millis(deadline.millis_since(agent.clock.now()))
}

fn fail(reason: wire::Reason, retry_after_ms: u32, detail: impl Into<String>) -> wire::Failed {
    stream::fail(wire::Ran::Yes, reason, retry_after_ms, detail)
}

fn log_end(stream: &stream::Stream, end: &stream::End) {
    let (request, id, next) = (&stream.request, &stream.id, stream.next());
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
                _ => events::BROKEN,
            };
            logs::emit(
                event,
                format_args!(
                    "request={request} generation={id} tokens={next} ran={} reason={} detail={:?}",
                    failed.ran().as_str_name(),
                    failed.reason().as_str_name(),
                    failed.detail
                ),
            );
        }
    }
}

/// What the engine has said about the end.
#[derive(Debug, Default)]
struct Finish {
    reason: Option<String>,
    usage: tokens::Usage,
}

/// What to do next with the engine.
enum Step {
    End(stream::End),
    Read(tokens::Reader),
    Seek(Seek),
}

/// A stream whose link broke.
struct Seek {
    /// Whether the engine is known to have taken the request.
    received: bool,
    until: tokio::time::Instant,
}

struct Driver<'a> {
    agent: &'a agent::Agent,
    begun: tokio::time::Instant,
    finish: Finish,
    /// When tokens were last stored.
    last: Option<tokio::time::Instant>,
    permit: &'a gate::Permit,
    stream: &'a stream::Stream,
}

impl Driver<'_> {
    async fn read(&mut self, path: engine::Path, body: Bytes) -> stream::End {
        let opened = self.agent.engine.start(path, &self.stream.id, body).await;
        let mut step = judge_start(opened);
        loop {
            step = match step {
                Step::End(end) => return end,
                Step::Read(reader) => self.relay(reader).await,
                Step::Seek(seek) => self.resume(seek).await,
            };
        }
    }

    /// Stores tokens until the link ends.
    async fn relay(&mut self, mut reader: tokens::Reader) -> Step {
        loop {
            let mut next = reader.next().await;
            let mut stored = 0;
            loop {
                match self.take_next(next).await {
                    Taken::Over(step) => {
                        self.publish(stored);
                        return step;
                    }
                    Taken::Stored => stored += 1,
                    Taken::Other => {}
                }
                if stored >= MAX_READY {
                    break;
                }
                next = match reader.poll_ready() {
                    Some(next) => next,
                    None => break,
                };
            }
            self.publish(stored);
        }
    }

    async fn take_next(&mut self, next: tokens::Next) -> Taken {
        match next {
            tokens::Next::Step(step) => self.take_step(step).await,
            tokens::Next::Done => Taken::Over(self.finish_whole()),
            tokens::Next::Failed(detail) => {
                Taken::Over(Step::End(judge::end_with(wire::Ran::Yes, detail)))
            }
            tokens::Next::Lost(cause) => Taken::Over(self.lose_link(&cause)),
            tokens::Next::Silent => Taken::Over(self.lose_link("silent")),
        }
    }

    async fn take_step(&mut self, step: tokens::Step) -> Taken {
        if let Some(usage) = step.usage {
            self.finish.usage = usage;
        }
        let mut taken = Taken::Other;
        if let Some(text) = step.text {
            taken = self.store(step.offset, text).await;
        }
        if let Taken::Over(_) = taken {
            return taken;
        }
        if step.reason.is_some() {
            self.finish.reason = step.reason;
        }
        taken
    }

    /// Stores a token, waiting for the reader while the buffer is full.
    async fn store(&mut self, offset: Option<u64>, text: Bytes) -> Taken {
        loop {
            match self.stream.push(offset, text.clone()) {
                replay::Push::Full => {
                    self.stream.publish();
                    self.stream.wait_for_room().await;
                }
                replay::Push::Gap => return Taken::Over(self.lose_link("gap in the offsets")),
                replay::Push::Repeated => return Taken::Other,
                replay::Push::Stored => return Taken::Stored,
            }
        }
    }

    /// Tells the reader and the metrics of stored tokens.
    fn publish(&mut self, stored: u64) {
        if stored == 0 {
            return;
        }
        self.stream.publish();
        let now = tokio::time::Instant::now();
        let gap = self.last.map(|last| millis(now - last));
        if self.last.is_none() {
            self.permit.tell_first();
            let waited = millis(now - self.begun);
            self.agent.meters.record_first_token(waited);
        }
        self.last = Some(now);
        self.agent.meters.count_tokens(stored, gap);
    }

    fn finish_whole(&mut self) -> Step {
        let usage = self.finish.usage;
        let reason = self.finish.reason.take();
        let output_tokens = u32::try_from(self.stream.next()).unwrap_or(u32::MAX);
        let details = usage.prompt_tokens_details.unwrap_or_default();
        Step::End(stream::End::Finished(wire::Finished {
            prompt_tokens: usage.prompt_tokens,
            output_tokens,
            reason: reason.unwrap_or_else(|| "stop".to_owned()),
            cached_tokens: details.cached_tokens,
        }))
    }

    /// Ends a generation that cannot be resumed; one whose last token has come is whole.
    fn end_lost(&mut self, ran: wire::Ran, detail: String) -> Step {
        if self.finish.reason.is_some() {
            return self.finish_whole();
        }
        Step::End(judge::end_with(ran, detail))
    }

    fn lose_link(&mut self, cause: &str) -> Step {
        let (id, offset) = (&self.stream.id, self.stream.next());
        logs::emit(
            events::ENGINE_LINK_LOST,
            format_args!("generation={id} offset={offset} cause={cause:?}"),
        );
        Step::Seek(Seek {
            received: true,
            until: tokio::time::Instant::now() + RESUME_WINDOW,
        })
    }

    /// Asks for the rest of the stream over a new link.
    async fn resume(&mut self, seek: Seek) -> Step {
        self.agent.meters.count_engine_resume();
        let offset = self.stream.next();
        let ran = if seek.received {
            wire::Ran::Yes
        } else {
            wire::Ran::Unknown
        };
        let fault = match self.agent.engine.resume(&self.stream.id, offset).await {
            engine::Opened::Tokens(reader) => return Step::Read(reader),
            engine::Opened::Refused { status, detail } => {
                let detail = format!("the engine lost the generation: {status} {detail}");
                return self.end_lost(ran, detail);
            }
            engine::Opened::Fault(http::Fault::Refused) => {
                return self.end_lost(ran, "the engine has gone".to_owned());
            }
            engine::Opened::Fault(fault) => fault,
        };
        if tokio::time::Instant::now() >= seek.until {
            return self.end_lost(ran, format!("the engine does not answer: {fault:?}"));
        }
        tokio::time::sleep(RESUME_PAUSE).await;
        Step::Seek(seek)
    }
}

/// What became of one event.
enum Taken {
    Other,
    Over(Step),
    Stored,
}

fn judge_start(opened: engine::Opened) -> Step {
    match opened {
        engine::Opened::Tokens(reader) => Step::Read(reader),
        engine::Opened::Refused { status, detail } => {
            Step::End(judge::judge_refusal(status, &detail))
        }
        engine::Opened::Fault(fault) if fault.is_before_send() => {
            let detail = format!("the engine was not reached: {fault:?}");
            let failed = agent::refuse(wire::Reason::Upstream, judge::FAILED_RETRY_MS, detail);
            Step::End(stream::End::Failed(failed))
        }
        engine::Opened::Fault(_) => Step::Seek(Seek {
            received: false,
            until: tokio::time::Instant::now() + RESUME_WINDOW,
        }),
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
