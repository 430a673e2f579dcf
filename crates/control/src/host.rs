//! Runs a control host: the replica thread and the servers that use it.

use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;

use axum::middleware;
use peargap_adapters::deployment;
use peargap_adapters::health;
use peargap_adapters::intake;
use peargap_adapters::intake::listener;
use peargap_adapters::intake::messages;
use peargap_adapters::logs;
use peargap_adapters::metrics;
use peargap_adapters::signals;
use peargap_wire::control::control_server;
use peargap_wire::fleet::fleet_server;
use peargap_wire::operator::operator_server;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::events;
use crate::files;
use crate::fleet;
use crate::gateways;
use crate::gauges;
use crate::input;
use crate::large_requests;
use crate::operators;
use crate::peer_service;
use crate::peers;
use crate::platform;
use crate::quarantine_store;
use crate::replica;
use crate::replica_thread;
use crate::service;
use crate::settings;
use crate::state_machine;
use crate::status;

/// Delay before a stopping host closes its connections, so that its last messages are still sent.
const SHUTDOWN_DELAY: time::Duration = time::Duration::from_millis(100);

/// An error that ends a control host.
#[derive(Debug)]
pub enum Error {
    /// The data folder cannot be used.
    Disk(files::Error),
    /// A server cannot listen on its address.
    Listen(net::SocketAddr, String),
    /// A thread, metric or signal handler cannot be set up, or the thread ended without a result.
    Setup(String),
}

impl core::fmt::Display for Error {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            Error::Disk(error) => error.fmt(formatter),
            Error::Listen(address, problem) => write!(formatter, "{address}: {problem}"),
            Error::Setup(problem) => write!(formatter, "{problem}"),
        }
    }
}

impl std::error::Error for Error {}

/// Access to a running replica.
#[derive(Debug)]
pub struct Replica {
    /// Receives the result of the thread when it ends.
    pub ended: oneshot::Receiver<Result<(), files::Error>>,
    /// Handle for the services.
    pub handle: replica::Handle,
    inputs: mpsc::Sender<input::Input>,
    /// Ends a wait for room on the disk.
    stopping: CancellationToken,
}

/// Runs a control host until `token` is cancelled.
pub async fn run(settings: settings::Settings, token: CancellationToken) -> Result<(), Error> {
    let settings = sync::Arc::new(settings);
    let sender_token = CancellationToken::new();
    let replica = spawn_replica(&settings, &sender_token)?;
    let registry = metrics::Registry::new().map_err(|error| Error::Setup(error.to_string()))?;
    gauges::observe_replica(&registry, &replica.handle.status());
    let readiness = health::Readiness::default();
    let servers = token.child_token();
    let intake = intake::Intake::new(settings.intake, intake::REQUEST_ENDED);
    let health = bind(settings.health).await?;
    let health = tokio::spawn(serve_http(
        health,
        health::build_router(readiness.clone(), registry),
        intake.clone(),
        servers.clone(),
    ));
    let services = build_services(&settings, &replica, &servers);
    let fleet = services.fleet;
    if !settings.volatile {
        let store = quarantine_store::Store::open(&settings.folder, fleet.clone());
        tokio::spawn(store.keep(servers.clone()));
    }
    let internal = listener::Listener::new(bind(settings.internal).await?, intake.clone());
    let internal = serve_internal(internal, &replica, services.control, &fleet, &servers);
    let platform = serve_platform(&settings, &fleet, &intake, &servers).await?;
    let operators = listener::Listener::new(bind(settings.operators).await?, intake);
    let operators = serve_operators(operators, services.operator, &servers);
    reload_on_hangup(&settings, &replica, &servers)?;
    tokio::spawn(update_readiness(replica.handle.status(), readiness));
    let result = wait_for_end(replica, &token).await;
    servers.cancel();
    tokio::time::sleep(SHUTDOWN_DELAY).await;
    sender_token.cancel();
    internal.abort();
    operators.abort();
    if let Some(platform) = platform {
        platform.abort();
    }
    health.abort();
    logs::emit(events::STOPPED, format_args!("host={}", settings.name));
    result
}

async fn wait_for_end(mut replica: Replica, token: &CancellationToken) -> Result<(), Error> {
    tokio::select! {
        () = token.cancelled() => {}
        result = &mut replica.ended => return convert_result(result),
    }
    replica.stopping.cancel();
    // Fails if the thread has just ended; its result tells why.
    let _ = replica.inputs.send(input::Input::Stop).await;
    convert_result(replica.ended.await)
}

fn convert_result(
    result: Result<Result<(), files::Error>, oneshot::error::RecvError>,
) -> Result<(), Error> {
    match result {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(Error::Disk(error)),
        Err(_closed) => Err(Error::Setup(
            "the replica thread ended without a result".to_owned(),
        )),
    }
}

