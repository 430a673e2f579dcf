//! An entry's table of upstreams: late reports, corrected by its own sends since.

use std::collections;

use crate::breaker;
use crate::time;

slotmap::new_key_type! {
    /// Names a failure domain.
    pub struct Domain;
    /// Names a model or service.
    pub struct Group;
    /// Names an upstream.
    pub struct Upstream;
}

/// Sends that are remembered for one upstream.
const MAX_SENDS: usize = 256;
/// Holders that are remembered for one prefix.
const MAX_HOLDERS: usize = 8;

/// An agent's report of its upstream's load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// False while it is draining or does not answer.
    pub accepting: bool,
    /// How old the figures may be when they arrive, in milliseconds.
    pub age_ms: u32,
    /// Streams or calls it may run at once; 0 when it takes none.
    pub limit: u32,
    /// Token slots of engine memory; 0 for a plain service.
    pub memory_tokens: u64,
    /// Requests that wait.
    pub queued: u32,
    /// Streams or calls that run.
    pub running: u32,
    /// Token slots in use.
    pub used_tokens: u64,
    /// Expected wait of a new request.
    pub wait_ms: u32,
}

/// One request that this entry sent.
#[derive(Clone, Copy, Debug)]
struct Send {
    at: time::Instant,
    tokens: u32,
}

/// What this entry knows of one upstream.
#[derive(Clone, Debug)]
struct Known {
    breaker: breaker::Breaker,
    domain: Domain,
    groups: Vec<Group>,
    out: bool,
    prefixes: Vec<u64>,
    report: Report,
    sends: collections::VecDeque<Send>,
}

/// A failure domain.
#[derive(Clone, Debug)]
struct Zone {
    out: bool,
}

/// An upstream's corrected figures.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Its failure domain.
    pub domain: Domain,
    /// Whether its breaker lets a request pass.
    pub pass: breaker::Decision,
    /// Its last report.
    pub report: Report,
    /// Sends that the report does not show.
    pub sent: u32,
    /// Memory in use with those sends, in tokens.
    pub used_tokens: u64,
}

/// All upstreams that this entry knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    domain_names: collections::HashMap<String, Domain>,
    domains: slotmap::SlotMap<Domain, Zone>,
    group_names: collections::HashMap<String, Group>,
    groups: slotmap::SlotMap<Group, Vec<Upstream>>,
    holders: collections::HashMap<u64, Vec<Upstream>>,
    upstreams: slotmap::SlotMap<Upstream, Known>,
}

impl Table {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Table {
        Table::default()
    }

    /// Returns the key of a failure domain.
    pub fn domain(&mut self, name: &str) -> Domain {
        if let Some(domain) = self.domain_names.get(name) {
            return *domain;
        }
        let domain = self.domains.insert(Zone { out: false });
        self.domain_names.insert(name.to_owned(), domain);
        domain
    }

    /// Returns the key of a model or service.
    pub fn group(&mut self, name: &str) -> Group {
        if let Some(group) = self.group_names.get(name) {
            return *group;
        }
        let group = self.groups.insert(Vec::new());
        self.group_names.insert(name.to_owned(), group);
        group
    }

    /// Adds an upstream that has announced itself; it takes no work before its first report.
    pub fn announce(&mut self, domain: Domain, groups: &[Group]) -> Upstream {
        let known = Known {
            breaker: breaker::Breaker::new(),
            domain,
            groups: Vec::new(),
            out: false,
            prefixes: Vec::new(),
            report: Report::default(),
            sends: collections::VecDeque::new(),
        };
        let upstream = self.upstreams.insert(known);
        self.set_groups(upstream, groups);
        upstream
    }

    /// Changes the models or services of an upstream.
    pub fn set_groups(&mut self, upstream: Upstream, groups: &[Group]) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if known.groups == groups {
            return;
        }
        for group in core::mem::take(&mut known.groups) {
            self.groups[group].retain(|member| *member != upstream);
        }
        known.groups = groups.to_vec();
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

    /// Takes an upstream out or brings it back.
    pub fn set_out(&mut self, upstream: Upstream, out: bool) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.out = out;
        }
    }

    /// Takes a failure domain out or brings it back.
    pub fn set_domain_out(&mut self, domain: Domain, out: bool) {
        if let Some(zone) = self.domains.get_mut(domain) {
            zone.out = out;
        }
    }

    /// Notes a report; sends that it shows already are forgotten.
    pub fn report(&mut self, now: time::Instant, upstream: Upstream, report: Report) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let taken = time::Instant(now.0.saturating_sub(u64::from(report.age_ms)));
        known.sends.retain(|send| send.at >= taken);
        known.report = report;
    }

    /// Replaces the prefixes that an upstream is known to hold.
    pub fn set_prefixes(&mut self, upstream: Upstream, prefixes: &[u64]) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if known.prefixes == prefixes {
            return;
        }
        let old = core::mem::replace(&mut known.prefixes, prefixes.to_vec());
        for hash in old {
            self.forget_holder(hash, upstream);
        }
        for hash in prefixes {
            let holders = self.holders.entry(*hash).or_default();
            if holders.len() < MAX_HOLDERS && !holders.contains(&upstream) {
                holders.push(upstream);
            }
        }
    }

    /// Notes a request sent to an upstream, of so many prompt tokens.
    pub fn sent(&mut self, now: time::Instant, upstream: Upstream, tokens: u32) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if let breaker::Decision::Probe = known.breaker.check(now) {
            known.breaker.record_probe(now);
        }
        if known.sends.len() == MAX_SENDS {
            known.sends.pop_front();
        }
        known.sends.push_back(Send { at: now, tokens });
    }

    /// Notes an answer of an upstream; one that it did not run takes the send back.
    ///
    /// That a request was queued is no answer: `ran` is for a first token or a reply.
    pub fn answered(&mut self, upstream: Upstream, ran: bool) {
        let Some(known) = self.upstreams.get_mut(upstream) else {
            return;
        };
        known.breaker.record_success();
        if !ran {
            known.sends.pop_back();
        }
    }

    /// Notes a broken link, a time-out or an engine's failure.
    pub fn failed(&mut self, now: time::Instant, upstream: Upstream) {
        if let Some(known) = self.upstreams.get_mut(upstream) {
            known.breaker.record_failure(now);
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
        let known = self.upstreams.get(upstream);
        known.is_some_and(|known| known.groups.contains(&group))
    }

    /// Returns the upstreams known to hold a prefix.
    #[must_use]
    pub fn holders(&self, hash: u64) -> &[Upstream] {
        self.holders.get(&hash).map_or(&[], Vec::as_slice)
    }

    /// Returns the corrected figures of an upstream, none when it takes no work.
    #[must_use]
    pub fn view(&self, now: time::Instant, upstream: Upstream) -> Option<View> {
        let known = self.upstreams.get(upstream)?;
        let out = known.out || self.domains.get(known.domain).is_none_or(|zone| zone.out);
        if out || !known.report.accepting || known.report.limit == 0 {
            return None;
        }
        let tokens = known
            .sends
            .iter()
            .map(|send| u64::from(send.tokens))
            .sum::<u64>();
        Some(View {
            domain: known.domain,
            pass: known.breaker.check(now),
            report: known.report,
            sent: u32::try_from(known.sends.len()).unwrap_or(u32::MAX),
            used_tokens: known.report.used_tokens + tokens,
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
