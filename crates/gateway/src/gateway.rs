//! Routing of a request, up to the choice of an upstream.

use std::convert;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use peargap_adapters::body_budget;
use peargap_adapters::intake;
use peargap_adapters::panics;
use peargap_core::routes;
use peargap_platform::head;
use rand::RngExt as _;
use tokio_util::sync::CancellationToken;

use crate::call;
use crate::fleet;
use crate::generation;
use crate::meters;
use crate::plain;
use crate::response;
use crate::response_body;
use crate::retries;
use crate::stop;
use crate::unread;

/// Time limit of a request that names none, in milliseconds; the route's timeout still applies.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// Time for which a request waits for the first routing document and for the first upstream of its
/// service after the start of the gateway.
const STARTUP_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Time left below which a request is not sent, as an upstream would be told that there is none.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(1);

/// State shared by all requests.
#[derive(Clone, Debug)]
pub(crate) struct Gateway {
    /// Reads bodies of responses.
    pub(crate) bodies: response_body::Reader,
    pub(crate) fleet: fleet::Fleet,
    pub(crate) meters: meters::Meters,
    /// Whether generations that wait for room begin in the order of their urgency.
    pub(crate) orders_waiting: bool,
    pub(crate) retries: retries::Retries,
    pub(crate) stop: stop::Stop,
    /// Memory for what callers and upstreams have not read.
    pub(crate) unread: body_budget::Budget,
}

impl Gateway {
    /// Counts a refusal and returns the response for it.
    pub(crate) fn refuse(&self, attempt: &Bytes, refusal: response::Refusal) -> response::Response {
        self.meters.count_refusal(refusal);
        response::refuse(attempt, refusal, self.fleet.version())
    }

    /// Serves one request of a connection. `closing` closes the connection when it is cancelled.
    pub(crate) async fn serve(
        self,
        request: http::Request<body::Incoming>,
        connection: intake::Connection,
        closing: CancellationToken,
    ) -> Result<response::Response, convert::Infallible> {
        let (parts, body) = request.into_parts();
        let head = head::read_request(&parts.headers);
        let attempt = head.attempt.clone();
        let received = connection.open_request(attempt.clone(), count_head_bytes(&parts));
        let unread = unread::Account {
            budget: self.unread.clone(),
            connection: closing,
            received: received.clone(),
        };
        let response = match panics::catch(self.serve_routed(head, parts, body, unread)).await {
            Ok(Ok(response)) => response,
            Ok(Err(refusal)) => self.refuse(&attempt, refusal),
            Err(panics::Panicked) => self.refuse(&attempt, response::Refusal::Internal),
        };
        Ok(response.map(|body| received.attach(body).boxed_unsync()))
    }

    async fn serve_routed(
        &self,
        head: head::Request,
        parts: http::request::Parts,
        body: body::Incoming,
        unread: unread::Account,
    ) -> Result<response::Response, response::Refusal> {
        let startup_end = tokio::time::Instant::now() + STARTUP_TIMEOUT;
        let table = self.fleet.wait_for_table(startup_end).await;
        let table = table.ok_or(response::Refusal::NoRoutes)?;
        let limits = table.limits();
        if count_head_bytes(&parts) > to_usize(limits.head_bytes) {
            return Err(response::Refusal::HeadTooLong);
        }
        let found = table.find(&head.host, parts.uri.path(), head.key.as_deref());
        let (route, team) = match found {
            routes::Access::Denied => return Err(response::Refusal::KeyUnknown),
            routes::Access::Granted { route, team } => (route, team),
            routes::Access::Unknown => return Err(response::Refusal::RouteUnknown),
        };
        let service = table.pick_service(route, rand::rng().random());
        let has_patient = table.has_patient_generations(service);
        let service = table.service(service);
        let order = match self.orders_waiting && has_patient && service.engine.is_some() {
            true => generation::Order::Queue,
            false => generation::Order::Poll,
        };
        let route = table.route(route);
        let team = team.map(|team| table.team(team));
        let timeout = head.deadline_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        let timeout = time::Duration::from_millis(timeout.min(route.timeout_ms));
        let arrived = self.fleet.clock.now();
        let deadline = tokio::time::Instant::now() + timeout;
        let read = intake::body::read(body, to_usize(limits.body_bytes), &unread.received);
        let body = match tokio::time::timeout_at(deadline, read).await {
            Ok(read) => read.map_err(response::Refusal::of_body)?,
            Err(_elapsed) => return Err(response::Refusal::TimedOutUnsent),
        };
        self.fleet.wait_for_upstream(service, startup_end).await;
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        if left < MIN_TIME_LEFT {
            return Err(response::Refusal::TimedOutUnsent);
        }
        self.retries.record_request(&service.name);
        let priority = team.and_then(|team| team.rank).unwrap_or(route.rank);
        let request = call::Request {
            arrived,
            body,
            deadline,
            digest: sync::OnceLock::new(),
            head,
            parts,
            priority: service.engine.is_some().then_some(priority),
            team: team.map(|team| team.name.clone()),
            unread,
        };
        Ok(match route.kind {
            routes::Kind::Idempotent | routes::Kind::Once => {
                plain::serve(self, &request, route, service).await
            }
            routes::Kind::Stream => generation::serve(self, request, route, service, order).await,
        })
    }
}

/// Returns the size of a request's head in bytes: path, query and headers as received, without the
/// method and the protocol version.
fn count_head_bytes(parts: &http::request::Parts) -> usize {
    /// Bytes of the colon, the space and the line end of a header.
    const HEADER_SEPARATOR_BYTES: usize = 4;
    let path = parts.uri.path_and_query();
    let path = path.map_or(0, |path| path.as_str().len());
    let headers = parts.headers.iter();
    let lengths =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATOR_BYTES);
    path + lengths.sum::<usize>()
}

fn to_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
