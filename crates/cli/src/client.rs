//! RPC client that tries the control hosts in turn until one responds.

use core::net;
use core::time as duration;

use peargap_wire::operator;
use peargap_wire::operator::operator_client;
use tokio::time;

use crate::options;

/// Timeout of connecting to a host.
const CONNECT_TIMEOUT: duration::Duration = duration::Duration::from_secs(1);
/// Timeout of a call to one host; longer than a host waits for its quorum.
const CALL_TIMEOUT: duration::Duration = duration::Duration::from_secs(4);
/// Delay before the next round when no host responded.
const RETRY_DELAY: duration::Duration = duration::Duration::from_millis(200);
/// Largest response that is decoded, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

type GrpcClient = operator_client::OperatorClient<tonic::transport::Channel>;

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Error {
    /// The host rejected the key.
    Unauthorized,
    /// No host responded; holds the error of the last one tried.
    Unavailable(String),
}

/// A client of all control hosts.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    options: options::Options,
    timeout: duration::Duration,
}

impl Client {
    pub(crate) fn new(options: options::Options, timeout: duration::Duration) -> Client {
        Client { options, timeout }
    }

    /// Returns the addresses of the control hosts' operator ports.
    pub(crate) fn controls(&self) -> &[net::SocketAddr] {
        &self.options.controls
    }

    /// Submits a change under the same id to one host after the other until one returns the outcome.
    pub(crate) async fn submit(
        &self,
        request: &operator::SubmitRequest,
    ) -> Result<operator::SubmitReply, Error> {
        self.call_any(|host| self.submit_to(host, request.clone()))
            .await
    }

    /// Returns the configuration from the first host that responds.
    pub(crate) async fn show(&self) -> Result<operator::ShowReply, Error> {
        self.call_any(|host| self.show_from(host)).await
    }

    /// Returns up to `limit` changes and their outcomes, newest first.
    pub(crate) async fn history(&self, limit: u32) -> Result<operator::HistoryReply, Error> {
        self.call_any(|host| self.history_from(host, limit)).await
    }

    /// Returns the prompt parts and requests on which upstreams may crash, from the first host that
    /// responds.
    pub(crate) async fn quarantine(&self) -> Result<operator::QuarantineReply, Error> {
        self.call_any(|host| async move {
            let mut grpc = connect(host).await?;
            let request = self.authorize(operator::QuarantineRequest {});
            await_reply(grpc.quarantine(request)).await
        })
        .await
    }

    /// Clears a prompt part or a request at the first host that responds, which tells all others.
    pub(crate) async fn release(
        &self,
        name: &operator::Name,
        operator: &str,
    ) -> Result<operator::ReleaseReply, Error> {
        self.call_any(|host| async move {
            let mut grpc = connect(host).await?;
            let request = self.authorize(operator::ReleaseRequest {
                name: Some(name.clone()),
                operator: operator.to_owned(),
            });
            await_reply(grpc.release(request)).await
        })
        .await
    }

    /// Starts, reads or aborts a rollout at the first host that responds.
    pub(crate) async fn rollout(
        &self,
        kind: operator::rollout_request::Kind,
    ) -> Result<operator::RolloutReply, Error> {
        self.call_any(|host| {
            let kind = Some(kind.clone());
            async move {
                let mut grpc = connect(host).await?;
                let request = self.authorize(operator::RolloutRequest { kind });
                await_reply(grpc.rollout(request)).await
            }
        })
        .await
    }

    /// Returns the status of one host, without trying others.
    pub(crate) async fn status_of(
        &self,
        host: net::SocketAddr,
    ) -> Result<operator::StatusReply, Error> {
        let mut grpc = connect(host).await?;
        let request = self.authorize(operator::StatusRequest {});
        await_reply(grpc.status(request)).await
    }

    async fn submit_to(
        &self,
        host: net::SocketAddr,
        request: operator::SubmitRequest,
    ) -> Result<operator::SubmitReply, Error> {
        let mut grpc = connect(host).await?;
        let request = self.authorize(request);
        let reply = await_reply(grpc.submit(request)).await?;
        match reply.kind {
            Some(operator::submit_reply::Kind::Unavailable(why)) => Err(Error::Unavailable(why)),
            Some(_) => Ok(reply),
            None => Err(Error::Unavailable("empty response".to_owned())),
        }
    }

    async fn show_from(&self, host: net::SocketAddr) -> Result<operator::ShowReply, Error> {
        let mut grpc = connect(host).await?;
        await_reply(grpc.show(self.authorize(operator::ShowRequest {}))).await
    }

    async fn history_from(
        &self,
        host: net::SocketAddr,
        limit: u32,
    ) -> Result<operator::HistoryReply, Error> {
        let mut grpc = connect(host).await?;
        await_reply(grpc.history(self.authorize(operator::HistoryRequest { limit }))).await
    }

    async fn call_any<T, F, R>(&self, call: F) -> Result<T, Error>
    where
        R: core::future::Future<Output = Result<T, Error>>,
        F: Fn(net::SocketAddr) -> R,
    {
        let deadline = time::Instant::now() + self.timeout;
        let mut last_error = Error::Unavailable("no control host is configured".to_owned());
        loop {
            for host in &self.options.controls {
                match call(*host).await {
                    Ok(reply) => return Ok(reply),
                    Err(Error::Unauthorized) => return Err(Error::Unauthorized),
                    Err(Error::Unavailable(why)) => {
                        last_error = Error::Unavailable(format!("{host}: {why}"));
                    }
                }
            }
            if time::Instant::now() + RETRY_DELAY >= deadline {
                return Err(last_error);
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    fn authorize<T>(&self, message: T) -> tonic::Request<T> {
        let mut request = tonic::Request::new(message);
        let value = format!("Bearer {}", self.options.key).parse();
        // A key that isn't a valid header value can't be correct; the host rejects the call without
        // the header as unauthenticated.
        if let Ok(value) = value {
            request.metadata_mut().insert("authorization", value);
        }
        request
    }
}

async fn connect(host: net::SocketAddr) -> Result<GrpcClient, Error> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{host}"));
    let endpoint = endpoint.map_err(|error| Error::Unavailable(error.to_string()))?;
    let channel = match time::timeout(CONNECT_TIMEOUT, endpoint.connect()).await {
        Ok(Ok(channel)) => channel,
        Ok(Err(error)) => return Err(Error::Unavailable(error.to_string())),
        Err(_) => return Err(Error::Unavailable("connection timed out".to_owned())),
    };
    Ok(GrpcClient::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES))
}

async fn await_reply<T>(
    call: impl core::future::Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T, Error> {
    match time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) if status.code() == tonic::Code::Unauthenticated => {
            Err(Error::Unauthorized)
        }
        Ok(Err(status)) => Err(Error::Unavailable(status.message().to_owned())),
        Err(_) => Err(Error::Unavailable("request timed out".to_owned())),
    }
}
