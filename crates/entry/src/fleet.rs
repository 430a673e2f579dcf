//! The agents in the configuration and the load that each reports.
//!
//! Runs on the control thread; requests read the published snapshot.

use core::time;
use std::collections;
use std::sync;

use peargap_adapters::config;
use peargap_adapters::follow;
use peargap_adapters::logs;
use peargap_wire::agent as wire;
use peargap_wire::agent::agent_client;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time as clock;
use tokio_stream::wrappers;
use tokio_stream::StreamExt as _;
use tokio_util::sync as cancel;

use crate::events;
use crate::lane;
use crate::peer;

/// Time between two messages to an agent on its load link.
const SEEN_PERIOD: time::Duration = time::Duration::from_millis(250);
/// Wait before a lost load link is opened again.
const REOPEN_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Messages that may wait for a slow load link.
const SEEN_BUFFER: usize = 4;

/// A snapshot of the configuration and its agents.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) config: sync::Arc<config::Config>,
    /// Agents by upstream.
    pub(crate) peers: collections::BTreeMap<String, sync::Arc<peer::Peer>>,
}

/// Publishes fleets; each change of the configuration gives a new one.
pub(crate) type Watch = watch::Receiver<sync::Arc<Fleet>>;

struct Observed {
    peer: sync::Arc<peer::Peer>,
    stop: cancel::DropGuard,
}

/// Follows the configuration's agents until `token` is cancelled.
pub(crate) fn spawn(
    entry: String,
    view: follow::View,
    traffic: tokio::runtime::Handle,
    token: cancel::CancellationToken,
) -> Watch {
    let (publisher, receiver) = watch::channel(sync::Arc::default());
    tokio::spawn(run(entry, view, traffic, publisher, token));
    receiver
}

async fn run(
    entry: String,
    view: follow::View,
    traffic: tokio::runtime::Handle,
    publisher: watch::Sender<sync::Arc<Fleet>>,
    token: cancel::CancellationToken,
) {
    let mut observed = collections::BTreeMap::<String, Observed>::new();
    let mut configs = view.config();
    loop {
        let config = configs.borrow_and_update().clone();
        let identities = list_identities(&config);
        observed.retain(|upstream, known| identities.get(upstream) == Some(&known.peer.identity));
        for (upstream, identity) in identities {
            observed
                .entry(upstream)
                .or_insert_with(|| start_observing(&entry, &view, identity, &traffic, &token));
        }
        let peers = observed
            .iter()
            .map(|(upstream, known)| (upstream.clone(), known.peer.clone()))
            .collect();
        publisher.send_replace(sync::Arc::new(Fleet { config, peers }));
        tokio::select! {
            () = token.cancelled() => return,
            changed = configs.changed() => if changed.is_err() { return },
        }
    }
}

/// Returns the agents by upstream; of two with one upstream the later announced counts.
fn list_identities(config: &config::Config) -> collections::BTreeMap<String, peer::Identity> {
    let mut identities = collections::BTreeMap::<String, peer::Identity>::new();
    for member in config.members.values() {
        let Some(identity) = peer::Identity::from_member(member) else {
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

fn start_observing(
    entry: &str,
    view: &follow::View,
    identity: peer::Identity,
    traffic: &tokio::runtime::Handle,
    token: &cancel::CancellationToken,
) -> Observed {
    let peer = sync::Arc::new(peer::Peer::new(identity, traffic.clone()));
    let stop = token.child_token();
    let observer = Observer {
        entry: entry.to_owned(),
        peer: peer.clone(),
        view: view.clone(),
    };
    tokio::spawn(observer.run(stop.clone()));
    Observed {
        peer,
        stop: stop.drop_guard(),
    }
}

/// Keeps a load link to one agent.
struct Observer {
    entry: String,
    peer: sync::Arc<peer::Peer>,
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
                () = clock::sleep(REOPEN_PERIOD) => {}
            }
        }
    }

    /// Records loads over a fresh connection until it is lost or silent.
    async fn observe(&self) {
        let (sender, receiver) = mpsc::channel(SEEN_BUFFER);
        let opened = clock::timeout(peer::SILENCE_LIMIT, self.open(receiver)).await;
        let Ok(Ok(mut loads)) = opened else {
            return;
        };
        let upstream = &self.peer.identity.upstream;
        let mut sequence = 0;
        let mut timer = clock::interval(SEEN_PERIOD);
        let mut silent_at = clock::Instant::now() + peer::SILENCE_LIMIT;
        loop {
            let load = tokio::select! {
                _ = timer.tick() => {
                    // A full buffer means a stalled link, which the silence limit ends.
                    let _ = sender.try_send(self.build_seen(sequence));
                    continue;
                }
                () = clock::sleep_until(silent_at) => break,
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
            silent_at = clock::Instant::now() + peer::SILENCE_LIMIT;
            sequence = load.sequence.max(1);
            self.peer.record_load(load);
        }
        logs::emit(events::AGENT_SILENT, format_args!("upstream={upstream}"));
    }

    async fn open(
        &self,
        seen: mpsc::Receiver<wire::Seen>,
    ) -> Result<tonic::Streaming<wire::Load>, tonic::Status> {
        let endpoint = lane::build_endpoint(self.peer.identity.address);
        let channel = endpoint
            .connect()
            .await
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
        let mut client = agent_client::AgentClient::new(channel);
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
