//! Evidence of gateways on what crashes upstreams.

use peargap_adapters::evidence;
use peargap_adapters::logs;
use peargap_core::quarantine;
use peargap_wire::fleet as wire;
use peargap_wire::operator;

use crate::events;
use crate::fleet;
use crate::suspect;

/// Evidence on what crashes upstreams.
#[derive(Debug)]
pub(crate) struct Evidence {
    /// Number of the last change that the evidence includes.
    pub(crate) last_change: u64,
    pub(crate) news: Vec<quarantine::Evidence>,
}

impl fleet::Fleet {
    /// Records what a gateway knows of what crashes upstreams, and the requests with suspected subjects that
    /// it saw answered, and tells all gateways.
    pub(crate) fn record_evidence(
        &self,
        told: &[quarantine::Evidence],
        successes: &[quarantine::Success],
    ) {
        if told.is_empty() && successes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let former = state.quarantine.last_change();
        let changes = state.quarantine.merge(now, told, successes);
        let has_news = state.quarantine.last_change() != former;
        drop(state);
        log_changes(&changes);
        if has_news {
            self.last_change.send_modify(|_change| {});
        }
    }

    /// Clears a prompt part or a request, as an operator wishes, and tells all gateways; returns what was
    /// cleared.
    pub(crate) fn release(
        &self,
        name: quarantine::Name,
        operator: &str,
    ) -> Vec<quarantine::Subject> {
        let now = self.clock.now();
        let (subjects, changes) = self.lock().quarantine.release(now, name);
        logs::emit(
            events::QUARANTINE_RELEASED,
            format_args!(
                "subject={name} operator={operator:?} cleared={}",
                quarantine::List(&subjects)
            ),
        );
        log_changes(&changes);
        self.last_change.send_modify(|_change| {});
        subjects
    }

    /// Returns what is known of the prompt parts and requests on which upstreams may crash.
    pub(crate) fn list_suspects(&self) -> Vec<operator::Suspect> {
        let state = self.lock();
        let suspects = state.quarantine.list_suspects();
        let rows = suspects.map(|(evidence, group)| suspect::encode(evidence, group));
        rows.collect()
    }

    /// Returns the evidence on what crashes upstreams that changed after `change`.
    pub(crate) fn list_evidence(&self, change: u64) -> Evidence {
        let state = self.lock();
        Evidence {
            last_change: state.quarantine.last_change(),
            news: state.quarantine.list_after(change).cloned().collect(),
        }
    }

    /// Returns the evidence that should outlive all processes.
    pub(crate) fn lasting_evidence(&self) -> wire::StoredEvidence {
        let state = self.lock();
        let lasting = state.quarantine.list_lasting().map(evidence::encode);
        wire::StoredEvidence {
            evidence: lasting.collect(),
        }
    }
}

fn log_changes(changes: &[quarantine::Change]) {
    for change in changes {
        logs::emit(events::QUARANTINE_CHANGED, format_args!("{change}"));
    }
}
