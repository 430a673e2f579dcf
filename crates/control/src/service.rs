//! The gRPC services of a control host for nodes and operators.

use core::time;
use std::sync;
use std::sync::atomic;

use futures::StreamExt as _;
use peargap_core::rollout::schedule;
use peargap_wire::control;
use peargap_wire::control::control_server;
use peargap_wire::operator::operator_server;
use tokio::sync::mpsc;
use tokio_stream::wrappers;
use tokio_util::sync as cancel;

use crate::attached;
use crate::claims;
use crate::config_history;
use crate::fleet;
use crate::node_link;
use crate::operators;
use crate::placement;
use crate::replica;
use crate::rollout;
use crate::ticks;

/// Updates buffered for a slow link.
const UPDATE_BUFFER: usize = 4;
/// Largest accepted message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Options of the services.
#[derive(Clone, Debug)]
pub struct Options {
    /// Handle of the replica.
    pub handle: replica::Handle,
    /// Longest freshness lease that is granted to nodes.
    pub lease: time::Duration,
    /// Name of this control host.
    pub name: String,
    /// SHA-256 digests of operators' keys.
    pub operator_keys: Vec<[u8; 32]>,
    /// What a bad version may get in a rollout.
    pub rollout: schedule::Bounds,
}

/// The services on both ports.
#[derive(Debug)]
pub struct Services {
    /// For entries and agents, on the inter-process port.
    pub control: control_server::ControlServer<Control>,
    /// Upstreams and gateways.
    pub(crate) fleet: fleet::Fleet,
    /// For operators, on their own port.
    pub operator: operator_server::OperatorServer<operators::Operators>,
}

/// Builds the services and starts the leader's background tasks; these and all links end when
/// `token` is cancelled.
pub fn build(options: Options, token: cancel::CancellationToken) -> Services {
    let nodes = attached::Nodes::default();
    tokio::spawn(ticks::run(options.handle.clone(), token.clone()));
    tokio::spawn(placement::run(options.handle.clone(), token.clone()));
    let fleet = fleet::Fleet::spawn(options.handle.clone(), options.rollout, token.clone());
    tokio::spawn(rollout::run(fleet.clone(), token.clone()));
    let control = Control {
        next_link: sync::Arc::default(),
        shared: node_link::Shared {
            handle: options.handle.clone(),
            lease: options.lease,
            nodes: nodes.clone(),
            history: config_history::ConfigHistory::default(),
            token,
        },
    };
    let operators = operators::Operators {
        fleet: fleet.clone(),
        handle: options.handle,
        keys: options.operator_keys.into(),
        lease: options.lease,
        name: options.name,
        nodes,
    };
    Services {
        control: control_server::ControlServer::new(control)
            .max_decoding_message_size(MAX_MESSAGE_BYTES),
        fleet,
        operator: operator_server::OperatorServer::new(operators)
            .max_decoding_message_size(MAX_MESSAGE_BYTES),
    }
}

/// Implementation of the `Control` service.
#[derive(Clone, Debug)]
pub struct Control {
    next_link: sync::Arc<atomic::AtomicU64>,
    shared: node_link::Shared,
}

#[tonic::async_trait]
impl control_server::Control for Control {
    type WatchStream = wrappers::ReceiverStream<Result<control::Update, tonic::Status>>;

    async fn watch(
        &self,
        request: tonic::Request<tonic::Streaming<control::Report>>,
    ) -> Result<tonic::Response<Self::WatchStream>, tonic::Status> {
        let mut reports = request.into_inner();
        let (updates, outgoing) = mpsc::channel(UPDATE_BUFFER);
        let number = self.next_link.fetch_add(1, atomic::Ordering::Relaxed);
        let shared = self.shared.clone();
        // A client may send its first report only after it has received the response headers;
        // waiting for the report here would then deadlock.
        tokio::spawn(async move {
            let Some(Ok(first)) = reports.next().await else {
                return;
            };
            match node_link::Link::new(shared, number, &first, updates.clone()) {
                Some(link) => link.run(first, reports).await,
                None => reject(&updates),
            }
        });
        Ok(tonic::Response::new(wrappers::ReceiverStream::new(
            outgoing,
        )))
    }

    async fn claim(
        &self,
        request: tonic::Request<control::ClaimRequest>,
    ) -> Result<tonic::Response<control::ClaimReply>, tonic::Status> {
        let reply = claims::claim(&self.shared.handle, request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn settle(
        &self,
        request: tonic::Request<control::SettleRequest>,
    ) -> Result<tonic::Response<control::SettleReply>, tonic::Status> {
        let reply = claims::settle(&self.shared.handle, request.into_inner()).await?;
        Ok(tonic::Response::new(reply))
    }
}

fn reject(updates: &mpsc::Sender<Result<control::Update, tonic::Status>>) {
    let status = tonic::Status::invalid_argument("the first report has no valid node");
    // The error means that the client has closed the stream.
    let _ = updates.try_send(Err(status));
}
