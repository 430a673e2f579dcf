//! Nodes that announced themselves, told apart by incarnation.

use std::collections;
use std::sync;

/// Past incarnations remembered for each name.
const INCARNATIONS_KEPT: usize = 32;
/// Names whose past incarnations are remembered.
const NAMES_KEPT: usize = 4096;

/// A process that follows the configuration.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Node {
    /// `ip:port` other processes reach it at.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Fresh at each start.
    pub incarnation: String,
    /// Name, unique in the deployment.
    pub name: String,
    /// What it does.
    pub role: Role,
}

/// What a node does.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Beside one upstream.
    Agent,
    /// Takes callers' requests.
    Entry,
}

/// What kind of work an upstream does.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// Generates tokens.
    Engine,
    /// Answers plain calls.
    Service,
}

/// An agent's upstream, as announced.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Announcement {
    /// Whether the engine refuses orders with an old fence.
    pub checks_fences: bool,
    /// Kind of work.
    pub kind: Kind,
    /// Token slots of engine memory.
    pub memory_tokens: u64,
    /// Models loaded (engine) or services offered.
    pub offers: Vec<String>,
    /// Name of the upstream.
    pub upstream: String,
}

/// A known node.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Present for agents.
    pub announcement: Option<Announcement>,
    /// Grows with each incarnation of the name; the larger one is the true one.
    pub epoch: u64,
    /// The process.
    pub node: Node,
}

/// Members by name.
pub type Table = collections::BTreeMap<String, sync::Arc<Member>>;

/// Incarnations that are over, by name, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Past(pub collections::BTreeMap<String, collections::VecDeque<String>>);

/// What became of an announcement or a leave.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Nothing new.
    Known,
    /// The table changed.
    Recorded,
    /// A newer incarnation holds the name, or this one left.
    Replaced,
}

impl Past {
    /// Returns whether the incarnation of `name` is over.
    pub fn contains(&self, name: &str, incarnation: &str) -> bool {
        let known = self.0.get(name);
        known.is_some_and(|known| known.iter().any(|past| past == incarnation))
    }

    fn push(&mut self, node: &Node, table: &Table) {
        let known = self.0.entry(node.name.clone()).or_default();
        if known.len() == INCARNATIONS_KEPT {
            known.pop_front();
        }
        known.push_back(node.incarnation.clone());
        if self.0.len() > NAMES_KEPT {
            self.forget_one(table, &node.name);
        }
    }

    fn forget_one(&mut self, table: &Table, except: &str) {
        let gone = |name: &&String| !table.contains_key(*name) && *name != except;
        if let Some(name) = self.0.keys().find(gone).cloned() {
            self.0.remove(&name);
        }
    }
}

/// Records an announcement; the incarnation that first announced itself last holds the name.
///
/// `epoch` is larger than any given before; a new incarnation gets it.
pub fn announce(
    table: &mut Table,
    past: &mut Past,
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
            let over = known.node.clone();
            past.push(&over, table);
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

/// Takes a member out; only its present incarnation can leave.
pub fn leave(table: &mut Table, past: &mut Past, name: &str, incarnation: &str) -> Outcome {
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
