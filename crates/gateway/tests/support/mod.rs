//! Fixture: a gateway in the test process, with a fake control host and fake runners.

#![allow(dead_code)]

pub(crate) mod caller;
pub(crate) mod control;
pub(crate) mod program;
pub(crate) mod raw;
pub(crate) mod slow;

use std::collections;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use peargap_adapters::intake::limits;
use peargap_core::retry_budget;
use peargap_fake::runner;
use peargap_gateway::run;
use peargap_gateway::settings;
use peargap_load::ports;
use peargap_wire::fleet as wire;
use tokio_util::sync::CancellationToken;

/// Time limit of each wait in these tests.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Routing document: `/plain/` and `/patient/` are idempotent, `/once/` is not, `/stream/` and
/// `/resumable/` serve generations, `/notes/` streams of the service without engines, and `/open/` needs
/// no key.
pub(crate) const DOCUMENT: &str = r#"{"version":3,"routes":[
 {"name":"plain","host":"h.example","pathPrefix":"/plain/","routeType":"idempotent",
  "timeoutMs":3000,"latencySloMs":150,"service":"desk","maxAttempts":2},
 {"name":"patient","host":"h.example","pathPrefix":"/patient/","routeType":"idempotent",
  "timeoutMs":3000,"latencySloMs":150,"service":"desk","maxAttempts":4},
 {"name":"once","host":"h.example","pathPrefix":"/once/","routeType":"non_idempotent",
  "timeoutMs":3000,"latencySloMs":150,"service":"desk","maxAttempts":1},
 {"name":"open","host":"h.example","pathPrefix":"/open/","routeType":"idempotent",
  "timeoutMs":3000,"service":"desk","maxAttempts":1,"public":true},
 {"name":"stream","host":"h.example","pathPrefix":"/stream/","routeType":"streaming",
  "timeoutMs":9000,"latencySloMs":1800,"priority":1,"service":"pool","maxAttempts":1,
  "itlTargetMs":180},
 {"name":"resumable","host":"h.example","pathPrefix":"/resumable/","routeType":"streaming",
  "timeoutMs":9000,"latencySloMs":1800,"priority":1,"service":"pool","maxAttempts":2,
  "itlTargetMs":180,"resumable":true},
 {"name":"notes","host":"h.example","pathPrefix":"/notes/","routeType":"streaming",
  "timeoutMs":9000,"latencySloMs":1800,"service":"desk","maxAttempts":1,"itlTargetMs":180}],
 "services":[{"name":"desk"},{"name":"pool","coldPerS":26.0,"engine":{"slots":24,
  "kvCapacity":34471,"moves":true,"backups":true,"stride":4,"handleTtlS":5.0}}],
 "limits":{"maxBodyBytes":1000,"maxHeaderBytes":9000,"idleTimeoutMs":2000},
 "tenants":[{"name":"red","apiKeys":["k1"],"priority":0}]}"#;

/// Returns the document with plain routes for long bodies that take much time.
fn generous_document() -> String {
    let document = DOCUMENT.replace("\"timeoutMs\":3000", "\"timeoutMs\":9000");
    document.replace("\"maxBodyBytes\":1000", "\"maxBodyBytes\":2000000")
}

/// Returns the status of an upstream of the plain service that has no address yet.
pub(crate) fn new_upstream() -> wire::Upstream {
    wire::Upstream {
        address: String::new(),
        born_ms: 1,
        cold_ms: 0,
        domain: "a".to_owned(),
        name: String::new(),
        sequence: 1,
        service: "desk".to_owned(),
        slots: 24,
        state: wire::State::Ready.into(),
        version: "v1".to_owned(),
    }
}

/// How a gateway runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Launch {
    /// In the test process.
    InProcess,
    /// In the test process, with routes for long bodies that take much time.
    InProcessGenerous,
    /// In the test process, with a grace period of half a second.
    InProcessHasty,
    /// As its program.
    Program,
}

/// A gateway with its control host and runners.
#[derive(Debug)]
pub(crate) struct Fixture {
    pub(crate) address: net::SocketAddr,
    pub(crate) control: control::Control,
    pub(crate) ended: tokio::task::JoinHandle<()>,
    pub(crate) health: net::SocketAddr,
    /// The gateway, if it does not run in the test process.
    pub(crate) program: Option<program::Program>,
    pub(crate) rack: runner::RunnerGroup,
    pub(crate) runners: collections::BTreeMap<String, runner::Runner>,
    pub(crate) stop: CancellationToken,
}

