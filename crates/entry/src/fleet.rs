//! Tracks the agents of the configuration and the load that each reports.
//!
//! Runs on the control thread; requests read the published snapshot.

use core::time;
use std::collections;
use std::sync;

use peargap_adapters::config;
use peargap_adapters::deployment;
use peargap_adapters::follow;
use peargap_adapters::logs;
use peargap_core::table;
use peargap_wire::agent as wire;
use peargap_wire::agent::agent_client;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time as clock;
use tokio_stream::wrappers;
use tokio_stream::StreamExt as _;
use tokio_util::sync as cancel;

use crate::agent;
use crate::connection;
use crate::events;
use crate::upstream_table;

/// Interval between two messages to an agent on its load link.
const SEEN_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time without a report after which an agent gets no new work.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Delay before a lost load link is reopened.
const REOPEN_DELAY: time::Duration = time::Duration::from_millis(100);
/// Capacity of the buffer of outgoing messages on a load link.
const SEEN_BUFFER: usize = 4;

/// Snapshot of the configuration and its agents.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) config: sync::Arc<config::Config>,
    /// Agents by upstream.
    pub(crate) agents: collections::BTreeMap<String, sync::Arc<agent::Agent>>,
    /// The same agents by their keys in the table of upstreams.
    keys: collections::HashMap<table::Upstream, sync::Arc<agent::Agent>>,
}

impl Fleet {
    /// Returns the keys of all agents' upstreams.
    pub(crate) fn list_keys(&self) -> impl Iterator<Item = table::Upstream> + '_ {
        self.keys.keys().copied()
    }

    /// Returns the agent with this key.
    pub(crate) fn find(&self, upstream: table::Upstream) -> Option<sync::Arc<agent::Agent>> {
        self.keys.get(&upstream).cloned()
    }
}

/// Receives a new snapshot on each change of the configuration.
pub(crate) type Watch = watch::Receiver<sync::Arc<Fleet>>;

/// Keeps the published snapshot and the load links in step with the configuration.
pub(crate) struct Follower {
    pub(crate) upstream_table: sync::Arc<upstream_table::UpstreamTable>,
    /// This entry's name.
    pub(crate) entry: String,
    /// Runtime for the connections that carry requests.
    pub(crate) traffic: tokio::runtime::Handle,
    pub(crate) view: follow::View,
}

struct Observed {
    agent: sync::Arc<agent::Agent>,
    /// Closes the load link when dropped.
    _stop: cancel::DropGuard,
}

type Observers = collections::BTreeMap<String, Observed>;

/// Starts a follower that runs until `token` is cancelled.
pub(crate) fn spawn(follower: Follower, token: cancel::CancellationToken) -> Watch {
    let (publisher, receiver) = watch::channel(sync::Arc::default());
    tokio::spawn(follower.run(publisher, token));
    receiver
}

impl Follower {
    async fn run(
        self,
        publisher: watch::Sender<sync::Arc<Fleet>>,
        token: cancel::CancellationToken,
    ) {
        let mut observers = Observers::new();
        let mut configs = self.view.config();
        loop {
            let config = configs.borrow_and_update().clone();
            self.update_observers(&config, &mut observers, &token);
            self.update_states(&config, &observers);
            publisher.send_replace(sync::Arc::new(build_fleet(config, &observers)));
            tokio::select! {
                () = token.cancelled() => return,
                changed = configs.changed() => if changed.is_err() { return },
            }
        }
    }

    fn update_observers(
        &self,
        config: &config::Config,
        observers: &mut Observers,
        token: &cancel::CancellationToken,
    ) {
        let identities = list_identities(config);
        observers.retain(|upstream, observed| {
            let kept = identities.get(upstream) == Some(&observed.agent.identity);
            if !kept {
                self.upstream_table.withdraw(observed.agent.key);
            }
            kept
        });
        for (upstream, identity) in identities {
            observers
                .entry(upstream)
                .or_insert_with(|| self.start_observing(identity, token));
        }
    }

    fn update_states(&self, config: &config::Config, observers: &Observers) {
        for domain in &config.manifest.domains {
            let out = config.domains_out.contains(&domain.name);
            self.upstream_table.set_domain_out(&domain.name, out);
        }
        for (upstream, observed) in observers {
            let domain = &observed.agent.identity.domain;
            let domain_out = config.domains_out.contains(domain);
            self.upstream_table.set_domain_out(domain, domain_out);
            let out = config.upstreams_out.contains(upstream);
            self.upstream_table.set_out(observed.agent.key, out);
        }
    }

