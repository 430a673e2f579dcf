//! An entry's table of upstreams.
//!
//! Load reports arrive late, so they are corrected by the requests that this entry has sent since.

use std::collections;

use crate::breaker;
use crate::time;

slotmap::new_key_type! {
    /// Key of a failure domain.
    pub struct Domain;
    /// Key of a model or service and the upstreams that serve it.
    pub struct Group;
    /// Key of an upstream.
    pub struct Upstream;
}

/// Maximum number of sent requests tracked for one upstream.
const MAX_TRACKED_REQUESTS: usize = 256;
/// Maximum number of upstreams recorded as holding one prefix.
const MAX_HOLDERS_PER_PREFIX: usize = 8;

/// Load report of an agent about its upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// False while the upstream is draining or unresponsive.
    pub accepting: bool,
    /// Upper bound on the age of the report when it arrives, in milliseconds.
    pub age_ms: u32,
    /// Maximum number of concurrent streams or calls; 0 if it accepts none.
    pub limit: u32,
    /// Capacity of the engine's memory in tokens; 0 for a plain service.
    pub memory_tokens: u64,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of running streams or calls.
    pub running: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Expected queueing time of a new request, in milliseconds.
    pub wait_ms: u32,
}

/// A request sent by this entry.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: time::Instant,
    tokens: u32,
}

/// State of one upstream as known to this entry.
#[derive(Clone, Debug)]
struct UpstreamState {
    breaker: breaker::Breaker,
    domain: Domain,
    groups: Vec<Group>,
    out_of_service: bool,
    prefixes: Vec<u64>,
    report: Report,
    sent_requests: collections::VecDeque<SentRequest>,
}

/// State of a failure domain.
#[derive(Clone, Debug)]
struct DomainState {
    out_of_service: bool,
}

/// Load of an upstream, corrected by the requests sent since its last report.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Failure domain of the upstream.
    pub domain: Domain,
    /// Whether the circuit breaker lets a request pass.
    pub pass: breaker::Decision,
    /// Last report of the upstream.
    pub report: Report,
    /// Number of sent requests that the report does not include.
    pub sent: u32,
    /// Memory in use including those requests, in tokens.
    pub used_tokens: u64,
}

/// All upstreams known to this entry.
#[derive(Clone, Debug, Default)]
pub struct Table {
    domain_names: collections::HashMap<String, Domain>,
    domains: slotmap::SlotMap<Domain, DomainState>,
    group_names: collections::HashMap<String, Group>,
    groups: slotmap::SlotMap<Group, Vec<Upstream>>,
    holders: collections::HashMap<u64, Vec<Upstream>>,
    upstreams: slotmap::SlotMap<Upstream, UpstreamState>,
}

impl Table {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Table {
        Table::default()
    }

    /// Returns the key of a failure domain, adding the domain if it is new.
    pub fn domain(&mut self, name: &str) -> Domain {
        if let Some(domain) = self.domain_names.get(name) {
            return *domain;
        }
        let domain = self.domains.insert(DomainState {
            out_of_service: false,
        });
        self.domain_names.insert(name.to_owned(), domain);
        domain
    }

    /// Returns the key of a model or service, adding it if it is new.
    pub fn group(&mut self, name: &str) -> Group {
        if let Some(group) = self.group_names.get(name) {
            return *group;
        }
        let group = self.groups.insert(Vec::new());
        self.group_names.insert(name.to_owned(), group);
        group
    }

    /// Adds an announced upstream; it gets no work before its first report.
    pub fn announce(&mut self, domain: Domain, groups: &[Group]) -> Upstream {
        let state = UpstreamState {
            breaker: breaker::Breaker::new(),
            domain,
            groups: Vec::new(),
            out_of_service: false,
            prefixes: Vec::new(),
            report: Report::default(),
            sent_requests: collections::VecDeque::new(),
        };
        let upstream = self.upstreams.insert(state);
        self.set_groups(upstream, groups);
        upstream
    }

