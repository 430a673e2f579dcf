//! Hedged requests: a slow repeatable call is also sent to a second upstream.
//!
//! The second attempt is charged to the retry budget; the first answer is used.

use core::future;
use std::sync;

use peargap_adapters::logs;
use peargap_wire::agent as wire;
use tokio::time as clock;

use crate::agent;
use crate::app;
use crate::call;
use crate::events;
use crate::place;
use crate::refusal;

type Answer = Result<wire::Response, refusal::Refusal>;

/// Sends a call to `agent`, and to another agent if there is no answer within the service's
/// estimated latency.
pub(crate) async fn attempt_hedged(
    app: &app::App,
    agent: &agent::Agent,
    job: &call::Job,
    request: &place::Request<'_>,
    history: &place::History,
) -> Answer {
    let started = clock::Instant::now();
    let tag = history.attempts().to_string();
    let first = call::attempt(app, agent, job, &tag);
    tokio::pin!(first);
    let hedge_delay = app.latencies.get(&job.request.service);
    let in_time = match hedge_delay {
        Some(hedge_delay) => clock::timeout(hedge_delay, &mut first).await.ok(),
        None => None,
    };
    let answer = match (in_time, hedge_delay) {
        (Some(answer), _) => answer,
        (None, None) => first.await,
        (None, Some(_)) => match pick_second(app, agent, request, history) {
            Some(second) => {
                let tag = format!("{tag}h");
                let second = call::attempt(app, &second, job, &tag);
                race(first, second).await
            }
            None => first.await,
        },
    };
    if answer.is_ok() {
        app.latencies.add(&job.request.service, started.elapsed());
    }
    answer
}

/// Returns another agent for the call if there is one and the retry budget allows it.
fn pick_second(
    app: &app::App,
    agent: &agent::Agent,
    request: &place::Request<'_>,
    history: &place::History,
) -> Option<sync::Arc<agent::Agent>> {
    let decision = place::decide(app, request, &history.excluding(agent));
    let second = decision.agent()?;
    if !app.retry_budget.try_withdraw() {
        return None;
    }
    app.metrics.hedges.add(1, &[]);
    let first = &agent.identity.upstream;
    logs::emit(
        events::HEDGED,
        format_args!("request={} first={first} {decision}", request.request),
    );
    Some(second)
}

/// Returns the first answer, or the later failure if both attempts fail.
async fn race(
    first: impl future::Future<Output = Answer> + Unpin,
    second: impl future::Future<Output = Answer>,
) -> Answer {
    tokio::pin!(second);
    let mut first = first;
    tokio::select! {
        answer = &mut first => match answer {
            Ok(answer) => Ok(answer),
            Err(_) => second.await,
        },
        answer = &mut second => match answer {
            Ok(answer) => Ok(answer),
            Err(_) => first.await,
        },
    }
}
