//! The `Fleet` service, which gateways call to follow this control host.

use std::collections;
use std::sync;
use std::time;

use futures::StreamExt as _;
use peargap_adapters::evidence;
use peargap_adapters::limit;
use peargap_adapters::load;
use peargap_adapters::logs;
use peargap_adapters::upstream;
use peargap_adapters::waiting;
use peargap_core::aggregator;
use peargap_core::load_totals;
use peargap_core::routing;
use peargap_wire::fleet as wire;
use peargap_wire::fleet::fleet_server;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio_stream::wrappers;
use tokio_util::sync::CancellationToken;

use crate::documents;
use crate::events;
use crate::fleet;
use crate::leaves;
use crate::status;

/// Updates buffered for a slow link.
const UPDATE_BUFFER: usize = 4;
/// Time between updates of the summed loads while any gateway reports its load.
const LOAD_PERIOD: time::Duration = time::Duration::from_millis(50);

/// Updates with loads that a gateway may be behind. Sums that wait in a full link would be out of
/// date when they arrive; the next update has newer ones.
const MAX_UNCONFIRMED_LOADS: usize = 3;
/// Time between checks for changed control hosts on links that do not report load.
const HOSTS_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Implementation of the `Fleet` service.
#[derive(Clone, Debug)]
pub(crate) struct Gateways {
    pub(crate) fleet: fleet::Fleet,
    /// Ends all links when cancelled.
    pub(crate) token: CancellationToken,
}

/// Sending side of a link.
struct Sender {
    /// Notified when the gateway asks for the document.
    document_requested: sync::Arc<Notify>,
    fleet: fleet::Fleet,
    key: fleet::LinkKey,
    /// Last change in each update that the gateway has not confirmed, by update number.
    unconfirmed: sync::Arc<sync::Mutex<collections::BTreeMap<u64, u64>>>,
    sent: Sent,
    updates: mpsc::Sender<Result<wire::Update, tonic::Status>>,
    /// The gateway's request for the document.
    wanted: documents::Pending,
}

/// Names of the control hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Hosts {
    members: Vec<String>,
    voters: Vec<String>,
}

/// State that was last sent to the gateway.
#[derive(Debug, Default)]
struct Sent {
    change: u64,
    hosts: Hosts,
    /// Number of the last change of the evidence on what crashes upstreams.
    evidence_change: u64,
    /// Number of the last change of a limit.
    limit_change: u64,
    number: u64,
    /// Number of the last change of a pace.
    pace_change: u64,
    loads: load_totals::Loads,
    /// What waits at the other gateways.
    waiting: peargap_core::waiting::Table,
    /// Numbers of the updates with loads that the gateway may not have applied yet.
    unconfirmed_loads: collections::VecDeque<u64>,
    rank: fleet::Rank,
    revision: u64,
    rollouts: Option<wire::Rollouts>,
    outage_sent: bool,
    version: u64,
}

#[tonic::async_trait]
impl fleet_server::Fleet for Gateways {
    type FollowStream = wrappers::ReceiverStream<Result<wire::Update, tonic::Status>>;

    async fn follow(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Report>>,
    ) -> Result<tonic::Response<Self::FollowStream>, tonic::Status> {
        let reports = request.into_inner();
        let (updates, outgoing) = mpsc::channel(UPDATE_BUFFER);
        let key = self.fleet.attach();
        let unconfirmed: sync::Arc<sync::Mutex<_>> = sync::Arc::default();
        let wanted = documents::Pending::default();
        let document_requested: sync::Arc<Notify> = sync::Arc::default();
        let sender = Sender {
            fleet: self.fleet.clone(),
            key,
            unconfirmed: unconfirmed.clone(),
            sent: Sent::default(),
            wanted: wanted.clone(),
            document_requested: document_requested.clone(),
            updates,
        };
        let fleet = self.fleet.clone();
        let token = self.token.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                () = sender.run() => {}
                () = receive(
                    &fleet,
                    key,
                    reports,
                    &unconfirmed,
                    &wanted,
                    &document_requested,
                ) => {}
            }
            fleet.detach(key);
        });
        Ok(tonic::Response::new(wrappers::ReceiverStream::new(
            outgoing,
        )))
    }
}

