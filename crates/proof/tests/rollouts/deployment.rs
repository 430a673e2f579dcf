//! Control hosts and gateways as processes on loopback addresses, with stand-in upstreams.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use peargap_fake::runner;
use peargap_load::ports;

pub(crate) const DOCUMENT: &str = r#"{"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/",
    "routeType":"idempotent","timeoutMs":2000,"service":"s"}],"services":[{"name":"s"}]}"#;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two requests.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(5);
const CONTROL_HOSTS: u8 = 3;
const GATEWAYS: u8 = 3;

type Runners = sync::Arc<sync::Mutex<collections::BTreeMap<String, Vec<runner::Runner>>>>;

/// Processes of a deployment, killed on drop.
pub(crate) struct Deployment {
    children: Vec<process::Child>,
    group: runner::RunnerGroup,
    ports: Vec<u16>,
    root: tempfile::TempDir,
    runners: Runners,
}

fn program(name: &str) -> path::PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let folder = test.parent().and_then(path::Path::parent);
    folder.expect("a target folder").join(name)
}

fn control_ip(host: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(127, 0, 0, host + 1)
}

fn gateway_ip(gateway: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(127, 0, 0, gateway + 11)
}

impl Deployment {
    /// Starts control hosts and gateways, and the heartbeats of all upstreams.
    pub(crate) async fn start() -> Deployment {
        let mut deployment = Deployment {
            children: Vec::new(),
            group: runner::RunnerGroup::default(),
            ports: ports::find_ports(6).expect("ports"),
            root: tempfile::tempdir().expect("a folder"),
            runners: Runners::default(),
        };
        deployment.write_settings();
        for host in 0..CONTROL_HOSTS {
            let child = deployment.spawn("peargap-control", &format!("control-{host}"));
            deployment.children.push(child);
        }
        for gateway in 0..GATEWAYS {
            let child = deployment.spawn("peargap-gateway", &format!("gateway-{gateway}"));
            deployment.children.push(child);
        }
        let runners = deployment.runners.clone();
        let platform = deployment.ports[1];
        tokio::spawn(send_heartbeats(runners, platform));
        deployment
    }

    fn write_settings(&self) {
        let ports = &self.ports;
        let names: Vec<String> = (0..CONTROL_HOSTS)
            .map(|host| format!("{}:{}", control_ip(host), ports[1]))
            .collect();
        let seeds = names.join(",");
        for host in 0..CONTROL_HOSTS {
            let ip = control_ip(host);
            let folder = self.root.path().join(format!("data-{host}"));
            let text = format!(
                "[node]\nname = {ip}:{platform}\ndomain = d{host}\n[listen]\n\
                 internal = {ip}:{internal}\noperators = {ip}:{operators}\nhealth = {ip}:{health}\n\
                 platform = {ip}:{platform}\n[data]\nfolder = {folder}\n[membership]\n\
                 port = {internal}\nseeds = {seeds}\n[bootstrap]\nvoters = {seeds}\n[rollout]\n\
                 exposure_fraction = 0.1\nexposure_tolerance = 50\nrollback_ms = 5000\n",
                internal = ports[0],
                platform = ports[1],
                operators = ports[2],
                health = ports[3],
                folder = folder.display(),
            );
            self.write(&format!("control-{host}"), &text);
        }
        for gateway in 0..GATEWAYS {
            let ip = gateway_ip(gateway);
            let text = format!(
                "[node]\nname = g{gateway}\ndomain = d{gateway}\n[listen]\ncallers = {ip}:{callers}\n\
                 health = {ip}:{health}\n[control]\nseeds = {seeds}\nport = {internal}\n",
                callers = ports[4],
                health = ports[5],
                internal = ports[0],
            );
            self.write(&format!("gateway-{gateway}"), &text);
        }
    }

    fn write(&self, name: &str, text: &str) {
        let path = self.root.path().join(format!("{name}.ini"));
        fs::write(path, text).expect("settings");
    }

    fn spawn(&self, program_name: &str, name: &str) -> process::Child {
        let log = self.root.path().join(format!("{name}.log"));
        process::Command::new(program(program_name))
            .arg("--config")
            .arg(self.root.path().join(format!("{name}.ini")))
            .stdout(fs::File::create(log).expect("a log"))
            .spawn()
            .expect("the program, built before")
    }

    /// Kills all control hosts and starts them again.
    pub(crate) fn restart_control(&mut self) {
        for host in 0..CONTROL_HOSTS {
            kill(&mut self.children[usize::from(host)]);
        }
        for host in 0..CONTROL_HOSTS {
            let child = self.spawn("peargap-control", &format!("control-{host}"));
            self.children[usize::from(host)] = child;
        }
    }

    /// Kills the control host that has last become the leader.
    pub(crate) fn kill_leader(&mut self) {
        let leader = (0..CONTROL_HOSTS).find(|host| {
            let log = self.root.path().join(format!("control-{host}.log"));
            let text = fs::read_to_string(log).expect("a log");
            let role = text.lines().rev().find(|line| line.contains("E2003"));
            role.is_some_and(|line| line.contains("Leader"))
        });
        kill(&mut self.children[usize::from(leader.expect("a leader"))]);
    }

    /// Starts upstreams of a version.
    pub(crate) async fn start_runners(&self, version: &str, count: usize) {
        let mut started = Vec::new();
        for number in 0..count {
            let name = format!("{version}-{number}");
            let runner = self.group.start(&name).await.expect("an upstream");
            runner.set_answer_delay(time::Duration::from_millis(10));
            started.push(runner);
        }
        let mut runners = self.runners.lock().expect("upstreams");
        runners.insert(version.to_owned(), started);
    }