/// Starts the replica thread; cancelling `sender_token` ends its senders.
pub fn spawn_replica(
    settings: &sync::Arc<settings::Settings>,
    sender_token: &CancellationToken,
) -> Result<Replica, Error> {
    let (config, config_receiver) = watch::channel(state_machine::StateMachine::new().config());
    let (routing, routing_receiver) = watch::channel(sync::Arc::default());
    let (status, status_receiver) = watch::channel(status::Status::default());
    let (inputs, queue) = mpsc::channel(replica_thread::QUEUE_CAPACITY);
    let (result_sender, ended) = oneshot::channel();
    let timeout = settings.timing.election;
    let outputs = replica_thread::Outputs {
        config,
        outboxes: peers::Outboxes {
            addresses: settings.addresses(),
            inputs: inputs.clone(),
            name: settings.name.clone(),
            runtime: tokio::runtime::Handle::current(),
            senders: collections::HashMap::new(),
            timeout,
            token: sender_token.clone(),
        },
        routing,
        status,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .map_err(|error| Error::Setup(error.to_string()))?;
    let thread_settings = settings.clone();
    let stopping = CancellationToken::new();
    let stopped = stopping.clone();
    let thread = thread::Builder::new().name("replica".to_owned());
    let spawned = thread.spawn(move || {
        let result = runtime.block_on(async {
            let opened = replica_thread::ReplicaThread::open(thread_settings, outputs, stopped);
            opened.await?.run(queue).await
        });
        if let Err(error) = &result {
            logs::emit(events::LOG_FAILED, format_args!("{error}"));
        }
        let _ = result_sender.send(result);
    });
    spawned.map_err(|error| Error::Setup(error.to_string()))?;
    let handle = replica::Handle {
        config: config_receiver,
        forwarder: peers::Forwarder::new(settings.addresses()),
        inputs: inputs.clone(),
        routing: routing_receiver,
        status: status_receiver,
    };
    Ok(Replica {
        ended,
        handle,
        inputs,
        stopping,
    })
}

/// Reloads the settings file on each SIGHUP and contacts the seeds in it.
fn reload_on_hangup(
    settings: &settings::Settings,
    replica: &Replica,
    token: &CancellationToken,
) -> Result<(), Error> {
    let path = settings.path.clone();
    let inputs = replica.inputs.clone();
    let reload = move || {
        let Some(path) = &path else {
            return;
        };
        match settings::load(path) {
            Ok(settings) => {
                let seeds = settings.seeds();
                logs::emit(events::RELOADED, format_args!("seeds={seeds:?}"));
                // Dropped if the queue is full; the next signal sends the seeds again.
                let _ = inputs.try_send(input::Input::AddPeers(seeds));
            }
            Err(findings) => {
                logs::emit(events::RELOAD_FAILED, format_args!("why={findings}"));
            }
        }
    };
    let listening = signals::on_hangup(token.clone(), reload);
    listening.map_err(|error| Error::Setup(error.to_string()))
}

async fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, Error> {
    let bound = tokio::net::TcpListener::bind(address).await;
    bound.map_err(|error| Error::Listen(address, error.to_string()))
}

fn build_services(
    settings: &settings::Settings,
    replica: &Replica,
    token: &CancellationToken,
) -> service::Services {
    let options = service::Options {
        handle: replica.handle.clone(),
        lease: settings.timing.lease,
        name: settings.name.clone(),
        operator_keys: settings.operator_keys.clone(),
        rollout: settings.rollout,
    };
    service::build(options, token.clone())
}

fn serve_operators(
    listener: listener::Listener,
    operators: operator_server::OperatorServer<operators::Operators>,
    token: &CancellationToken,
) -> tokio::task::JoinHandle<()> {
    let server = tonic::transport::Server::builder()
        .layer(messages::Layer)
        .add_service(operators);
    let stop = token.clone().cancelled_owned();
    tokio::spawn(async move {
        let incoming = listener.into_incoming();
        let _ = server.serve_with_incoming_shutdown(incoming, stop).await;
    })
}

fn serve_internal(
    listener: listener::Listener,
    replica: &Replica,
    control: control_server::ControlServer<service::Control>,
    fleet: &fleet::Fleet,
    token: &CancellationToken,
) -> tokio::task::JoinHandle<()> {
    let peer = peer_service::build_server(peer_service::PeerService {
        handle: replica.handle.clone(),
        inputs: replica.inputs.clone(),
    });
    let server = tonic::transport::Server::builder()
        .layer(messages::Layer)
        .layer(tonic::service::InterceptorLayer::new(
            deployment::check_request,
        ))
        .add_service(peer)
        .add_service(control)
        .add_service(fleet_server::FleetServer::new(gateways::Gateways {
            fleet: fleet.clone(),
            token: token.clone(),
        }));
    let stop = token.clone().cancelled_owned();
    tokio::spawn(async move {
        let incoming = listener.into_incoming();
        let _ = server.serve_with_incoming_shutdown(incoming, stop).await;
    })
}

/// Serves the platform API if the settings contain an address for it.
async fn serve_platform(
    settings: &settings::Settings,
    fleet: &fleet::Fleet,
    intake: &intake::Intake,
    token: &CancellationToken,
) -> Result<Option<tokio::task::JoinHandle<()>>, Error> {
    let Some(address) = settings.platform else {
        return Ok(None);
    };
    let socket = bind(address).await?;
    let router = peargap_platform::api::build_router(platform::Handler {
        fleet: fleet.clone(),
    });
    let room = large_requests::Room::new(settings.intake.memory_bytes());
    let waiting = middleware::from_fn_with_state(room, large_requests::wait_for_room);
    let router = router.layer(waiting);
    let served = serve_http(socket, router, intake.clone(), token.clone());
    Ok(Some(tokio::spawn(served)))
}

async fn serve_http(
    socket: tokio::net::TcpListener,
    router: axum::Router,
    intake: intake::Intake,
    stop: CancellationToken,
) {
    let max = peargap_platform::api::MAX_BODY_BYTES;
    intake::http::serve(socket, router, intake, max, stop).await;
}

/// Reports the host as ready while it knows a leader.
async fn update_readiness(
    mut status: watch::Receiver<status::Status>,
    readiness: health::Readiness,
) {
    loop {
        readiness.set(status.borrow_and_update().leader.is_some());
        if status.changed().await.is_err() {
            readiness.set(false);
            return;
        }
    }
}
