//! Chooses the agent for a request.

use core::fmt;
use core::time;
use std::sync;

use peargap_adapters::logs;
use peargap_core::retry;
use peargap_core::selection;
use peargap_core::table;
use peargap_wire::control;
use tokio::time as clock;

use crate::agent;
use crate::app;
use crate::events;
use crate::fleet;
use crate::refusal;

/// Candidates whose costs differ by at most this, in milliseconds, count as equal.
const COST_TOLERANCE_MS: f32 = 1.0;

/// The properties of a request that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    pub(crate) deadline: clock::Instant,
    pub(crate) kind: control::Kind,
    /// Name of the model or service.
    pub(crate) offer: &'a str,
    pub(crate) prefix: &'a [u64],
    pub(crate) request: &'a str,
    pub(crate) tokens: u32,
}

/// Outcomes of a request's earlier attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    excluded: Vec<table::Upstream>,
    last: Option<refusal::Refusal>,
    ran: refusal::Ran,
    retry_after_ms: Option<u32>,
}

impl History {
    /// Returns the number of failed attempts.
    pub(crate) fn attempts(&self) -> u32 {
        u32::try_from(self.excluded.len()).unwrap_or(u32::MAX)
    }

    /// Returns a copy of the history that also excludes `agent`.
    pub(crate) fn excluding(&self, agent: &agent::Agent) -> History {
        let mut history = self.clone();
        history.excluded.push(agent.key);
        history
    }

    /// Returns the refusal for the caller: that of the last attempt, with whether any attempt ran
    /// and the shortest retry delay; `refusal` itself if no attempt has failed.
    pub(crate) fn final_refusal(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        let Some(last) = &self.last else {
            return refusal;
        };
        let mut combined = last.clone();
        combined.ran = last.ran.merge(self.ran);
        combined.retry_after_ms = self.retry_after_ms;
        combined
    }

    /// Records a failed attempt and returns the delay before the next, or nothing if there is none.
    pub(crate) fn plan_retry(
        &mut self,
        app: &app::App,
        agent: &agent::Agent,
        refusal: &refusal::Refusal,
        attempt: &retry::Attempt,
        request: &Request<'_>,
    ) -> Option<time::Duration> {
        let upstream = &agent.identity.upstream;
        self.excluded.push(agent.key);
        self.ran = refusal.ran.merge(self.ran);
        self.last = Some(refusal.clone());
        self.retry_after_ms = match (self.retry_after_ms, refusal.retry_after_ms) {
            (Some(earlier), Some(now)) => Some(now.min(earlier)),
            (earlier, now) => earlier.or(now),
        };
        record_outcome(app, agent, refusal);
        if !is_retryable(refusal.code) || decide(app, request, self).agent().is_none() {
            return None;
        }
        let next = app
            .retry_budget
            .plan_retry(app.upstream_table.now(), attempt);
        let details = format_args!(
            "request={} upstream={upstream} attempt={} code={} ran={} next={next:?}",
            request.request,
            attempt.number,
            refusal.code.as_str(),
            refusal.ran.as_str(),
        );
        logs::emit(events::RETRIED, details);
        match next {
            retry::Next::Retry { after_ms } => {
                app.metrics.retries.add(1, &[]);
                Some(time::Duration::from_millis(after_ms))
            }
            retry::Next::GiveUp(_) => None,
        }
    }
}

/// Records the outcome of a failed attempt with its upstream.
fn record_outcome(app: &app::App, agent: &agent::Agent, refusal: &refusal::Refusal) {
    if refusal.code == refusal::Code::UpstreamFailed {
        app.upstream_table.record_failure(agent.key);
    } else {
        let ran = refusal.ran != refusal::Ran::No;
        app.upstream_table.record_answer(agent.key, ran);
    }
}

fn is_retryable(code: refusal::Code) -> bool {
    use refusal::Code;
    matches!(
        code,
        Code::Busy
            | Code::Draining
            | Code::Gone
            | Code::NoUpstream
            | Code::Stale
            | Code::UpstreamFailed
    )
}

/// A choice with the candidates that were considered.
#[derive(Debug)]
pub(crate) struct Decision {
    choice: selection::Choice,
    fleet: sync::Arc<fleet::Fleet>,
    candidates: Vec<selection::Candidate>,
}