    fn start_observing(
        &self,
        identity: agent::Identity,
        token: &cancel::CancellationToken,
    ) -> Observed {
        let key = self.upstream_table.announce(&identity);
        let agent = sync::Arc::new(agent::Agent::new(identity, key, self.traffic.clone()));
        let stop = token.child_token();
        let observer = Observer {
            upstream_table: self.upstream_table.clone(),
            entry: self.entry.clone(),
            agent: agent.clone(),
            view: self.view.clone(),
        };
        tokio::spawn(observer.run(stop.clone()));
        Observed {
            agent,
            _stop: stop.drop_guard(),
        }
    }
}

fn build_fleet(config: sync::Arc<config::Config>, observers: &Observers) -> Fleet {
    let agents = observers.values().map(|observed| &observed.agent);
    Fleet {
        config,
        keys: agents
            .clone()
            .map(|agent| (agent.key, agent.clone()))
            .collect(),
        agents: agents
            .map(|agent| (agent.identity.upstream.clone(), agent.clone()))
            .collect(),
    }
}

/// Returns the agents by upstream; if two announce the same upstream, the higher epoch wins.
fn list_identities(config: &config::Config) -> collections::BTreeMap<String, agent::Identity> {
    let mut identities = collections::BTreeMap::<String, agent::Identity>::new();
    for member in config.members.values() {
        let Some(identity) = agent::Identity::from_member(member) else {
            continue;
        };
        match identities.get(&identity.upstream) {
            Some(known) if known.epoch >= identity.epoch => {}
            Some(_) | None => {
                identities.insert(identity.upstream.clone(), identity);
            }
        }
    }
    identities
}

/// Keeps a load link to one agent open.
struct Observer {
    upstream_table: sync::Arc<upstream_table::UpstreamTable>,
    entry: String,
    agent: sync::Arc<agent::Agent>,
    view: follow::View,
}

impl Observer {
    async fn run(self, token: cancel::CancellationToken) {
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                () = self.observe() => {}
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = clock::sleep(REOPEN_DELAY) => {}
            }
        }
    }

    /// Records load reports over a new connection until it is lost or silent.
    async fn observe(&self) {
        let (sender, receiver) = mpsc::channel(SEEN_BUFFER);
        let opened = clock::timeout(SILENCE_TIMEOUT, self.open(receiver)).await;
        let Ok(Ok(mut loads)) = opened else {
            return;
        };
        let upstream = &self.agent.identity.upstream;
        let mut sequence = 0;
        let mut timer = clock::interval(SEEN_INTERVAL);
        let mut silence_deadline = clock::Instant::now() + SILENCE_TIMEOUT;
        loop {
            let load = tokio::select! {
                _ = timer.tick() => {
                    // The buffer is full only on a stalled link, which the silence timeout ends.
                    let _ = sender.try_send(self.build_seen(sequence));
                    continue;
                }
                () = clock::sleep_until(silence_deadline) => break,
                load = loads.next() => load,
            };
            let Some(Ok(load)) = load else {
                break;
            };
            if sequence == 0 {
                let incarnation = &load.incarnation;
                let details = format_args!("upstream={upstream} incarnation={incarnation}");
                logs::emit(events::AGENT_SEEN, details);
            }
            silence_deadline = clock::Instant::now() + SILENCE_TIMEOUT;
            sequence = load.sequence.max(1);
            self.agent.set_incarnation(&load.incarnation);
            self.agent.set_accepting(load.healthy && !load.draining);
            self.upstream_table.record_load(&self.agent, &load);
        }
        self.agent.set_accepting(false);
        self.upstream_table.record_silence(self.agent.key);
        logs::emit(events::AGENT_SILENT, format_args!("upstream={upstream}"));
    }

    async fn open(
        &self,
        seen: mpsc::Receiver<wire::Seen>,
    ) -> Result<tonic::Streaming<wire::Load>, tonic::Status> {
        let endpoint = connection::build_endpoint(self.agent.identity.address);
        let channel = endpoint
            .connect()
            .await
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
        let mut client = agent_client::AgentClient::new(deployment::authenticate_channel(channel));
        let answer = client.observe(wrappers::ReceiverStream::new(seen)).await?;
        Ok(answer.into_inner())
    }

    fn build_seen(&self, sequence: u64) -> wire::Seen {
        wire::Seen {
            entry: self.entry.clone(),
            config_version: self.view.version(),
            sequence,
        }
    }
}
