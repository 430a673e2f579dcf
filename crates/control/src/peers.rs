//! Connections to the other control hosts.

use std::collections;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use peargap_adapters::deployment;
use peargap_adapters::logs;
use peargap_core::log::message;
use peargap_wire::peer as wire;
use prost::Message as _;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tonic::transport;

use crate::addresses;
use crate::answer;
use crate::events;
use crate::input;
use crate::log_codec;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_millis(500);
const KEEPALIVE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Size limit of a gRPC message between control hosts.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Largest number of messages in an envelope.
const MAX_ENVELOPE_MESSAGES: usize = 64;
/// Capacity of the queue to a peer; further messages are dropped, which the protocol tolerates.
const QUEUE_CAPACITY: usize = 1024;
/// Addition to the timeout of a delivery for each megabyte of its envelope.
const TIME_PER_MEGABYTE: time::Duration = time::Duration::from_millis(500);
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(20);

type Client = wire::peer_client::PeerClient<deployment::Channel>;

/// A message to be sent, with the clocks and the lease that its envelope carries.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) clock_ms: u64,
    pub(crate) echo_ms: u64,
    pub(crate) lease_ms: u32,
    pub(crate) message: message::Message,
}

/// Queues of messages to the other control hosts; the sender of each starts with its first message.
#[derive(Debug)]
pub(crate) struct Outboxes {
    pub(crate) addresses: addresses::Addresses,
    /// Receives the members that peers report.
    pub(crate) inputs: mpsc::Sender<input::Input>,
    /// Name of this host.
    pub(crate) name: String,
    /// Runtime of the senders.
    pub(crate) runtime: runtime::Handle,
    pub(crate) senders: collections::HashMap<Bytes, mpsc::Sender<Outgoing>>,
    /// Timeout of the delivery of a small envelope.
    pub(crate) timeout: time::Duration,
    /// Ends the senders.
    pub(crate) token: CancellationToken,
}

impl Outboxes {
    /// Queues a message; it is dropped if the queue is full or the peer has no known address.
    pub(crate) fn send(&mut self, outgoing: Outgoing) {
        let name = outgoing.message.to.name.clone();
        if !self.senders.contains_key(&name) {
            let Some(sender) = self.spawn(&name) else {
                return;
            };
            self.senders.insert(name.clone(), sender);
        }
        if let Some(sender) = self.senders.get(&name) {
            let _ = sender.try_send(outgoing);
        }
    }

    fn spawn(&self, peer: &Bytes) -> Option<mpsc::Sender<Outgoing>> {
        let peer = log_codec::format_name(peer);
        let address = self.addresses.resolve(&peer)?;
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let task = PeerSender {
            client: None,
            endpoint: build_endpoint(address),
            inputs: self.inputs.clone(),
            name: self.name.clone(),
            peer,
            reachable: true,
            timeout: self.timeout,
        };
        self.runtime.spawn(task.run(queue, self.token.clone()));
        Some(sender)
    }
}

fn build_endpoint(address: net::SocketAddr) -> transport::Endpoint {
    let uri = axum::http::Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .unwrap_or_default();
    transport::Endpoint::from(uri)
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .tcp_nodelay(true)
}

async fn connect(endpoint: &transport::Endpoint) -> Result<Client, transport::Error> {
    let channel = endpoint.connect().await?;
    Ok(Client::new(deployment::authenticate_channel(channel))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES))
}

/// The sender of messages to one peer.
struct PeerSender {
    client: Option<Client>,
    endpoint: transport::Endpoint,
    inputs: mpsc::Sender<input::Input>,
    /// Name of this host.
    name: String,
    peer: String,
    reachable: bool,
    timeout: time::Duration,
}

impl PeerSender {
    async fn run(mut self, mut queue: mpsc::Receiver<Outgoing>, token: CancellationToken) {
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                () = token.cancelled() => return,
                count = queue.recv_many(&mut batch, MAX_ENVELOPE_MESSAGES) => {
                    if count == 0 {
                        return;
                    }
                }
            }
            let envelope = self.build_envelope(&batch);
            batch.clear();
            let delivered = self.deliver(envelope).await;
            self.update_reachability(delivered);
            if !delivered {
                // A broken connection may never report an error, so a new one is opened.
                self.client = None;
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }

