//! Chooses the agent for a request among those that offer what it needs.

use core::fmt;
use core::time;
use std::sync;

use peargap_adapters::logs;
use peargap_core::retry;
use peargap_wire::control;
use rand::seq::IndexedRandom as _;

use crate::app;
use crate::events;
use crate::fleet;
use crate::peer;
use crate::refusal;

/// Candidates compared for a request.
const CANDIDATES: usize = 2;

/// What a generation needs of its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    pub(crate) model: &'a str,
    pub(crate) prefix: &'a [u64],
    pub(crate) request: &'a str,
    pub(crate) tokens: u32,
}

/// What the attempts of one request have shown so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    excluded: Vec<String>,
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
        self.excluded.push(upstream.clone());
        self.ran = Some(refusal.ran.merge(self.ran.unwrap_or(refusal.ran)));
        self.retry_after_ms = match (self.retry_after_ms, refusal.retry_after_ms) {
            (Some(earlier), Some(now)) => Some(now.min(earlier)),
            (earlier, now) => earlier.or(now),
        };
        if !is_worth_retry(refusal.code) {
            return None;
        }
        let next = app.retries.plan(app.now(), attempt);
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

/// Returns the engine's agent for a generation, or why there is none.
pub(crate) fn pick_engine(
    app: &app::App,
    request: &Request<'_>,
    history: &History,
) -> Result<sync::Arc<peer::Peer>, refusal::Refusal> {
    let fleet = app.fleet();
    let offers = |peer: &peer::Peer| {
        let report = peer.report();
        peer.identity.kind == control::Kind::Engine
            && report.is_some_and(|report| report.load.models.iter().any(|m| m == request.model))
    };
    pick(&fleet, request.request, history, offers)
}

/// Returns the agent for a call to a plain service, or why there is none.
pub(crate) fn pick_service(
    app: &app::App,
    service: &str,
    request: &str,
    history: &History,
) -> Result<sync::Arc<peer::Peer>, refusal::Refusal> {
    let fleet = app.fleet();
    let offers = |peer: &peer::Peer| {
        peer.identity.kind == control::Kind::Service
            && peer.identity.offers.iter().any(|offer| offer == service)
    };
    pick(&fleet, request, history, offers)
}

fn pick(
    fleet: &fleet::Fleet,
    request: &str,
    history: &History,
    offers: impl Fn(&peer::Peer) -> bool,
) -> Result<sync::Arc<peer::Peer>, refusal::Refusal> {
    let able: Vec<_> = fleet
        .peers
        .values()
        .filter(|peer| is_open(fleet, peer) && offers(peer))
        .filter(|peer| !history.excluded.contains(&peer.identity.upstream))
        .collect();
    let drawn: Vec<_> = able.sample(&mut rand::rng(), CANDIDATES).collect();
    let Some(best) = drawn.iter().min_by_key(|peer| score(peer)) else {
        return Err(refuse_none());
    };
    let details = format_args!(
        "request={request} upstream={} able={} weighed={}",
        best.identity.upstream,
        able.len(),
        Weighed(&drawn)
    );
    logs::emit(events::PLACED, details);
    Ok(sync::Arc::clone(best))
}

fn is_open(fleet: &fleet::Fleet, peer: &peer::Peer) -> bool {
    let config = &fleet.config;
    if config.domains_out.contains(&peer.identity.domain)
        || config.upstreams_out.contains(&peer.identity.upstream)
    {
        return false;
    }
    let Some(report) = peer.report() else {
        return false;
    };
    report.is_recent() && report.load.healthy && !report.load.draining
}

fn score(peer: &peer::Peer) -> u32 {
    let Some(report) = peer.report() else {
        return u32::MAX;
    };
    report.load.running + report.load.queued + report.sent_since
}

struct Weighed<'a>(&'a [&'a &'a sync::Arc<peer::Peer>]);

impl fmt::Display for Weighed<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, peer) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(formatter, "{comma}{}:{}", peer.identity.upstream, score(peer))?;
        }
        Ok(())
    }
}

fn refuse_none() -> refusal::Refusal {
    let message = "No upstream for this request is reachable.";
    refusal::Refusal::not_run(refusal::Code::NoUpstream, message)
        .with_retry(refusal::DEFAULT_RETRY_MS)
}