/// Handles a gateway's reports until their stream ends.
async fn receive(
    fleet: &fleet::Fleet,
    key: fleet::LinkKey,
    mut reports: tonic::Streaming<wire::Report>,
    unconfirmed: &sync::Mutex<collections::BTreeMap<u64, u64>>,
    wanted: &documents::Pending,
    document_requested: &Notify,
) {
    let mut name = String::new();
    while let Some(Ok(report)) = reports.next().await {
        let request = documents::Request::read(&report);
        if !report.gateway.is_empty() {
            name = report.gateway;
            logs::emit(events::GATEWAY_ATTACHED, format_args!("gateway={name}"));
        }
        for status in report.later_starts.into_iter().filter_map(upstream::decode) {
            fleet.record_answer(&status);
        }
        if report.applied > 0 {
            let change = confirm_update(unconfirmed, report.applied);
            fleet.record_applied(key, report.applied, change);
        }
        if let Some(request) = request {
            wanted.record(request);
            document_requested.notify_one();
        }
        if report.has_loads {
            let loads = report.loads.iter();
            let loads = loads.map(|one| (one.upstream.clone(), load::decode(one)));
            let loads = loads.collect();
            let waiting = waiting::decode(&report.waiting);
            fleet.record_loads(key, loads, waiting, report.starts_loads);
        }
        for news in report.limits {
            fleet.record_limit(limit::decode(news));
        }
        fleet.record_observations(report.observations);
        let told = evidence::decode_all(&report.evidence);
        let successes = evidence::decode_successes(&report.successes);
        fleet.record_evidence(&told, &successes);
        fleet.record_rollouts(key, &name, report.rollouts);
        for departure in report.departures {
            match departure.is_relayed {
                true => fleet.record_relayed(&departure.upstream, departure.born_ms),
                false => fleet.record_departure(&departure.upstream, departure.born_ms),
            }
        }
        if report.stops_loads {
            fleet.stop_loads(key);
        }
    }
    logs::emit(events::GATEWAY_DETACHED, format_args!("gateway={name}"));
}

/// Returns the last change in the confirmed update, and removes it and all earlier updates.
fn confirm_update(unconfirmed: &sync::Mutex<collections::BTreeMap<u64, u64>>, number: u64) -> u64 {
    let locked = unconfirmed.lock();
    let mut unconfirmed = locked.unwrap_or_else(sync::PoisonError::into_inner);
    let later = unconfirmed.split_off(&(number + 1));
    let change = unconfirmed
        .last_key_value()
        .map_or(0, |(_number, change)| *change);
    *unconfirmed = later;
    change
}

impl Sender {
    async fn run(mut self) {
        let mut changes = self.fleet.watch_changes();
        let mut routing = self.fleet.handle.routing();
        let mut status = self.fleet.handle.status();
        let mut last_sent = tokio::time::Instant::now();
        loop {
            let reports_load = self.fleet.reports_load(self.key);
            let is_due = reports_load && last_sent.elapsed() >= aggregator::UPDATE_INTERVAL;
            let update = self.build_update(&mut changes, &mut routing, &mut status, is_due);
            if let Some(update) = update {
                last_sent = tokio::time::Instant::now();
                if self.updates.send(Ok(update)).await.is_err() {
                    return;
                }
            }
            let poll_interval = match reports_load {
                true => LOAD_PERIOD,
                false => HOSTS_PERIOD,
            };
            tokio::select! {
                result = changes.changed() => if result.is_err() { return },
                result = routing.changed() => if result.is_err() { return },
                () = self.document_requested.notified() => {}
                () = tokio::time::sleep(poll_interval) => {}
                () = self.updates.closed() => return,
            }
        }
    }

