//! Connections to one agent, replaced when one goes silent.

use core::task;
use core::time;
use std::net;
use std::sync;
use std::sync::atomic;

use http_body_util::BodyExt as _;
use peargap_adapters::deployment;
use peargap_wire::agent::agent_client;
use tonic::codegen;
use tonic::transport;

/// A connection that is not made by then counts as failed.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(700);
/// Largest message from an agent.
const MESSAGE_LIMIT: usize = 64 << 20;
/// Time between two HTTP/2 pings on a connection.
const PING_PERIOD: time::Duration = time::Duration::from_millis(300);
/// A ping unanswered for this long ends the connection.
const PING_LIMIT: time::Duration = time::Duration::from_millis(600);

/// Client of one agent over one connection.
pub(crate) type Client = agent_client::AgentClient<Witness>;

/// The connection in use to one agent.
#[derive(Debug)]
pub(crate) struct Lanes {
    address: net::SocketAddr,
    current: sync::Mutex<Lane>,
    traffic: tokio::runtime::Handle,
}

/// One connection and its number.
#[derive(Clone, Debug)]
pub(crate) struct Lane {
    channel: transport::Channel,
    pub(crate) number: u64,
}

impl Lane {
    /// Returns a client for one request and the mark that tells whether any of it was sent.
    pub(crate) fn client(&self) -> (Client, Mark) {
        let mark = Mark::default();
        let witness = Witness {
            channel: self.channel.clone(),
            mark: mark.clone(),
        };
        let client = Client::new(witness).max_decoding_message_size(MESSAGE_LIMIT);
        (client, mark)
    }
}

impl Lanes {
    /// Returns the lanes to `address`, driven by the runtime `traffic`.
    pub(crate) fn new(address: net::SocketAddr, traffic: tokio::runtime::Handle) -> Lanes {
        let current = open_lane(address, 0, &traffic);
        Lanes {
            address,
            current: sync::Mutex::new(current),
            traffic,
        }
    }

    /// Returns the connection in use.
    pub(crate) fn current(&self) -> Lane {
        self.lock().clone()
    }

    /// Puts a fresh connection in place of the silent one with this number.
    pub(crate) fn replace(&self, silent: u64) -> Lane {
        let mut current = self.lock();
        if current.number == silent {
            *current = open_lane(self.address, silent + 1, &self.traffic);
        }
        current.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Lane> {
        self.current
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns an endpoint of an agent with this entry's timeouts.
pub(crate) fn build_endpoint(address: net::SocketAddr) -> transport::Endpoint {
    let authority = http::uri::Authority::try_from(address.to_string());
    let uri = http::Uri::builder()
        .scheme(http::uri::Scheme::HTTP)
        .authority(authority.unwrap_or(http::uri::Authority::from_static("0.0.0.0")))
        .path_and_query("/")
        .build()
        .unwrap_or_default();
    transport::Endpoint::from(uri)
        .connect_timeout(CONNECT_LIMIT)
        .http2_keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_LIMIT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
}

fn open_lane(address: net::SocketAddr, number: u64, traffic: &tokio::runtime::Handle) -> Lane {
    let _guard = traffic.enter();
    let channel = build_endpoint(address).connect_lazy();
    Lane { channel, number }
}

/// Tells whether any part of a request's message left for the agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mark(sync::Arc<atomic::AtomicBool>);

impl Mark {
    /// Returns whether the agent may have received the request.
    pub(crate) fn is_sent(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire)
    }

    fn set(&self) {
        self.0.store(true, atomic::Ordering::Release);
    }
}

/// A channel that marks when a request's message is taken for sending.
#[derive(Clone, Debug)]
pub(crate) struct Witness {
    channel: transport::Channel,
    mark: Mark,
}

impl codegen::Service<http::Request<tonic::body::Body>> for Witness {
    type Error = transport::Error;
    type Future =
        <transport::Channel as codegen::Service<http::Request<tonic::body::Body>>>::Future;
    type Response = http::Response<tonic::body::Body>;

    fn poll_ready(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<(), transport::Error>> {
        self.channel.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        let mark = self.mark.clone();
        let mut request = request.map(|body| {
            tonic::body::Body::new(body.map_frame(move |frame| {
                mark.set();
                frame
            }))
        });
        deployment::authenticate_headers(request.headers_mut());
        self.channel.call(request)
    }
}
