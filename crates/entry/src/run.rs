//! Starts and stops an entry's threads.

use core::time;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;

use error_stack::ResultExt as _;
use peargap_adapters::deployment;
use peargap_adapters::follow;
use peargap_adapters::health;
use peargap_adapters::intake;
use peargap_adapters::intake::listener;
use peargap_adapters::logs;
use peargap_adapters::metrics;
use peargap_adapters::signals;
use peargap_wire::control;
use tokio::net;
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync as cancel;

use crate::app;
use crate::claim_client;
use crate::events;
use crate::fleet;
use crate::latency;
use crate::metrics as instruments;
use crate::server;
use crate::settings;
use crate::upstream_table;

/// Maximum time that a started entry waits for the agents' first load reports.
const FIRST_REPORTS_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Interval of the readiness checks.
const READINESS_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Why an entry could not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// An address cannot be listened on.
    Listen,
    /// The logs cannot be set up.
    Logs,
    /// The metrics cannot be set up.
    Metrics,
    /// A runtime or thread cannot be started.
    Runtime,
    /// Signals cannot be handled.
    Signals,
}

impl core::fmt::Display for Error {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        formatter.write_str(match self {
            Error::Listen => "cannot listen",
            Error::Logs => "cannot set up logs",
            Error::Metrics => "cannot set up metrics",
            Error::Runtime => "cannot start a runtime",
            Error::Signals => "cannot handle signals",
        })
    }
}

impl std::error::Error for Error {}

/// Runs an entry until SIGTERM; returns the process's exit code.
pub fn run_entry(settings: settings::Settings) -> process::ExitCode {
    match try_run(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("peargap-entry: {report:?}");
            process::ExitCode::FAILURE
        }
    }
}

fn try_run(settings: settings::Settings) -> Result<(), error_stack::Report<Error>> {
    let log = settings.log;
    deployment::install_key(settings.deployment_key.clone());
    logs::init(&settings.node.name, log.level, log.format).change_context(Error::Logs)?;
    let traffic = runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .worker_threads(settings.limits.traffic_threads)
        .build()
        .change_context(Error::Runtime)?;
    let control = start_control_thread(&settings, traffic.handle().clone())?;
    let served = traffic.block_on(serve(settings, &control));
    control.stop.cancel();
    // The control thread ends once its token is cancelled; its result is not needed.
    let _ = control.thread.join();
    served
}

/// Handles to the thread that follows the configuration and the agents' load.
struct ControlThread {
    upstream_table: sync::Arc<upstream_table::UpstreamTable>,
    fleet: fleet::Watch,
    incarnation: String,
    stop: cancel::CancellationToken,
    thread: thread::JoinHandle<()>,
    view: follow::View,
}

struct ControlHandles {
    fleet: fleet::Watch,
    view: follow::View,
}

fn start_control_thread(
    settings: &settings::Settings,
    traffic: runtime::Handle,
) -> Result<ControlThread, error_stack::Report<Error>> {
    let incarnation = format!("{:08x}", rand::random::<u32>());
    let upstream_table = sync::Arc::new(upstream_table::UpstreamTable::new());
    let stop = cancel::CancellationToken::new();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Runtime)?;
    let (sender, receiver) = oneshot::channel();
    let options = build_follow_options(settings, &incarnation);
    let shared = upstream_table.clone();
    let token = stop.clone();
    let run = move || {
        runtime.block_on(async {
            let entry = options.node.name.clone();
            let view = follow::spawn(options, token.clone());
            let follower = fleet::Follower {
                upstream_table: shared,
                entry,
                traffic,
                view: view.clone(),
            };
            let fleet = fleet::spawn(follower, token.clone());
            // The receiver blocks below until this value arrives.
            let _ = sender.send(ControlHandles { fleet, view });
            token.cancelled().await;
        });
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run);
    let thread = thread.change_context(Error::Runtime)?;
    let handles = receiver.blocking_recv().change_context(Error::Runtime)?;
    Ok(ControlThread {
        upstream_table,
        fleet: handles.fleet,
        incarnation,
        stop,
        thread,
        view: handles.view,
    })
}

