//! Updates that bring attached nodes to the current configuration: the changes since a node's
//! version, or the whole configuration.

use std::collections;
use std::sync;

use peargap_core::config;
use peargap_core::members;
use peargap_wire::control;

use crate::state_codec;

/// Maximum number of steps kept for nodes that are behind.
const MAX_STEPS: usize = 1024;
/// Maximum encoded size of all steps kept, in bytes.
const MAX_STEPS_BYTES: usize = 1 << 20;
/// Maximum number of changes in a delta; beyond it the whole configuration is sent.
const MAX_DELTA_CHANGES: usize = 512;

/// The node that receives an update.
#[derive(Clone, Debug)]
pub(crate) struct Recipient {
    pub(crate) name: String,
    pub(crate) role: members::Role,
    /// Name of the agent's upstream; empty without one.
    pub(crate) upstream: String,
}

/// Update from a node's version to the current one.
#[derive(Debug)]
pub(crate) enum Catchup {
    /// The parts of the configuration that are relevant to the node.
    Config(control::Config),
    /// The changes that are relevant to the node, possibly none.
    Delta(control::Delta),
    /// The node is up to date.
    Current,
}

/// Changes from version `base` to the next one that this host observed.
#[derive(Debug)]
struct Step {
    base: u64,
    bytes: usize,
    changes: Vec<control::Change>,
}

#[derive(Debug, Default)]
struct History {
    /// Encoded size of all steps.
    bytes: usize,
    config: sync::Arc<config::Config>,
    steps: collections::VecDeque<Step>,
}

/// The current configuration and its recent changes; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigHistory(sync::Arc<sync::Mutex<History>>);

impl ConfigHistory {
    /// Records the applied configuration and returns the newest one recorded.
    pub(crate) fn advance(&self, config: &sync::Arc<config::Config>) -> sync::Arc<config::Config> {
        let mut history = self.lock();
        if config.version > history.config.version {
            history.advance(config);
        }
        history.config.clone()
    }

    /// Returns the update that brings `recipient` from version `from` to the current one.
    pub(crate) fn catch_up(&self, recipient: &Recipient, from: u64) -> Catchup {
        let history = self.lock();
        // A node may have received a newer version from a host that applied it earlier.
        if from >= history.config.version {
            return Catchup::Current;
        }
        match history.collect(recipient, from) {
            Some(changes) => Catchup::Delta(control::Delta {
                base_version: from,
                changes,
            }),
            None => Catchup::Config(filter_config(&history.config, recipient)),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl History {
    fn advance(&mut self, config: &sync::Arc<config::Config>) {
        let changes = diff(&self.config, config);
        let bytes = changes.iter().map(prost::Message::encoded_len).sum();
        self.bytes += bytes;
        self.steps.push_back(Step {
            base: self.config.version,
            bytes,
            changes,
        });
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_STEPS_BYTES {
            let Some(oldest) = self.steps.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes;
        }
        self.config = config.clone();
    }

    /// Returns the changes since `from` that are relevant to `recipient`, or `None` when they are
    /// no longer kept or too many.
    fn collect(&self, recipient: &Recipient, from: u64) -> Option<Vec<control::Change>> {
        // Version 0 means that the node has no configuration. The step with base 0 starts from the
        // empty configuration, which no node has in force.
        if from == 0 {
            return None;
        }
        let first = self.steps.binary_search_by_key(&from, |step| step.base);
        let steps = self.steps.range(first.ok()?..);
        let changes = steps.flat_map(|step| &step.changes);
        let changes: Vec<control::Change> = changes
            .filter(|change| is_relevant(change, recipient))
            .take(MAX_DELTA_CHANGES + 1)
            .cloned()
            .collect();
        (changes.len() <= MAX_DELTA_CHANGES).then_some(changes)
    }
}

/// Returns the changes from `old` to `new`.
fn diff(old: &config::Config, new: &config::Config) -> Vec<control::Change> {
    let mut changes = Vec::new();
    if old.revision != new.revision {
        changes.push(control::change::Kind::Manifest(control::Manifest {
            revision: new.revision,
            text: new.text.clone(),
        }));
    }
    diff_sets(&old.domains_out, &new.domains_out, |domain, out| {
        changes.push(control::change::Kind::Domain(control::DomainState {
            domain,
            out,
        }));
    });
    diff_sets(&old.upstreams_out, &new.upstreams_out, |upstream, out| {
        changes.push(control::change::Kind::Upstream(control::UpstreamState {
            out,
            upstream,
        }));
    });
    diff_members(&old.members, &new.members, &mut changes);
    diff_orders(old, new, &mut changes);
    changes
        .into_iter()
        .map(|kind| control::Change { kind: Some(kind) })
        .collect()
}

fn diff_sets(
    old: &collections::BTreeSet<String>,
    new: &collections::BTreeSet<String>,
    mut report: impl FnMut(String, bool),
) {
    for name in new.difference(old) {
        report(name.clone(), true);
    }
    for name in old.difference(new) {
        report(name.clone(), false);
    }
}

fn diff_members(
    old: &members::Table,
    new: &members::Table,
    changes: &mut Vec<control::change::Kind>,
) {
    for (name, member) in new {
        let same = old
            .get(name)
            .is_some_and(|known| sync::Arc::ptr_eq(known, member));
        if !same {
            changes.push(control::change::Kind::Member(state_codec::encode_member(
                member,
            )));
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(control::change::Kind::Left(name.clone()));
    }
}

fn diff_orders(
    old: &config::Config,
    new: &config::Config,
    changes: &mut Vec<control::change::Kind>,
) {
    for (upstream, order) in &new.orders {
        let known = old.orders.get(upstream);
        if known.is_none_or(|known| known.fence != order.fence) {
            changes.push(control::change::Kind::Order(state_codec::encode_order(
                order,
            )));
        }
    }
}

/// Returns whether a change is relevant to a recipient: entries need all changes, agents only those
/// of the manifest, the domains, the upstreams out of service, their own node and their own order.
fn is_relevant(change: &control::Change, recipient: &Recipient) -> bool {
    use control::change::Kind;
    match (recipient.role, &change.kind) {
        (members::Role::Entry, _) => true,
        (members::Role::Agent, Some(Kind::Member(member))) => {
            let node = member.node.as_ref();
            node.is_some_and(|node| node.name == recipient.name)
        }
        (members::Role::Agent, Some(Kind::Left(name))) => *name == recipient.name,
        (members::Role::Agent, Some(Kind::Order(order))) => order.upstream == recipient.upstream,
        (
            members::Role::Agent,
            Some(Kind::Domain(_) | Kind::Manifest(_) | Kind::Upstream(_)) | None,
        ) => true,
    }
}

fn filter_config(config: &config::Config, recipient: &Recipient) -> control::Config {
    match recipient.role {
        members::Role::Entry => state_codec::encode_config(config),
        members::Role::Agent => {
            let own = config.members.get(&recipient.name);
            let order = config.orders.get(&recipient.upstream);
            control::Config {
                domains_out: config.domains_out.iter().cloned().collect(),
                manifest: config.text.clone(),
                members: own
                    .iter()
                    .map(|own| state_codec::encode_member(own))
                    .collect(),
                orders: order
                    .iter()
                    .map(|order| state_codec::encode_order(order))
                    .collect(),
                revision: config.revision,
                upstreams_out: config.upstreams_out.iter().cloned().collect(),
                version: config.version,
            }
        }
    }
}
