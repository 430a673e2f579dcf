//! Keeps this node's configuration up to date with the control hosts.
//!
//! One task holds a link, a bidirectional stream, to one control host and sends reports on it. When
//! the link fails or times out, the task connects to the next host. The version in force never
//! decreases; see [`peargap_core::config_follower`].

use core::net;
use core::time;
use std::sync;

use futures::StreamExt as _;
use peargap_core::config_follower;
use peargap_core::time::Instant;
use peargap_wire::control;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::wrappers;
use tokio_util::sync as cancel;

use crate::config;
use crate::deployment;
use crate::logs;

const LINKED: logs::Event = logs::Event::info(1001, "control linked");
const LINK_LOST: logs::Event = logs::Event::warn(1002, "control link lost");
const APPLIED: logs::Event = logs::Event::info(1003, "configuration in force");
const REJECTED: logs::Event = logs::Event::error(1004, "configuration not readable");
const REPLACED: logs::Event = logs::Event::error(1005, "name taken by a newer process");

/// A link without a message for this long is replaced, in time to get a lease from the next host.
const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(900);
/// Wait before the next control host is tried.
const RETRY_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Capacity of the queue of reports to a slow link.
const REPORT_BUFFER: usize = 8;
/// Number of reports whose send time is kept: a lease starts when the report it answers was sent.
const MAX_SENT_REPORTS: usize = 16;

/// The control hosts to follow and the node that follows them.
#[derive(Debug)]
pub struct Options {
    /// What the agent announces of its upstream; `None` for an entry.
    pub announcement: watch::Receiver<Option<control::Announcement>>,
    /// Control hosts, tried in turn.
    pub controls: Vec<net::SocketAddr>,
    /// This process.
    pub node: control::Node,
}

/// The configuration on this node; clones share their state.
#[derive(Clone, Debug)]
pub struct View {
    config: watch::Receiver<sync::Arc<config::Config>>,
    leaving: watch::Sender<bool>,
    replaced: watch::Sender<bool>,
    started: tokio::time::Instant,
    state: sync::Arc<sync::Mutex<config_follower::Follower>>,
}

impl View {
    /// Returns a receiver of the configuration in force and its changes.
    pub fn config(&self) -> watch::Receiver<sync::Arc<config::Config>> {
        self.config.clone()
    }

    /// Returns whether the freshness lease allows new work.
    pub fn is_fresh(&self) -> bool {
        let now = self.now();
        self.lock().is_fresh(now)
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.lock().version()
    }

    /// Tells the control hosts that this node is leaving.
    pub fn set_leaving(&self) {
        self.leaving.send_replace(true);
    }

    /// Returns a receiver that turns true when a newer process has taken this node's name; this
    /// node takes no new work from then on.
    pub fn replaced(&self) -> watch::Receiver<bool> {
        self.replaced.subscribe()
    }

