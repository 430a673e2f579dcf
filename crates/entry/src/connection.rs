//! The connection to an agent, replaced when it goes silent.

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

/// Timeout for connecting to an agent.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Maximum size of a message from an agent, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Interval of the HTTP/2 pings on a connection.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Timeout of an HTTP/2 ping, after which the connection is closed.
const PING_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Client of one agent over one connection.
pub(crate) type Client = agent_client::AgentClient<TrackedChannel>;

/// The current connection to an agent.
#[derive(Debug)]
pub(crate) struct Connections {
    address: net::SocketAddr,
    current: sync::Mutex<Connection>,
    traffic: tokio::runtime::Handle,
}

/// A connection and its sequence number.
#[derive(Clone, Debug)]
pub(crate) struct Connection {
    channel: transport::Channel,
    pub(crate) number: u64,
}

impl Connection {
    /// Returns a client for one request, and the flag that tells whether any of it was sent.
    pub(crate) fn client(&self) -> (Client, SentFlag) {
        let sent_flag = SentFlag::default();
        let tracked = TrackedChannel {
            channel: self.channel.clone(),
            sent_flag: sent_flag.clone(),
        };
        let client = Client::new(tracked).max_decoding_message_size(MAX_MESSAGE_BYTES);
        (client, sent_flag)
    }
}

impl Connections {
    /// Opens a connection to `address` that is driven by the runtime `traffic`.
    pub(crate) fn new(address: net::SocketAddr, traffic: tokio::runtime::Handle) -> Connections {
        let current = open_connection(address, 0, &traffic);
        Connections {
            address,
            current: sync::Mutex::new(current),
            traffic,
        }
    }

    /// Returns the current connection.
    pub(crate) fn current(&self) -> Connection {
        self.lock().clone()
    }

    /// Replaces the silent connection with this number, unless that was done already.
    pub(crate) fn replace(&self, silent_number: u64) -> Connection {
        let mut current = self.lock();
        if current.number == silent_number {
            *current = open_connection(self.address, silent_number + 1, &self.traffic);
        }
        current.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Connection> {
        self.current
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns an endpoint with this entry's timeouts.
pub(crate) fn build_endpoint(address: net::SocketAddr) -> transport::Endpoint {
    let authority = http::uri::Authority::try_from(address.to_string());
    let uri = http::Uri::builder()
        .scheme(http::uri::Scheme::HTTP)
        .authority(authority.unwrap_or(http::uri::Authority::from_static("0.0.0.0")))
        .path_and_query("/")
        .build()
        .unwrap_or_default();
    transport::Endpoint::from(uri)
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
}

fn open_connection(
    address: net::SocketAddr,
    number: u64,
    traffic: &tokio::runtime::Handle,
) -> Connection {
    let _guard = traffic.enter();
    let channel = build_endpoint(address).connect_lazy();
    Connection { channel, number }
}

/// Whether any part of a request's message was passed on for sending; shared by clones.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentFlag(sync::Arc<atomic::AtomicBool>);

impl SentFlag {
    /// Returns whether the agent may have received the request.
    pub(crate) fn is_sent(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire)
    }

    fn set(&self) {
        self.0.store(true, atomic::Ordering::Release);
    }
}

/// A channel that sets the flag when the transport takes a frame of the request's body.
#[derive(Clone, Debug)]
pub(crate) struct TrackedChannel {
    channel: transport::Channel,
    sent_flag: SentFlag,
}

impl codegen::Service<http::Request<tonic::body::Body>> for TrackedChannel {
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
        let sent_flag = self.sent_flag.clone();
        let mut request = request.map(|body| {
            tonic::body::Body::new(body.map_frame(move |frame| {
                sent_flag.set();
                frame
            }))
        });
        deployment::authenticate_headers(request.headers_mut());
        self.channel.call(request)
    }
}
