//! Chooses the agent for a request among those that offer what it needs.

use core::fmt;
use core::time;
use std::sync;

use peargap_adapters::logs;
use peargap_core::place;
use peargap_core::retry;
use peargap_core::table;
use peargap_wire::control;
use tokio::time as clock;

use crate::app;
use crate::events;
use crate::fleet;
use crate::peer;
use crate::refusal;

/// What a request needs of its upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    pub(crate) deadline: clock::Instant,
    pub(crate) kind: control::Kind,
    /// Model or service.
    pub(crate) offer: &'a str,
    pub(crate) prefix: &'a [u64],
    pub(crate) request: &'a str,
    pub(crate) tokens: u32,
}

/// What the attempts of one request have shown so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    excluded: Vec<table::Upstream>,
    ran: Option<refusal::Ran>,
    retry_after_ms: Option<u32>,
}

impl History {
    /// Returns how many attempts failed.
    pub(crate) fn attempts(&self) -> u32 {
        u32::try_from(self.excluded.len()).unwrap_or(u32::MAX)
    }

    /// Returns a refusal that is true of all attempts together.
    pub(crate) fn merge(&self, mut refusal: refusal::Refusal) -> refusal::Refusal {
        if let Some(ran) = self.ran {
            refusal.ran = refusal.ran.merge(ran);
        }
        if let (Some(earlier), Some(now)) = (self.retry_after_ms, refusal.retry_after_ms) {
            refusal.retry_after_ms = Some(now.min(earlier));
        }
        refusal
    }

    /// Records a failed attempt and returns the pause before the next, if there is one.
    pub(crate) fn plan(
        &mut self,
        app: &app::App,
        peer: &peer::Peer,
        refusal: &refusal::Refusal,
        attempt: &retry::Attempt,
        request: &str,
    ) -> Option<time::Duration> {
        let upstream = &peer.identity.upstream;
        self.excluded.push(peer.key);
        self.ran = Some(refusal.ran.merge(self.ran.unwrap_or(refusal.ran)));
        self.retry_after_ms = match (self.retry_after_ms, refusal.retry_after_ms) {
            (Some(earlier), Some(now)) => Some(now.min(earlier)),
            (earlier, now) => earlier.or(now),
        };
        note_evidence(app, peer, refusal);
        if !is_worth_retry(refusal.code) {
            return None;
        }
        let next = app.retries.plan(app.board.now(), attempt);
        let details = format_args!(
            "request={request} upstream={upstream} attempt={} code={} ran={} next={next:?}",
            attempt.number,
            refusal.code.as_str(),
            refusal.ran.as_str(),
        );
        logs::emit(events::RERUN, details);
        match next {
            retry::Next::Retry { after_ms } => {
                app.metrics.retries.add(1, &[]);
                Some(time::Duration::from_millis(after_ms))
            }
            retry::Next::GiveUp(_) => None,
        }
    }
}

/// Notes what a failed attempt shows of its upstream.
fn note_evidence(app: &app::App, peer: &peer::Peer, refusal: &refusal::Refusal) {
    if refusal.code == refusal::Code::UpstreamFailed {
        app.board.record_failure(peer.key);
    } else {
        let ran = refusal.ran != refusal::Ran::No;
        app.board.record_answer(peer.key, ran);
    }
}

fn is_worth_retry(code: refusal::Code) -> bool {
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

/// Returns the agent that gets the request, or why there is none.
pub(crate) fn pick_peer(
    app: &app::App,
    request: &Request<'_>,
    history: &History,
) -> Result<sync::Arc<peer::Peer>, refusal::Refusal> {
    let fleet = app.fleet();
    let fill = |group| place::Ask {
        avoid: &history.excluded,
        deadline: app.board.instant(request.deadline),
        group,
        prefix: request.prefix,
        prompt_tokens: request.tokens,
    };
    let mut weighed = Vec::new();
    let choice = app
        .board
        .pick(request.kind, request.offer, fill, &mut weighed);
    let weighed = Weighed {
        candidates: &weighed,
        fleet: &fleet,
    };
    match choice {
        place::Choice::Chosen { upstream, why } => {
            let Some(peer) = fleet.find(upstream) else {
                return Err(refuse_none(refusal::DEFAULT_RETRY_MS));
            };
            let details = format_args!(
                "request={} upstream={} why={why:?} attempt={} weighed={weighed}",
                request.request,
                peer.identity.upstream,
                history.attempts() + 1,
            );
            logs::emit(events::PLACED, details);
            Ok(peer)
        }
        place::Choice::None { retry_after_ms } => {
            let details = format_args!(
                "request={} offer={} retry_after_ms={retry_after_ms} weighed={weighed}",
                request.request, request.offer,
            );
            logs::emit(events::NOT_PLACED, details);
            Err(refuse_none(
                u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
            ))
        }
    }
}

/// Formats candidates as `upstream:cost(running+queued+sent/limit,free,matched)`.
struct Weighed<'a> {
    candidates: &'a [place::Candidate],
    fleet: &'a fleet::Fleet,
}

impl fmt::Display for Weighed<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, candidate) in self.candidates.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let peer = self.fleet.find(candidate.upstream);
            let name = peer.as_ref().map_or("?", |peer| &peer.identity.upstream);
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

fn refuse_none(retry_after_ms: u32) -> refusal::Refusal {
    let message = "No upstream can take this request now.";
    refusal::Refusal::not_run(refusal::Code::NoUpstream, message).with_retry(retry_after_ms)
}
