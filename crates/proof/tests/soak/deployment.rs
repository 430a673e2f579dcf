//! Starts and stops the processes, relays and runners of one run.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::time;

use peargap_fake::runner;
use rustix::process as unix;

use crate::operator;
use crate::program;
use crate::relay;

pub(crate) const CONTROLS: usize = 3;
pub(crate) const GATEWAYS: usize = 2;
/// Timeout of each wait while no faults are injected.
pub(crate) const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// State in the heartbeats of a runner that will leave.
pub(crate) const DRAINING: &str = "draining";
/// State of a runner that leaves without having reported that it drains. It does so at another host
/// than the one that it has called.
pub(crate) const LEAVING: &str = "leaving";
/// Time for which a runner serves after its leave was acknowledged.
const SERVE_ON_TIME: time::Duration = time::Duration::from_millis(1500);
/// Time between a runner's heartbeats.
const HEARTBEAT: time::Duration = time::Duration::from_millis(300);

/// A process with its settings; it can be killed and started again.
#[derive(Debug)]
pub(crate) struct Process {
    child: Option<process::Child>,
    pub(crate) log: path::PathBuf,
    program: &'static str,
    settings: path::PathBuf,
    paused: bool,
}

/// A fake runner and the relay in front of it.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) address: net::SocketAddr,
    pub(crate) relay: sync::Arc<relay::Relay>,
    pub(crate) runner: runner::Runner,
    pub(crate) service: &'static str,
    /// State that its heartbeats report; `None` once they have stopped.
    pub(crate) state: sync::Arc<sync::Mutex<Option<&'static str>>>,
}

/// All processes, relays and runners of one run.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) controls: Vec<Process>,
    /// Relays through which gateways connect to the control hosts.
    pub(crate) control_relays: Vec<relay::Relay>,
    folder: tempfile::TempDir,
    /// Relays through which each control host connects to the others.
    pub(crate) peer_relays: Vec<Vec<relay::Relay>>,
    pub(crate) gateway_ports: Vec<u16>,
    pub(crate) gateways: Vec<Process>,
    pub(crate) platform_port: u16,
    pub(crate) rack: runner::RunnerGroup,
    started_upstreams: usize,
    pub(crate) upstreams: Vec<Upstream>,
}

/// Returns the loopback address of a control host.
pub(crate) fn control_ip(host: usize) -> net::Ipv4Addr {
    net::Ipv4Addr::new(127, 0, 0, u8::try_from(host).expect("few hosts") + 1)
}

impl Process {
    fn new(program: &'static str, folder: &path::Path, name: &str, settings: &str) -> Process {
        let file = folder.join(format!("{name}.ini"));
        fs::write(&file, settings).expect("settings");
        Process {
            child: None,
            log: folder.join(format!("{name}.log")),
            program,
            settings: file,
            paused: false,
        }
    }

    pub(crate) fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let mut options = fs::OpenOptions::new();
        let log = options.append(true).create(true).open(&self.log);
        let child = process::Command::new(program::find_program(self.program))
            .arg("--config")
            .arg(&self.settings)
            .stdout(log.expect("a log"))
            .spawn();
        self.child = Some(child.expect("the program"));
        self.paused = false;
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process if it runs.
    pub(crate) fn signal(&mut self, signal: unix::Signal) {
        let Some(child) = &self.child else {
            return;
        };
        program::send_signal(child, signal);
        self.paused = signal == unix::Signal::STOP;
    }