    /// Replaces the models or services of an upstream.
    pub fn set_groups(&mut self, upstream: Upstream, groups: &[Group]) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if state.groups == groups {
            return;
        }
        for group in core::mem::take(&mut state.groups) {
            self.groups[group].retain(|member| *member != upstream);
        }
        state.groups = groups.to_vec();
        for group in groups {
            self.groups[*group].push(upstream);
        }
    }

    /// Removes an upstream that has left.
    pub fn withdraw(&mut self, upstream: Upstream) {
        self.set_groups(upstream, &[]);
        self.set_prefixes(upstream, &[]);
        self.upstreams.remove(upstream);
    }

    /// Takes an upstream out of service or returns it.
    pub fn set_out(&mut self, upstream: Upstream, out: bool) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.out_of_service = out;
        }
    }

    /// Takes a failure domain out of service or returns it.
    pub fn set_domain_out(&mut self, domain: Domain, out: bool) {
        if let Some(state) = self.domains.get_mut(domain) {
            state.out_of_service = out;
        }
    }

    /// Records a report and stops tracking the sent requests that it includes.
    pub fn record_report(&mut self, now: time::Instant, upstream: Upstream, report: Report) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let measured = time::Instant(now.0.saturating_sub(u64::from(report.age_ms)));
        state.sent_requests.retain(|request| request.at >= measured);
        state.report = report;
    }

    /// Replaces the prefixes that an upstream is known to have cached.
    pub fn set_prefixes(&mut self, upstream: Upstream, prefixes: &[u64]) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if state.prefixes == prefixes {
            return;
        }
        let old = core::mem::replace(&mut state.prefixes, prefixes.to_vec());
        for hash in old {
            self.forget_holder(hash, upstream);
        }
        for hash in prefixes {
            let holders = self.holders.entry(*hash).or_default();
            if holders.len() < MAX_HOLDERS_PER_PREFIX && !holders.contains(&upstream) {
                holders.push(upstream);
            }
        }
    }

    /// Records a request of `tokens` prompt tokens sent to an upstream.
    pub fn record_send(&mut self, now: time::Instant, upstream: Upstream, tokens: u32) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if let breaker::Decision::Probe = state.breaker.check(now) {
            state.breaker.record_probe(now);
        }
        if state.sent_requests.len() == MAX_TRACKED_REQUESTS {
            state.sent_requests.pop_front();
        }
        state
            .sent_requests
            .push_back(SentRequest { at: now, tokens });
    }

    /// Records an answer of an upstream; if the request did not run, stops tracking the last send.
    ///
    /// An acknowledgement that a request is queued is not an answer: `ran` means a first token or a
    /// reply.
    pub fn record_answer(&mut self, upstream: Upstream, ran: bool) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        state.breaker.record_success();
        if !ran {
            state.sent_requests.pop_back();
        }
    }

    /// Records a broken link, a timeout or an engine failure.
    pub fn record_failure(&mut self, now: time::Instant, upstream: Upstream) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.breaker.record_failure(now);
        }
    }

    /// Returns the upstreams of a model or service.
    #[must_use]
    pub fn members(&self, group: Group) -> &[Upstream] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    /// Returns whether an upstream serves a model or service.
    #[must_use]
    pub fn is_member(&self, group: Group, upstream: Upstream) -> bool {
        let state = self.upstreams.get(upstream);
        state.is_some_and(|state| state.groups.contains(&group))
    }

    /// Returns the upstreams known to have cached a prefix.
    #[must_use]
    pub fn holders(&self, hash: u64) -> &[Upstream] {
        self.holders.get(&hash).map_or(&[], Vec::as_slice)
    }

    /// Returns the corrected load of an upstream, or `None` if it accepts no work.
    #[must_use]
    pub fn view(&self, now: time::Instant, upstream: Upstream) -> Option<View> {
        let state = self.upstreams.get(upstream)?;
        let out_of_service = state.out_of_service
            || self
                .domains
                .get(state.domain)
                .is_none_or(|domain| domain.out_of_service);
        if out_of_service || !state.report.accepting || state.report.limit == 0 {
            return None;
        }
        let tokens = state
            .sent_requests
            .iter()
            .map(|request| u64::from(request.tokens))
            .sum::<u64>();
        Some(View {
            domain: state.domain,
            pass: state.breaker.check(now),
            report: state.report,
            sent: u32::try_from(state.sent_requests.len()).unwrap_or(u32::MAX),
            used_tokens: state.report.used_tokens + tokens,
        })
    }

    fn forget_holder(&mut self, hash: u64, upstream: Upstream) {
        let Some(holders) = self.holders.get_mut(&hash) else {
            return;
        };
        holders.retain(|holder| *holder != upstream);
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
    }
}
