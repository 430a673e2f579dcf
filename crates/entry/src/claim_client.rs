//! Client for claims and settlements, which tries the control hosts in turn.

use core::time;
use std::net;
use std::sync::atomic;

use peargap_adapters::deployment;
use peargap_wire::control;
use peargap_wire::control::claim_reply;
use peargap_wire::control::control_client;
use tokio::time as clock;
use tonic::transport;

use crate::connection;

/// Timeout for the answer of one control host.
const HOST_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Delay before the next control host is tried.
const NEXT_HOST_DELAY: time::Duration = time::Duration::from_millis(50);

type Client = control_client::ControlClient<deployment::Channel>;

/// Client of the control hosts; starts with the host that answered last.
#[derive(Debug)]
pub(crate) struct ClaimClient {
    channels: Vec<transport::Channel>,
    preferred: atomic::AtomicUsize,
}

impl ClaimClient {
    /// Creates a client of the control hosts at these addresses.
    pub(crate) fn new(addresses: &[net::SocketAddr]) -> ClaimClient {
        let endpoints = addresses
            .iter()
            .map(|address| connection::build_endpoint(*address));
        ClaimClient {
            channels: endpoints.map(|endpoint| endpoint.connect_lazy()).collect(),
            preferred: atomic::AtomicUsize::new(0),
        }
    }

    /// Requests a claim until a host answers; each host gets the same attempt id.
    ///
    /// At `give_up_at` it returns the last `Unavailable` reply, or nothing; the claim may have been
    /// granted even so.
    pub(crate) async fn claim(
        &self,
        request: control::ClaimRequest,
        give_up_at: clock::Instant,
    ) -> Option<claim_reply::Kind> {
        let mut unavailable = None;
        loop {
            let host = self.host();
            let mut client = self.client(host);
            let limit = (clock::Instant::now() + HOST_TIMEOUT).min(give_up_at);
            let answer = clock::timeout_at(limit, client.claim(request.clone())).await;
            let kind = match answer {
                Ok(Ok(reply)) => reply.into_inner().kind,
                Ok(Err(_)) | Err(_) => None,
            };
            match kind {
                Some(claim_reply::Kind::Unavailable(_)) => unavailable = kind,
                Some(kind) => return Some(kind),
                None => {}
            }
            self.fail_over(host);
            if clock::Instant::now() + NEXT_HOST_DELAY >= give_up_at {
                return unavailable;
            }
            clock::sleep(NEXT_HOST_DELAY).await;
        }
    }

    /// Sends a settlement until a host answers; returns whether it was recorded, or false at
    /// `give_up_at`.
    pub(crate) async fn settle(
        &self,
        request: control::SettleRequest,
        give_up_at: clock::Instant,
    ) -> bool {
        loop {
            let host = self.host();
            let mut client = self.client(host);
            let limit = (clock::Instant::now() + HOST_TIMEOUT).min(give_up_at);
            let answer = clock::timeout_at(limit, client.settle(request.clone())).await;
            // The reply reflects committed state: a settlement rejected now is rejected for good.
            if let Ok(Ok(reply)) = answer {
                return reply.into_inner().recorded;
            }
            self.fail_over(host);
            if clock::Instant::now() + NEXT_HOST_DELAY >= give_up_at {
                return false;
            }
            clock::sleep(NEXT_HOST_DELAY).await;
        }
    }

    fn client(&self, host: usize) -> Client {
        Client::new(deployment::authenticate_channel(
            self.channels[host].clone(),
        ))
    }

    fn host(&self) -> usize {
        self.preferred.load(atomic::Ordering::Relaxed) % self.channels.len()
    }

    fn fail_over(&self, host: usize) {
        let next = (host + 1) % self.channels.len();
        let order = atomic::Ordering::Relaxed;
        // Another request may have switched hosts already.
        let _ = self.preferred.compare_exchange(host, next, order, order);
    }
}
