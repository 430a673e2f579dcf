//! The services of a control host, as tonic serves them.

use core::time;
use std::sync;
use std::sync::atomic;

use futures::StreamExt as _;
use peargap_wire::control;
use peargap_wire::control::control_server;
use peargap_wire::operator::operator_server;
use tokio::sync::mpsc;
use tokio_stream::wrappers;
use tokio_util::sync as cancel;

use crate::attached;
use crate::claims;
use crate::operators;
use crate::place;
use crate::replica;
use crate::spread;
use crate::ticks;
use crate::watch;

/// Updates that may wait for a slow link.
const UPDATE_BUFFER: usize = 4;
/// Largest message taken, in bytes.
const MESSAGE_BYTES: usize = 16 << 20;

/// What the services of a control host are built from.
#[derive(Clone, Debug)]
pub struct Options {
    /// The replicated state.
    pub handle: replica::Handle,
    /// Longest freshness lease that nodes are granted.
    pub lease: time::Duration,
    /// Name of this control host.
    pub name: String,
    /// SHA-256 digests of operators' keys.
    pub operator_keys: Vec<[u8; 32]>,
}

/// The services on both ports.
#[derive(Debug)]
pub struct Services {
    /// For entries and agents, on the inter-process port.
    pub control: control_server::ControlServer<Control>,
    /// For operators, on their own port.
    pub operator: operator_server::OperatorServer<operators::Operators>,
}

/// Returns the services; their links end when `token` is cancelled.
pub fn build(options: Options, token: cancel::CancellationToken) -> Services {
    let nodes = attached::Nodes::default();
    tokio::spawn(ticks::run(options.handle.clone(), token.clone()));
    tokio::spawn(place::run(options.handle.clone(), token.clone()));
    let control = Control {
        links: sync::Arc::default(),
        shared: watch::Shared {
            handle: options.handle.clone(),
            lease: options.lease,
            nodes: nodes.clone(),
            spread: spread::Spread::default(),
            token,
        },
    };
    let operators = operators::Operators {
        handle: options.handle,
        keys: options.operator_keys.into(),
        lease: options.lease,
        name: options.name,
        nodes,
    };
    Services {
        control: control_server::ControlServer::new(control)
            .max_decoding_message_size(MESSAGE_BYTES),
        operator: operator_server::OperatorServer::new(operators)
            .max_decoding_message_size(MESSAGE_BYTES),
    }
}

/// Serves entries and agents.
#[derive(Clone, Debug)]
pub struct Control {
    links: sync::Arc<atomic::AtomicU64>,
    shared: watch::Shared,
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
        let number = self.links.fetch_add(1, atomic::Ordering::Relaxed);
        let shared = self.shared.clone();
        // The first report may follow the answer's head, so it is not waited for here.
        tokio::spawn(async move {
            let Some(Ok(first)) = reports.next().await else {
                return;
            };
            match watch::Link::new(shared, number, &first, updates.clone()) {
                Some(link) => link.run(first, reports).await,
                None => refuse(&updates),
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

fn refuse(updates: &mpsc::Sender<Result<control::Update, tonic::Status>>) {
    let status = tonic::Status::invalid_argument("the first report names no node");
    // A link that has gone needs no answer.
    let _ = updates.try_send(Err(status));
}
