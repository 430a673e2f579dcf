//! The `Peer` service, which receives messages and proposals from the other control hosts.

use peargap_adapters::logs;
use peargap_wire::peer as wire;
use tokio::sync::mpsc;

use crate::answer;
use crate::events;
use crate::input;
use crate::log_codec;
use crate::peers;
use crate::replica;

/// Implementation of the `Peer` service.
#[derive(Clone, Debug)]
pub(crate) struct PeerService {
    pub(crate) handle: replica::Handle,
    pub(crate) inputs: mpsc::Sender<input::Input>,
}

/// Returns the service with its message size limits set.
pub(crate) fn build_server(service: PeerService) -> wire::peer_server::PeerServer<PeerService> {
    wire::peer_server::PeerServer::new(service)
        .max_decoding_message_size(peers::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(peers::MAX_MESSAGE_BYTES)
}

#[tonic::async_trait]
impl wire::peer_server::Peer for PeerService {
    async fn deliver(
        &self,
        request: tonic::Request<wire::Envelope>,
    ) -> Result<tonic::Response<wire::Receipt>, tonic::Status> {
        let envelope = request.into_inner();
        let clocks = input::Clocks {
            clock_ms: envelope.clock_ms,
            echo_ms: envelope.echo_ms,
            lease_ms: envelope.lease_ms,
            received: tokio::time::Instant::now(),
        };
        let is_hello =
            |message: &wire::Message| matches!(message.kind, Some(wire::message::Kind::Hello(_)));
        let has_hello = envelope.messages.iter().any(is_hello);
        for message in envelope.messages {
            let message = log_codec::decode_message(message).map_err(|error| {
                logs::emit(
                    events::PEER_MESSAGE_REJECTED,
                    format_args!("peer={} why={error}", envelope.from),
                );
                tonic::Status::invalid_argument(error.to_string())
            })?;
            let message = Box::new(message);
            let input = input::Input::Message { clocks, message };
            let sent = self.inputs.send(input).await;
            sent.map_err(|_error| tonic::Status::unavailable("the host is stopping"))?;
        }
        // A host that knows only some of the members learns the others from the reply to its
        // `Hello`.
        let members = match has_hello {
            true => self.handle.status.borrow().members.clone(),
            false => Vec::new(),
        };
        Ok(tonic::Response::new(wire::Receipt { members }))
    }

    async fn propose(
        &self,
        request: tonic::Request<wire::ProposeRequest>,
    ) -> Result<tonic::Response<wire::ProposeReply>, tonic::Status> {
        use wire::propose_reply::Kind;
        let command = request.into_inner().command;
        let kind = match self.handle.propose_locally(command).await {
            answer::Answer::NotLeader(leader) => Kind::NotLeader(leader.unwrap_or_default()),
            answer::Answer::Failed(answer::Failure::DiskFull) => Kind::DiskFull(true),
            answer::Answer::Failed(answer::Failure::NoQuorum) => Kind::NotLeader(String::new()),
            answer::Answer::Failed(answer::Failure::Unknown) => Kind::Unknown(true),
            answer::Answer::Reply(reply) => Kind::Reply(reply),
        };
        let kind = Some(kind);
        Ok(tonic::Response::new(wire::ProposeReply { kind }))
    }
}