impl Fixture {
    /// Starts a gateway without routes.
    pub(crate) async fn start_empty() -> Fixture {
        Fixture::start_with_hosts(&[]).await
    }

    /// Starts a gateway without routes that follows the fixture's control host and these others.
    pub(crate) async fn start_with_hosts(others: &[control::Control]) -> Fixture {
        Fixture::launch(others, Launch::InProcess).await
    }

    async fn launch(others: &[control::Control], launch: Launch) -> Fixture {
        let ports = ports::find_ports(3).expect("ports");
        let local = |port| net::SocketAddr::from(([127, 0, 0, 1], port));
        let control = match launch {
            Launch::InProcessGenerous | Launch::Program => control::Control::new_generous(),
            Launch::InProcess | Launch::InProcessHasty => control::Control::default(),
        };
        control.serve(local(ports[0]));
        let mut control_seeds = vec![local(ports[0])];
        for (number, other) in (2..).zip(others) {
            let address = net::SocketAddr::from(([127, 0, 0, number], ports[0]));
            other.serve(address);
            control_seeds.push(address);
        }
        let stop = CancellationToken::new();
        let settings = settings::Settings {
            callers: local(ports[1]),
            control_port: ports[0],
            control_seeds,
            domain: "a".to_owned(),
            grace: match launch {
                Launch::InProcessHasty => time::Duration::from_millis(500),
                _ => time::Duration::from_secs(8),
            },
            health: local(ports[2]),
            intake: limits::Limits {
                host_mb: 88.0,
                ..limits::Limits::default()
            },
            log_format: peargap_adapters::logs::Format::Text,
            log_level: peargap_adapters::logs::Level::Info,
            name: "gateway-1".to_owned(),
            orders_waiting: true,
            path: None,
            response_limits: settings::ResponseLimits::default(),
            retry_limits: retry_budget::Limits {
                burst: 1e6,
                ..retry_budget::Limits::default()
            },
        };
        let token = stop.clone();
        let program = match launch {
            Launch::Program => Some(program::Program::start(&settings)),
            _ => None,
        };
        let is_program = program.is_some();
        let ended = tokio::spawn(async move {
            match is_program {
                true => token.cancelled().await,
                false => run::run(settings, token).await.expect("a gateway"),
            }
        });
        control.wait_until_connected().await;
        for other in others {
            other.wait_until_connected().await;
        }
        Fixture {
            address: local(ports[1]),
            control,
            ended,
            health: local(ports[2]),
            program,
            rack: runner::RunnerGroup::default(),
            runners: collections::BTreeMap::new(),
            stop,
        }
    }

    /// Starts a gateway with routes and runners. Runners whose names begin with `d` belong to the
    /// plain service `desk`, the others to the engine service `pool`.
    pub(crate) async fn start(names: &[&str]) -> Fixture {
        let mut fixture = Fixture::start_empty().await;
        fixture.route().await;
        for name in names {
            fixture.start_runner(name).await;
        }
        fixture
    }

    /// Starts a gateway with routes for long bodies that take much time.
    pub(crate) async fn start_generous() -> Fixture {
        let fixture = Fixture::launch(&[], Launch::InProcessGenerous).await;
        fixture.route().await;
        fixture
    }

    /// Starts a gateway with routes and a grace period of half a second.
    pub(crate) async fn start_hasty() -> Fixture {
        let fixture = Fixture::launch(&[], Launch::InProcessHasty).await;
        fixture.route().await;
        fixture
    }

    /// Starts the gateway's program, with routes for long bodies that take much time.
    pub(crate) async fn start_program() -> Fixture {
        let fixture = Fixture::launch(&[], Launch::Program).await;
        fixture.route().await;
        fixture
    }

    /// Gives the gateway its routes.
    async fn route(&self) {
        self.control
            .send(wire::Update {
                gateways: 1,
                position: 1,
                version: 3,
                ..wire::Update::default()
            })
            .await;
        self.wait_until_routed().await;
    }