fn build_follow_options(settings: &settings::Settings, incarnation: &str) -> follow::Options {
    let (_, announcement) = watch::channel(None);
    follow::Options {
        announcement,
        controls: settings.controls.clone(),
        node: control::Node {
            address: settings.listen.callers.to_string(),
            domain: settings.node.domain.clone(),
            incarnation: incarnation.to_owned(),
            name: settings.node.name.clone(),
            role: control::Role::Entry.into(),
        },
    }
}

async fn serve(
    settings: settings::Settings,
    control: &ControlThread,
) -> Result<(), error_stack::Report<Error>> {
    let registry = metrics::Registry::new().change_context(Error::Metrics)?;
    let stop = signals::listen().change_context(Error::Signals)?;
    let callers = bind(settings.listen.callers).await?;
    let health = bind(settings.listen.health).await?;
    instruments::observe_upstreams(
        &registry,
        control.upstream_table.clone(),
        control.fleet.clone(),
    );
    let app = sync::Arc::new(app::App {
        upstream_table: control.upstream_table.clone(),
        fleet: control.fleet.clone(),
        ids: app::Ids::new(&settings.node.name, &control.incarnation),
        latencies: latency::Latencies::default(),
        metrics: instruments::Metrics::new(&registry),
        claim_client: claim_client::ClaimClient::new(&settings.controls),
        retry_budget: app::RetryBudget::default(),
        settings,
        stop,
        streams_end: cancel::CancellationToken::new(),
        tasks: tokio_util::task::TaskTracker::new(),
        view: control.view.clone(),
    });
    let readiness = health::Readiness::default();
    let router = health::build_router(readiness.clone(), registry);
    let intake = intake::Intake::new(app.settings.intake, intake::REQUEST_ENDED);
    // Runs until the process exits.
    let until = cancel::CancellationToken::new();
    tokio::spawn(intake::http::serve(
        health,
        router,
        intake.clone(),
        0,
        until,
    ));
    tokio::spawn(watch_readiness(app.clone(), readiness));
    tokio::spawn(watch_stop(app.clone()));
    let name = &app.settings.node.name;
    logs::emit(events::STARTED, format_args!("entry={name}"));
    let callers = listener::Listener::new(callers, intake.clone());
    server::serve(app.clone(), callers, &intake).await;
    app.tasks.close();
    app.tasks.wait().await;
    logs::emit(
        events::STOPPED,
        format_args!("entry={}", app.settings.node.name),
    );
    Ok(())
}

async fn bind(
    address: std::net::SocketAddr,
) -> Result<net::TcpListener, error_stack::Report<Error>> {
    let listener = net::TcpListener::bind(address).await;
    listener
        .change_context(Error::Listen)
        .attach_with(|| format!("address {address}"))
}

/// Reports the entry as ready while it accepts new work.
///
/// A started entry becomes ready once every agent has reported that it accepts work, or after
/// [`FIRST_REPORTS_TIMEOUT`]: until the reports arrive it would refuse requests that the agents can
/// serve.
async fn watch_readiness(app: sync::Arc<app::App>, readiness: health::Readiness) {
    let mut timer = tokio::time::interval(READINESS_INTERVAL);
    let mut fresh_since = None;
    loop {
        tokio::select! {
            biased;
            () = app.stop.cancelled() => return readiness.set(false),
            _ = timer.tick() => {}
        }
        let accepting = count_accepting(&app);
        let gauge = &app.metrics.upstreams;
        gauge.store(accepting as u64, atomic::Ordering::Relaxed);
        if !app.view.is_fresh() {
            readiness.set(false);
            continue;
        }
        let since = *fresh_since.get_or_insert_with(tokio::time::Instant::now);
        let all_accepting = accepting > 0 && accepting == app.fleet().agents.len();
        if readiness.is_ready() || since.elapsed() > FIRST_REPORTS_TIMEOUT || all_accepting {
            readiness.set(true);
        }
    }
}

/// Returns the number of agents that report that they accept work.
fn count_accepting(app: &app::App) -> usize {
    let fleet = app.fleet();
    let agents = fleet.agents.values();
    agents.filter(|agent| agent.is_accepting()).count()
}

async fn watch_stop(app: sync::Arc<app::App>) {
    app.stop.cancelled().await;
    app.view.set_leaving();
    logs::emit(
        events::DRAINING,
        format_args!("entry={}", app.settings.node.name),
    );
    if let Some(streams) = app.settings.drain.streams {
        tokio::time::sleep(streams).await;
        app.streams_end.cancel();
    }
}
