//! A small deployment on loopback addresses: machines that each run a control host and a gateway, with
//! the commands and the settings templates of the deploy file filled in.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Zones of the deployment; each has one machine.
pub const ZONES: [&str; 3] = ["osu", "tema", "madina"];

const SECOND: Duration = Duration::from_secs(1);

/// IDs of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and still run.
pub fn kill_all() {
    for id in RUNNING
        .lock()
        .unwrap_or_else(|error| error.into_inner())
        .drain(..)
    {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control_health: u16,
    operators: u16,
    control: u16,
    callers: u16,
    ready: u16,
}

/// A machine with a control host and a gateway.
pub struct Machine {
    pub ip: IpAddr,
    zone: &'static str,
    control: Option<Child>,
    gateway: Option<Child>,
}

/// The deployment; its processes end when it is dropped.
pub struct Deployment {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    ports: Ports,
    record: Record,
}

impl Deployment {
    /// Starts all machines and waits until they serve `document`.
    pub fn start(record: &Record, document: &str) -> Result<Deployment, String> {
        let folder = std::env::temp_dir().join(format!("peargap-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (first, ports) = find_addresses()?;
        let machines = ZONES.iter().enumerate().map(|(index, zone)| Machine {
            ip: IpAddr::V4(Ipv4Addr::new(127, first.0, first.1, index as u8 + 1)),
            zone,
            control: None,
            gateway: None,
        });
        let mut deployment = Deployment {
            machines: machines.collect(),
            folder,
            ports,
            record: record.clone(),
        };
        for index in 0..ZONES.len() {
            deployment.start_machine(index, true)?;
        }
        deployment.publish(document, 30 * SECOND)?;
        deployment.wait_until_ready(20 * SECOND)?;
        Ok(deployment)
    }

    /// Returns the address at which a gateway takes requests.
    pub fn callers(&self, machine: usize) -> SocketAddr {
        http::at(self.machines[machine].ip, self.ports.callers)
    }

    /// Returns the address at which a control host is called.
    pub fn control(&self, machine: usize) -> SocketAddr {
        http::at(self.machines[machine].ip, self.ports.control)
    }

    /// Returns the addresses of all control hosts.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.machines.len())
            .map(|index| self.control(index))
            .collect()
    }

    /// Starts the processes of a machine.
    pub fn start_machine(&mut self, index: usize, bootstrap: bool) -> Result<(), String> {
        let control =
            self.write_settings(index, "control", self.control_settings(index, bootstrap))?;
        let gateway = self.write_settings(index, "gateway", self.gateway_settings(index))?;
        let control = self.spawn("peargap-control", &control)?;
        let gateway = self.spawn("peargap-gateway", &gateway)?;
        self.record.line(&format!("machine {index} starts"));
        let machine = &mut self.machines[index];
        machine.control = Some(control);
        machine.gateway = Some(gateway);
        Ok(())
    }

    /// Kills the processes of a machine (SIGKILL).
    pub fn kill_machine(&mut self, index: usize) {
        self.record
            .line(&format!("machine {index}: both processes get SIGKILL"));
        let machine = &mut self.machines[index];
        for child in [&mut machine.control, &mut machine.gateway] {
            end(child);
        }
    }

    /// Sends a document until it is acknowledged.
    pub fn publish(&self, document: &str, timeout: Duration) -> Result<(), String> {
        let deadline = Instant::now() + timeout;
        let headers = [("Content-Type", "application/json")];
        let body = document.as_bytes();
        let request = http::format_request("PUT", "/api/config", "control", &headers, body);
        loop {
            for address in self.controls() {
                let status = http::call(address, &request, SECOND).map(|answer| answer.status());
                if let Ok(200) = status {
                    self.record.line("desired state acknowledged");
                    return Ok(());
                }
            }
            if Instant::now() > deadline {
                return Err("no control host acknowledged the desired state".to_owned());
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    fn wait_until_ready(&self, timeout: Duration) -> Result<(), String> {
        let deadline = Instant::now() + timeout;
        let request = http::format_request("GET", "/readyz", "ready", &[], &[]);
        for machine in &self.machines {
            let address = http::at(machine.ip, self.ports.ready);
            while !http::call(address, &request, SECOND).is_ok_and(|answer| answer.status() == 200)
            {
                if Instant::now() > deadline {
                    return Err(format!("the gateway at {address} does not become ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    fn seeds(&self) -> String {
        let seeds = self.machines.iter();
        let seeds = seeds.map(|machine| http::at(machine.ip, self.ports.control).to_string());
        seeds.collect::<Vec<_>>().join(",")
    }

    /// `deploy/control.ini` with the figures of the lending site.
    fn control_settings(&self, index: usize, bootstrap: bool) -> String {
        let Machine { ip, zone, .. } = &self.machines[index];
        let Ports {
            internal,
            control_health,
            operators,
            control,
            ..
        } = self.ports;
        let seeds = self.seeds();
        let voters = if bootstrap { seeds.as_str() } else { "" };
        let data = self.folder.join(format!("data-{index}"));
        let data = data.display();
        format!(
            "[node]\nname = {ip}:{control}\ndomain = {zone}\n\n\
             [listen]\ninternal = {ip}:{internal}\noperators = {ip}:{operators}\n\
             health = {ip}:{control_health}\nplatform = {ip}:{control}\n\n\
             [membership]\nport = {internal}\nseeds = {seeds}\nlost_hosts = 1\n\n\
             [bootstrap]\nvoters = {voters}\n\n\
             [data]\nfolder = {data}\nvolatile = false\nlimit_mb = 48\ntrust_copy = true\n\n\
             [memory]\nhost_mb = 260\n\n[connections]\ndescriptors = 4100\n\n\
             [timing]\nheartbeat_ms = 200\nelection_ms = 800\nlease_ms = 1500\n\n\
             [log]\nformat = json\nlevel = info\n"
        )
    }

    /// `deploy/gateway.ini` with the figures of the lending site.
    fn gateway_settings(&self, index: usize) -> String {
        let Machine { ip, zone, .. } = &self.machines[index];
        let Ports {
            internal,
            callers,
            ready,
            ..
        } = self.ports;
        let seeds = self.seeds();
        format!(
            "[node]\nname = edge-{zone}-1\ndomain = {zone}\n\n\
             [listen]\ncallers = {ip}:{callers}\nhealth = {ip}:{ready}\n\n\
             [control]\nseeds = {seeds}\nport = {internal}\n\n\
             [memory]\nhost_mb = 260\n\n[connections]\ndescriptors = 4100\n\n\
             [retries]\nratio = 0.2\nburst = 58\nwindow_s = 10\n\n\
             [waiting]\nin_order = true\n\n[stop]\ngrace_ms = 8000\n\n\
             [log]\nformat = json\nlevel = info\n"
        )
    }

    fn write_settings(&self, index: usize, role: &str, text: String) -> Result<PathBuf, String> {
        let path = self.folder.join(format!("{role}-{index}.ini"));
        fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path)
    }

    fn spawn(&self, program: &str, settings: &Path) -> Result<Child, String> {
        let log = settings.with_extension("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(format!("target/release/{program}"));
        command
            .arg("--config")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let child = command
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        RUNNING
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .push(child.id());
        Ok(child)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            end(&mut machine.control);
            end(&mut machine.gateway);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

fn end(child: &mut Option<Child>) {
    if let Some(mut child) = child.take() {
        let _ = child.kill();
        let _ = child.wait();
        let id = child.id();
        RUNNING
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .retain(|known| *known != id);
    }
}

/// Returns the second and third byte of a loopback network and ports that are free there.
fn find_addresses() -> Result<((u8, u8), Ports), String> {
    let seed = std::process::id() as u64 * 7919 + Instant::now().elapsed().as_nanos() as u64;
    for attempt in 0..200 {
        let draw = seed.wrapping_add(attempt * 104_729);
        let network = (10 + (draw % 190) as u8, 1 + (draw / 190 % 250) as u8);
        let base = 20_000 + (draw % 1000) as u16 * 8;
        let is_free = |port| {
            (1..=ZONES.len() as u8).all(|host| {
                let ip = Ipv4Addr::new(127, network.0, network.1, host);
                TcpListener::bind((ip, port)).is_ok()
            })
        };
        if (base..base + 6).all(is_free) {
            let ports = Ports {
                internal: base,
                control_health: base + 1,
                operators: base + 2,
                control: base + 3,
                callers: base + 4,
                ready: base + 5,
            };
            return Ok((network, ports));
        }
    }
    Err("no free ports".to_owned())
}

/// The desired state: orders that may run once, lookups that may run again, and generations.
pub fn document(version: u64) -> String {
    let engine = r#"{"slots":24,"kvCapacity":34206,"kvTokenBytes":18432,"linkMbps":2700.0,"moves":true,"backups":false,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}"#;
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"guide","host":"lending.example","pathPrefix":"/guide/","routeType":"streaming","timeoutMs":39000,"latencySloMs":1800,"priority":0,"service":"pool","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"itlTargetMs":180}},
{{"name":"reserve","host":"lending.example","pathPrefix":"/reserve/","routeType":"non_idempotent","timeoutMs":2500,"latencySloMs":150,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}},
{{"name":"stock","host":"lending.example","pathPrefix":"/stock/","routeType":"idempotent","timeoutMs":2500,"latencySloMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}],
"services":[{{"name":"pool","healthPath":"/healthz","maxConns":252,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"engine":{engine}}},
{{"name":"desk","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}}]}}"#
    )
}

/// The key of the tenant in [`document`].
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// The host of the routes in [`document`].
pub const HOST: &str = "lending.example";
