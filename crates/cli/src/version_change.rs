//! `rollout start`, `rollout status` and `rollout abort`: the traffic of a service moves to another
//! version of its upstreams.

use core::time;

use peargap_wire::operator;
use peargap_wire::operator::rollout_request;

use crate::client;
use crate::exit;
use crate::output;

/// Thousandths of a percent in a millionth.
const PPM_PER_PERCENT: f64 = 10_000.0;

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Roll back the rollout of a service that is in progress.
    Abort(String),
    /// Move the traffic of a service.
    Start {
        /// Time limit.
        duration: time::Duration,
        /// Service whose traffic moves.
        service: String,
        /// Version that it moves to.
        target: String,
    },
    /// Show the last rollout of a service.
    Status(String),
}

/// Calls the control hosts and prints their answer.
pub(crate) async fn run(
    json: bool,
    client: &client::Client,
    action: &Action,
    id: &str,
) -> exit::Code {
    let kind = match action.clone() {
        Action::Abort(service) => rollout_request::Kind::Abort(service),
        Action::Start {
            duration,
            service,
            target,
        } => rollout_request::Kind::Start(operator::StartRollout {
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
            id: id.to_owned(),
            service,
            target,
        }),
        Action::Status(service) => rollout_request::Kind::Read(service),
    };
    match client.rollout(kind).await {
        Ok(reply) => report(json, &reply),
        Err(error) => output::report_error(json, &error),
    }
}

fn report(json: bool, reply: &operator::RolloutReply) -> exit::Code {
    let (answer, code) = match reply.answer() {
        operator::RolloutAnswer::Accepted => ("accepted", exit::Code::Done),
        operator::RolloutAnswer::Conflict => ("another is in progress", exit::Code::Conflict),
        operator::RolloutAnswer::Invalid => ("invalid", exit::Code::Invalid),
        operator::RolloutAnswer::Unknown => ("no such service or rollout", exit::Code::Invalid),
        operator::RolloutAnswer::Unspecified => ("unknown answer", exit::Code::Unavailable),
    };
    let mut lines = vec![answer.to_owned()];
    let mut value = serde_json::json!({ "answer": answer });
    if let Some(rollout) = &reply.rollout {
        let state = match rollout.state() {
            operator::RolloutState::Completed => "completed",
            operator::RolloutState::InProgress => "in progress",
            operator::RolloutState::RolledBack => "rolled back",
            operator::RolloutState::Unspecified => "unknown",
        };
        let percent = f64::from(rollout.share_ppm) / PPM_PER_PERCENT;
        lines.push(format!(
            "{} to {}: {state}, {percent:.1} % of new requests, {} of {} ms",
            rollout.service, rollout.target, rollout.elapsed_ms, rollout.duration_ms
        ));
        value["rollout"] = serde_json::json!({
            "duration_ms": rollout.duration_ms,
            "elapsed_ms": rollout.elapsed_ms,
            "order": rollout.order,
            "service": rollout.service,
            "share_ppm": rollout.share_ppm,
            "state": state,
            "target": rollout.target,
        });
    }
    output::print(json, &value, &lines);
    code
}
