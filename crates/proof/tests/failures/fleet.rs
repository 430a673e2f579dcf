//! Starts, stops, kills and freezes the processes of one test.

use core::time;
use std::collections;
use std::fs;
use std::net;
use std::process;

use bytes::Bytes;
use peargap_load::client;
use peargap_load::ports;
use peargap_load::ready;
use rustix::process as unix;

use crate::program;
use crate::relay;
use crate::settings;
use crate::spawn;

/// How long a step may take before the test fails.
pub(crate) const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const DEPLOYMENT_KEY_FILE: &str = "deployment.key";
const KEY_FILE: &str = "operator.key";
/// Interval at which a condition is polled.
pub(crate) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Which processes to start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) controls: usize,
    /// Limit of the open descriptors of each process, if it is not the machine's.
    pub(crate) descriptors: Option<u64>,
    pub(crate) engine_arguments: &'static [&'static str],
    pub(crate) engines: usize,
    pub(crate) entries: usize,
    /// Whether the processes authenticate to each other.
    pub(crate) has_key: bool,
    /// Puts a relay between each agent and its engine.
    pub(crate) relays: bool,
    pub(crate) services: usize,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            controls: 3,
            descriptors: None,
            engine_arguments: &[],
            engines: 2,
            entries: 2,
            has_key: true,
            relays: false,
            services: 1,
        }
    }
}

struct Process {
    arguments: Vec<String>,
    child: process::Child,
    program: &'static str,
}

/// The processes of one test; all are killed when it is dropped.
pub(crate) struct Fleet {
    pub(crate) engine_ports: Vec<u16>,
    pub(crate) entry_urls: Vec<String>,
    pub(crate) relays: Vec<relay::Relay>,
    pub(crate) service_ports: Vec<u16>,
    controls: Vec<settings::ControlPorts>,
    descriptors: Option<u64>,
    folder: tempfile::TempDir,
    has_key: bool,
    health_ports: collections::BTreeMap<String, u16>,
    internal_ports: collections::BTreeMap<String, u16>,
    processes: collections::BTreeMap<String, Process>,
}

impl Fleet {
    /// Starts a deployment, applies the manifest and waits until every process is ready.
    pub(crate) async fn start(plan: Plan) -> Fleet {
        let mut fleet = Fleet {
            controls: Vec::new(),
            descriptors: plan.descriptors,
            engine_ports: Vec::new(),
            entry_urls: Vec::new(),
            folder: tempfile::tempdir().expect("a temporary folder"),
            has_key: plan.has_key,
            health_ports: collections::BTreeMap::new(),
            internal_ports: collections::BTreeMap::new(),
            processes: collections::BTreeMap::new(),
            relays: Vec::new(),
            service_ports: Vec::new(),
        };
        // Written once, before any command runs: commands may run concurrently, and none may read a
        // partly written file.
        let key = fleet.folder.path().join(KEY_FILE);
        fs::write(key, settings::OPERATOR_KEY).expect("key written");
        fleet.write_deployment_key("proof-deployment-key");
        fleet.start_controls(plan.controls);
        for index in 0..plan.engines {
            fleet.start_engine(index, &plan).await;
        }
        for index in 0..plan.services {
            fleet.start_service(index);
        }
        for index in 0..plan.entries {
            fleet.start_entry(index);
        }
        for index in 0..plan.controls {
            fleet.wait_ready(&format!("control-{index}")).await;
        }
        fleet.apply_manifest(0, 0).await;
        let names: Vec<String> = fleet.health_ports.keys().cloned().collect();
        for name in names {
            fleet.wait_ready(&name).await;
        }
        fleet.wait_for_upstreams(plan.engines + plan.services).await;
        fleet
    }

    /// Waits until the metrics of each entry count `count` upstreams.
    async fn wait_for_upstreams(&self, count: usize) {
        for (name, port) in &self.health_ports {
            if !name.starts_with("entry-") {
                continue;
            }
            let url = format!("http://127.0.0.1:{port}/metrics");
            wait_until("the entry knows every upstream", async || {
                let request = http::Request::get(url.clone());
                let answer = client::Client::new("").call(request, Bytes::new()).await;
                answer.is_ok_and(|answer| {
                    read_metric(&answer.body, "peargap_entry_upstreams") == Some(count as f64)
                })
            })
            .await;
        }
    }

    /// Writes the deployment key that processes started from now on will use.
    pub(crate) fn write_deployment_key(&self, key: &str) {
        let path = self.folder.path().join(DEPLOYMENT_KEY_FILE);
        fs::write(path, key).expect("key written");
    }