    /// Waits until the gateway has routes.
    pub(crate) async fn wait_until_routed(&self) {
        let poll = async {
            while self.call(caller::request("/nowhere/", "")).await.status == 503 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(TIMEOUT, poll)
            .await
            .expect("routes in time");
    }

    /// Starts a runner and announces it.
    pub(crate) async fn start_runner(&mut self, name: &str) {
        let runner = self.rack.start(name).await.expect("a runner");
        let service = service_name(name);
        self.control
            .announce(&runner, service, wire::State::Ready, 1)
            .await;
        self.runners.insert(name.to_owned(), runner);
    }

    /// Returns a runner.
    pub(crate) fn runner(&self, name: &str) -> &runner::Runner {
        &self.runners[name]
    }

    /// Announces that a runner is draining.
    pub(crate) async fn drain(&self, name: &str) {
        let runner = self.runner(name);
        self.control
            .announce(runner, service_name(name), wire::State::Draining, 2)
            .await;
    }

    /// Waits for a runner that runs a generation and returns it.
    pub(crate) async fn wait_for_running(&self) -> runner::Runner {
        let runners: Vec<_> = self.runners.values().cloned().collect();
        let busy = runners.clone();
        wait_for(move || busy.iter().any(|runner| runner.count_running() > 0)).await;
        let mut runners = runners.into_iter();
        let running = runners.find(|runner| runner.count_running() > 0);
        running.expect("a runner that runs")
    }

    /// Returns the gateway's metrics.
    pub(crate) async fn read_metrics(&self) -> String {
        let stream = tokio::net::TcpStream::connect(self.health).await;
        let io = rt::TokioIo::new(stream.expect("a connection"));
        let (mut sender, connection) = http1::handshake(io).await.expect("a connection");
        tokio::spawn(async move { drop(connection.await) });
        let request = http::Request::get("/metrics").header("host", "h");
        let request = request.body(Full::new(Bytes::new())).expect("a request");
        let response = sender.send_request(request).await.expect("a response");
        let body = response.into_body().collect().await.expect("a body");
        String::from_utf8_lossy(&body.to_bytes()).into_owned()
    }

    /// Opens a connection to the gateway.
    pub(crate) async fn connect(&self) -> caller::Caller {
        caller::Caller::connect(self.address).await
    }

    /// Sends a request on a new connection and returns the response with its body.
    pub(crate) async fn call(&self, request: http::Request<Full<Bytes>>) -> caller::Response {
        self.connect().await.call(request).await
    }
}

impl Fixture {
    /// Starts a gateway with one upstream of a service, at an address.
    pub(crate) async fn start_at(address: net::SocketAddr, service: &str) -> Fixture {
        let fixture = Fixture::start(&[]).await;
        fixture.announce_at(address, service).await;
        fixture
    }

    /// Announces an upstream of a service, at an address.
    pub(crate) async fn announce_at(&self, address: net::SocketAddr, service: &str) {
        let name = format!("raw-{service}");
        self.announce_named(&name, address, service).await;
    }

    /// Announces an upstream of a service with this name, at an address.
    pub(crate) async fn announce_named(&self, name: &str, address: net::SocketAddr, service: &str) {
        let upstream = wire::Upstream {
            address: address.to_string(),
            name: name.to_owned(),
            service: service.to_owned(),
            ..new_upstream()
        };
        self.control.announce_upstream(upstream).await;
    }

    /// Sends a request with this attempt ID on a new connection, in a task.
    pub(crate) async fn start_call(
        &self,
        mut request: http::Request<Full<Bytes>>,
        attempt: &str,
    ) -> tokio::task::JoinHandle<caller::Response> {
        let value = http::HeaderValue::from_str(attempt).expect("an ID");
        request.headers_mut().insert("attempt-id", value);
        let mut caller = self.connect().await;
        tokio::spawn(async move { caller.call(request).await })
    }
}

/// Returns the service of a runner with this name.
pub(crate) fn service_name(name: &str) -> &'static str {
    match name.starts_with('d') {
        true => "desk",
        false => "pool",
    }
}

/// Waits until a condition holds.
pub(crate) async fn wait_for(condition: impl Fn() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waited).await;
    waited.expect("the condition holds in time");
}
