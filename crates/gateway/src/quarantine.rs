//! Quarantine of what crashes upstreams, as this gateway applies it.

use peargap_adapters::evidence;
use peargap_adapters::logs;
use peargap_core::backlog;
use peargap_core::quarantine;
use peargap_wire::fleet as wire;

use crate::call;
use crate::events;
use crate::fleet;
use crate::response;

/// Answered requests that are kept for links that have not told them yet.
const MAX_SUCCESSES: usize = 1024;

/// Answered requests with suspected subjects, for the control hosts; oldest first.
#[derive(Debug)]
pub(crate) struct Successes(backlog::Backlog<quarantine::Success>);

impl Default for Successes {
    fn default() -> Successes {
        Successes(backlog::Backlog::new(MAX_SUCCESSES))
    }
}

impl Successes {
    /// Returns the number of successes so far.
    pub(crate) fn count(&self) -> usize {
        self.0.count()
    }

    /// Returns the successes after the first `known` ones, without those that were dropped.
    pub(crate) fn list_after(&self, known: usize) -> impl Iterator<Item = &quarantine::Success> {
        self.0.list_after(known)
    }
}

/// Returns what a request may have in common with others that crash upstreams. `needs_digest` is set if
/// evidence on whole requests exists or arises.
pub(crate) fn list_subjects(
    request: &call::Request,
    needs_digest: bool,
) -> Vec<quarantine::Subject> {
    let parts = request.head.prompt.parts().iter();
    let mut subjects: Vec<_> = parts.copied().map(quarantine::Subject::Part).collect();
    if needs_digest {
        subjects.push(quarantine::Subject::Request(request.digest()));
    }
    subjects
}

impl fleet::Fleet {
    /// Records that an upstream ended while it ran a request with these subjects.
    pub(crate) fn record_crash(
        &self,
        subjects: &[quarantine::Subject],
        upstream: &str,
        born_ms: u64,
    ) {
        let now = self.clock.now();
        let loss = quarantine::Loss::new(upstream, born_ms);
        let changes = self.lock().quarantine.record_loss(now, subjects, loss);
        self.handle_changes(&changes);
        self.news.send_modify(|count| *count += 1);
    }

    /// Records that a request was answered, or that a generation is being written.
    pub(crate) fn record_answered(&self, request: &call::Request) {
        let now = self.clock.now();
        let subjects = self.list_known_subjects(request);
        if subjects.is_empty() {
            return;
        }
        let mut state = self.lock();
        let (successes, changes) = state.quarantine.record_success(now, &subjects);
        if successes.is_empty() {
            return;
        }
        for success in successes {
            state.successes.0.push(success);
        }
        drop(state);
        self.handle_changes(&changes);
        self.news.send_modify(|count| *count += 1);
    }

    /// Returns the subjects of a request that there may be evidence on. The lock is not held while the
    /// body is hashed.
    fn list_known_subjects(&self, request: &call::Request) -> Vec<quarantine::Subject> {
        let needs_digest = self.lock().quarantine.suspects_requests();
        list_subjects(request, needs_digest)
    }

    /// Applies evidence from a control host.
    pub(crate) fn apply_evidence(&self, told: &[wire::Evidence]) {
        if told.is_empty() {
            return;
        }
        let now = self.clock.now();
        let told = evidence::decode_all(told);
        let changes = self.lock().quarantine.merge(now, &told, &[]);
        self.handle_changes(&changes);
    }

    /// Returns whether a request may be sent to an upstream. One gateway of all runs the trials of a
    /// subject.
    pub(crate) fn admit(&self, request: &call::Request) -> quarantine::Verdict {
        let now = self.clock.now();
        let subjects = self.list_known_subjects(request);
        let mut state = self.lock();
        let position = state.gateway_position;
        state
            .quarantine
            .admit(now, &subjects, |subject| position.owns(subject.index()))
    }

    /// Records that a request is sent to an upstream as a trial of a subject.
    pub(crate) fn record_trial(&self, request: &call::Request, subject: quarantine::Subject) {
        let now = self.clock.now();
        self.lock().quarantine.record_trial(now, subject);
        logs::emit(
            events::QUARANTINE_TRIAL,
            format_args!(
                "request={} subject={subject}",
                response::attempt_text(&request.head.attempt)
            ),
        );
        self.news.send_modify(|count| *count += 1);
    }

    /// Returns whether a request may be sent to another upstream after one ended with it.
    pub(crate) fn may_repeat(&self, request: &call::Request) -> bool {
        let subjects = self.list_known_subjects(request);
        self.lock().quarantine.may_repeat(&subjects)
    }

    /// Returns the number of requests, prompt parts and groups of these in quarantine.
    pub(crate) fn count_quarantined(&self) -> u64 {
        let count = self.lock().quarantine.count_quarantined();
        u64::try_from(count).unwrap_or(u64::MAX)
    }

    /// Returns whether a request is in quarantine.
    pub(crate) fn is_quarantined(&self, request: &call::Request) -> bool {
        let subjects = self.list_known_subjects(request);
        let state = self.lock();
        state.quarantine.find_quarantined(&subjects).is_some()
    }

    /// Waits until a request is in quarantine.
    pub(crate) async fn wait_until_quarantined(&self, request: &call::Request) {
        let mut changes = self.quarantine_changes.subscribe();
        while !self.is_quarantined(request) {
            if changes.changed().await.is_err() {
                // The sender lives as long as the fleet.
                return core::future::pending().await;
            }
        }
    }

    fn handle_changes(&self, changes: &[quarantine::Change]) {
        for change in changes {
            logs::emit(events::QUARANTINE_CHANGED, format_args!("{change}"));
        }
        if !changes.is_empty() {
            self.quarantine_changes.send_modify(|count| *count += 1);
        }
    }
}
