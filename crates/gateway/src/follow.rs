//! Connections to the control hosts. A gateway subscribes to updates from all of them.

use std::collections;
use std::net;
use std::sync;
use std::time;

use futures::StreamExt as _;
use hyper_util::client::legacy::connect;
use peargap_adapters::logs;
use peargap_adapters::upstream;
use peargap_core::aggregator;
use peargap_core::document_fetch;
use peargap_core::fleet_share;
use peargap_core::reconnect;
use peargap_core::time::Instant;
use peargap_wire::fleet as wire;
use peargap_wire::fleet::fleet_client;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::wrappers;
use tokio_util::sync::CancellationToken;
use tonic::transport;

use crate::events;
use crate::fleet;
use crate::load_reporter;
use crate::news;
use crate::pool;
use crate::rollout;

const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Interval of load reports.
const LOAD_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Interval of reports of what was counted in rollouts.
const COUNTS_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Reports buffered for a slow connection.
const REPORT_BUFFER: usize = 16;
/// Maximum size of an update, in bytes.
const MAX_UPDATE_BYTES: usize = 16 << 20;

/// Sender of the names of control hosts to connect to.
pub(crate) type HostSender = mpsc::UnboundedSender<String>;

/// State shared by all connections.
#[derive(Clone, Debug)]
struct Shared {
    fleet: fleet::Fleet,
    gateway: String,
    /// Receives the names of control hosts from updates.
    hosts: HostSender,
    /// Connected control hosts, of which one sums up the load of all gateways.
    known: sync::Arc<watch::Sender<aggregator::Hosts>>,
    port: u16,
    token: CancellationToken,
}

/// Options for [`run`].
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Name of this gateway.
    pub(crate) gateway: String,
    /// Port on which control hosts serve other processes.
    pub(crate) port: u16,
}

/// Adds control hosts to connect to.
pub(crate) fn add_hosts(hosts: &HostSender, seeds: &[net::SocketAddr]) {
    for seed in seeds {
        // Fails only after `run` has ended.
        let _ = hosts.send(seed.to_string());
    }
}

/// Connects to every control host received on `added`, until `token` is cancelled.
pub(crate) async fn run(
    fleet: fleet::Fleet,
    options: Options,
    hosts: HostSender,
    mut added: mpsc::UnboundedReceiver<String>,
    token: CancellationToken,
) {
    let shared = Shared {
        fleet,
        gateway: options.gateway,
        hosts,
        known: sync::Arc::default(),
        port: options.port,
        token: token.clone(),
    };
    let mut known = collections::HashSet::new();
    loop {
        let host = tokio::select! {
            () = token.cancelled() => return,
            host = added.recv() => host,
        };
        let Some(host) = host else {
            return;
        };
        if known.insert(host.clone()) {
            tokio::spawn(maintain_connection(shared.clone(), host));
        }
    }
}

/// Keeps a connection to one control host and reconnects when it ends.
async fn maintain_connection(shared: Shared, host: String) {
    let Ok(parsed) = host.parse::<net::SocketAddr>() else {
        return;
    };
    let address = net::SocketAddr::new(parsed.ip(), shared.port);
    let mut failures = 0;
    loop {
        let attempt = reconnect::plan(failures);
        let connection = run_connection(&shared, &host, address, attempt.timeout);
        let result = tokio::select! {
            () = shared.token.cancelled() => return,
            result = connection => result,
        };
        failures += 1;
        if shared.mark_disconnected(&host) {
            failures = 0;
            shared.fleet.forget_offer(&host);
            logs::emit(
                events::CONTROL_DISCONNECTED,
                format_args!("control={host} why={result:?}"),
            );
        }
        tokio::time::sleep(attempt.delay).await;
    }
}

async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> Result<transport::Channel, String> {
    let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| error.to_string())?
        .connect_timeout(timeout)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(true);
    let mut connector = connect::HttpConnector::new();
    connector.set_nodelay(true);
    // HTTP/2 sends no pings while updates arrive, so a network that drops only what this side sends
    // shows by TCP alone.
    connector.set_tcp_user_timeout(Some(pool::UNACKNOWLEDGED_TIMEOUT));
    let channel = endpoint.connect_with_connector(connector).await;
    channel.map_err(|error| error.to_string())
}

