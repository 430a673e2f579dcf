//! Record of the responses that callers and the operator received, compared with what ran.

use std::collections;
use std::ops;
use std::sync;
use std::time;

use crate::deployment;

/// The kind of route that a request is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Idempotent,
    Once,
    Stream,
}

/// What the response told the caller about its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The request has not run and will not.
    NotRun,
    /// No response arrived, or it left open whether the request ran.
    Unknown,
    /// A complete response.
    Complete,
}

/// A moment at which a gateway was killed, stopped, paused or continued.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    at: time::Instant,
    gateway: usize,
}

/// Record of all requests, documents and violations of one run; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger(sync::Arc<sync::Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    acknowledged: Vec<(time::Instant, u64)>,
    violations: Vec<String>,
    is_stopped: bool,
    /// Times at which a gateway was killed, stopped, paused or continued.
    disturbances: Vec<Disturbance>,
    /// Gateways that requests were sent to, by attempt.
    gateways: collections::HashMap<String, usize>,
    requests: collections::HashMap<String, (Kind, Outcome)>,
    fault_count: usize,
}

impl Ledger {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().expect("an unpoisoned lock")
    }

    /// Records a violated guarantee.
    pub(crate) fn record_violation(&self, text: String) {
        self.lock().violations.push(text);
    }

    /// Returns the violated guarantees.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Records that a gateway is killed, stopped, paused or continued.
    pub(crate) fn record_disturbance(&self, gateway: usize) {
        let at = time::Instant::now();
        self.lock().disturbances.push(Disturbance { at, gateway });
    }

    /// Returns whether a gateway was disturbed within a range of time.
    pub(crate) fn is_disturbed(&self, gateway: usize, range: ops::Range<time::Instant>) -> bool {
        let state = self.lock();
        let mut disturbances = state.disturbances.iter();
        disturbances.any(|one| one.gateway == gateway && range.contains(&one.at))
    }

    /// Returns the gateway that an attempt was sent to.
    pub(crate) fn gateway_of(&self, attempt: &str) -> Option<usize> {
        self.lock().gateways.get(attempt).copied()
    }

    /// Returns whether the caller got a complete response to an attempt.
    pub(crate) fn is_complete(&self, attempt: &str) -> bool {
        let state = self.lock();
        let request = state.requests.get(attempt);
        request.is_some_and(|(_kind, outcome)| *outcome == Outcome::Complete)
    }

    /// Records a request before it is sent, with an unknown outcome.
    pub(crate) fn record_request(&self, attempt: &str, kind: Kind, gateway: usize) {
        let mut state = self.lock();
        state.gateways.insert(attempt.to_owned(), gateway);
        state
            .requests
            .insert(attempt.to_owned(), (kind, Outcome::Unknown));
    }

    /// Records what the response told the caller.
    pub(crate) fn record_outcome(&self, attempt: &str, outcome: Outcome) {
        if let Some(request) = self.lock().requests.get_mut(attempt) {
            request.1 = outcome;
        }
    }

    /// Records an acknowledged document.
    pub(crate) fn record_acknowledged(&self, version: u64) {
        let now = time::Instant::now();
        self.lock().acknowledged.push((now, version));
    }

    /// Returns the newest acknowledged version.
    pub(crate) fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged_by(time::Instant::now())
    }

    /// Returns the newest version acknowledged by `then`, or 1 if there is none.
    pub(crate) fn newest_acknowledged_by(&self, then: time::Instant) -> u64 {
        let state = self.lock();
        let before = state.acknowledged.iter().filter(|(at, _)| *at <= then);
        before.map(|(_at, version)| *version).max().unwrap_or(1)
    }

    /// Tells the callers and the operator to stop.
    pub(crate) fn stop(&self) {
        self.lock().is_stopped = true;
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.lock().is_stopped
    }

    /// Counts an injected fault.
    pub(crate) fn count_fault(&self) {
        self.lock().fault_count += 1;
    }

    /// Summarizes the faults, documents and requests in one line.
    pub(crate) fn summary(&self) -> String {
        let state = self.lock();
        let count = |outcome| {
            let requests = state.requests.values();
            requests.filter(|request| request.1 == outcome).count()
        };
        format!(
            "{} faults, {} documents acknowledged, requests: {} complete, {} not run, {} unknown",
            state.fault_count,
            state.acknowledged.len(),
            count(Outcome::Complete),
            count(Outcome::NotRun),
            count(Outcome::Unknown)
        )
    }

    /// Compares what callers were told with what the runners ran, and records the violations.
    pub(crate) fn check_runs(&self, deployment: &deployment::Deployment) {
        let mut runs: collections::HashMap<String, usize> = collections::HashMap::new();
        for run in deployment
            .upstreams
            .iter()
            .flat_map(|one| one.runner.runs())
        {
            // A run that another runner continues counts once.
            let is_begun = !run.headers.contains_key("kv-from");
            *runs.entry(run.attempt).or_default() += usize::from(is_begun);
        }
        let mut state = self.lock();
        let mut violations = Vec::new();
        for (attempt, count) in &runs {
            let Some((kind, outcome)) = state.requests.get(attempt) else {
                violations.push(format!("{attempt} ran although no caller sent it"));
                continue;
            };
            if *count > 1 && *kind != Kind::Idempotent {
                violations.push(format!("{attempt} ({kind:?}) ran {count} times"));
            }
            if *outcome == Outcome::NotRun && *kind != Kind::Idempotent {
                violations.push(format!(
                    "{attempt} ({kind:?}) ran although its caller was told that it had not"
                ));
            }
        }
        state.violations.extend(violations);
    }
}
