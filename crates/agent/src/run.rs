//! Startup and graceful shutdown of the agent.

use core::error;
use core::sync::atomic;
use core::time::Duration;
use std::process;
use std::sync;
use std::thread;

use peargap_adapters::body_budget;
use peargap_adapters::command;
use peargap_adapters::deployment;
use peargap_adapters::follow;
use peargap_adapters::health;
use peargap_adapters::intake;
use peargap_adapters::intake::listener;
use peargap_adapters::logs;
use peargap_adapters::metrics;
use peargap_adapters::signals;
use peargap_core::admit;
use peargap_wire::control;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync as cancel;
use tokio_util::task;

use crate::admission;
use crate::agent;
use crate::domain;
use crate::enforcement;
use crate::engine;
use crate::events;
use crate::meters;
use crate::orders;
use crate::poll;
use crate::registry;
use crate::service;
use crate::settings;
use crate::sweep;
use peargap_adapters::clock;

/// Block size of engine memory in tokens.
const BLOCK_TOKENS: u32 = 16;
/// Interval between updates of the readiness.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks whether the work in progress has finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time that a draining agent keeps serving, so that entries learn of the drain.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Time for streams to close after their last message.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that ends the agent.
type BoxError = Box<dyn error::Error + Send + Sync>;

/// Runs the agent; returns the exit code of the process.
pub fn run() -> process::ExitCode {
    let settings = match command::load("peargap-agent", "agent.ini", settings::load) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    deployment::install_key(settings.deployment_key.clone());
    if let Err(error) = logs::init(&settings.name, settings.log_level, settings.log_format) {
        eprintln!("peargap-agent: {error}");
        return process::ExitCode::FAILURE;
    }
    match run_settings(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(fault) => {
            logs::emit(events::FAILED, format_args!("cause={fault}"));
            process::ExitCode::FAILURE
        }
    }
}

fn run_settings(settings: settings::Settings) -> Result<(), BoxError> {
    let registry = metrics::Registry::new()?;
    let stop = cancel::CancellationToken::new();
    let (agent, control) = start_control(settings, &registry, stop.clone())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(agent.settings.traffic_threads)
        .enable_all()
        .build()?;
    let served = runtime.block_on(serve(agent, registry));
    stop.cancel();
    let _ = control.join();
    served
}

/// Starts the control thread, which runs admission, polling, orders and sweeps.
fn start_control(
    settings: settings::Settings,
    registry: &metrics::Registry,
    stop: cancel::CancellationToken,
) -> Result<(sync::Arc<agent::Agent>, thread::JoinHandle<()>), BoxError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let meters = meters::Meters::new(registry);
    let (ready, built) = oneshot::channel();
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                let (agent, admission) = build_agent(settings, meters, stop.clone());
                tokio::spawn(admission.run(stop.clone()));
                tokio::spawn(poll::run(sync::Arc::clone(&agent), stop.clone()));
                tokio::spawn(domain::run(sync::Arc::clone(&agent), stop.clone()));
                tokio::spawn(orders::run(sync::Arc::clone(&agent), stop.clone()));
                tokio::spawn(sweep::run(sync::Arc::clone(&agent), stop.clone()));
                let _ = ready.send(agent);
                stop.cancelled().await;
            });
        })?;
    let agent = built.blocking_recv()?;
    Ok((agent, control))
}

fn build_agent(
    settings: settings::Settings,
    meters: meters::Meters,
    stop: cancel::CancellationToken,
) -> (sync::Arc<agent::Agent>, admission::Admission) {
    let clock = clock::Clock::start();
    let incarnation = format!("{:016x}", rand::random::<u64>());
    let upstream = &settings.upstream;
    let mut limits =
        admit::Options::new(upstream.memory_tokens, BLOCK_TOKENS, upstream.max_running);
    limits.max_waiting = settings.queue.max_queued as usize;
    let announcement = watch::Sender::new(Some(build_announcement(&settings)));
    let options = build_options(&settings, &incarnation, announcement.subscribe());
    let view = follow::spawn(options, stop);
    let (domain, name) = (settings.domain.clone(), upstream.name.clone());
    let enforcement = enforcement::Enforcement::new(domain, name, view.clone());
    let (admission, handle) =
        admission::Admission::new(clock, limits, enforcement.clone(), meters.clone());
    let engine = engine::Client::new(upstream.address, upstream.silent_after);
    let agent = agent::Agent {
        announcement,
        prefix_cache: sync::Mutex::default(),
        unread: body_budget::Budget::new(settings.stream.unread_bytes, events::READER_TOO_SLOW),
        claims: sync::Mutex::default(),
        clock,
        enforcement,
        engine,
        admission: handle,
        generations: sync::Mutex::new(registry::Generations::default()),
        intake: intake::Intake::new(settings.intake, intake::REQUEST_ENDED),
        incarnation,
        meters,
        generation_counter: atomic::AtomicU64::new(0),
        requests: sync::Mutex::default(),
        settings,
        view,
    };
    (sync::Arc::new(agent), admission)
}