/// Receives updates from one control host and reports to it until the connection ends.
async fn run_connection(
    shared: &Shared,
    host: &str,
    address: net::SocketAddr,
    connect_timeout: time::Duration,
) -> Result<(), String> {
    let channel = connect(address, connect_timeout).await?;
    let mut client =
        fleet_client::FleetClient::new(channel).max_decoding_message_size(MAX_UPDATE_BYTES);
    let (reports, outgoing) = mpsc::channel(REPORT_BUFFER);
    let first = wire::Report {
        gateway: shared.gateway.clone(),
        ..wire::Report::default()
    };
    send(&reports, first).await?;
    let stream = wrappers::ReceiverStream::new(outgoing);
    let response = client.follow(stream).await;
    let mut updates = response.map_err(|status| status.to_string())?.into_inner();
    shared.mark_connected(host);
    logs::emit(events::CONTROL_CONNECTED, format_args!("control={host}"));
    let mut known = shared.known.subscribe();
    let mut news = shared.fleet.news.subscribe();
    let mut tick = tokio::time::interval(LOAD_REPORT_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut load_reporter = load_reporter::LoadReporter::default();
    let mut position = fleet_share::Position::default();
    let mut told = news::Told::default();
    let mut rollout_told = rollout::Told::default();
    let mut rollout_tick = tokio::time::interval(COUNTS_REPORT_INTERVAL);
    rollout_tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let turn = shared.fleet.next_turn(host, position, &mut told);
        if let Some(report) = turn.report {
            send(&reports, report).await?;
        }
        tokio::select! {
            () = tokio::time::sleep(document_fetch::TIMEOUT), if turn.is_behind => {}
            update = updates.next() => match update {
                Some(Ok(mut update)) => {
                    shared.record_update(host);
                    if update.version > 0 {
                        shared.fleet.record_offer(host, update.version);
                    }
                    position = read_position(&update).unwrap_or(position);
                    if shared.reports_to(host) {
                        shared.fleet.set_position(position);
                    }
                    load_reporter.record_update(&update);
                    if let Some(rollouts) = update.rollouts.take() {
                        rollout_told.is_wanted = rollouts.wants_counts;
                        shared.fleet.apply_rollouts(rollouts);
                    }
                    apply(shared, host, update, &reports).await?;
                }
                Some(Err(status)) => return Err(status.to_string()),
                None => return Err("control host closed the stream".to_owned()),
            },
            // The sender lives as long as `shared`.
            Ok(()) = news.changed() => {}
            _instant = rollout_tick.tick(), if rollout_told.is_wanted => {
                if let Some(report) = shared.fleet.next_counts(&mut rollout_told) {
                    send(&reports, report).await?;
                }
            }
            result = known.changed() => {
                result.map_err(|_closed| "list of connected control hosts closed".to_owned())?;
                if !shared.reports_to(host) {
                    if let Some(report) = load_reporter.stop() {
                        send(&reports, report).await?;
                    }
                }
            }
            _instant = tick.tick(), if shared.reports_to(host) => {
                if load_reporter.start(shared.fleet.clock.now()) {
                    shared.fleet.await_sums();
                }
                shared.fleet.set_position(position);
                shared.check_silence(host, load_reporter.since());
                let loads = shared.fleet.list_local_loads();
                let waiting = shared.fleet.list_local_waiting();
                if let Some(report) = load_reporter.build_report(loads, waiting) {
                    send(&reports, report).await?;
                }
                if let Some(report) = shared.fleet.take_observations() {
                    send(&reports, report).await?;
                }
            }
        }
    }
}

async fn send(reports: &mpsc::Sender<wire::Report>, report: wire::Report) -> Result<(), String> {
    let sent = reports.send(report).await;
    sent.map_err(|_closed| "report stream closed".to_owned())
}

/// Applies an update, and confirms it if it has upstreams or questions.
async fn apply(
    shared: &Shared,
    host: &str,
    update: wire::Update,
    reports: &mpsc::Sender<wire::Report>,
) -> Result<(), String> {
    if let Some(document) = update.document {
        shared.fleet.receive_document(host, document);
    }
    if let Some(piece) = update.piece {
        shared.fleet.receive_piece(host, piece);
    }
    if let Some(outage) = update.outage {
        shared.fleet.apply_outage(outage.revision, outage.domains);
    }
    let is_confirmed = !update.upstreams.is_empty() || !update.questions.is_empty();
    for status in update.upstreams.into_iter().filter_map(upstream::decode) {
        shared.fleet.merge_status(status);
    }
    let later_starts = shared.fleet.answer(&update.questions);
    if !update.hosts.is_empty() {
        shared.set_voters(update.voters);
    }
    for host in update.hosts {
        // Fails only after `run` has ended.
        let _ = shared.hosts.send(host);
    }
    shared.fleet.apply_limits(update.limits);
    if shared.reports_to(host) {
        shared.fleet.apply_paces(update.paces);
    }
    shared.fleet.apply_evidence(&update.evidence);
    if shared.reports_to(host) {
        if update.all_loads {
            shared.fleet.clear_remote_loads();
        }
        if update.has_loads {
            shared.fleet.update_remote_waiting(&update.waiting);
            shared.fleet.update_remote_loads(&update.loads);
        }
        shared.fleet.room.confirm_others(shared.fleet.clock.now());
        shared.fleet.record_sums(update.all_loads);
    }
    if !is_confirmed {
        return Ok(());
    }
    let report = wire::Report {
        applied: update.number,
        later_starts,
        ..wire::Report::default()
    };
    send(reports, report).await
}

/// Returns the gateway's position, if the update contains it.
fn read_position(update: &wire::Update) -> Option<fleet_share::Position> {
    (update.gateways > 0).then_some(fleet_share::Position {
        gateways: update.gateways,
        position: update.position,
    })
}

impl Shared {
    /// Returns whether load reports go to this host.
    fn reports_to(&self, host: &str) -> bool {
        self.known.borrow().choose() == Some(host)
    }

    fn mark_connected(&self, host: &str) {
        let now = self.fleet.clock.now();
        self.known.send_modify(|known| known.connect(now, host));
    }

    /// Marks a host as disconnected; returns whether it was connected.
    fn mark_disconnected(&self, host: &str) -> bool {
        self.known.send_if_modified(|known| known.disconnect(host))
    }

    fn record_update(&self, host: &str) {
        let now = self.fleet.clock.now();
        self.known
            .send_if_modified(|known| known.record_update(now, host));
    }

    fn set_voters(&self, voters: Vec<String>) {
        self.known.send_if_modified(|known| {
            let former = known.clone();
            known.set_voters(voters);
            *known != former
        });
    }

    /// Leaves a host that has been silent since `reporting_since` for another one.
    fn check_silence(&self, host: &str, reporting_since: Instant) {
        let now = self.fleet.clock.now();
        let is_silent = self
            .known
            .send_if_modified(|known| known.check_silence(now, host, reporting_since));
        if is_silent {
            logs::emit(events::CONTROL_SILENT, format_args!("control={host}"));
        }
    }
}
