//! Handler of the platform's API calls.

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_core::rollout::order;
use peargap_core::upstreams;
use peargap_platform::api;
use peargap_wire::operator;
use peargap_wire::record;

use crate::domain_orders;
use crate::events;
use crate::fleet;
use crate::proposal;
use crate::rollout_orders;

/// Handles calls of the platform's API by commands to the log and updates of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Handler {
    pub(crate) fleet: fleet::Fleet,
}

impl Handler {
    async fn commit(&self, kind: record::command::Kind) -> api::Outcome {
        match proposal::propose(&self.fleet.handle, kind).await {
            Ok(_reply) => api::Outcome::Done,
            Err(failure) => {
                logs::emit(events::COMMAND_FAILED, format_args!("why={failure:?}"));
                api::Outcome::Unknown
            }
        }
    }
}

impl api::Handler for Handler {
    async fn publish(&self, version: u64, text: Bytes) -> api::Outcome {
        let bytes = text.len();
        let publish = record::Publish { text, version };
        let outcome = self.commit(record::command::Kind::Publish(publish)).await;
        logs::emit(
            events::DOCUMENT_PUBLISHED,
            format_args!("version={version} bytes={bytes} outcome={outcome:?}"),
        );
        outcome
    }

    async fn read_document(&self) -> Option<Bytes> {
        // A read through the log sees every document accepted before it. A read under a lease could
        // be stale: the clock that the lease relies on stops while the host is suspended.
        let read = record::command::Kind::ReadRouting(true);
        match proposal::propose(&self.fleet.handle, read).await {
            Ok(record::reply::Kind::Routing(routing)) if routing.version > 0 => Some(routing.text),
            Ok(_reply) => None,
            Err(failure) => {
                logs::emit(events::COMMAND_FAILED, format_args!("why={failure:?}"));
                None
            }
        }
    }

    async fn set_domain_out(&self, domain: String, out: bool) -> api::Outcome {
        domain_orders::set(&self.fleet.handle, domain, out).await
    }

    async fn start_rollout(&self, request: order::Request) -> api::Ordered {
        let reply = rollout_orders::start(&self.fleet.handle, request).await;
        match reply.map(|reply| reply.answer()) {
            Ok(operator::RolloutAnswer::Accepted) => api::Ordered::Accepted,
            Ok(operator::RolloutAnswer::Conflict) => api::Ordered::Conflict,
            Ok(operator::RolloutAnswer::Unknown) => api::Ordered::NoService,
            // The request was checked before.
            Ok(operator::RolloutAnswer::Invalid | operator::RolloutAnswer::Unspecified)
            | Err(_) => api::Ordered::Unknown,
        }
    }

    async fn read_rollout(&self, service: String) -> api::Found {
        match rollout_orders::read(&self.fleet.handle, service).await {
            Ok(reply) => match rollout_orders::find_order(reply) {
                Some(order) => api::Found::Order(order),
                None => api::Found::None,
            },
            Err(failure) => {
                logs::emit(events::COMMAND_FAILED, format_args!("why={failure:?}"));
                api::Found::Unknown
            }
        }
    }

    async fn record_heartbeat(&self, status: upstreams::Status) -> api::Beat {
        match self.fleet.record_status(status).await {
            upstreams::Outcome::Conflict => api::Beat::Conflict,
            upstreams::Outcome::Changed | upstreams::Outcome::Known | upstreams::Outcome::Stale => {
                api::Beat::Recorded
            }
        }
    }

    async fn record_leave(&self, name: String) {
        self.fleet.record_leave(&name).await;
    }

    fn log_rejected(&self, call: &'static str, reason: &str) {
        logs::emit(
            events::CALL_REJECTED,
            format_args!("call={call} why={reason}"),
        );
    }
}
