//! Start, run and shutdown of a gateway process.

use std::net;

use peargap_adapters::health;
use peargap_adapters::intake;
use peargap_adapters::intake::listener;
use peargap_adapters::logs;
use peargap_adapters::metrics;
use peargap_adapters::signals;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::events;
use crate::explain;
use crate::fleet;
use crate::follow;
use crate::gateway;
use crate::meters;
use crate::paces;
use crate::response_body;
use crate::retries;
use crate::server;
use crate::settings;
use crate::socket;
use crate::stop;

/// Interval at which readiness is updated.
const READINESS_PERIOD: core::time::Duration = core::time::Duration::from_millis(200);

/// Why a gateway cannot start.
#[derive(Debug)]
pub enum Error {
    /// An address cannot be listened on.
    Listen(net::SocketAddr, std::io::Error),
    /// Metrics or signal handlers cannot be set up.
    Setup(String),
}

impl core::fmt::Display for Error {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            Error::Listen(address, error) => write!(formatter, "{address}: {error}"),
            Error::Setup(problem) => write!(formatter, "{problem}"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs a gateway until `token` is cancelled and its connections are drained.
pub async fn run(settings: settings::Settings, token: CancellationToken) -> Result<(), Error> {
    let registry = metrics::Registry::new().map_err(|error| Error::Setup(error.to_string()))?;
    let readiness = health::Readiness::default();
    let callers = bind(settings.callers).await?;
    // Connections inherit it from their listener.
    socket::bound_unsent(&socket2::SockRef::from(&callers));
    let health_listener = bind(settings.health).await?;
    let meters = meters::Meters::new(&registry);
    let fleet = fleet::Fleet::new(&settings.domain);
    meters::observe_quarantine(&registry, &fleet);
    let intake = intake::Intake::new(settings.intake, events::PEER_TOO_SLOW);
    meters::observe_unread(&registry, intake.budget());
    paces::observe(&registry, &fleet);
    let router = health::build_router(readiness.clone(), registry);
    let router = router.merge(explain::build_router(
        fleet.clone(),
        intake.budget().clone(),
    ));
    // Runs until the process exits.
    let health = tokio::spawn(intake::http::serve(
        health_listener,
        router,
        intake.clone(),
        explain::MAX_BODY_BYTES,
        CancellationToken::new(),
    ));
    let follow_token = CancellationToken::new();
    let options = follow::Options {
        gateway: settings.name.clone(),
        port: settings.control_port,
    };
    let (hosts, added) = mpsc::unbounded_channel();
    follow::add_hosts(&hosts, &settings.control_seeds);
    let following = follow::run(
        fleet.clone(),
        options,
        hosts.clone(),
        added,
        follow_token.clone(),
    );
    tokio::spawn(following);
    reload_on_hangup(&settings, hosts, follow_token.clone())?;
    tokio::spawn(update_readiness(fleet.clone(), readiness, token.clone()));
    logs::emit(
        events::STARTED,
        format_args!("gateway={} domain={}", settings.name, settings.domain),
    );
    let retries = retries::Retries::new(fleet.clone(), settings.retry_limits, meters.clone());
    let gateway = gateway::Gateway {
        bodies: response_body::Reader::new(settings.response_limits),
        fleet,
        meters,
        orders_waiting: settings.orders_waiting,
        retries,
        stop: stop::Stop::default(),
        unread: intake.budget().clone(),
    };
    let callers = listener::Listener::new(callers, intake);
    server::run(callers, gateway, settings.grace, token).await;
    follow_token.cancel();
    health.abort();
    logs::emit(events::STOPPED, format_args!("gateway={}", settings.name));
    Ok(())
}

/// On each SIGHUP, reads the settings file again and connects to control hosts that are new in it.
fn reload_on_hangup(
    settings: &settings::Settings,
    hosts: follow::HostSender,
    token: CancellationToken,
) -> Result<(), Error> {
    let path = settings.path.clone();
    let reload = move || {
        let Some(path) = &path else {
            return;
        };
        match settings::load(path) {
            Ok(settings) => {
                let seeds = &settings.control_seeds;
                logs::emit(events::RELOADED, format_args!("seeds={seeds:?}"));
                follow::add_hosts(&hosts, seeds);
            }
            Err(findings) => {
                logs::emit(events::RELOAD_FAILED, format_args!("why={findings}"));
            }
        }
    };
    signals::on_hangup(token, reload).map_err(|error| Error::Setup(error.to_string()))
}

async fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, Error> {
    let bound = tokio::net::TcpListener::bind(address).await;
    bound.map_err(|error| Error::Listen(address, error))
}

/// Reports the gateway as ready while it has routes and is not stopping.
async fn update_readiness(
    fleet: fleet::Fleet,
    readiness: health::Readiness,
    token: CancellationToken,
) {
    loop {
        readiness.set(fleet.version() > 0);
        tokio::select! {
            () = token.cancelled() => break,
            () = tokio::time::sleep(READINESS_PERIOD) => {}
        }
    }
    readiness.set(false);
    logs::emit(
        events::STOPPING,
        format_args!("version={}", fleet.version()),
    );
}
