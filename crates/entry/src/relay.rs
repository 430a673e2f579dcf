//! Relays one generation from its agent to its caller.
//!
//! Each relay is a task of its own: it places the request, forwards from the link, resumes over a
//! new link if one is lost or silent, and retries on another agent only if nothing was delivered.

use core::future;
use core::time;
use std::sync;

use peargap_adapters::logs;
use peargap_core::retry;
use peargap_wire::agent as wire;
use peargap_wire::agent::up;
use peargap_wire::control;
use tokio::sync::mpsc;
use tokio::time as clock;

use crate::agent;
use crate::app;
use crate::events;
use crate::link;
use crate::output;
use crate::place;
use crate::progress;
use crate::pump;
use crate::refusal;

/// How long the relay tries to reopen the link of a generation.
const RESUME_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Delay between two attempts to reopen a link.
const REOPEN_DELAY: time::Duration = time::Duration::from_millis(50);

/// What the caller requests.
#[derive(Clone, Debug)]
pub(crate) enum Operation {
    /// The rest of a generation, from `offset`.
    Resume { generation: String, offset: u64 },
    /// A new generation; the relay fills in the fields that differ between attempts.
    Start(Box<wire::Start>),
}

/// A request for a generation.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) delivery: output::Delivery,
    pub(crate) deadline: clock::Instant,
    pub(crate) operation: Operation,
    pub(crate) request: String,
    pub(crate) team: String,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The caller needs nothing more.
    Done,
    /// The attempt failed without a complete answer.
    Failed(refusal::Refusal),
}

/// Starts a relay; the response reads the outputs and reports the offset that it has written.
pub(crate) fn spawn(
    app: sync::Arc<app::App>,
    job: Job,
) -> (mpsc::Receiver<output::Output>, progress::WrittenOffset) {
    let (outputs, receiver) = mpsc::channel(pump::OUTPUT_BUFFER);
    let written = progress::WrittenOffset::default();
    let caller = pump::Caller::new(job.delivery, job.deadline, outputs, written.clone());
    let relay = Relay {
        app: app.clone(),
        caller,
        job,
    };
    app.tasks.spawn(relay.run());
    (receiver, written)
}

struct Relay {
    app: sync::Arc<app::App>,
    caller: pump::Caller,
    job: Job,
}

impl Relay {
    async fn run(mut self) {
        let _active = self.app.metrics.count_active();
        let outcome = match self.job.operation.clone() {
            Operation::Resume { generation, offset } => self.resume(generation, offset).await,
            Operation::Start(start) => self.start(*start).await,
        };
        match outcome {
            Outcome::Done => self.log_finished(),
            Outcome::Failed(refusal) => self.refuse(refusal).await,
        }
    }

    fn log_finished(&self) {
        let generation = self.caller.progress.generation().unwrap_or_default();
        let first_token = self.caller.first_token().unwrap_or_default();
        logs::emit(
            events::FINISHED,
            format_args!(
                "request={} team={} generation={generation} next={} first_token_ms={} total_ms={}",
                self.job.request,
                self.job.team,
                self.caller.progress.next_offset(),
                first_token.as_millis(),
                self.caller.elapsed().as_millis(),
            ),
        );
    }

    async fn refuse(&mut self, refusal: refusal::Refusal) {
        self.app
            .log_refusal(&self.job.request, &self.job.team, &refusal);
        self.caller
            .send_final(output::Output::Failed(refusal))
            .await;
    }

    async fn start(&mut self, start: wire::Start) -> Outcome {
        let mut history = place::History::default();
        let id = self.job.request.clone();
        self.app.retry_budget.record_first_attempt();
        loop {
            if let Some(refusal) = self.app.refuse_stale() {
                return Outcome::Failed(history.final_refusal(refusal));
            }
            let request = place::Request {
                deadline: self.job.deadline,
                kind: control::Kind::Engine,
                offer: &start.model,
                prefix: &start.prefix,
                request: &id,
                tokens: start.prompt_tokens,
            };
            let agent = match place::pick_agent(&self.app, &request, &history) {
                Ok(agent) => agent,
                Err(refusal) => return Outcome::Failed(history.final_refusal(refusal)),
            };
            let refusal = match self.attempt(&agent, &start, &history).await {
                Outcome::Done => return Outcome::Done,
                Outcome::Failed(refusal) => refusal,
            };
            let undelivered = !self.caller.progress.is_delivered();
            let attempt = retry::Attempt {
                deadline: self.app.upstream_table.instant(self.job.deadline),
                number: history.attempts() + 1,
                ran: refusal.ran.to_core(),
                repeatable: undelivered,
            };
            let next = history.plan_retry(&self.app, &agent, &refusal, &attempt, &request);
            let Some(pause) = next else {
                return Outcome::Failed(history.final_refusal(refusal));
            };
            tokio::select! {
                () = clock::sleep(pause) => {}
                () = self.caller.disconnected() => return Outcome::Done,
            }
        }
    }

