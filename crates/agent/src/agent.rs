//! State shared by the agent's tasks.

use core::sync::atomic;
use std::sync;

use peargap_adapters::body_budget;
use peargap_adapters::clock;
use peargap_adapters::follow;
use peargap_adapters::intake;
use peargap_core::generation;
use peargap_core::prefix_cache;
use peargap_core::seen;
use peargap_core::time;
use peargap_wire::agent as wire;
use peargap_wire::control;
use tokio::sync::watch;

use crate::admission_api;
use crate::enforcement;
use crate::engine;
use crate::meters;
use crate::registry;
use crate::settings;
use crate::stream;

/// Retry delay for a model that is not loaded here.
const MODEL_RETRY_MS: u32 = 5_000;

/// The agent's shared state; each task holds an `Arc` of it.
#[derive(Debug)]
pub(crate) struct Agent {
    /// Description of the upstream for the control hosts.
    pub(crate) announcement: watch::Sender<Option<control::Announcement>>,
    /// Known contents of the engine's prefix cache.
    pub(crate) prefix_cache: sync::Mutex<prefix_cache::CacheContents>,
    pub(crate) claims: sync::Mutex<seen::Claims>,
    pub(crate) clock: clock::Clock,
    pub(crate) enforcement: enforcement::Enforcement,
    pub(crate) engine: engine::Client,
    pub(crate) admission: admission_api::Handle,
    pub(crate) generations: sync::Mutex<registry::Generations>,
    /// What entries and the upstream make the process hold.
    pub(crate) intake: intake::Intake,
    /// Random ID chosen at each start of the agent.
    pub(crate) incarnation: String,
    pub(crate) meters: meters::Meters,
    pub(crate) generation_counter: atomic::AtomicU64,
    pub(crate) requests: sync::Mutex<seen::Requests>,
    pub(crate) settings: settings::Settings,
    /// Memory for tokens that readers have not acknowledged.
    pub(crate) unread: body_budget::Budget,
    pub(crate) view: follow::View,
}

/// What a request or call asks for, and its ID.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestInfo<'a> {
    /// Model or service name.
    pub(crate) offer: &'a str,
    pub(crate) request_id: &'a str,
}

impl Agent {
    /// Returns the refusal if the request can't be accepted; otherwise records its ID, so that a
    /// repeated request is refused.
    pub(crate) fn check_and_record(&self, info: RequestInfo<'_>) -> Option<wire::Failed> {
        if let Some(failed) = self.enforcement.check() {
            return Some(failed);
        }
        if !self.has_offer(info.offer) {
            let detail = format!("{:?} is not offered here", info.offer);
            return Some(refuse(wire::Reason::Model, MODEL_RETRY_MS, detail));
        }
        if !lock(&self.requests).admit(info.request_id, self.clock.now()) {
            let detail = "the request ID was seen before";
            let (ran, reason) = (wire::Ran::Unknown, wire::Reason::Repeated);
            return Some(stream::build_failed(ran, reason, 0, detail));
        }
        None
    }

    /// Returns whether a message is addressed to another incarnation of this agent.
    pub(crate) fn is_for_other_incarnation(&self, incarnation: &str) -> bool {
        !incarnation.is_empty() && incarnation != self.incarnation
    }

    /// Returns the models that the engine reports as loaded; the configured models or services when
    /// it reports none.
    pub(crate) fn list_offers(&self) -> Vec<String> {
        let reported = self.admission.watch().borrow().report.models.clone();
        if reported.is_empty() {
            return self.settings.upstream.offers.clone();
        }
        reported
    }

    /// Updates the announcement if the loaded models have changed.
    pub(crate) fn announce(&self, models: &[String]) {
        if models.is_empty() {
            return;
        }
        self.announcement.send_if_modified(|announcement| {
            let Some(announcement) = announcement else {
                return false;
            };
            let changed = announcement.offers != models;
            announcement.offers = models.to_vec();
            changed
        });
    }

    /// Returns the ID of the next generation.
    pub(crate) fn next_generation_id(&self) -> String {
        let id = generation::Id {
            incarnation: self.incarnation.clone(),
            number: self
                .generation_counter
                .fetch_add(1, atomic::Ordering::Relaxed)
                + 1,
            upstream: self.settings.upstream.name.clone(),
        };
        id.to_string()
    }

    /// Returns the number of generations that are running or whose end a reader may still fetch.
    pub(crate) fn count_undelivered(&self) -> usize {
        let (now, grace) = (self.clock.now(), self.settings.stream.grace);
        lock(&self.generations).count_undelivered(now, grace)
    }

    /// Returns the instant `deadline_ms` from now; 0 stands for the longest deadline.
    pub(crate) fn compute_deadline(&self, deadline_ms: u32) -> time::Instant {
        let remaining_ms = match deadline_ms {
            0 => u64::from(u32::MAX),
            millis => u64::from(millis),
        };
        self.clock.now() + core::time::Duration::from_millis(remaining_ms)
    }

    fn has_offer(&self, name: &str) -> bool {
        let snapshots = self.admission.watch();
        let reported = &snapshots.borrow().report.models;
        if reported.is_empty() {
            return self
                .settings
                .upstream
                .offers
                .iter()
                .any(|offer| offer == name);
        }
        reported.iter().any(|offer| offer == name)
    }
}

/// Builds the failure of a request that did not run.
pub(crate) fn refuse(
    reason: wire::Reason,
    retry_after_ms: u32,
    detail: impl Into<String>,
) -> wire::Failed {
    stream::build_failed(wire::Ran::No, reason, retry_after_ms, detail)
}

/// Locks a mutex, ignoring poisoning: its holders never panic in the middle of a change.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
