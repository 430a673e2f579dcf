//! What a gateway tells a control host on each link, beside its load.

use peargap_adapters::document;
use peargap_adapters::evidence as wire_evidence;
use peargap_adapters::limit as wire_limit;
use peargap_adapters::logs;
use peargap_core::departures;
use peargap_core::document_fetch;
use peargap_core::fleet_share;
use peargap_wire::fleet as wire;

use crate::documents;
use crate::events;
use crate::fleet;

/// Gateways that tell a control host of the departures that others told them. One would do, but may fail
/// together with the host that was told first.
const RELAYING_GATEWAYS: u32 = 3;

/// What has been told on one link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Told {
    /// Number of departures.
    departures: usize,
    /// Number of the last change of the evidence on what crashes upstreams; `None` before the first report.
    evidence: Option<u64>,
    /// Number of the last change of a limit.
    limits: u64,
    /// Number of departures that control hosts told.
    relayed: usize,
    /// Number of answered requests with suspected subjects.
    successes: usize,
}

/// What to do next on a link.
#[derive(Debug)]
pub(crate) struct Turn {
    /// Whether the control host has a newer document than this gateway.
    pub(crate) is_behind: bool,
    /// Report to send.
    pub(crate) report: Option<wire::Report>,
}

impl fleet::Fleet {
    /// Returns what to do next on the link to a control host, and records it as done. `position` is that
    /// among the gateways that follow the host, as far as the host has told it.
    pub(crate) fn next_turn(
        &self,
        host: &str,
        position: fleet_share::Position,
        told: &mut Told,
    ) -> Turn {
        let now = self.clock.now();
        let mut state = self.lock();
        let version = state.version;
        let wanted = match state.fetch.next(now, host, version) {
            document_fetch::Next::Request(version) => version,
            document_fetch::Next::Wait => 0,
        };
        let stall = state.fetch.take_stall();
        let held = (wanted > 0).then(|| document::encode_held(&state.describe_held()));
        let departures = state.departures.list_after(told.departures);
        let relays = (1..=RELAYING_GATEWAYS).contains(&position.position);
        let relayed = state.relayed.list_after(now, told.relayed);
        let relayed = relayed.filter(|_departure| relays);
        let departures = departures.map(|one| encode(one, false));
        let relayed = relayed.map(|one| encode(one, true));
        let limits = state.limits.list_own_after(told.limits);
        // On a new link, the host may lack what it or another one knew before, and already knows the
        // answered requests in it.
        let news = match told.evidence {
            None => state.quarantine.list_after(0).collect::<Vec<_>>(),
            Some(told) => state.quarantine.list_own_after(told).collect(),
        };
        let evidence = news.into_iter().map(wire_evidence::encode);
        let answered = told
            .evidence
            .map_or(state.successes.count(), |_told| told.successes);
        let successes = state.successes.list_after(answered);
        let report = wire::Report {
            departures: departures.chain(relayed).collect(),
            evidence: evidence.collect(),
            limits: limits.map(wire_limit::encode).collect(),
            successes: successes.map(wire_evidence::encode_success).collect(),
            wanted,
            held,
            ..wire::Report::default()
        };
        told.departures = state.departures.count();
        told.evidence = Some(state.quarantine.last_change());
        told.limits = state.limits.last_change();
        // Until the position is known, none is passed over.
        if position.position > 0 {
            told.relayed = state.relayed.count();
        }
        told.successes = state.successes.count();
        let is_behind = state.fetch.is_behind(host, version);
        drop(state);
        if let Some(stall) = stall {
            documents::log_stall(&stall);
        }
        let held = report.held.as_ref();
        if held.is_some_and(|held| held.received == 0) {
            logs::emit(
                events::DOCUMENT_REQUESTED,
                format_args!("version={wanted} control={host}"),
            );
        }
        Turn {
            is_behind,
            report: (report != wire::Report::default()).then_some(report),
        }
    }
}

fn encode(departure: &departures::Departure, is_relayed: bool) -> wire::Departure {
    wire::Departure {
        born_ms: departure.born_ms,
        is_relayed,
        upstream: departure.upstream.clone(),
    }
}
