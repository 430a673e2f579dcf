//! Orders and heartbeats from the platform, carried out.

use bytes::Bytes;
use peargap_adapters::logs;
use peargap_core::upstreams;
use peargap_platform::api;
use peargap_wire::record;

use crate::events;
use crate::fleet;
use crate::proposal;

/// Serves the platform's calls.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    pub(crate) fleet: fleet::Fleet,
}

impl Desk {
    async fn order(&self, kind: record::command::Kind) -> api::Outcome {
        match proposal::propose(&self.fleet.handle, kind).await {
            Ok(_reply) => api::Outcome::Done,
            Err(refusal) => {
                logs::emit(events::ORDER_FAILED, format_args!("why={refusal:?}"));
                api::Outcome::Unknown
            }
        }
    }
}

impl api::Handler for Desk {
    async fn publish(&self, version: u64, text: Bytes) -> api::Outcome {
        let bytes = text.len();
        let publish = record::Publish { text, version };
        let outcome = self.order(record::command::Kind::Publish(publish)).await;
        logs::emit(
            events::DOCUMENT_PUBLISHED,
            format_args!("version={version} bytes={bytes} outcome={outcome:?}"),
        );
        outcome
    }

    async fn read_document(&self) -> Option<Bytes> {
        // The log orders the read behind every accepted document; a lease would rest on a clock
        // that stands still while the host is suspended.
        let read = record::command::Kind::ReadRouting(true);
        match proposal::propose(&self.fleet.handle, read).await {
            Ok(record::reply::Kind::Routing(routing)) if routing.version > 0 => Some(routing.text),
            Ok(_reply) => None,
            Err(refusal) => {
                logs::emit(events::ORDER_FAILED, format_args!("why={refusal:?}"));
                None
            }
        }
    }

    async fn set_domain_out(&self, domain: String, out: bool) -> api::Outcome {
        let shift = record::Shift {
            domain: domain.clone(),
            out,
        };
        let outcome = self.order(record::command::Kind::Shift(shift)).await;
        logs::emit(
            events::DOMAIN_SHIFTED,
            format_args!("domain={domain} out={out} outcome={outcome:?}"),
        );
        outcome
    }

    async fn record_heartbeat(&self, word: upstreams::Status) {
        self.fleet.hear(word).await;
    }

    async fn record_leave(&self, name: String) {
        self.fleet.leave(&name).await;
    }

    fn log_rejected(&self, call: &'static str, reason: &str) {
        logs::emit(
            events::CALL_REJECTED,
            format_args!("call={call} why={reason}"),
        );
    }
}
