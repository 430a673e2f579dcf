//! Statuses of upstreams in the messages between gateways and control hosts.

use peargap_core::upstreams;
use peargap_wire::fleet as wire;

/// Returns the status in a message; `None` if its state is not known.
#[must_use]
pub fn decode(upstream: wire::Upstream) -> Option<upstreams::Status> {
    let state = match upstream.state() {
        wire::State::Draining => upstreams::State::Draining,
        wire::State::Left => upstreams::State::Left,
        wire::State::Ready => upstreams::State::Ready,
        wire::State::Silent => upstreams::State::Silent,
        wire::State::Unspecified => return None,
    };
    Some(upstreams::Status {
        address: upstream.address,
        cold_ms: u64::from(upstream.cold_ms),
        domain: upstream.domain,
        edition: upstreams::Edition {
            born_ms: upstream.born_ms,
            sequence: upstream.sequence,
        },
        name: upstream.name,
        service: upstream.service,
        slots: upstream.slots,
        state,
        version: upstream.version,
    })
}

/// Returns the message for a status.
#[must_use]
pub fn encode(status: &upstreams::Status) -> wire::Upstream {
    let state = match status.state {
        upstreams::State::Draining => wire::State::Draining,
        upstreams::State::Left => wire::State::Left,
        upstreams::State::Ready => wire::State::Ready,
        upstreams::State::Silent => wire::State::Silent,
    };
    wire::Upstream {
        address: status.address.clone(),
        born_ms: status.edition.born_ms,
        cold_ms: u32::try_from(status.cold_ms).unwrap_or(u32::MAX),
        domain: status.domain.clone(),
        name: status.name.clone(),
        sequence: status.edition.sequence,
        service: status.service.clone(),
        slots: status.slots,
        state: state.into(),
        version: status.version.clone(),
    }
}