    /// Returns an update with everything that changed since the last one, or `None` without
    /// changes unless one is due.
    fn build_update(
        &mut self,
        changes: &mut watch::Receiver<u64>,
        routing: &mut watch::Receiver<sync::Arc<routing::Routing>>,
        status: &mut watch::Receiver<status::Status>,
        is_due: bool,
    ) -> Option<wire::Update> {
        changes.mark_unchanged();
        let changed = self.fleet.list_changes(self.sent.change);
        let limits = self.fleet.list_limits(self.sent.limit_change);
        let evidence = self.fleet.list_evidence(self.sent.evidence_change);
        let paces = self.fleet.list_paces(self.sent.pace_change);
        let routing = routing.borrow_and_update().clone();
        let status = status.borrow_and_update();
        let hosts = Hosts {
            members: status.members.clone(),
            voters: status.voter_names.clone(),
        };
        let is_leader = status.role == status::Role::Leader;
        drop(status);
        self.fleet.documents.record(&routing);
        let request = self.wanted.take(routing.version);
        let answer = request.map(|request| self.fleet.documents.answer(&routing, request));
        let answer = answer.unwrap_or_default();
        let mut update = wire::Update {
            document: answer.document,
            piece: answer.piece,
            outage: self.build_outage(&routing),
            evidence: evidence.news.iter().map(evidence::encode).collect(),
            limits: limits.news.iter().map(limit::encode).collect(),
            paces: paces.news,
            questions: changed.questions.into_iter().map(encode_question).collect(),
            upstreams: changed.statuses.iter().map(upstream::encode).collect(),
            ..wire::Update::default()
        };
        if hosts != self.sent.hosts {
            update.hosts.clone_from(&hosts.members);
            update.voters.clone_from(&hosts.voters);
            self.sent.hosts = hosts;
        }
        self.add_loads(&mut update);
        self.add_rollouts(&mut update, &routing, is_leader);
        let rank = self.fleet.find_rank(self.key);
        if rank != self.sent.rank {
            self.sent.rank = rank;
            update.gateways = rank.gateways;
            update.position = rank.position;
        }
        if routing.version != self.sent.version {
            self.sent.version = routing.version;
            update.version = routing.version;
        }
        if update == wire::Update::default() && !is_due {
            return None;
        }
        self.sent.change = changed.last_change;
        self.sent.evidence_change = evidence.last_change;
        self.sent.limit_change = limits.last_change;
        self.sent.pace_change = paces.last_change;
        self.sent.number += 1;
        update.number = self.sent.number;
        if update.has_loads {
            self.sent.unconfirmed_loads.push_back(update.number);
        }
        let locked = self.unconfirmed.lock();
        let mut unconfirmed = locked.unwrap_or_else(sync::PoisonError::into_inner);
        unconfirmed.insert(update.number, changed.last_change);
        Some(update)
    }

    /// Adds the sums that changed since the last update; an upstream that no longer has any load is
    /// listed by name with zeros. Adds none while the gateway is behind with earlier sums.
    fn add_loads(&mut self, update: &mut wire::Update) {
        let Some(sums) = self.fleet.read_sums(self.key) else {
            return;
        };
        let unconfirmed = &mut self.sent.unconfirmed_loads;
        unconfirmed.retain(|number| *number > sums.applied_number);
        if sums.is_first {
            self.sent.loads = load_totals::Loads::default();
        } else if unconfirmed.len() >= MAX_UNCONFIRMED_LOADS {
            return;
        }
        let has_waiting = sums.waiting != self.sent.waiting;
        let changes = sums.others.diff(&self.sent.loads);
        self.sent.loads = sums.others;
        let loads = changes.iter();
        update.loads = loads.map(|(name, one)| load::encode(name, one)).collect();
        update.all_loads = sums.is_first;
        update.has_loads = sums.is_first || has_waiting || !update.loads.is_empty();
        if update.has_loads {
            update.waiting = waiting::encode(&sums.waiting);
            self.sent.waiting = sums.waiting;
        }
    }

    /// Adds the rollouts if they changed since the last update.
    fn add_rollouts(
        &mut self,
        update: &mut wire::Update,
        routing: &routing::Routing,
        is_leader: bool,
    ) {
        let rollouts = self.fleet.describe_rollouts(&routing.rollouts, is_leader);
        if rollouts != self.sent.rollouts {
            update.rollouts.clone_from(&rollouts);
            self.sent.rollouts = rollouts;
        }
    }

    fn build_outage(&mut self, routing: &routing::Routing) -> Option<wire::Outage> {
        if self.sent.outage_sent && routing.revision == self.sent.revision {
            return None;
        }
        self.sent.outage_sent = true;
        self.sent.revision = routing.revision;
        Some(wire::Outage {
            domains: routing.domains_out.iter().cloned().collect(),
            revision: routing.revision,
        })
    }
}

fn encode_question(question: leaves::Question) -> wire::Question {
    wire::Question {
        born_ms: question.born_ms,
        upstream: question.upstream,
    }
}