    pub(crate) fn set_behaviour(&self, version: &str, behaviour: runner::Behaviour) {
        for runner in &self.runners.lock().expect("upstreams")[version] {
            runner.set_behaviour(behaviour);
        }
    }

    /// Returns the number of requests that upstreams of a version have run.
    pub(crate) fn count_runs(&self, version: &str) -> u32 {
        let runners = self.runners.lock().expect("upstreams");
        let runs = runners[version].iter().map(|runner| runner.runs().len());
        u32::try_from(runs.sum::<usize>()).expect("few")
    }

    pub(crate) fn count_all_runs(&self) -> u32 {
        let versions: Vec<String> = self
            .runners
            .lock()
            .expect("upstreams")
            .keys()
            .cloned()
            .collect();
        versions
            .iter()
            .map(|version| self.count_runs(version))
            .sum()
    }

    pub(crate) async fn wait_for_runs(&self, version: &str, count: u32) {
        let former = self.count_runs(version);
        let waiting = async {
            while self.count_runs(version) < former + count {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, waiting).await;
        assert!(
            waited.is_ok(),
            "{version}: {} runs",
            self.count_runs(version)
        );
    }

    /// Calls the platform's API at one control host after the other until one gives this status.
    pub(crate) async fn call(&self, status: u16, method: &str, path: &str, body: &str) -> Bytes {
        let calling = async {
            loop {
                for host in 0..CONTROL_HOSTS {
                    let address = net::SocketAddr::from((control_ip(host), self.ports[1]));
                    match send(address, method, path, body, "call").await {
                        Some((found, body)) if found == status => return body,
                        Some(_) | None => tokio::time::sleep(POLL_INTERVAL).await,
                    }
                }
            }
        };
        let called = tokio::time::timeout(TIMEOUT, calling).await;
        called.unwrap_or_else(|_elapsed| panic!("{method} {path}: never {status}"))
    }

    /// Orders a rollout.
    pub(crate) async fn order(&self, status: u16, target: &str, duration: time::Duration) {
        let seconds = duration.as_secs();
        let body = format!(r#"{{"service":"s","target":"{target}","durationS":{seconds}}}"#);
        self.call(status, "POST", "/api/rollouts", &body).await;
    }

    /// Returns the state of the last rollout, and its target.
    pub(crate) async fn read_state(&self) -> (String, String) {
        let body = self.call(200, "GET", "/api/rollouts/s", "").await;
        let value: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        let field = |name: &str| value[name].as_str().expect("text").to_owned();
        (field("state"), field("target"))
    }

    pub(crate) async fn wait_for_state(&self, wanted: &str) {
        let waiting = async {
            while self.read_state().await.0 != wanted {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, waiting).await;
        assert!(waited.is_ok(), "never {wanted}");
    }

    /// Sends requests through all gateways until the task is aborted.
    pub(crate) fn start_load(&self) -> tokio::task::JoinHandle<()> {
        let callers = self.ports[4];
        let next = sync::Arc::new(atomic::AtomicU64::new(0));
        tokio::spawn(async move {
            let mut tick = tokio::time::interval(REQUEST_INTERVAL);
            loop {
                tick.tick().await;
                let number = next.fetch_add(1, atomic::Ordering::Relaxed);
                let gateway = u8::try_from(number % u64::from(GATEWAYS)).expect("few");
                let address = net::SocketAddr::from((gateway_ip(gateway), callers));
                let attempt = format!("a{number}");
                tokio::spawn(async move { send(address, "POST", "/r/x", "", &attempt).await });
            }
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in &mut self.children {
            kill(child);
        }
    }
}

fn kill(child: &mut process::Child) {
    // The process may have ended already.
    let _ = child.kill();
    let _ = child.wait();
}

/// Sends the heartbeats of all upstreams, each to one control host after the other until one answers.
async fn send_heartbeats(runners: Runners, platform: u16) {
    for sequence in 1.. {
        let beats: Vec<(String, String)> = {
            let runners = runners.lock().expect("upstreams");
            let all = runners
                .iter()
                .flat_map(|(version, runners)| runners.iter().map(move |one| (version, one)));
            let beats = all.map(|(version, runner)| {
                let body = format!(
                    r#"{{"service":"s","address":"{}","zone":"d0","version":"{version}","slots":8,
                    "state":"ready","coldLeftMs":0,"sequence":{sequence},"born":7}}"#,
                    runner.address
                );
                (format!("/api/instances/{}", runner.name), body)
            });
            beats.collect()
        };
        for (path, body) in beats {
            for host in 0..CONTROL_HOSTS {
                let address = net::SocketAddr::from((control_ip(host), platform));
                if let Some((200, _body)) = send(address, "PUT", &path, &body, "beat").await {
                    break;
                }
            }
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a request on a new connection; returns the status and the body, if there is an answer.
async fn send(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    attempt: &str,
) -> Option<(u16, Bytes)> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let mut request = http::Request::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *request.method_mut() = method.parse().expect("a method");
    *request.uri_mut() = path.parse().expect("a path");
    let headers = [
        ("host", "h"),
        ("attempt-id", attempt),
        ("deadline-ms", "2000"),
    ];
    for (name, value) in headers {
        let value = value.parse().expect("a value");
        request.headers_mut().insert(name, value);
    }
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}