impl Decision {
    /// Returns the chosen agent.
    pub(crate) fn agent(&self) -> Option<sync::Arc<agent::Agent>> {
        match self.choice {
            selection::Choice::Chosen { upstream, .. } => self.fleet.find(upstream),
            selection::Choice::None { .. } => None,
        }
    }

    /// Returns the delay after which to retry if nothing was chosen, in milliseconds.
    fn retry_after_ms(&self) -> u32 {
        match self.choice {
            selection::Choice::Chosen { .. } => refusal::DEFAULT_RETRY_MS,
            selection::Choice::None { retry_after_ms } => {
                u32::try_from(retry_after_ms).unwrap_or(u32::MAX)
            }
        }
    }
}

/// Chooses an agent for a request.
pub(crate) fn decide(app: &app::App, request: &Request<'_>, history: &History) -> Decision {
    let fill = |group| selection::Query {
        avoid: &history.excluded,
        deadline: app.upstream_table.instant(request.deadline),
        group,
        prefix: request.prefix,
        prompt_tokens: request.tokens,
    };
    let mut candidates = Vec::new();
    let upstream_table = &app.upstream_table;
    let choice = upstream_table.pick(request.kind, request.offer, fill, &mut candidates);
    let own_domain = upstream_table.find_domain(&app.settings.node.domain);
    Decision {
        choice: prefer_own_domain(choice, &candidates, own_domain),
        fleet: app.fleet(),
        candidates,
    }
}

/// Replaces the choice by an equal candidate in the entry's own failure domain, if there is one.
fn prefer_own_domain(
    choice: selection::Choice,
    candidates: &[selection::Candidate],
    own_domain: table::Domain,
) -> selection::Choice {
    let selection::Choice::Chosen { upstream, why } = choice else {
        return choice;
    };
    let mut remaining = candidates.iter();
    let Some(best) = remaining.find(|candidate| candidate.upstream == upstream) else {
        return choice;
    };
    let mut equals = candidates.iter().filter(|candidate| {
        candidate.domain == own_domain
            && candidate.matched_blocks >= best.matched_blocks
            && candidate.cost_ms <= best.cost_ms + COST_TOLERANCE_MS
    });
    match equals.next() {
        Some(equal) if best.domain != own_domain => selection::Choice::Chosen {
            upstream: equal.upstream,
            why,
        },
        Some(_) | None => choice,
    }
}

/// Returns the agent for the request, or a refusal if there is none, and logs the decision.
pub(crate) fn pick_agent(
    app: &app::App,
    request: &Request<'_>,
    history: &History,
) -> Result<sync::Arc<agent::Agent>, refusal::Refusal> {
    let decision = decide(app, request, history);
    let attempt = history.attempts() + 1;
    let (id, offer) = (request.request, request.offer);
    match decision.agent() {
        Some(agent) => {
            logs::emit(
                events::PLACED,
                format_args!("request={id} offer={offer} attempt={attempt} {decision}"),
            );
            Ok(agent)
        }
        None => {
            logs::emit(
                events::NOT_PLACED,
                format_args!("request={id} offer={offer} attempt={attempt} {decision}"),
            );
            Err(refuse_no_upstream(decision.retry_after_ms()))
        }
    }
}

/// Formats the choice and its candidates, each as
/// `upstream:cost(running+queued+sent/limit,free,matched)`.
impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.agent(), self.choice) {
            (Some(agent), selection::Choice::Chosen { why, .. }) => {
                write!(
                    formatter,
                    "upstream={} why={why:?}",
                    agent.identity.upstream
                )?;
            }
            _ => write!(
                formatter,
                "upstream= retry_after_ms={}",
                self.retry_after_ms()
            )?,
        }
        write!(formatter, " weighed=")?;
        for (index, candidate) in self.candidates.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let agent = self.fleet.find(candidate.upstream);
            let name = agent.as_ref().map_or("?", |agent| &agent.identity.upstream);
            write!(
                formatter,
                "{comma}{name}:{:.0}({}+{}+{}/{},{},{})",
                candidate.cost_ms,
                candidate.running,
                candidate.queued,
                candidate.sent,
                candidate.limit,
                candidate.free_tokens,
                candidate.matched_blocks,
            )?;
        }
        Ok(())
    }
}

fn refuse_no_upstream(retry_after_ms: u32) -> refusal::Refusal {
    let message = "No upstream can accept this request at present.";
    refusal::Refusal::not_run(refusal::Code::NoUpstream, message).with_retry(retry_after_ms)
}
