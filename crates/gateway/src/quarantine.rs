//! Quarantine of the prompt parts that crash engines, as this gateway applies it.

use std::collections;

use peargap_adapters::evidence;
use peargap_adapters::logs;
use peargap_core::prompt;
use peargap_core::quarantine;
use peargap_wire::fleet as wire;

use crate::events;
use crate::fleet;

/// Written generations that are kept for links that have not told them yet.
const MAX_WRITES: usize = 1024;

/// Written generations with suspected parts, for the control hosts; oldest first.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    dropped: usize,
    kept: collections::VecDeque<quarantine::Write>,
}

impl Writes {
    fn extend(&mut self, writes: Vec<quarantine::Write>) {
        self.kept.extend(writes);
        while self.kept.len() > MAX_WRITES {
            self.kept.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the number of writes so far.
    pub(crate) fn count(&self) -> usize {
        self.dropped + self.kept.len()
    }

    /// Returns the writes after the first `known` ones, without those that were dropped.
    pub(crate) fn list_after(&self, known: usize) -> impl Iterator<Item = &quarantine::Write> {
        self.kept.iter().skip(known.saturating_sub(self.dropped))
    }
}

impl fleet::Fleet {
    /// Records that an engine ended as a generation with this prompt began.
    pub(crate) fn record_crash(&self, prompt: &prompt::Prompt, upstream: &str, born_ms: u64) {
        let now = self.clock.now();
        let loss = quarantine::Loss::new(upstream, born_ms);
        let mut state = self.lock();
        let changes = state.quarantine.record_loss(now, prompt.parts(), loss);
        drop(state);
        self.handle_changes(&changes);
        self.news.send_modify(|count| *count += 1);
    }

    /// Records that a generation with this prompt is being written.
    pub(crate) fn record_written(&self, prompt: &prompt::Prompt) {
        let now = self.clock.now();
        let mut state = self.lock();
        let (writes, changes) = state.quarantine.record_write(now, prompt.parts());
        if writes.is_empty() {
            return;
        }
        state.writes.extend(writes);
        drop(state);
        self.handle_changes(&changes);
        self.news.send_modify(|count| *count += 1);
    }

    /// Applies evidence from a control host.
    pub(crate) fn apply_evidence(&self, told: &[wire::Evidence]) {
        if told.is_empty() {
            return;
        }
        let now = self.clock.now();
        let told: Vec<_> = told.iter().map(evidence::decode).collect();
        let changes = self.lock().quarantine.merge(now, &told, &[]);
        self.handle_changes(&changes);
    }

    /// Returns whether a generation with this prompt may be sent to an engine. One gateway of all runs
    /// the trials of a part.
    pub(crate) fn admit_prompt(&self, prompt: &prompt::Prompt) -> quarantine::Verdict {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(part) = state.quarantine.find_quarantined(prompt.parts()) else {
            return quarantine::Verdict::Allow;
        };
        let index = usize::try_from(part.id).unwrap_or(usize::MAX);
        let runs_trials = state.gateway_position.owns(index);
        let verdict = state.quarantine.admit(now, prompt.parts(), runs_trials);
        drop(state);
        if verdict == quarantine::Verdict::Trial {
            logs::emit(events::QUARANTINE_TRIAL, format_args!("part={part}"));
        }
        verdict
    }

    /// Returns the number of groups of prompt parts in quarantine.
    pub(crate) fn count_quarantined(&self) -> u64 {
        let count = self.lock().quarantine.count_quarantined();
        u64::try_from(count).unwrap_or(u64::MAX)
    }

    /// Returns whether a prompt is in quarantine.
    pub(crate) fn is_quarantined(&self, prompt: &prompt::Prompt) -> bool {
        let state = self.lock();
        state.quarantine.find_quarantined(prompt.parts()).is_some()
    }

    /// Waits until a prompt is in quarantine.
    pub(crate) async fn wait_until_quarantined(&self, prompt: &prompt::Prompt) {
        let mut changes = self.quarantine_changes.subscribe();
        while !self.is_quarantined(prompt) {
            if changes.changed().await.is_err() {
                // The sender lives as long as the fleet.
                return core::future::pending().await;
            }
        }
    }

    fn handle_changes(&self, changes: &[quarantine::Change]) {
        for change in changes {
            let evidence = &change.evidence;
            logs::emit(
                events::QUARANTINE_CHANGED,
                format_args!(
                    "part={} quarantined={} together={:?} losses={} moments={} written={} cleared={}",
                    evidence.part,
                    change.is_quarantined,
                    change.together,
                    evidence.losses.len(),
                    evidence.moments,
                    evidence.writes,
                    evidence.epoch
                ),
            );
        }
        if !changes.is_empty() {
            self.quarantine_changes.send_modify(|count| *count += 1);
        }
    }
}
