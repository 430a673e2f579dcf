//! Membership table: nodes that have announced themselves, distinguished by incarnation.

use std::collections;
use std::sync;

/// Maximum number of past incarnations remembered for each name.
const MAX_INCARNATIONS: usize = 32;
/// Maximum number of names whose past incarnations are remembered.
const MAX_NAMES: usize = 4096;

/// A process that follows the configuration.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Node {
    /// `ip:port` at which other processes reach it.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Identifies one run of the process; new at each start.
    pub incarnation: String,
    /// Name, unique in the deployment.
    pub name: String,
    /// Role of the process.
    pub role: Role,
}

/// Role of a node.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Runs next to one upstream.
    Agent,
    /// Accepts requests from callers.
    Entry,
}

/// Kind of work that an upstream does.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Generates tokens.
    Engine,
    /// Answers plain calls.
    Service,
}

/// An agent's upstream as announced by the agent.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Announcement {
    /// Whether the engine refuses orders with a stale fence.
    pub checks_fences: bool,
    /// Kind of work.
    pub kind: Kind,
    /// Capacity of the engine's memory in tokens.
    pub memory_tokens: u64,
    /// Models loaded, for an engine, or services offered, for a plain service.
    pub offers: Vec<String>,
    /// Name of the upstream.
    pub upstream: String,
}

/// A known node.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// The announced upstream; present for agents only.
    pub announcement: Option<Announcement>,
    /// Increases with each incarnation of the name; the largest one marks the current incarnation.
    pub epoch: u64,
    /// The announced process.
    pub node: Node,
}

/// Members by name.
pub type Table = collections::BTreeMap<String, sync::Arc<Member>>;

/// Incarnations that were replaced or have left, by node name, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PastIncarnations(pub collections::BTreeMap<String, collections::VecDeque<String>>);

/// Result of an announcement or of a node leaving.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The table already agrees.
    Known,
    /// The table changed.
    Recorded,
    /// Another incarnation holds the name, or this one has left.
    Replaced,
}

impl PastIncarnations {
    /// Returns whether this incarnation of `name` was replaced or has left.
    pub fn contains(&self, name: &str, incarnation: &str) -> bool {
        let known = self.0.get(name);
        known.is_some_and(|known| known.iter().any(|past| past == incarnation))
    }

    fn push(&mut self, node: &Node, table: &Table) {
        let known = self.0.entry(node.name.clone()).or_default();
        if known.len() == MAX_INCARNATIONS {
            known.pop_front();
        }
        known.push_back(node.incarnation.clone());
        if self.0.len() > MAX_NAMES {
            self.forget_removed_name(table, &node.name);
        }
    }

    fn forget_removed_name(&mut self, table: &Table, except: &str) {
        let is_removed = |name: &&String| !table.contains_key(*name) && *name != except;
        if let Some(name) = self.0.keys().find(is_removed).cloned() {
            self.0.remove(&name);
        }
    }
}

/// Records an announcement.
///
/// The incarnation whose first announcement is the latest holds the name. A new incarnation gets
/// `epoch`, which must be larger than any passed before.
pub fn announce(
    table: &mut Table,
    past: &mut PastIncarnations,
    node: Node,
    announcement: Option<Announcement>,
    epoch: u64,
) -> Outcome {
    if past.contains(&node.name, &node.incarnation) {
        return Outcome::Replaced;
    }
    let epoch = match table.get(&node.name) {
        None => epoch,
        Some(known) if known.node.incarnation != node.incarnation => {
            let replaced = known.node.clone();
            past.push(&replaced, table);
            epoch
        }
        Some(known) if known.node == node && known.announcement == announcement => {
            return Outcome::Known;
        }
        Some(known) => known.epoch,
    };
    let name = node.name.clone();
    let member = Member {
        announcement,
        epoch,
        node,
    };
    table.insert(name, sync::Arc::new(member));
    Outcome::Recorded
}

/// Removes a member if `incarnation` is its current one.
pub fn leave(
    table: &mut Table,
    past: &mut PastIncarnations,
    name: &str,
    incarnation: &str,
) -> Outcome {
    let Some(known) = table.get(name).cloned() else {
        return Outcome::Known;
    };
    if known.node.incarnation != incarnation {
        return Outcome::Replaced;
    }
    table.remove(name);
    past.push(&known.node, table);
    Outcome::Recorded
}
