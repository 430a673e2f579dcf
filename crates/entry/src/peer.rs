//! One agent as this entry knows it: where it is, what it offers and the load it last reported.

use core::time;
use std::net;
use std::sync;

use peargap_wire::agent as wire;
use peargap_wire::control;
use tokio::time as clock;

use crate::lane;

/// An agent that has reported nothing for this long gets no new work.
pub(crate) const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(900);

/// What the configuration says of an agent.
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
    /// Returns the identity of a member that is an agent with an upstream.
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

/// A load report and when it arrived.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) arrived: clock::Instant,
    pub(crate) load: wire::Load,
    /// Requests this entry sent since the report arrived.
    pub(crate) sent_since: u32,
}

impl Report {
    /// Returns whether the report is recent enough to send new work by.
    pub(crate) fn is_recent(&self) -> bool {
        self.arrived.elapsed() < SILENCE_LIMIT
    }
}

/// An agent; shared by the requests that use it.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) identity: Identity,
    pub(crate) lanes: lane::Lanes,
    report: sync::Mutex<Option<sync::Arc<Report>>>,
}

impl Peer {
    /// Returns an agent that has not reported yet.
    pub(crate) fn new(identity: Identity, traffic: tokio::runtime::Handle) -> Peer {
        let lanes = lane::Lanes::new(identity.address, traffic);
        Peer {
            identity,
            lanes,
            report: sync::Mutex::default(),
        }
    }

    /// Records a load report that arrived now.
    pub(crate) fn record_load(&self, load: wire::Load) {
        let report = Report {
            arrived: clock::Instant::now(),
            load,
            sent_since: 0,
        };
        *self.lock() = Some(sync::Arc::new(report));
    }

    /// Counts a request sent to the agent against its last report.
    pub(crate) fn count_sent(&self) {
        if let Some(report) = self.lock().as_mut() {
            let report = sync::Arc::make_mut(report);
            report.sent_since += 1;
        }
    }

    /// Returns the last report.
    pub(crate) fn report(&self) -> Option<sync::Arc<Report>> {
        self.lock().clone()
    }

    /// Returns the agent's incarnation as last reported, empty when it has not reported.
    pub(crate) fn incarnation(&self) -> String {
        self.report()
            .map(|report| report.load.incarnation.clone())
            .unwrap_or_default()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<sync::Arc<Report>>> {
        self.report
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
