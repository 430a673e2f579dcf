//! A small deployment on loopback addresses: three control hosts and gateways as separate processes, with
//! the commands of the deploy file and settings like those that its templates give.

use std::fs;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Ends a process when dropped.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Deployment {
    /// Addresses at which control hosts serve runners and operators.
    pub control: Vec<SocketAddr>,
    /// Addresses at which gateways serve callers.
    pub gateways: Vec<SocketAddr>,
    net: u8,
    _processes: Vec<Process>,
}

const CONTROL_HOSTS: u8 = 3;

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok()
}

fn start(folder: &Path, program: &str, name: &str, settings: &str) -> Process {
    let path = folder.join(format!("{name}.ini"));
    fs::write(&path, settings).expect("settings");
    let log = fs::File::create(folder.join(format!("{name}.log"))).expect("log");
    let errors = log.try_clone().expect("log");
    let child = Command::new(format!("target/release/{program}"))
        .arg("--config")
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the programs of the deploy file have to be built");
    // For `run.sh`, which ends what is left if the case itself is ended.
    let pids = fs::OpenOptions::new().create(true).append(true).open(folder.join("pids"));
    let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
    Process { child }
}

impl Deployment {
    /// Starts it and waits until it takes a desired state.
    pub fn start(folder: &Path, gateways: u8, document: &str, record: &Record) -> Option<Deployment> {
        let pid = std::process::id();
        let net = (1 + pid % 250) as u8;
        let ip = |host: u8| Ipv4Addr::new(127, 83, net, host);
        let hosts = CONTROL_HOSTS + gateways;
        let port = (0..200).map(|step| 20_000 + ((pid * 7 + step * 37) % 9_000) as u16 * 4).find(
            |port| (1..=hosts).all(|host| (0..4).all(|n| is_free((ip(host), port + n).into()))),
        )?;
        let at = |host: u8, number: u16| SocketAddr::from((ip(host), port + number));
        let control: Vec<SocketAddr> = (1..=CONTROL_HOSTS).map(|host| at(host, 0)).collect();
        let seeds: Vec<String> = control.iter().map(ToString::to_string).collect();
        let seeds = seeds.join(",");
        let mut processes = Vec::new();
        for host in 1..=CONTROL_HOSTS {
            let data: PathBuf = folder.join(format!("data-{host}"));
            let settings = format!(
                "[node]\nname = {name}\ndomain = z{host}\n\
                 [listen]\ninternal = {internal}\noperators = {operators}\nhealth = {health}\nplatform = {name}\n\
                 [membership]\nport = {port}\nseeds = {seeds}\nlost_hosts = 1\n\
                 [bootstrap]\nvoters = {seeds}\n\
                 [data]\nfolder = {data}\nvolatile = false\nlimit_mb = 48\ntrust_copy = true\n\
                 [memory]\nhost_mb = 260\n[connections]\ndescriptors = 4100\n\
                 [timing]\nheartbeat_ms = 200\nelection_ms = 800\nlease_ms = 1500\n\
                 [log]\nformat = json\nlevel = info\n",
                name = at(host, 0),
                internal = at(host, 1),
                operators = at(host, 2),
                health = at(host, 3),
                port = port + 1,
                data = data.display(),
            );
            processes.push(start(folder, "peargap-control", &format!("control-{host}"), &settings));
        }
        let mut addresses = Vec::new();
        for number in 1..=gateways {
            let host = CONTROL_HOSTS + number;
            let settings = format!(
                "[node]\nname = edge-{number}\ndomain = z{number}\n\
                 [listen]\ncallers = {callers}\nhealth = {health}\n\
                 [control]\nseeds = {seeds}\nport = {port}\n\
                 [memory]\nhost_mb = 260\n[connections]\ndescriptors = 4100\n\
                 [retries]\nratio = 0.2\nburst = 58\nwindow_s = 10\n\
                 [waiting]\nin_order = true\n[stop]\ngrace_ms = 8000\n\
                 [log]\nformat = json\nlevel = info\n",
                callers = at(host, 0),
                health = at(host, 1),
                port = port + 1,
            );
            processes.push(start(folder, "peargap-gateway", &format!("gateway-{number}"), &settings));
            addresses.push(at(host, 0));
        }
        let deployment = Deployment { control, gateways: addresses, net, _processes: processes };
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let sent = http::call(
                deployment.control[0],
                "PUT",
                "/api/config",
                document,
                Duration::from_secs(2),
            );
            if matches!(sent, Ok((200, _))) {
                record.line("desired state acknowledged");
                return Some(deployment);
            }
            sleep(Duration::from_millis(200));
        }
        record.line("no control host acknowledged the desired state");
        None
    }

    /// Returns a free address for a runner; `host` tells runners apart.
    pub fn runner_address(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 84, self.net, host)
    }
}
