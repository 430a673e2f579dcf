//! The table of upstreams, shared between the control thread and the requests.

use std::sync;

use peargap_core::selection;
use peargap_core::table;
use peargap_core::time::Instant;
use peargap_wire::agent as wire;
use peargap_wire::control;
use tokio::time as clock;

use crate::agent;

/// Assumed age of a load report on arrival.
const LOAD_AGE_MS: u32 = 50;

/// The table of upstreams and the start of its clock.
#[derive(Debug)]
pub(crate) struct UpstreamTable {
    started: clock::Instant,
    table: sync::Mutex<table::Table>,
}

impl UpstreamTable {
    /// Creates an empty table whose clock starts now.
    pub(crate) fn new() -> UpstreamTable {
        UpstreamTable {
            started: clock::Instant::now(),
            table: sync::Mutex::default(),
        }
    }

    /// Returns the current time on the table's clock.
    pub(crate) fn now(&self) -> Instant {
        self.instant(clock::Instant::now())
    }

    /// Converts a point in time to the table's clock.
    pub(crate) fn instant(&self, at: clock::Instant) -> Instant {
        let elapsed = at.saturating_duration_since(self.started);
        Instant(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Adds an agent's upstream.
    pub(crate) fn announce(&self, identity: &agent::Identity) -> table::Upstream {
        let mut table = self.lock();
        let domain = table.domain(&identity.domain);
        let groups = list_groups(&mut table, identity.kind, &identity.offers);
        table.announce(domain, &groups)
    }

    /// Removes an upstream.
    pub(crate) fn withdraw(&self, upstream: table::Upstream) {
        self.lock().withdraw(upstream);
    }

    /// Takes a failure domain out of service or puts it back.
    pub(crate) fn set_domain_out(&self, domain: &str, out: bool) {
        let mut table = self.lock();
        let domain = table.domain(domain);
        table.set_domain_out(domain, out);
    }

    /// Takes an upstream out of service or puts it back.
    pub(crate) fn set_out(&self, upstream: table::Upstream, out: bool) {
        self.lock().set_out(upstream, out);
    }

    /// Records a load report that has just arrived.
    pub(crate) fn record_load(&self, agent: &agent::Agent, load: &wire::Load) {
        let now = self.now();
        let mut table = self.lock();
        if agent.identity.kind == control::Kind::Engine {
            let groups = list_groups(&mut table, control::Kind::Engine, &load.models);
            table.set_groups(agent.key, &groups);
        }
        if !load.prefixes_kept {
            table.set_prefixes(agent.key, &load.prefixes);
        }
        table.record_report(now, agent.key, map_load(load));
    }

    /// Records that an agent is silent: it gets no new work until its next report.
    pub(crate) fn record_silence(&self, upstream: table::Upstream) {
        let now = self.now();
        self.lock()
            .record_report(now, upstream, table::Report::default());
    }

    /// Records a request sent to an upstream.
    pub(crate) fn record_sent(&self, upstream: table::Upstream, tokens: u32) {
        let now = self.now();
        self.lock().record_send(now, upstream, tokens);
    }

    /// Records an upstream's answer.
    pub(crate) fn record_answer(&self, upstream: table::Upstream, ran: bool) {
        self.lock().record_answer(upstream, ran);
    }

    /// Records a broken link or a failed engine.
    pub(crate) fn record_failure(&self, upstream: table::Upstream) {
        let now = self.now();
        self.lock().record_failure(now, upstream);
    }

    /// Returns the key of a failure domain.
    pub(crate) fn find_domain(&self, domain: &str) -> table::Domain {
        self.lock().domain(domain)
    }

    /// Returns how many of these upstreams are available for new work.
    pub(crate) fn count_available(&self, upstreams: impl Iterator<Item = table::Upstream>) -> u64 {
        let now = self.now();
        let table = self.lock();
        let available = upstreams.filter(|upstream| table.view(now, *upstream).is_some());
        available.count() as u64
    }

    /// Picks an upstream that offers `offer`; fills `candidates` for the log.
    pub(crate) fn pick<'a>(
        &self,
        kind: control::Kind,
        offer: &str,
        fill: impl FnOnce(table::Group) -> selection::Query<'a>,
        candidates: &mut Vec<selection::Candidate>,
    ) -> selection::Choice {
        let now = self.now();
        let mut table = self.lock();
        let group = table.group(&name_group(kind, offer));
        let query = fill(group);
        selection::pick_upstream(&table, now, &query, &mut rand::rng(), candidates)
    }

    fn lock(&self) -> sync::MutexGuard<'_, table::Table> {
        self.table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn list_groups(
    table: &mut table::Table,
    kind: control::Kind,
    offers: &[String],
) -> Vec<table::Group> {
    let names = offers.iter().map(|offer| name_group(kind, offer));
    names.map(|name| table.group(&name)).collect()
}

/// Returns the group name of a model or service; the prefix separates equal names.
fn name_group(kind: control::Kind, offer: &str) -> String {
    match kind {
        control::Kind::Engine => format!("model {offer}"),
        control::Kind::Service => format!("service {offer}"),
    }
}

fn map_load(load: &wire::Load) -> table::Report {
    table::Report {
        accepting: load.healthy && !load.draining,
        age_ms: LOAD_AGE_MS,
        limit: load.limit,
        memory_tokens: load.memory_tokens,
        queued: load.queued,
        running: load.running,
        used_tokens: load.used_tokens,
        wait_ms: load.wait_ms,
    }
}
