//! The `Watch` stream of one node: its reports, its configuration updates and its lease.

use core::time as duration;
use std::sync;

use futures::StreamExt as _;
use peargap_adapters::logs;
use peargap_core::config;
use peargap_core::members;
use peargap_wire::control;
use peargap_wire::record;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::sync as cancel;

use crate::attached;
use crate::config_history;
use crate::events;
use crate::proposal;
use crate::replica;
use crate::state_codec;

/// Time without a report after which a link is closed.
const SILENCE_TIMEOUT: duration::Duration = duration::Duration::from_secs(5);
/// Time for which this host could grant no lease after which it closes a link, so that the node
/// tries another host.
const STALE_TIMEOUT: duration::Duration = duration::Duration::from_secs(1);

/// State shared by all links.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) handle: replica::Handle,
    /// Longest lease; a granted lease also ends with this host's own freshness.
    pub(crate) lease: duration::Duration,
    pub(crate) nodes: attached::Nodes,
    pub(crate) history: config_history::ConfigHistory,
    pub(crate) token: cancel::CancellationToken,
}

/// State of a node's announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnnouncementState {
    /// Not proposed yet, or the proposal failed.
    Unknown,
    /// Committed in its present form by this version at the latest.
    Recorded(u64),
    /// A newer incarnation of the node has replaced this one.
    Replaced,
}

/// How a link goes on after an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Continue,
    /// The node closed the link.
    Ended,
    /// This host closes the link; the node connects to another one.
    Stop,
}

type Reports = tonic::Streaming<control::Report>;
type Updates = mpsc::Sender<Result<control::Update, tonic::Status>>;

/// One attached node.
pub(crate) struct Link {
    announcement: Option<members::Announcement>,
    /// Whether the node's last report named an applied version above 0.
    has_config: bool,
    leaving: bool,
    number: u64,
    node: members::Node,
    /// Version to which the updates sent so far bring the node.
    sent_version: u64,
    shared: Shared,
    /// Time since which this host could grant no lease.
    stale_since: Option<time::Instant>,
    announcement_state: AnnouncementState,
    updates: Updates,
}

impl Link {
    /// Returns the link of the node in the report `first`, or `None` if that has no valid node.
    pub(crate) fn new(
        shared: Shared,
        number: u64,
        first: &control::Report,
        updates: Updates,
    ) -> Option<Link> {
        let node = state_codec::decode_node(first.node.clone()?)?;
        Some(Link {
            announcement: None,
            has_config: false,
            leaving: false,
            node,
            number,
            sent_version: first.applied_version,
            shared,
            stale_since: None,
            announcement_state: AnnouncementState::Unknown,
            updates,
        })
    }

    /// Handles reports and configuration changes until the link ends.
    pub(crate) async fn run(mut self, first: control::Report, mut reports: Reports) {
        let mut config = self.shared.handle.config();
        self.attach(&first);
        let mut next = self.handle_report(first).await;
        while next == Next::Continue {
            next = tokio::select! {
                () = self.shared.token.cancelled() => Next::Stop,
                report = time::timeout(SILENCE_TIMEOUT, reports.next()) => match report {
                    Ok(Some(Ok(report))) => self.handle_report(report).await,
                    Ok(Some(Err(_)) | None) => Next::Ended,
                    Err(_) => Next::Stop,
                },
                changed = config.changed() => match changed {
                    Ok(()) => self.push_config(),
                    Err(_) => Next::Stop,
                },
            };
        }
        self.detach(next).await;
    }

    fn attach(&self, first: &control::Report) {
        let role = first.node.as_ref().map_or(0, |node| node.role);
        let node = attached::Node {
            applied_version: first.applied_version,
            last_report: time::Instant::now(),
            incarnation: self.node.incarnation.clone(),
            name: self.node.name.clone(),
            role,
        };
        self.shared.nodes.set(self.number, node);
        logs::emit(
            events::NODE_ATTACHED,
            format_args!("node={} version={}", self.node.name, first.applied_version),
        );
    }

    async fn detach(self, end: Next) {
        self.shared.nodes.remove(self.number);
        logs::emit(
            events::NODE_DETACHED,
            format_args!("node={} leaving={}", self.node.name, self.leaving),
        );
        // If this host closed the link, the leaving node may still be finishing its work.
        let has_left = self.leaving && end == Next::Ended;
        match self.announcement_state {
            AnnouncementState::Recorded(_) if has_left => self.propose_leave().await,
            AnnouncementState::Recorded(_)
            | AnnouncementState::Replaced
            | AnnouncementState::Unknown => {}
        }
    }

    async fn handle_report(&mut self, report: control::Report) -> Next {
        self.shared
            .nodes
            .record_report(self.number, report.applied_version);
        self.leaving |= report.leaving;
        self.record_applied_version(report.applied_version);
        let announcement = report.announcement.map(state_codec::decode_announcement);
        if announcement.is_some() && announcement != self.announcement {
            self.announcement = announcement;
            self.announcement_state = AnnouncementState::Unknown;
        }
        if self.announcement_state == AnnouncementState::Unknown {
            self.announce().await;
        }
        // The freshness is read before the configuration, so that a lease never covers a
        // configuration older than the freshness.
        let fresh_until = self.shared.handle.status().borrow().fresh_until;
        if self.is_stale(fresh_until) {
            return Next::Stop;
        }
        let config = self.refresh();
        let mut update = self.build_update(&config);
        update.number = report.number;
        update.replaced = self.announcement_state == AnnouncementState::Replaced;
        update.lease_ms = self.compute_lease(&config, fresh_until);
        self.send(update)
    }

