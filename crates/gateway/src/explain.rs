//! Explains where a request would go now, without sending it.
//!
//! The question is the request itself, with the path behind [`PREFIX`], at the health address.

use core::fmt;
use std::collections;
use std::sync;

use axum::extract;
use axum::routing;
use peargap_adapters::body_budget;
use peargap_adapters::intake;
use peargap_core::balance;
use peargap_core::event_timing;
use peargap_core::rate_limit;
use peargap_core::routes;
use peargap_core::time::Instant;
use peargap_core::upstreams;
use peargap_platform::head;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::call;
use crate::candidates;
use crate::fleet;
use crate::fleet_state;
use crate::generation;
use crate::placement;
use crate::quarantine;
use crate::unread;
use crate::upstream;

/// Path before that of the request in question.
const PREFIX: &str = "/explain";
/// Longest body of a question, in bytes; the routing document may set a lower limit.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;
/// Choices made to find out how often each candidate would be chosen.
const CHOICES: u32 = 200;

/// State of the endpoint.
#[derive(Clone, Debug)]
struct Explainer {
    fleet: fleet::Fleet,
    unread: body_budget::Budget,
}

/// Returns the route that answers questions.
pub(crate) fn build_router(fleet: fleet::Fleet, unread: body_budget::Budget) -> axum::Router {
    let path = format!("{PREFIX}/{{*path}}");
    axum::Router::new()
        .route(&path, routing::any(answer))
        .with_state(Explainer { fleet, unread })
}

async fn answer(
    extract::State(explainer): extract::State<Explainer>,
    request: extract::Request,
) -> (http::StatusCode, String) {
    let refuse = |status, why: &str| (status, format!("choice=none why={why}\n"));
    let Some(table) = explainer.fleet.table() else {
        return refuse(http::StatusCode::SERVICE_UNAVAILABLE, "no_routes");
    };
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let Ok(uri) = path.strip_prefix(PREFIX).unwrap_or(path).parse() else {
        return refuse(http::StatusCode::BAD_REQUEST, "path_unreadable");
    };
    parts.uri = uri;
    let limit = usize::try_from(table.limits().body_bytes).unwrap_or(usize::MAX);
    let Ok(body) = axum::body::to_bytes(body, limit).await else {
        return refuse(http::StatusCode::PAYLOAD_TOO_LARGE, "body_too_long");
    };
    let Some(received) = parts.extensions.get::<intake::Request>().cloned() else {
        return refuse(http::StatusCode::INTERNAL_SERVER_ERROR, "not_counted");
    };
    let head = head::read_request(&parts.headers);
    let (route, team) = match table.find(&head.host, parts.uri.path(), head.key.as_deref()) {
        routes::Access::Denied => return refuse(http::StatusCode::UNAUTHORIZED, "key_unknown"),
        routes::Access::Unknown => return refuse(http::StatusCode::NOT_FOUND, "route_unknown"),
        routes::Access::Granted { route, team } => (table.route(route), team),
    };
    let request = call::Request {
        arrived: explainer.fleet.clock.now(),
        body,
        deadline: time::Instant::now(),
        digest: sync::OnceLock::new(),
        head,
        parts,
        priority: None,
        team: team.map(|team| table.team(team).name.clone()),
        unread: unread::Account {
            budget: explainer.unread.clone(),
            connection: CancellationToken::new(),
            received,
        },
    };
    let mut text = String::new();
    // A route may be split among services; each is explained.
    for share in &route.shares {
        let service = table.service(share.service);
        let explanation = explainer.fleet.explain(&request, route, service);
        text += &format!("version={} {explanation}", table.version());
    }
    (http::StatusCode::OK, text)
}

/// Where a request would go.
#[derive(Debug)]
struct Explanation<'a> {
    candidates: Vec<Line>,
    /// Whether it is in quarantine, and by what.
    quarantined_by: Option<String>,
    request: &'a call::Request,
    route: &'a routes::Route,
    service: &'a routes::Service,
    tokens: u64,
}

/// What speaks for and against one upstream.
#[derive(Debug)]
struct Line {
    /// How often it is chosen, of [`CHOICES`].
    chosen: u32,
    is_near: bool,
    is_own: bool,
    key: fleet::UpstreamKey,
    name: String,
    slots: u32,
    verdict: Verdict,
    view: placement::View,
}

/// Whether a request may be sent to an upstream, or why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    /// It may be chosen.
    Candidate,
    /// Its circuit breaker is open.
    Failing,
    /// It has no room for the tokens or the request.
    Full,
    /// It names a limit, which is used up.
    Limited,
    /// It is in a cold start and has its rate of requests.
    Cold,
    /// It or its failure domain is out of service.
    OutOfService(upstreams::State),
    /// It has just started and has as many requests as its answers allow.
    Starting,
    /// It asked for a pause, which ends in this many milliseconds.
    Paused(u64),
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Candidate => formatter.write_str("candidate"),
            Verdict::Failing => formatter.write_str("failing"),
            Verdict::Full => formatter.write_str("full"),
            Verdict::Limited => formatter.write_str("limited"),
            Verdict::Cold => formatter.write_str("cold"),
            Verdict::OutOfService(upstreams::State::Ready) => formatter.write_str("domain_out"),
            Verdict::OutOfService(state) => write!(formatter, "{state:?}"),
            Verdict::Starting => formatter.write_str("starting"),
            Verdict::Paused(millis) => write!(formatter, "paused pause_ms={millis}"),
        }
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "route={} kind={:?} team={} service={} tokens={} quarantined_by={}",
            self.route.name,
            self.route.kind,
            self.request.team.as_deref().unwrap_or("none"),
            self.service.name,
            self.tokens,
            self.quarantined_by.as_deref().unwrap_or("none"),
        )?;
        for line in &self.candidates {
            writeln!(
                formatter,
                "upstream={} chosen={:.1}% near={} own={} slots={} {} verdict={}",
                line.name,
                f64::from(line.chosen) * 100.0 / f64::from(CHOICES),
                line.is_near,
                line.is_own,
                line.slots,
                line.view,
                line.verdict,
            )?;
        }
        let first = self.candidates.iter().max_by_key(|line| line.chosen);
        let first = first.filter(|line| line.chosen > 0 && self.quarantined_by.is_none());
        let choice = first.map_or("none", |line| &line.name);
        writeln!(formatter, "choice={choice}")
    }
}

