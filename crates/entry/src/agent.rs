//! An agent as this entry knows it.

use std::net;
use std::sync;
use std::sync::atomic;

use peargap_core::table;
use peargap_wire::control;

use crate::connection;

/// An agent's entry in the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Identity {
    pub(crate) address: net::SocketAddr,
    pub(crate) domain: String,
    pub(crate) epoch: u64,
    pub(crate) kind: control::Kind,
    pub(crate) node: String,
    pub(crate) offers: Vec<String>,
    pub(crate) upstream: String,
}

impl Identity {
    /// Returns the identity of a member that has announced an upstream; other members have none.
    pub(crate) fn from_member(member: &control::Member) -> Option<Identity> {
        let node = member.node.as_ref()?;
        let announcement = member.announcement.as_ref()?;
        Some(Identity {
            address: node.address.parse().ok()?,
            domain: node.domain.clone(),
            epoch: member.epoch,
            kind: announcement.kind(),
            node: node.name.clone(),
            offers: announcement.offers.clone(),
            upstream: announcement.upstream.clone(),
        })
    }
}

/// An agent with its connection; shared by requests.
#[derive(Debug)]
pub(crate) struct Agent {
    /// Whether the agent accepts work according to its last report.
    accepting: atomic::AtomicBool,
    pub(crate) identity: Identity,
    incarnation: sync::Mutex<String>,
    pub(crate) key: table::Upstream,
    pub(crate) connections: connection::Connections,
}

impl Agent {
    /// Creates an agent that has not reported yet.
    pub(crate) fn new(
        identity: Identity,
        key: table::Upstream,
        traffic: tokio::runtime::Handle,
    ) -> Agent {
        let connections = connection::Connections::new(identity.address, traffic);
        Agent {
            accepting: atomic::AtomicBool::new(false),
            identity,
            incarnation: sync::Mutex::default(),
            key,
            connections,
        }
    }

    /// Records whether the agent accepts work.
    pub(crate) fn set_accepting(&self, accepting: bool) {
        self.accepting.store(accepting, atomic::Ordering::Relaxed);
    }

    /// Returns whether the agent accepts work according to its last report.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting.load(atomic::Ordering::Relaxed)
    }

    /// Records the incarnation that the agent reports.
    pub(crate) fn set_incarnation(&self, incarnation: &str) {
        let mut known = self.lock();
        if *known != incarnation {
            incarnation.clone_into(&mut known);
        }
    }

    /// Returns the incarnation last reported, or an empty string if there was no report.
    pub(crate) fn incarnation(&self) -> String {
        self.lock().clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, String> {
        self.incarnation
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
