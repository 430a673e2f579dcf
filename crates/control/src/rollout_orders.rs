//! Orders of rollouts: the commands behind the platform's API and the operators' service.

use peargap_adapters::logs;
use peargap_adapters::rollout;
use peargap_core::rollout::order;
use peargap_platform::document;
use peargap_wire::operator;
use peargap_wire::record;

use crate::answer;
use crate::events;
use crate::proposal;
use crate::replica;

/// Starts a rollout, if its service is in the routing document.
pub(crate) async fn start(
    handle: &replica::Handle,
    request: order::Request,
) -> Result<operator::RolloutReply, answer::Failure> {
    if !is_known_service(handle, &request.service).await? {
        return Ok(reply_unknown());
    }
    let start = operator::StartRollout {
        duration_ms: request.duration_ms,
        id: request.id,
        service: request.service,
        target: request.target,
    };
    let text = format!(
        "service={} target={:?} duration_ms={} id={:?}",
        start.service, start.target, start.duration_ms, start.id
    );
    let reply = propose(handle, record::command::Kind::StartRollout(start)).await;
    logs::emit(
        events::ROLLOUT_ORDERED,
        format_args!("{text} {}", Outcome(&reply)),
    );
    reply
}

/// Returns the last rollout of a service, as committed by now.
pub(crate) async fn read(
    handle: &replica::Handle,
    service: String,
) -> Result<operator::RolloutReply, answer::Failure> {
    propose(handle, record::command::Kind::ReadRollout(service)).await
}

/// Rolls back the rollout of a service that is in progress, if there is one.
pub(crate) async fn abort(
    handle: &replica::Handle,
    service: String,
) -> Result<operator::RolloutReply, answer::Failure> {
    let end = record::EndRollout {
        order: 0,
        service: service.clone(),
        state: operator::RolloutState::RolledBack.into(),
    };
    let reply = propose(handle, record::command::Kind::EndRollout(end)).await;
    logs::emit(
        events::ROLLOUT_ABORTED,
        format_args!("service={service} {}", Outcome(&reply)),
    );
    reply
}

async fn propose(
    handle: &replica::Handle,
    kind: record::command::Kind,
) -> Result<operator::RolloutReply, answer::Failure> {
    match proposal::propose(handle, kind).await? {
        record::reply::Kind::Rollout(reply) => Ok(reply),
        _other => Err(answer::Failure::Unknown),
    }
}

/// Returns whether the routing document that is committed by now contains a service.
async fn is_known_service(
    handle: &replica::Handle,
    service: &str,
) -> Result<bool, answer::Failure> {
    let read = record::command::Kind::ReadRouting(true);
    let record::reply::Kind::Routing(routing) = proposal::propose(handle, read).await? else {
        return Err(answer::Failure::Unknown);
    };
    // A document is checked before it is committed.
    let table = document::read_document(&routing.text);
    Ok(table.is_ok_and(|table| table.service_named(service).is_some()))
}

fn reply_unknown() -> operator::RolloutReply {
    operator::RolloutReply {
        answer: operator::RolloutAnswer::Unknown.into(),
        rollout: None,
    }
}

/// Text on the outcome of a command for a log line.
struct Outcome<'a>(&'a Result<operator::RolloutReply, answer::Failure>);

impl core::fmt::Display for Outcome<'_> {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self.0 {
            Ok(reply) => {
                let order = reply.rollout.as_ref().map_or(0, |rollout| rollout.order);
                write!(formatter, "answer={:?} order={order}", reply.answer())
            }
            Err(failure) => write!(formatter, "why={failure:?}"),
        }
    }
}

/// Returns the rollout in a reply, if there is one.
pub(crate) fn find_order(reply: operator::RolloutReply) -> Option<order::Order> {
    rollout::decode_order(reply.rollout?)
}