    /// Waits until the process has exited after SIGTERM; returns whether it did so in time.
    pub(crate) async fn wait_exit(&mut self, timeout: time::Duration) -> bool {
        let Some(mut child) = self.child.take() else {
            return true;
        };
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            if child.try_wait().expect("a child").is_some() {
                return true;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        self.child = Some(child);
        false
    }

    pub(crate) fn is_up(&self) -> bool {
        self.child.is_some() && !self.paused
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Deployment {
    /// Starts all processes and four runners, two of each service.
    pub(crate) async fn start(gateway_count: usize) -> Deployment {
        let ports = peargap_load::ports::find_ports(5 + CONTROLS + gateway_count).expect("ports");
        let (internal, platform, relayed) = (ports[0], ports[1], ports[2]);
        let peer_ports = &ports[5 + gateway_count..];
        let folder = tempfile::tempdir().expect("a folder");
        let name = |host: usize| format!("{}:{platform}", control_ip(host));
        let seeds: Vec<String> = (0..CONTROLS).map(name).collect();
        let seeds = seeds.join(",");
        let controls = (0..CONTROLS).map(|host| {
            let ip = control_ip(host);
            let text = format!(
                "[node]\nname = {name}\ndomain = d{host}\n[listen]\ninternal = {ip}:{internal}\n\
                 operators = {ip}:{operators}\nhealth = {ip}:{health}\nplatform = {name}\n\
                 [membership]\nport = {peers}\nseeds = {seeds}\n[bootstrap]\nvoters = {seeds}\n\
                 [data]\nfolder = {folder}\n",
                name = name(host),
                peers = peer_ports[host],
                operators = ports[3],
                health = ports[4],
                folder = folder.path().join(format!("data-{host}")).display(),
            );
            let name = format!("control-{host}");
            Process::new("peargap-control", folder.path(), &name, &text)
        });
        let controls = controls.collect();
        let gateway_ports: Vec<u16> = (0..gateway_count)
            .map(|gateway| ports[5 + gateway])
            .collect();
        let gateways = (0..gateway_count).map(|gateway| {
            let text = format!(
                "[node]\nname = gateway-{gateway}\ndomain = d{gateway}\n[listen]\n\
                 callers = 127.0.0.1:{}\nhealth = {}:{}\n[control]\nseeds = {seeds}\n\
                 port = {relayed}\n[stop]\ngrace_ms = 3000\n",
                gateway_ports[gateway],
                net::Ipv4Addr::new(127, 0, 0, 100 + u8::try_from(gateway).expect("few")),
                ports[4],
            );
            let name = format!("gateway-{gateway}");
            Process::new("peargap-gateway", folder.path(), &name, &text)
        });
        let gateways = gateways.collect();
        let at = |host, port| net::SocketAddr::from((control_ip(host), port));
        let mut control_relays = Vec::new();
        let mut peer_relays = Vec::new();
        for (host, port) in peer_ports.iter().enumerate() {
            let relay = relay::Relay::start_at(at(host, relayed), at(host, internal));
            control_relays.push(relay.await);
            let mut relays = Vec::new();
            for peer in (0..CONTROLS).filter(|peer| *peer != host) {
                let relay = relay::Relay::start_at(at(peer, *port), at(peer, internal));
                relays.push(relay.await);
            }
            peer_relays.push(relays);
        }
        let mut deployment = Deployment {
            control_relays,
            controls,
            folder,
            gateway_ports,
            gateways,
            peer_relays,
            platform_port: platform,
            rack: runner::RunnerGroup::default(),
            started_upstreams: 0,
            upstreams: Vec::new(),
        };
        deployment.start_processes();
        for service in ["pool", "desk", "pool", "desk"] {
            deployment.add_upstream(service).await;
        }
        deployment
    }

    fn start_processes(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.start();
        }
    }

    /// Starts a runner behind a relay, and its heartbeats.
    pub(crate) async fn add_upstream(&mut self, service: &'static str) {
        self.start_upstream(service, false).await;
    }

    /// Starts a runner that gateways reach without a relay, so that they see its crashes, and its
    /// heartbeats.
    pub(crate) async fn add_direct_upstream(&mut self, service: &'static str) {
        self.start_upstream(service, true).await;
    }

    async fn start_upstream(&mut self, service: &'static str, is_direct: bool) {
        self.started_upstreams += 1;
        let name = format!("u{}", self.started_upstreams);
        let runner = self.rack.start(&name).await.expect("a runner");
        runner.set_events(60, time::Duration::from_millis(10));
        let relay = relay::Relay::start(runner.address.port()).await;
        let address = match is_direct {
            true => runner.address,
            false => net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, relay.port)),
        };
        runner.set_announced_address(address);
        let upstream = Upstream {
            address,
            relay: sync::Arc::new(relay),
            runner,
            service,
            state: sync::Arc::new(sync::Mutex::new(Some("ready"))),
        };
        tokio::spawn(send_heartbeats(upstream.clone(), self.platform_port));
        self.upstreams.push(upstream);
    }

