//! Conversions between replicated rollouts and protobuf messages.

use peargap_adapters::rollout;
use peargap_core::rollout::order;
use peargap_wire::operator;
use peargap_wire::record;

pub(crate) fn encode_service(service: &order::Service) -> record::ServiceRollouts {
    record::ServiceRollouts {
        barred: service.barred.iter().cloned().collect(),
        base: service.base.clone().unwrap_or_default(),
        last: Some(rollout::encode_order(&service.last)),
    }
}

fn decode_service(record: record::ServiceRollouts) -> Option<order::Service> {
    Some(order::Service {
        barred: record.barred.into(),
        base: Some(record.base).filter(|base| !base.is_empty()),
        last: rollout::decode_order(record.last?)?,
    })
}

pub(crate) fn restore(revision: u64, services: Vec<record::ServiceRollouts>) -> order::Orders {
    order::Orders::restore(revision, services.into_iter().filter_map(decode_service))
}

pub(crate) fn decode_start(start: operator::StartRollout) -> order::Request {
    order::Request {
        duration_ms: start.duration_ms,
        id: start.id,
        service: start.service,
        target: start.target,
    }
}