impl fleet::Fleet {
    /// Explains where a request of a route would go now if it is sent to a service.
    fn explain<'a>(
        &self,
        request: &'a call::Request,
        route: &'a routes::Route,
        service: &'a routes::Service,
    ) -> Explanation<'a> {
        let tokens = match service.engine {
            Some(_engine) => generation::estimate_start_tokens(request),
            None => 0,
        };
        let targets = event_timing::Targets {
            first_ms: route.objective_ms,
            gap_ms: route.gap_ms,
        };
        let need = generation::pace_need(request, targets, service.engine);
        let subjects = quarantine::list_subjects(request, true);
        let quarantined_by = self.lock().quarantine.find_quarantined(&subjects);
        let criteria = fleet::Criteria {
            exclude: &[],
            near: None,
            need,
            purpose: rate_limit::Purpose::First,
            service,
            tokens,
        };
        Explanation {
            candidates: self.list_lines(criteria),
            quarantined_by: quarantined_by.map(|subject| subject.to_string()),
            request,
            route,
            service,
            tokens,
        }
    }

    fn list_lines(&self, criteria: fleet::Criteria<'_>) -> Vec<Line> {
        let now = self.clock.now();
        let state = self.lock();
        let candidates = state.list_candidates(now, criteria, &self.domain);
        let mut lines = Vec::new();
        for key in state.names.values().copied() {
            let upstream = state.upstreams.get(key);
            let of_service =
                upstream.filter(|upstream| upstream.status.service == criteria.service.name);
            let Some(upstream) = of_service else {
                continue;
            };
            let candidate = candidates.iter().find(|candidate| candidate.key == key);
            let verdict = match candidate {
                Some(candidate) => judge_alone(*candidate, criteria),
                None => state.judge(now, criteria, key, upstream),
            };
            lines.push(Line {
                chosen: 0,
                is_near: upstream.status.domain == *self.domain,
                is_own: candidate.is_some_and(|candidate| candidate.is_own),
                key,
                name: upstream.status.name.clone(),
                slots: upstream.status.slots,
                verdict,
                view: placement::View {
                    expected: candidate.and_then(|candidate| candidate.expected),
                    limit: state.explain_limit(now, key),
                    load: upstream.local_load.plus(upstream.remote_load),
                    load_age_ms: now.millis_since(state.remote_loads_at),
                    pace: candidate.map_or(1.0, |candidate| candidate.pace),
                },
            });
        }
        drop(state);
        let chosen = count_choices(&candidates, criteria);
        for line in &mut lines {
            line.chosen = chosen.get(&line.key).copied().unwrap_or_default();
        }
        lines
    }
}

impl fleet_state::State {
    /// Returns why an upstream is no candidate.
    fn judge(
        &self,
        now: Instant,
        criteria: fleet::Criteria<'_>,
        key: fleet::UpstreamKey,
        upstream: &upstream::Upstream,
    ) -> Verdict {
        let mut ready = self.list_ready(&criteria.service.name);
        let Some(index) = ready.position(|(ready, _upstream)| ready == key) else {
            return Verdict::OutOfService(upstream.status.state);
        };
        if let Some(end) = upstream.paused_until(now) {
            return Verdict::Paused(end.millis_since(now));
        }
        match self.admit(now, &criteria, index, upstream, &mut rand::rng()) {
            candidates::Admission::Limited => Verdict::Limited,
            candidates::Admission::NotNow => Verdict::Cold,
            candidates::Admission::Starting => Verdict::Starting,
            candidates::Admission::Allow | candidates::Admission::Broken => Verdict::Failing,
        }
    }
}

fn choose(
    candidates: &[balance::Candidate<fleet::UpstreamKey>],
    criteria: fleet::Criteria<'_>,
) -> balance::Choice<fleet::UpstreamKey> {
    match criteria.service.engine {
        Some(_engine) => {
            let random = &mut rand::rng();
            balance::choose_engine_by_pace(candidates, criteria.tokens, &criteria.need, random)
        }
        None => balance::choose_plain(candidates, &mut rand::rng()),
    }
}

/// Returns how often each candidate is chosen.
fn count_choices(
    candidates: &[balance::Candidate<fleet::UpstreamKey>],
    criteria: fleet::Criteria<'_>,
) -> collections::HashMap<fleet::UpstreamKey, u32> {
    let mut chosen = collections::HashMap::new();
    for _choice in 0..CHOICES {
        if let balance::Choice::Take(key) = choose(candidates, criteria) {
            *chosen.entry(key).or_default() += 1;
        }
    }
    chosen
}

/// Returns whether a candidate would be chosen if there were no others.
fn judge_alone(
    candidate: balance::Candidate<fleet::UpstreamKey>,
    criteria: fleet::Criteria<'_>,
) -> Verdict {
    match choose(&[candidate], criteria) {
        balance::Choice::Take(_key) => Verdict::Candidate,
        balance::Choice::Full | balance::Choice::NoCandidates => Verdict::Full,
    }
}