    fn start_controls(&mut self, count: usize) {
        let found = ports::find_ports(count * 3).expect("free ports");
        self.controls = found
            .chunks_exact(3)
            .map(|ports| settings::ControlPorts {
                health: ports[0],
                internal: ports[1],
                operators: ports[2],
            })
            .collect();
        let folder = self.folder.path().display().to_string();
        for index in 0..count {
            let text = settings::format_control(&self.controls, index, &folder);
            let name = format!("control-{index}");
            self.health_ports
                .insert(name.clone(), self.controls[index].health);
            self.start_with_settings(&name, "peargap-control", &text);
        }
    }

    async fn start_engine(&mut self, index: usize, plan: &Plan) {
        let name = format!("engine-{index}");
        let port = self.find_port();
        self.engine_ports.push(port);
        let mut arguments: Vec<String> = ["engine", "--models", "transcript", "--checks-fences"]
            .iter()
            .chain(plan.engine_arguments)
            .map(|word| (*word).to_owned())
            .collect();
        arguments.push("--listen".to_owned());
        arguments.push(format!("127.0.0.1:{port}"));
        self.spawn(&name, "peargap-fake", arguments);
        let mut upstream_port = port;
        if plan.relays {
            let relay = relay::Relay::start(port).await;
            upstream_port = relay.port;
            self.relays.push(relay);
        }
        self.start_agent(&name, "engine", "transcript", index, upstream_port);
    }

    fn start_service(&mut self, index: usize) {
        let name = format!("desk-{index}");
        let port = self.find_port();
        self.service_ports.push(port);
        let arguments = vec![
            "service".to_owned(),
            "--listen".to_owned(),
            format!("127.0.0.1:{port}"),
        ];
        self.spawn(&name, "peargap-fake", arguments);
        self.start_agent(&name, "service", "loans,lookups", index, port);
    }

    fn start_agent(
        &mut self,
        name: &str,
        kind: &str,
        offers: &str,
        index: usize,
        upstream_port: u16,
    ) {
        let health = self.find_port();
        let internal = self.find_port();
        let text = settings::format_agent(&settings::Agent {
            upstream_port,
            controls: &self.control_addresses(),
            domain: &format!("zone-{}", index % 2),
            health,
            internal,
            kind,
            name,
            offers,
        });
        let agent = format!("agent-{name}");
        self.health_ports.insert(agent.clone(), health);
        self.internal_ports.insert(agent.clone(), internal);
        self.start_with_settings(&agent, "peargap-agent", &text);
    }

    fn start_entry(&mut self, index: usize) {
        let callers = self.find_port();
        let health = self.find_port();
        let text = settings::format_entry(index, callers, health, &self.control_addresses());
        let name = format!("entry-{index}");
        self.health_ports.insert(name.clone(), health);
        self.entry_urls.push(format!("http://127.0.0.1:{callers}"));
        self.start_with_settings(&name, "peargap-entry", &text);
    }

    fn find_port(&self) -> u16 {
        ports::find_ports(1).expect("a free port")[0]
    }

    fn control_addresses(&self) -> String {
        let list: Vec<String> = self
            .controls
            .iter()
            .map(|control| format!("127.0.0.1:{}", control.internal))
            .collect();
        list.join(",")
    }

    fn start_with_settings(&mut self, name: &str, program: &'static str, text: &str) {
        let path = self.folder.path().join(format!("{name}.ini"));
        let key = self.folder.path().join(DEPLOYMENT_KEY_FILE);
        let text = match self.has_key {
            true => format!("{text}\n[deployment]\nkey_file = {}\n", key.display()),
            false => text.to_owned(),
        };
        fs::write(&path, text).expect("settings written");
        let arguments = vec!["--config".to_owned(), path.display().to_string()];
        self.spawn(name, program, arguments);
    }

