//! The agent's gRPC service for entries.

use core::pin;
use core::time::Duration;
use std::sync;

use futures::Stream;
use peargap_adapters::deployment;
use peargap_adapters::intake::listener;
use peargap_adapters::intake::messages;
use peargap_wire::agent as wire;
use tokio::sync::mpsc;
use tokio_stream::wrappers;
use tokio_util::sync as cancel;
use tokio_util::task;

use crate::agent;
use crate::call;
use crate::link;
use crate::observe;

/// Maximum size of a message from or to an entry, in bytes.
const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Interval between HTTP/2 keepalive pings.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(5);
/// A connection is closed if a keepalive ping is not acknowledged within this time.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of messages buffered for a slow entry on one link.
const DOWN_BUFFER: usize = 8;

/// The service; clones share the agent.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) agent: sync::Arc<agent::Agent>,
    /// Running calls.
    pub(crate) calls: task::TaskTracker,
    /// Ends the load report streams.
    pub(crate) closing: cancel::CancellationToken,
}

type Outgoing<T> = pin::Pin<Box<dyn Stream<Item = Result<T, tonic::Status>> + Send>>;

#[tonic::async_trait]
impl wire::agent_server::Agent for Service {
    type GenerateStream = Outgoing<wire::Down>;
    type ObserveStream = Outgoing<wire::Load>;

    async fn generate(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Up>>,
    ) -> Result<tonic::Response<Self::GenerateStream>, tonic::Status> {
        let (down, outgoing) = mpsc::channel(DOWN_BUFFER);
        let agent = sync::Arc::clone(&self.agent);
        tokio::spawn(link::serve(agent, request.into_inner(), down));
        let outgoing = wrappers::ReceiverStream::new(outgoing);
        Ok(tonic::Response::new(Box::pin(outgoing)))
    }

    async fn call(
        &self,
        request: tonic::Request<wire::CallRequest>,
    ) -> Result<tonic::Response<wire::CallReply>, tonic::Status> {
        let agent = sync::Arc::clone(&self.agent);
        // A spawned call runs to completion even if the entry's connection breaks.
        let running = self
            .calls
            .spawn(async move { call::run(&agent, request.into_inner()).await });
        let reply = running
            .await
            .map_err(|error| tonic::Status::internal(error.to_string()))?;
        Ok(tonic::Response::new(reply))
    }

    async fn observe(
        &self,
        request: tonic::Request<tonic::Streaming<wire::Seen>>,
    ) -> Result<tonic::Response<Self::ObserveStream>, tonic::Status> {
        let (loads, outgoing) = mpsc::channel(1);
        let agent = sync::Arc::clone(&self.agent);
        let closing = self.closing.clone();
        tokio::spawn(observe::send_reports(
            agent,
            request.into_inner(),
            loads,
            closing,
        ));
        let outgoing = wrappers::ReceiverStream::new(outgoing);
        Ok(tonic::Response::new(Box::pin(outgoing)))
    }
}

/// Serves until `stop` is cancelled and all streams have ended, at most `timeout` after `stop`.
pub(crate) async fn serve(
    service: Service,
    incoming: listener::Listener,
    stop: cancel::CancellationToken,
    timeout: Duration,
) -> Result<(), tonic::transport::Error> {
    let server = wire::agent_server::AgentServer::new(service)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let serving = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_PERIOD))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .layer(messages::Layer)
        .layer(tonic::service::InterceptorLayer::new(
            deployment::check_request,
        ))
        .add_service(server)
        .serve_with_incoming_shutdown(incoming.into_incoming(), stop.clone().cancelled_owned());
    tokio::select! {
        served = serving => served,
        () = async { stop.cancelled().await; tokio::time::sleep(timeout).await } => Ok(()),
    }
}
