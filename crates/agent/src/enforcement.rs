//! Decides whether new work is accepted, by shutdown, failure domain, upstream, node name and
//! lease.

use core::sync::atomic;
use std::sync;

use peargap_adapters::follow;
use peargap_wire::agent as wire;

use crate::agent;

/// Retry delay for an agent that is shutting down.
const SHUTDOWN_RETRY_MS: u32 = 1_000;
/// Retry delay for an upstream that operators took out of service.
const OUT_RETRY_MS: u32 = 5_000;
/// Retry delay for an agent without a valid lease.
const STALE_RETRY_MS: u32 = 1_000;

/// Checks the newest configuration of this process; clones share its state.
#[derive(Clone, Debug)]
pub(crate) struct Enforcement {
    domain: String,
    shutting_down: sync::Arc<atomic::AtomicBool>,
    upstream: String,
    view: follow::View,
}

impl Enforcement {
    /// Returns the enforcement for one upstream in one failure domain.
    pub(crate) fn new(domain: String, upstream: String, view: follow::View) -> Enforcement {
        Enforcement {
            domain,
            shutting_down: sync::Arc::default(),
            upstream,
            view,
        }
    }

    /// Returns the refusal if no new work is accepted.
    pub(crate) fn check(&self) -> Option<wire::Failed> {
        if self.is_shutting_down() {
            let detail = "the agent is shutting down";
            return Some(refuse_draining(SHUTDOWN_RETRY_MS, detail));
        }
        if self.is_out_of_service() {
            let detail = "the upstream or its failure domain is out of service";
            return Some(refuse_draining(OUT_RETRY_MS, detail));
        }
        if *self.view.replaced().borrow() {
            let detail = "a newer process has taken the agent's name";
            return Some(refuse_draining(SHUTDOWN_RETRY_MS, detail));
        }
        if !self.view.is_fresh() {
            let detail = "the freshness lease has lapsed";
            return Some(agent::refuse(wire::Reason::Stale, STALE_RETRY_MS, detail));
        }
        None
    }

    /// Refuses new work from now on.
    pub(crate) fn start_shutdown(&self) {
        self.shutting_down.store(true, atomic::Ordering::Release);
    }

    /// Returns whether the process is shutting down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(atomic::Ordering::Acquire)
    }

    /// Returns whether operators took the upstream or its failure domain out of service.
    pub(crate) fn is_out_of_service(&self) -> bool {
        let config = self.view.config();
        let config = config.borrow();
        config.domains_out.contains(&self.domain) || config.upstreams_out.contains(&self.upstream)
    }
}

fn refuse_draining(retry_after_ms: u32, detail: &str) -> wire::Failed {
    agent::refuse(wire::Reason::Draining, retry_after_ms, detail)
}