    /// Returns whether this host could grant no lease for [`STALE_TIMEOUT`].
    fn is_stale(&mut self, fresh_until: Option<time::Instant>) -> bool {
        let now = time::Instant::now();
        if fresh_until.is_some_and(|until| now < until) {
            self.stale_since = None;
            return false;
        }
        let since = *self.stale_since.get_or_insert(now);
        now.saturating_duration_since(since) >= STALE_TIMEOUT
    }

    /// Handles the applied version in a report; a node that needs the whole configuration again
    /// reports version 0.
    fn record_applied_version(&mut self, version: u64) {
        if version > 0 {
            self.has_config = true;
        } else if self.has_config {
            self.has_config = false;
            self.sent_version = 0;
        }
    }

    fn push_config(&mut self) -> Next {
        let config = self.refresh();
        let update = self.build_update(&config);
        let is_relevant = match (&update.config, &update.delta) {
            (Some(_), _) => true,
            (None, Some(delta)) => !delta.changes.is_empty(),
            (None, None) => false,
        };
        // An update without relevant changes is sent in reply to the next report instead.
        if is_relevant {
            self.send(update)
        } else {
            Next::Continue
        }
    }

    fn refresh(&mut self) -> sync::Arc<config::Config> {
        let config = self.shared.handle.config().borrow().clone();
        let config = self.shared.history.advance(&config);
        let holder = config.members.get(&self.node.name);
        let is_replaced =
            holder.is_some_and(|holder| holder.node.incarnation != self.node.incarnation);
        let AnnouncementState::Recorded(version) = self.announcement_state else {
            return config;
        };
        // Below that version this host has not applied the node's announcement yet.
        if is_replaced && config.version >= version {
            self.set_replaced();
        }
        config
    }

    fn build_update(&self, config: &config::Config) -> control::Update {
        let recipient = config_history::Recipient {
            name: self.node.name.clone(),
            role: self.node.role,
            upstream: match &self.announcement {
                Some(announcement) => announcement.upstream.clone(),
                None => String::new(),
            },
        };
        let mut update = control::Update {
            version: config.version,
            ..control::Update::default()
        };
        match self.shared.history.catch_up(&recipient, self.sent_version) {
            config_history::Catchup::Config(config) => {
                update.version = config.version;
                update.config = Some(config);
            }
            config_history::Catchup::Delta(delta) => update.delta = Some(delta),
            config_history::Catchup::Current => {}
        }
        update
    }

    fn send(&mut self, update: control::Update) -> Next {
        let version = update.version;
        match self.updates.try_send(Ok(update)) {
            Ok(()) => {
                self.sent_version = self.sent_version.max(version);
                Next::Continue
            }
            // A later report sends the update again, or the link is closed for silence.
            Err(mpsc::error::TrySendError::Full(_)) => Next::Continue,
            Err(mpsc::error::TrySendError::Closed(_)) => Next::Stop,
        }
    }

    fn compute_lease(&self, config: &config::Config, fresh_until: Option<time::Instant>) -> u32 {
        let holder = config.members.get(&self.node.name);
        let holds = holder.is_some_and(|holder| holder.node.incarnation == self.node.incarnation);
        let Some(fresh_until) = fresh_until.filter(|_| holds) else {
            return 0;
        };
        let left = fresh_until.saturating_duration_since(time::Instant::now());
        u32::try_from(left.min(self.shared.lease).as_millis()).unwrap_or(0)
    }

    async fn announce(&mut self) {
        let config = self.shared.handle.config().borrow().clone();
        let known = config.members.get(&self.node.name);
        let is_current = known.is_some_and(|known| {
            known.node == self.node && known.announcement == self.announcement
        });
        if is_current {
            self.announcement_state = AnnouncementState::Recorded(config.version);
            return;
        }
        let announce = record::Announce {
            announcement: self
                .announcement
                .as_ref()
                .map(state_codec::encode_announcement),
            node: Some(state_codec::encode_node(&self.node)),
        };
        let kind = record::command::Kind::Announce(announce);
        let reply = proposal::propose(&self.shared.handle, kind).await;
        // After a failure the next report proposes the announcement again.
        if let Ok(record::reply::Kind::Announced(announced)) = reply {
            self.handle_announced(&announced);
        }
    }

    fn handle_announced(&mut self, announced: &record::Announced) {
        match announced.outcome() {
            record::Outcome::Replaced => self.set_replaced(),
            record::Outcome::Known | record::Outcome::Recorded => {
                self.announcement_state = AnnouncementState::Recorded(announced.version);
                logs::emit(
                    events::NODE_ANNOUNCED,
                    format_args!(
                        "node={} incarnation={} version={}",
                        self.node.name, self.node.incarnation, announced.version
                    ),
                );
            }
            record::Outcome::Unspecified => {}
        }
    }

    fn set_replaced(&mut self) {
        self.announcement_state = AnnouncementState::Replaced;
        logs::emit(
            events::NODE_REPLACED,
            format_args!(
                "node={} incarnation={}",
                self.node.name, self.node.incarnation
            ),
        );
    }

    async fn propose_leave(&self) {
        let leave = record::Leave {
            incarnation: self.node.incarnation.clone(),
            name: self.node.name.clone(),
        };
        let kind = record::command::Kind::Leave(leave);
        let left = proposal::propose(&self.shared.handle, kind).await.is_ok();
        logs::emit(
            events::NODE_LEFT,
            format_args!("node={} recorded={left}", self.node.name),
        );
    }
}