    fn now(&self) -> Instant {
        let elapsed = self.started.elapsed();
        Instant(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    fn lock(&self) -> sync::MutexGuard<'_, config_follower::Follower> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Starts the task that follows the control hosts until `token` is cancelled.
pub fn spawn(options: Options, token: cancel::CancellationToken) -> View {
    let (publisher, receiver) = watch::channel(sync::Arc::new(config::Config::default()));
    let view = View {
        config: receiver,
        leaving: watch::Sender::new(false),
        replaced: watch::Sender::new(false),
        started: tokio::time::Instant::now(),
        state: sync::Arc::default(),
    };
    let task = Task {
        options,
        publisher,
        refetch: false,
        sent: Vec::new(),
        view: view.clone(),
    };
    tokio::spawn(task.run(token));
    view
}

/// Why a link ended.
enum End {
    Failed(tonic::Status),
    Silent,
    Stopped,
}

struct SentReport {
    at: Instant,
    number: u64,
}

struct Task {
    options: Options,
    publisher: watch::Sender<sync::Arc<config::Config>>,
    refetch: bool,
    sent: Vec<SentReport>,
    view: View,
}

impl Task {
    async fn run(mut self, token: cancel::CancellationToken) {
        let controls = self.options.controls.clone();
        // Nodes start at different hosts so that not all of them connect to the same one.
        let first = self
            .options
            .node
            .name
            .bytes()
            .map(usize::from)
            .sum::<usize>();
        for host in controls.iter().cycle().skip(first % controls.len().max(1)) {
            let end = self.follow_host(*host, &token).await;
            match end {
                End::Stopped => return,
                End::Silent => logs::emit(LINK_LOST, format_args!("control={host} cause=silent")),
                End::Failed(status) => logs::emit(
                    LINK_LOST,
                    format_args!("control={host} cause={:?}", status.code()),
                ),
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = tokio::time::sleep(RETRY_PERIOD) => {}
            }
        }
    }

    async fn follow_host(
        &mut self,
        host: net::SocketAddr,
        token: &cancel::CancellationToken,
    ) -> End {
        let (reports, outgoing) = mpsc::channel(REPORT_BUFFER);
        let opened = tokio::select! {
            () = token.cancelled() => return End::Stopped,
            opened = tokio::time::timeout(SILENCE_LIMIT, open_link(host, outgoing)) => opened,
        };
        let mut updates = match opened {
            Err(_) => return End::Silent,
            Ok(Err(status)) => return End::Failed(status),
            Ok(Ok(updates)) => updates,
        };
        logs::emit(LINKED, format_args!("control={host}"));
        self.sent.clear();
        let mut number = 0;
        let mut last_report = None;
        let mut leaving = self.view.leaving.subscribe();
        let mut announcement = self.options.announcement.clone();
        let mut last_received = tokio::time::Instant::now();
        loop {
            let report_due = self.next_report(last_report);
            let is_report_due = tokio::select! {
                () = token.cancelled() => return End::Stopped,
                () = tokio::time::sleep_until(last_received + SILENCE_LIMIT) => return End::Silent,
                update = updates.next() => {
                    last_received = tokio::time::Instant::now();
                    match update {
                        Some(Ok(update)) => self.apply_update(update),
                        Some(Err(status)) => return End::Failed(status),
                        None => return End::Failed(tonic::Status::unavailable("closed")),
                    }
                }
                () = tokio::time::sleep_until(report_due) => true,
                Ok(()) = leaving.changed() => true,
                Ok(()) = announcement.changed() => true,
            };
            if is_report_due {
                number += 1;
                last_report = Some(tokio::time::Instant::now());
                // The buffer is full only if the link stalls; SILENCE_LIMIT then ends the link.
                let _ = reports.try_send(self.build_report(number));
            }
        }
    }

    /// Returns when the next report is due; the first one on a link is due at once.
    fn next_report(&self, last: Option<tokio::time::Instant>) -> tokio::time::Instant {
        let interval = self.view.lock().report_interval(self.view.now());
        last.map_or_else(tokio::time::Instant::now, |last| last + interval)
    }

    fn build_report(&mut self, number: u64) -> control::Report {
        let first = number == 1;
        self.sent.push(SentReport {
            at: self.view.now(),
            number,
        });
        if self.sent.len() > MAX_SENT_REPORTS {
            self.sent.remove(0);
        }
        let applied_version = if self.refetch { 0 } else { self.view.version() };
        control::Report {
            node: first.then(|| self.options.node.clone()),
            announcement: self.next_announcement(first),
            applied_version,
            leaving: *self.view.leaving.borrow(),
            number,
            order_done: 0,
        }
    }

    /// Returns the announcement if it changed or this is the first report on the link.
    fn next_announcement(&mut self, first: bool) -> Option<control::Announcement> {
        let changed = self.options.announcement.has_changed().unwrap_or(false);
        let present = self.options.announcement.borrow_and_update().clone();
        present.filter(|_| first || changed)
    }

    /// Applies an update; returns whether to send a report at once.
    fn apply_update(&mut self, update: control::Update) -> bool {
        let mut applied = false;
        if update.replaced && !self.view.replaced.send_replace(true) {
            logs::emit(REPLACED, format_args!("node={}", self.options.node.name));
        }
        if let Some(config) = update.config {
            applied |= self.apply_config(config);
        }
        if let Some(delta) = update.delta {
            applied |= self.apply_delta(delta, update.version);
        }
        let reported = self.sent.iter().find(|sent| sent.number == update.number);
        if let (Some(sent), true) = (reported, update.lease_ms > 0) {
            let length = time::Duration::from_millis(u64::from(update.lease_ms));
            self.view
                .lock()
                .extend_lease(update.version, sent.at, length);
        }
        applied || self.refetch
    }

    fn apply_config(&mut self, wire: control::Config) -> bool {
        let version = wire.version;
        let parsed = match config::Config::from_wire(wire) {
            Ok(parsed) => parsed,
            Err(findings) => {
                logs::emit(REJECTED, format_args!("version={version} {findings}"));
                return false;
            }
        };
        self.refetch = false;
        match self.view.lock().offer_full(version) {
            config_follower::Step::Apply => {}
            config_follower::Step::Ignore | config_follower::Step::Refetch => return false,
        }
        self.publish(parsed);
        true
    }

    fn apply_delta(&mut self, delta: control::Delta, version: u64) -> bool {
        let step = self.view.lock().offer_delta(delta.base_version, version);
        match step {
            config_follower::Step::Ignore => return false,
            config_follower::Step::Refetch => {
                self.refetch = true;
                return false;
            }
            config_follower::Step::Apply => {}
        }
        let mut changed = config::Config::clone(&self.publisher.borrow());
        changed.version = version;
        for change in delta.changes {
            if let Err(findings) = changed.apply(change) {
                logs::emit(REJECTED, format_args!("version={version} {findings}"));
            }
        }
        self.publish(changed);
        true
    }

    fn publish(&self, config: config::Config) {
        logs::emit(
            APPLIED,
            format_args!("version={} revision={}", config.version, config.revision),
        );
        self.publisher.send_replace(sync::Arc::new(config));
    }
}

async fn open_link(
    host: net::SocketAddr,
    outgoing: mpsc::Receiver<control::Report>,
) -> Result<tonic::Streaming<control::Update>, tonic::Status> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{host}"))
        .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?
        .tcp_nodelay(true);
    let channel = endpoint
        .connect()
        .await
        .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
    let mut client =
        control::control_client::ControlClient::new(deployment::authenticate_channel(channel));
    let answer = client
        .watch(wrappers::ReceiverStream::new(outgoing))
        .await?;
    Ok(answer.into_inner())
}