fn build_announcement(settings: &settings::Settings) -> control::Announcement {
    let upstream = &settings.upstream;
    let kind = match upstream.kind {
        settings::Kind::Engine => control::Kind::Engine,
        settings::Kind::Service => control::Kind::Service,
    };
    control::Announcement {
        upstream: upstream.name.clone(),
        kind: kind.into(),
        offers: upstream.offers.clone(),
        memory_tokens: upstream.memory_tokens,
        checks_fences: upstream.checks_fences,
    }
}

fn build_options(
    settings: &settings::Settings,
    incarnation: &str,
    announcement: watch::Receiver<Option<control::Announcement>>,
) -> follow::Options {
    follow::Options {
        announcement,
        controls: settings.controls.clone(),
        node: control::Node {
            name: settings.name.clone(),
            role: control::Role::Agent.into(),
            domain: settings.domain.clone(),
            address: settings.internal.to_string(),
            incarnation: incarnation.to_owned(),
        },
    }
}

async fn serve(
    agent: sync::Arc<agent::Agent>,
    registry: metrics::Registry,
) -> Result<(), BoxError> {
    let shutdown = signals::listen()?;
    let closing = cancel::CancellationToken::new();
    let readiness = health::Readiness::default();
    let intake = agent.intake.clone();
    let listener = tokio::net::TcpListener::bind(agent.settings.health).await?;
    let router = health::build_router(readiness.clone(), registry);
    let health_server = intake::http::serve(listener, router, intake.clone(), 0, closing.clone());
    let health_server = tokio::spawn(health_server);
    let internal = tokio::net::TcpListener::bind(agent.settings.internal).await?;
    let incoming = listener::Listener::new(internal, intake);
    let service = service::Service {
        agent: sync::Arc::clone(&agent),
        calls: task::TaskTracker::new(),
        closing: closing.clone(),
    };
    let calls = service.calls.clone();
    let serving = service::serve(service, incoming, closing.clone(), CLOSE_TIMEOUT);
    let serving = tokio::spawn(serving);
    logs::emit(
        events::STARTED,
        format_args!(
            "upstream={} domain={} incarnation={} internal={}",
            agent.settings.upstream.name,
            agent.settings.domain,
            agent.incarnation,
            agent.settings.internal
        ),
    );
    follow_readiness(&agent, &readiness, &shutdown).await;
    drain(&agent, &readiness, &calls).await;
    closing.cancel();
    serving.await??;
    health_server.await?;
    logs::emit(
        events::STOPPED,
        format_args!("upstream={}", agent.settings.upstream.name),
    );
    Ok(())
}

/// Keeps the readiness up to date until a shutdown is requested.
async fn follow_readiness(
    agent: &agent::Agent,
    readiness: &health::Readiness,
    shutdown: &cancel::CancellationToken,
) {
    loop {
        let healthy = agent.admission.watch().borrow().healthy;
        readiness.set(healthy && agent.enforcement.check().is_none());
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(READINESS_INTERVAL) => {}
        }
    }
}

/// Refuses new work and waits until the work in progress has finished.
async fn drain(agent: &agent::Agent, readiness: &health::Readiness, calls: &task::TaskTracker) {
    agent.enforcement.start_shutdown();
    readiness.set(false);
    agent.view.set_leaving();
    logs::emit(
        events::DRAINING,
        format_args!(
            "generations={} calls={}",
            agent.count_undelivered(),
            calls.len()
        ),
    );
    tokio::time::sleep(MIN_DRAIN_TIME).await;
    while agent.count_undelivered() > 0 || !calls.is_empty() {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