    /// Returns the address at which a control host serves the platform's API.
    pub(crate) fn platform_address(&self, host: usize) -> net::SocketAddr {
        net::SocketAddr::from((control_ip(host), self.platform_port))
    }

    /// Holds up what a control host sends to the others, or passes it on.
    pub(crate) fn hold_peers(&self, host: usize, held: bool) {
        for relay in &self.peer_relays[host] {
            relay.hold(held);
        }
    }

    /// Kills a control host and deletes its data folder.
    pub(crate) fn delete_data(&mut self, host: usize) {
        self.controls[host].kill();
        let folder = self.folder.path().join(format!("data-{host}"));
        fs::remove_dir_all(folder).expect("a data folder");
    }

    /// Ends all faults and waits for the processes to notice silent connections.
    pub(crate) async fn end_faults(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.signal(unix::Signal::CONT);
            process.start();
        }
        for upstream in &self.upstreams {
            upstream.relay.delay(time::Duration::ZERO);
            upstream.runner.set_behaviour(runner::Behaviour::Answer);
            upstream.runner.set_limit(None);
            upstream.runner.crash_on(None, time::Duration::ZERO);
        }
        for relay in &self.control_relays {
            relay.delay(time::Duration::ZERO);
        }
        for host in 0..CONTROLS {
            self.hold_peers(host, false);
        }
        // Silent connections are detected and replaced within this time.
        tokio::time::sleep(time::Duration::from_secs(3)).await;
    }

    /// Copies the processes' logs to a folder that outlives the run; returns the folder.
    pub(crate) fn keep_logs(&self, seed: u64) -> path::PathBuf {
        let kept = env::temp_dir().join(format!("peargap-soak-{seed}"));
        fs::create_dir_all(&kept).expect("a folder");
        for process in self.controls.iter().chain(&self.gateways) {
            let name = process.log.file_name().expect("a name");
            fs::copy(&process.log, kept.join(name)).expect("a log");
        }
        kept
    }
}

/// Sends a runner's heartbeats to one control host; moves on to the next when a host fails to
/// accept one.
async fn send_heartbeats(upstream: Upstream, port: u16) {
    let mut sequence = 0;
    let mut host = 0;
    let mut is_leaving = false;
    loop {
        let state = *upstream.state.lock().expect("a state");
        let Some(state) = state else {
            return;
        };
        if state == LEAVING && !is_leaving {
            is_leaving = true;
            host = (host + 1) % CONTROLS;
        }
        sequence += 1;
        // Each start is later than the one before it.
        let born = 7 + upstream.runner.count_crashes();
        let path = format!("/api/instances/{}", upstream.runner.name);
        let address = net::SocketAddr::from((control_ip(host), port));
        let (method, body) = match is_leaving {
            true => ("DELETE", String::new()),
            false => {
                let body = format!(
                    r#"{{"service":"{}","address":"{}","zone":"d0","version":"v1","slots":24,
                    "state":"{state}","coldLeftMs":0,"sequence":{sequence},"born":{born}}}"#,
                    upstream.service, upstream.address
                );
                ("PUT", body)
            }
        };
        let answered = operator::call(address, method, &path, body).await;
        if answered.is_none_or(|(status, _body)| status != 200) {
            host = (host + 1) % CONTROLS;
            continue;
        }
        if is_leaving || state == DRAINING {
            // It serves for a while longer, then it closes its connections.
            tokio::time::sleep(SERVE_ON_TIME).await;
            upstream.relay.reset();
            upstream.runner.interrupt_streams();
            *upstream.state.lock().expect("a state") = None;
            return;
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}