    fn build_envelope(&self, batch: &[Outgoing]) -> wire::Envelope {
        let messages = batch
            .iter()
            .map(|outgoing| log_codec::encode_message(&outgoing.message));
        let last = batch.last();
        wire::Envelope {
            from: self.name.clone(),
            messages: messages.collect(),
            clock_ms: last.map_or(0, |outgoing| outgoing.clock_ms),
            echo_ms: last.map_or(0, |outgoing| outgoing.echo_ms),
            lease_ms: last.map_or(0, |outgoing| outgoing.lease_ms),
        }
    }

    async fn deliver(&mut self, envelope: wire::Envelope) -> bool {
        let bytes = u32::try_from(envelope.encoded_len()).unwrap_or(u32::MAX);
        let timeout = self.timeout + TIME_PER_MEGABYTE * (bytes >> 20);
        let deadline = tokio::time::Instant::now() + timeout;
        if self.client.is_none() {
            let connected = tokio::time::timeout_at(deadline, connect(&self.endpoint)).await;
            self.client = connected.ok().and_then(Result::ok);
        }
        let Some(client) = &mut self.client else {
            return false;
        };
        let sent = tokio::time::timeout_at(deadline, client.deliver(envelope)).await;
        let Ok(Ok(receipt)) = sent else {
            return false;
        };
        let members = receipt.into_inner().members;
        if !members.is_empty() {
            let input = input::Input::AddPeers(members.into_iter().map(Bytes::from).collect());
            // Fails only after the replica thread has ended.
            let _ = self.inputs.send(input).await;
        }
        true
    }

    fn update_reachability(&mut self, delivered: bool) {
        if self.reachable == delivered {
            return;
        }
        self.reachable = delivered;
        let event = if delivered {
            events::PEER_REACHED
        } else {
            events::PEER_LOST
        };
        logs::emit(event, format_args!("peer={}", self.peer));
    }
}

/// Forwards proposals to the other control hosts; clones share the connections.
#[derive(Clone, Debug)]
pub(crate) struct Forwarder {
    clients: sync::Arc<sync::Mutex<collections::HashMap<String, Client>>>,
    addresses: addresses::Addresses,
}

impl Forwarder {
    /// Returns a forwarder that connects when needed.
    pub(crate) fn new(addresses: addresses::Addresses) -> Forwarder {
        Forwarder {
            addresses,
            clients: sync::Arc::default(),
        }
    }

    /// Proposes a command to a peer.
    pub(crate) async fn propose(&self, peer: &str, command: Bytes) -> answer::Answer {
        let Some(mut client) = self.get_or_connect(peer).await else {
            return answer::Answer::NotLeader(None);
        };
        let reply = client.propose(wire::ProposeRequest { command }).await;
        let Ok(reply) = reply else {
            self.lock().remove(peer);
            return answer::Answer::Failed(answer::Failure::Unknown);
        };
        match reply.into_inner().kind {
            Some(wire::propose_reply::Kind::Reply(reply)) => answer::Answer::Reply(reply),
            Some(wire::propose_reply::Kind::NotLeader(leader)) => {
                answer::Answer::NotLeader(Some(leader).filter(|leader| !leader.is_empty()))
            }
            Some(wire::propose_reply::Kind::DiskFull(_)) => {
                answer::Answer::Failed(answer::Failure::DiskFull)
            }
            Some(wire::propose_reply::Kind::Unknown(_)) | None => {
                answer::Answer::Failed(answer::Failure::Unknown)
            }
        }
    }

    async fn get_or_connect(&self, peer: &str) -> Option<Client> {
        let known = self.lock().get(peer).cloned();
        if known.is_some() {
            return known;
        }
        let client = connect(&build_endpoint(self.addresses.resolve(peer)?))
            .await
            .ok()?;
        self.lock().insert(peer.to_owned(), client.clone());
        Some(client)
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<String, Client>> {
        let locked = self.clients.lock();
        locked.unwrap_or_else(sync::PoisonError::into_inner)
    }
}
