//! What callers and the operator were told, against what ran.

use std::collections;
use std::sync;
use std::time;

use crate::site;

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Idempotent,
    Once,
    Stream,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Told {
    /// It has not run and will not.
    NotRun,
    /// Nothing certain.
    Unknown,
    /// The whole answer.
    Whole,
}

/// What is known of all requests and documents; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger(sync::Arc<sync::Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    acknowledged: Vec<(time::Instant, u64)>,
    findings: Vec<String>,
    is_stopped: bool,
    requests: collections::HashMap<String, (Kind, Told)>,
    strikes: usize,
}

impl Ledger {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().expect("the ledger")
    }

    /// Notes that a promise was broken.
    pub(crate) fn find(&self, text: String) {
        self.lock().findings.push(text);
    }

    /// Returns the broken promises.
    pub(crate) fn findings(&self) -> Vec<String> {
        self.lock().findings.clone()
    }

    /// Notes a request before it is sent.
    pub(crate) fn ask(&self, attempt: &str, kind: Kind) {
        let mut state = self.lock();
        state
            .requests
            .insert(attempt.to_owned(), (kind, Told::Unknown));
    }

    /// Notes what its caller was told.
    pub(crate) fn tell(&self, attempt: &str, told: Told) {
        if let Some(request) = self.lock().requests.get_mut(attempt) {
            request.1 = told;
        }
    }

    /// Notes an acknowledged document.
    pub(crate) fn acknowledge(&self, version: u64) {
        let now = time::Instant::now();
        self.lock().acknowledged.push((now, version));
    }

    /// Returns the newest acknowledged version.
    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged_before(time::Instant::now())
    }

    /// Returns the newest version acknowledged before `then`.
    pub(crate) fn acknowledged_before(&self, then: time::Instant) -> u64 {
        let state = self.lock();
        let before = state.acknowledged.iter().filter(|(at, _)| *at <= then);
        before.map(|(_at, version)| *version).max().unwrap_or(1)
    }

    /// Ends callers and operator.
    pub(crate) fn stop(&self) {
        self.lock().is_stopped = true;
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.lock().is_stopped
    }

    /// Counts a fault.
    pub(crate) fn count_strike(&self) {
        self.lock().strikes += 1;
    }

    /// Returns how much happened.
    pub(crate) fn summary(&self) -> String {
        let state = self.lock();
        let count = |told| {
            let requests = state.requests.values();
            requests.filter(|request| request.1 == told).count()
        };
        format!(
            "{} faults, {} documents acknowledged, requests: {} whole, {} not run, {} unknown",
            state.strikes,
            state.acknowledged.len(),
            count(Told::Whole),
            count(Told::NotRun),
            count(Told::Unknown)
        )
    }

    /// Compares what callers were told with what the runners ran.
    pub(crate) fn compare(&self, site: &site::Site) {
        let mut runs: collections::HashMap<String, usize> = collections::HashMap::new();
        for run in site.upstreams.iter().flat_map(|one| one.runner.runs()) {
            // A run that goes on elsewhere is the same run.
            let is_begun = !run.headers.contains_key("kv-from");
            *runs.entry(run.attempt).or_default() += usize::from(is_begun);
        }
        let mut state = self.lock();
        let mut findings = Vec::new();
        for (attempt, count) in &runs {
            let Some((kind, told)) = state.requests.get(attempt) else {
                findings.push(format!("{attempt} ran and nobody asked for it"));
                continue;
            };
            if *count > 1 && *kind != Kind::Idempotent {
                findings.push(format!("{attempt} ({kind:?}) ran {count} times"));
            }
            if *told == Told::NotRun && *kind != Kind::Idempotent {
                findings.push(format!("{attempt} ({kind:?}) ran, its caller was told not"));
            }
        }
        state.findings.extend(findings);
    }
}