    fn spawn(&mut self, name: &str, program: &'static str, arguments: Vec<String>) {
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.folder.path().join(format!("{name}.log")))
            .expect("a log file");
        let mut command = process::Command::new(program::find_program(program));
        command
            .args(&arguments)
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        let child = spawn::start(&mut command, self.descriptors);
        self.processes.insert(
            name.to_owned(),
            Process {
                arguments,
                child,
                program,
            },
        );
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, name: &str, signal: unix::Signal) {
        program::send_signal(&self.processes[name].child, signal);
    }

    /// Kills a process and waits until it has exited.
    pub(crate) fn kill(&mut self, name: &str) {
        let process = self.processes.get_mut(name).expect("a known process");
        process.child.kill().expect("the process is killed");
        process.child.wait().expect("the process exits");
    }

    /// Starts a killed process again with the same arguments.
    pub(crate) fn restart(&mut self, name: &str) {
        let process = self.processes.remove(name).expect("a known process");
        self.spawn(name, process.program, process.arguments);
    }

    /// Waits until a process has exited after a signal; returns whether its exit code was 0.
    pub(crate) async fn wait_exit(&mut self, name: &str) -> bool {
        let deadline = tokio::time::Instant::now() + STEP_TIMEOUT;
        loop {
            let process = self.processes.get_mut(name).expect("a known process");
            if let Some(status) = process
                .child
                .try_wait()
                .expect("the process is a child of the test")
            {
                return status.success();
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "{name} did not exit\n{}",
                self.read_log(name)
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a process's `/readyz` answers 200.
    pub(crate) async fn wait_ready(&self, name: &str) {
        let url = format!("http://127.0.0.1:{}/readyz", self.health_ports[name]);
        let answered = ready::wait_ready(&[url], STEP_TIMEOUT).await;
        assert!(
            answered.is_ok(),
            "{name} is not ready\n{}",
            self.read_log(name)
        );
    }

    /// Applies the manifest with `note` on top of revision `base` and waits until it is in force.
    pub(crate) async fn apply_manifest(&self, note: u32, base: u64) {
        let path = self.folder.path().join(format!("manifest-{note}.ini"));
        fs::write(&path, settings::format_manifest(note)).expect("manifest written");
        let path = path.display().to_string();
        let base = base.to_string();
        let words = ["manifest", "apply", &path, "--base", &base, "--wait", "15"];
        let outcome = self.run_peargap(&words).await;
        assert!(
            outcome.status.success(),
            "apply: {}",
            format_output(&outcome)
        );
    }

    /// Runs the `peargap` command line against all control hosts.
    pub(crate) async fn run_peargap(&self, words: &[&str]) -> process::Output {
        let key = self.folder.path().join(KEY_FILE);
        let list: Vec<String> = self
            .controls
            .iter()
            .map(|control| format!("127.0.0.1:{}", control.operators))
            .collect();
        let mut command = process::Command::new(program::find_program("peargap"));
        command
            .args(["--control", &list.join(",")])
            .arg("--key-file")
            .arg(key)
            .args(words);
        let run = tokio::task::spawn_blocking(move || command.output());
        run.await.expect("not cancelled").expect("the command runs")
    }

    /// Returns the JSON that a fake engine or service serves at `path`.
    pub(crate) async fn get_json(&self, port: u16, path: &str) -> serde_json::Value {
        let request = http::Request::get(format!("http://127.0.0.1:{port}{path}"));
        let answer = client::Client::new("").call(request, Bytes::new()).await;
        let answer = answer.expect("the fake process responds");
        serde_json::from_slice(&answer.body).expect("JSON")
    }

    /// Returns the last 30 lines of a process's log.
    pub(crate) fn read_log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        let text = fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(30)..].join("\n")
    }
}

#[allow(dead_code, reason = "the tests of clients use it")]
impl Fleet {
    /// Returns the id of a process.
    pub(crate) fn id(&self, name: &str) -> u32 {
        self.processes[name].child.id()
    }

    /// Returns the address of a process's health port.
    pub(crate) fn health(&self, name: &str) -> net::SocketAddr {
        local(self.health_ports[name])
    }

    /// Returns the address at which an entry serves callers.
    pub(crate) fn callers(&self, index: usize) -> net::SocketAddr {
        let address = self.entry_urls[index].strip_prefix("http://");
        let parsed = address.and_then(|address| address.parse().ok());
        parsed.expect("an address")
    }

    /// Returns the address at which a control host serves operators.
    pub(crate) fn operators(&self, index: usize) -> net::SocketAddr {
        local(self.controls[index].operators)
    }

    /// Returns the address at which a control host or agent serves other processes.
    pub(crate) fn internal(&self, name: &str) -> net::SocketAddr {
        let index = name.strip_prefix("control-");
        let index = index.and_then(|index| index.parse::<usize>().ok());
        local(match index {
            Some(index) => self.controls[index].internal,
            None => self.internal_ports[name],
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::thread::panicking() {
            for name in self.processes.keys() {
                eprintln!("== {name}\n{}", self.read_log(name));
            }
        }
    }
}

#[allow(dead_code, reason = "the tests of clients use it")]
fn local(port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
}

/// Waits until `check` returns true; after [`STEP_TIMEOUT`], fails the test and names `what`.
pub(crate) async fn wait_until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + STEP_TIMEOUT;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the value of the first sample whose name starts with `name`.
fn read_metric(body: &[u8], name: &str) -> Option<f64> {
    let text = client::show_body(body);
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Formats the exit status and output of a command for a failure message.
pub(crate) fn format_output(output: &process::Output) -> String {
    format!(
        "{}\n{}{}",
        output.status,
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}