    async fn attempt(
        &mut self,
        agent: &sync::Arc<agent::Agent>,
        start: &wire::Start,
        history: &place::History,
    ) -> Outcome {
        let mut start = start.clone();
        start.request = format!("{}.{}", self.job.request, history.attempts());
        start.deadline_ms = self.caller.remaining_ms();
        start.config_version = self.app.view.version();
        start.incarnation = agent.incarnation();
        self.app
            .upstream_table
            .record_sent(agent.key, start.prompt_tokens);
        self.caller.reset();
        let shared = agent.clone();
        let open = async move { link::open_link(&shared, up::Kind::Start(start)).await };
        let mut opening = Box::pin(open);
        let opened = tokio::select! {
            opened = &mut opening => opened,
            () = self.caller.disconnected() => {
                self.app.tasks.spawn(cancel_opening(opening));
                return Outcome::Done;
            }
        };
        match opened {
            Ok(link) => {
                let outcome = self.follow(agent, link).await;
                if let Outcome::Done = outcome {
                    self.app.upstream_table.record_answer(agent.key, true);
                }
                outcome
            }
            Err(error) => Outcome::Failed(map_open_error(&error)),
        }
    }

    async fn resume(&mut self, generation: String, offset: u64) -> Outcome {
        let upstream = generation.split('~').next().unwrap_or_default();
        let Some(agent) = self.app.fleet().agents.get(upstream).cloned() else {
            return Outcome::Failed(refuse_gone());
        };
        self.caller.progress = progress::Progress::resumed(&generation, offset);
        logs::emit(
            events::RESUMED,
            format_args!(
                "request={} team={} generation={generation} offset={offset}",
                self.job.request, self.job.team
            ),
        );
        match self.reopen_link(&agent, None).await {
            Ok(link) => self.follow(&agent, link).await,
            Err(refusal) => Outcome::Failed(refusal),
        }
    }

    /// Forwards a generation, replacing its link as often as needed.
    async fn follow(&mut self, agent: &agent::Agent, mut link: link::Link) -> Outcome {
        loop {
            let connection_number = link.connection_number;
            let cause = match self.caller.pump(&self.app, link).await {
                pump::End::Done => return Outcome::Done,
                pump::End::Failed(failed) => {
                    return Outcome::Failed(self.map_failure(&failed));
                }
                pump::End::Refused(refusal) => return Outcome::Failed(refusal),
                pump::End::Lost(cause) => cause,
            };
            logs::emit(
                events::LINK_REPLACED,
                format_args!(
                    "request={} upstream={} offset={} cause={cause}",
                    self.job.request,
                    agent.identity.upstream,
                    self.caller.progress.next_offset(),
                ),
            );
            self.app.metrics.links_replaced.add(1, &[]);
            link = match self.reopen_link(agent, Some(connection_number)).await {
                Ok(link) => link,
                Err(refusal) => return Outcome::Failed(refusal),
            };
        }
    }

    /// Opens a new link that resumes at the next expected token.
    async fn reopen_link(
        &mut self,
        agent: &agent::Agent,
        lost_connection: Option<u64>,
    ) -> Result<link::Link, refusal::Refusal> {
        let Some(generation) = self.caller.progress.generation() else {
            return Err(refuse_lost());
        };
        if let Some(number) = lost_connection {
            agent.connections.replace(number);
        }
        let give_up_at = (clock::Instant::now() + RESUME_TIMEOUT).min(self.job.deadline);
        loop {
            let resume = up::Kind::Resume(wire::Resume {
                config_version: self.app.view.version(),
                generation: generation.to_string(),
                offset: self.caller.progress.next_offset(),
                team: self.job.team.clone(),
            });
            let error = match link::open_link(agent, resume).await {
                Ok(link) => return Ok(link),
                Err(error) => error,
            };
            if error.is_connection_refused() || clock::Instant::now() >= give_up_at {
                return Err(self.mark_ran(refuse_lost()));
            }
            clock::sleep(REOPEN_DELAY).await;
        }
    }

    /// Converts a failure reported by the agent.
    fn map_failure(&self, failed: &wire::Failed) -> refusal::Refusal {
        self.mark_ran(refusal::Refusal::from_failed(failed))
    }

    /// Marks the refusal as `ran` if any token was received.
    fn mark_ran(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if self.caller.progress.has_tokens() {
            return refusal.with_ran(refusal::Ran::Yes);
        }
        refusal
    }
}

/// Cancels a generation whose caller disconnected while its link was being opened.
async fn cancel_opening(
    opening: impl future::Future<Output = Result<link::Link, link::OpenError>>,
) {
    if let Ok(link) = opening.await {
        link.cancel();
    }
}

fn map_open_error(error: &link::OpenError) -> refusal::Refusal {
    let ran = match error {
        link::OpenError::NotSent(_) => refusal::Ran::No,
        link::OpenError::Sent(_) | link::OpenError::Silent => refusal::Ran::Unknown,
    };
    refusal::Refusal::failed(ran, "The upstream is unreachable.")
}

fn refuse_gone() -> refusal::Refusal {
    let message = "The generation is no longer available.";
    refusal::Refusal::not_run(refusal::Code::Gone, message).with_ran(refusal::Ran::Unknown)
}

fn refuse_lost() -> refusal::Refusal {
    let message = "The connection to the upstream of the generation was lost.";
    refusal::Refusal::failed(refusal::Ran::Unknown, message)
}
