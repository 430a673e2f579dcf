//! Stand-ins and helpers for the scripts in this folder: processes, HTTP, runners, consumers.
//!
//! It uses the standard library only. Each script includes this file as a module.

#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bounds of the small deployments, as their site pages state them.
pub const DRAIN_MS: u64 = 2000;
pub const EVACUATE_MS: u64 = 5000;
pub const CONTACT_MS: u64 = 3000;
pub const GRACE_S: u64 = 8;
/// Round trip between two zones.
pub const ROUND_TRIP: Duration = Duration::from_micros(2800);
/// Interval of heartbeats (`heartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// A caller of the control plane moves on after a second without a response.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes `record.txt`: one line for each thing sent, answered or run, with its time.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Record {
            file: Arc::new(Mutex::new(fs::File::create(path).expect("the record"))),
            start: Instant::now(),
        }
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0)
    }

    pub fn at(&self, instant: Instant) -> u64 {
        let since = instant.saturating_duration_since(self.start);
        u64::try_from(since.as_millis()).unwrap_or(0)
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>7} {text}", self.ms());
    }
}

// ---- processes ---------------------------------------------------------------------------------

/// A process of the project that a script started.
pub struct Process {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    pub name: String,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.log);
        let log = log.expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| {
            eprintln!("{} does not start: {error}", self.program.display());
            std::process::exit(2);
        }));
    }

    /// Sends a signal such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(pid)
                .status();
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: control hosts and gateways on loopback addresses of their own.
pub struct Deployment {
    pub folder: PathBuf,
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
    pub ports: Ports,
    pub zones: Vec<&'static str>,
    seeds: Vec<String>,
    root: PathBuf,
}

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub frontend: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
    pub metrics: u16,
    pub operators: u16,
}

fn is_free(ip: &str, port: u16) -> bool {
    TcpListener::bind(format!("{ip}:{port}")).is_ok()
}

/// Returns a port that is free on all these addresses.
pub fn find_port(ips: &[String], from: u16) -> u16 {
    let mut port = from;
    while !ips.iter().all(|ip| is_free(ip, port)) {
        port += 1;
    }
    port
}

pub fn control_ip(number: usize) -> String {
    format!("127.0.0.{}", 11 + number)
}

pub fn gateway_ip(number: usize) -> String {
    format!("127.0.0.{}", 41 + number)
}

pub fn runner_ip(number: usize) -> String {
    format!("127.0.0.{}", 71 + number)
}

impl Deployment {
    /// Writes the settings of `disks` control hosts with a disk, `diskless` ones without, and the
    /// gateways, from the templates of the deploy file.
    pub fn prepare(disks: usize, diskless: usize, gateways: usize) -> Deployment {
        let root = std::env::var("ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from);
        for program in ["peargap-control", "peargap-gateway"] {
            if !root.join("target/release").join(program).is_file() {
                eprintln!("the case cannot run: {program} is not built");
                std::process::exit(2);
            }
        }
        let folder = std::env::temp_dir().join(format!("peargap-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut ips: Vec<String> = (0..disks + diskless).map(control_ip).collect();
        ips.extend((0..gateways).map(gateway_ip));
        ips.push("127.0.0.1".to_owned());
        // Scripts that run at the same time begin at different ports.
        let start = 21000 + 20 * u16::try_from(std::process::id() % 500).unwrap_or(0);
        let frontend = find_port(&ips, start);
        let ready = find_port(&ips, frontend + 1);
        let control = find_port(&ips, ready + 1);
        let internal = find_port(&ips, control + 1);
        let metrics = find_port(&ips, internal + 1);
        let operators = find_port(&ips, metrics + 1);
        let ports = Ports {
            frontend,
            ready,
            control,
            internal,
            metrics,
            operators,
        };
        let seeds = (0..disks.min(3)).map(|n| format!("{}:{control}", control_ip(n)));
        let mut deployment = Deployment {
            folder,
            controls: Vec::new(),
            gateways: Vec::new(),
            ports,
            zones: vec!["osu", "tema", "madina", "kaneshie"],
            seeds: seeds.collect(),
            root,
        };
        for number in 0..disks + diskless {
            let settings = deployment.control_settings(number, number < disks, internal);
            let name = format!("control-{number}");
            let process = deployment.process("peargap-control", &name, &settings);
            deployment.controls.push(process);
        }
        for number in 0..gateways {
            let settings = deployment.gateway_settings(number, internal);
            let name = format!("gateway-{number}");
            let process = deployment.process("peargap-gateway", &name, &settings);
            deployment.gateways.push(process);
        }
        deployment
    }

    fn process(&self, program: &str, name: &str, settings: &str) -> Process {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).expect("settings");
        Process {
            child: None,
            settings: file,
            log: self.folder.join(format!("{name}.log")),
            program: self.root.join("target/release").join(program),
            name: name.to_owned(),
        }
    }

    fn zone(&self, number: usize) -> &'static str {
        self.zones[number % self.zones.len()]
    }

    fn fields(&self, ip: &str, zone: &str, name: &str, internal: u16) -> HashMap<String, String> {
        let ports = self.ports;
        let pairs = [
            ("nodeName", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_owned()),
            ("seeds", self.seeds.join(",")),
            ("bootstrap", "true".to_owned()),
            ("internalPorts.0", internal.to_string()),
            ("internalPorts.1", ports.metrics.to_string()),
            ("listen.frontendAddr", format!("{ip}:{}", ports.frontend)),
            ("listen.readyAddr", format!("{ip}:{}", ports.ready)),
            ("listen.control", format!("{ip}:{}", ports.control)),
            ("limits.memoryMb", "260".to_owned()),
            ("faultTolerance.machines", "1".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBurst", "58".to_owned()),
            ("bounds.retryWindowS", "10".to_owned()),
            ("bounds.graceS", GRACE_S.to_string()),
        ];
        pairs
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value))
            .collect()
    }

    /// Settings of a control host. The operators' address is moved off its usual port, which several
    /// control hosts on one machine would share.
    pub fn control_settings(&self, number: usize, has_disk: bool, internal: u16) -> String {
        let ip = control_ip(number);
        let name = format!("edge-{}-{number}", self.zone(number));
        let mut fields = self.fields(&ip, self.zone(number), &name, internal);
        if has_disk {
            let data = self.folder.join(format!("data-{number}"));
            fields.insert("dataDir".to_owned(), data.display().to_string());
        }
        let template = fs::read_to_string(self.root.join("deploy/control.ini"));
        let text = render(&template.expect("the template"), &fields);
        let usual = format!("operators = 127.0.0.1:{internal}");
        text.replace(
            &usual,
            &format!("operators = {ip}:{}", self.ports.operators),
        )
    }

    pub fn gateway_settings(&self, number: usize, internal: u16) -> String {
        let ip = gateway_ip(number);
        let name = format!("edge-{}-{}", self.zone(number), number + 10);
        let fields = self.fields(&ip, self.zone(number), &name, internal);
        let template = fs::read_to_string(self.root.join("deploy/gateway.ini"));
        render(&template.expect("the template"), &fields)
    }

    /// Overwrites the settings of a control host.
    pub fn rewrite_control(&self, number: usize, settings: &str) {
        fs::write(&self.controls[number].settings, settings).expect("settings");
    }

    pub fn start_all(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.start();
        }
    }

    pub fn control_address(&self, number: usize) -> SocketAddr {
        address(&control_ip(number), self.ports.control)
    }

    pub fn frontend(&self, number: usize) -> SocketAddr {
        address(&gateway_ip(number), self.ports.frontend)
    }

    /// Sends a desired state until a control host acknowledges it.
    pub fn publish(&self, record: &Record, text: &str) {
        let count = self.controls.len();
        for attempt in 0..60 {
            let to = self.control_address(attempt % count);
            let reply = call(to, "PUT", "/api/config", &[], text.as_bytes(), CALL_TIMEOUT);
            if let Ok(reply) = &reply {
                if reply.status == 200 {
                    record.line(&format!("operator: desired state acknowledged by {to}"));
                    return;
                }
                record.line(&format!(
                    "operator: {to} answered {} to a desired state",
                    reply.status
                ));
            }
            sleep_ms(300);
        }
        self.give_up("no desired state was acknowledged");
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for number in 0..self.gateways.len() {
            let to = address(&gateway_ip(number), self.ports.ready);
            loop {
                let reply = call(to, "GET", "/readyz", &[], b"", CALL_TIMEOUT);
                if reply.is_ok_and(|reply| reply.status == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    self.give_up("the gateways are not ready");
                }
                sleep_ms(100);
            }
        }
    }

    /// Ends the script as one that could not run.
    pub fn give_up(&self, why: &str) -> ! {
        eprintln!("the case cannot run: {why}");
        for process in self.controls.iter().chain(&self.gateways) {
            process.signal("KILL");
        }
        std::process::exit(2);
    }

    /// Ends all processes and the script: 1 if the rule was broken, 0 if it held.
    pub fn finish(mut self, record: &Record, broken: bool) -> ! {
        for process in self.controls.iter_mut().chain(&mut self.gateways) {
            process.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
        record.say(if broken {
            "RESULT: the rule was broken"
        } else {
            "RESULT: the rule held"
        });
        std::process::exit(i32::from(broken));
    }
}

pub fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("an address")
}

/// Fills in a template of the deploy file: values, sections and inverted sections.
pub fn render(template: &str, fields: &HashMap<String, String>) -> String {
    render_in(template, fields, None)
}

fn render_in(template: &str, fields: &HashMap<String, String>, current: Option<&str>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let after = &rest[start + 2..];
        let end = after.find("}}").expect("a closed placeholder");
        let tag = &after[..end];
        let after = &after[end + 2..];
        if let Some(key) = tag.strip_prefix('#').or_else(|| tag.strip_prefix('^')) {
            let close = format!("{{{{/{key}}}}}");
            let stop = after.find(&close).expect("a closed section");
            let value = fields
                .get(key)
                .filter(|value| !value.is_empty() && *value != "false");
            match (tag.starts_with('#'), value) {
                (true, Some(value)) => {
                    out.push_str(&render_in(&after[..stop], fields, Some(value)))
                }
                (false, None) => out.push_str(&render_in(&after[..stop], fields, current)),
                _ => {}
            }
            rest = &after[stop + close.len()..];
            continue;
        }
        match tag {
            "." => out.push_str(current.unwrap_or_default()),
            key => out.push_str(fields.get(key).map_or("", String::as_str)),
        }
        rest = after;
    }
    out.push_str(rest);
    out
}

// ---- HTTP --------------------------------------------------------------------------------------

/// A message that was read: a request at a server, a response at a client.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one message from a connection; `buffer` keeps what comes after it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, buffer)? {
            return match buffer.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let mut words = first.splitn(3, ' ');
    let mut message = Message::default();
    let word = words.next().unwrap_or_default().to_owned();
    match word.starts_with("HTTP/") {
        true => message.status = words.next().and_then(|s| s.parse().ok()).unwrap_or(0),
        false => {
            message.method = word;
            message.path = words.next().unwrap_or_default().to_owned();
        }
    }
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        read_chunks(stream, buffer, &mut message.body)?;
        return Ok(Some(message));
    }
    let length = message
        .header("content-length")
        .and_then(|length| length.parse::<usize>().ok());
    match length {
        Some(length) => {
            while buffer.len() < length {
                if !fill(stream, buffer)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = buffer.drain(..length).collect();
        }
        None if message.status >= 200 && message.status != 204 && message.status != 304 => {
            while fill(stream, buffer)? {}
            message.body = std::mem::take(buffer);
        }
        None => {}
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let end = loop {
            if let Some(end) = find(buffer, b"\r\n") {
                break end;
            }
            if !fill(stream, buffer)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let length = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16);
        let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        buffer.drain(..end + 2);
        while buffer.len() < length + 2 {
            if !fill(stream, buffer)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend_from_slice(&buffer[..length]);
        buffer.drain(..length + 2);
        if length == 0 {
            return Ok(());
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = [0; 16384];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}

/// Writes a request.
pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str("Host: control\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    write_request(&mut stream, method, path, headers, body)?;
    let mut buffer = Vec::new();
    let message = read_message(&mut stream, &mut buffer)?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Accepts connections until the listener's owner ends; `serve` handles one connection.
pub fn listen<F>(ip: &str, stopped: Arc<AtomicBool>, serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(format!("{ip}:0")).expect("an address");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a listener");
    thread::spawn(move || {
        while !stopped.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let serve = serve.clone();
                    thread::spawn(move || serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    address
}

// ---- runners -----------------------------------------------------------------------------------

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
}

/// A plain runner that answers each request after `work`, and sends heartbeats.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub born: u64,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Set once its process has ended.
    pub gone: Arc<AtomicBool>,
    /// Control hosts, in the order in which it calls them.
    pub hosts: Vec<SocketAddr>,
    pub sequence: Arc<AtomicU64>,
    /// Index in `hosts` of the one it calls.
    pub host: Arc<AtomicU64>,
    /// Set while it sends heartbeats.
    pub beating: Arc<AtomicBool>,
    /// End of its cold start, if it is cold.
    pub cold_until: Arc<Mutex<Option<Instant>>>,
    pub record: Record,
}

impl Runner {
    pub fn start(
        record: &Record,
        number: usize,
        id: &str,
        service: &str,
        zone: &str,
        hosts: Vec<SocketAddr>,
        work: Duration,
    ) -> Arc<Runner> {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let gone = Arc::new(AtomicBool::new(false));
        let (seen, own, ended) = (arrivals.clone(), id.to_owned(), gone.clone());
        let log = record.clone();
        let address = listen(&runner_ip(number), gone.clone(), move |mut stream| {
            serve_plain(&mut stream, &own, &seen, &ended, work, &log);
        });
        Arc::new(Runner {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: unix_ms(),
            arrivals,
            gone,
            hosts,
            sequence: Arc::default(),
            host: Arc::default(),
            beating: Arc::new(AtomicBool::new(true)),
            cold_until: Arc::default(),
            record: record.clone(),
        })
    }

    /// Sends a heartbeat each `HEARTBEAT` from a thread of its own, as long as `beating` is set. It
    /// stays with a host until a call there fails, then calls the next one.
    pub fn beat(self: &Arc<Runner>) {
        let runner = self.clone();
        thread::spawn(move || {
            while runner.beating.load(Ordering::SeqCst) {
                runner.announce("ready");
                let until = Instant::now() + HEARTBEAT;
                while Instant::now() < until && runner.beating.load(Ordering::SeqCst) {
                    sleep_ms(10);
                }
            }
        });
    }

    /// Announces its state; returns the host that acknowledged it.
    pub fn announce(&self, state: &str) -> Option<SocketAddr> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold_until = *self.cold_until.lock().unwrap();
        let cold_left = cold_until.map_or(0, |end| {
            end.saturating_duration_since(Instant::now()).as_millis()
        });
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldLeftMs\":{cold_left},\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        self.tell("PUT", body.as_bytes())
    }

    /// Says that it leaves; returns the host that acknowledged it.
    pub fn leave(&self) -> Option<SocketAddr> {
        self.tell("DELETE", b"")
    }

    fn tell(&self, method: &str, body: &[u8]) -> Option<SocketAddr> {
        let path = format!("/api/instances/{}", self.id);
        let json = [("Content-Type", "application/json")];
        for _ in 0..self.hosts.len() * 2 {
            let index = self.host.load(Ordering::SeqCst) as usize % self.hosts.len();
            let to = self.hosts[index];
            match call(to, method, &path, &json, body, CALL_TIMEOUT) {
                Ok(reply) if reply.status / 100 == 2 => {
                    self.record
                        .line(&format!("{} {method} to {to}: {}", self.id, reply.status));
                    return Some(to);
                }
                Ok(reply) => {
                    self.record
                        .line(&format!("{} {method} to {to}: {}", self.id, reply.status));
                }
                Err(error) => {
                    self.record
                        .line(&format!("{} {method} to {to} failed: {error}", self.id));
                }
            }
            self.host.fetch_add(1, Ordering::SeqCst);
        }
        None
    }

    /// Ends its process: it listens no more.
    pub fn exit(&self) {
        self.beating.store(false, Ordering::SeqCst);
        self.gone.store(true, Ordering::SeqCst);
    }

    pub fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }

    pub fn arrivals_after(&self, instant: Instant) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals
            .iter()
            .filter(|arrival| arrival.at > instant)
            .cloned()
            .collect()
    }
}

fn serve_plain(
    stream: &mut TcpStream,
    id: &str,
    arrivals: &Mutex<Vec<Arrival>>,
    gone: &AtomicBool,
    work: Duration,
    record: &Record,
) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_message(stream, &mut buffer) {
        if gone.load(Ordering::SeqCst) {
            return;
        }
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let target = request.header("target-instance").unwrap_or(id);
        if target != id {
            let _ = write_response(stream, 421, &[("Attempt-Id", &attempt)], b"");
            continue;
        }
        arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            attempt: attempt.clone(),
        });
        record.line(&format!("{id} runs {attempt}"));
        thread::sleep(work);
        let signature = format!("sig-{id}-{attempt}");
        let headers = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Signature", &signature),
        ];
        if write_response(
            stream,
            200,
            &headers,
            format!("done {attempt} by {id}").as_bytes(),
        )
        .is_err()
        {
            return;
        }
    }
}

pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} S\r\nContent-Length: {}\r\nKeep-Alive: timeout=15\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---- consumers ---------------------------------------------------------------------------------

/// What became of a request of a consumer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub attempt: String,
    pub sent: Instant,
    /// Status; 0 if the connection ended without an answer.
    pub status: u16,
}

/// Sends requests at a steady rate to the gateways in turn, each on a new connection.
pub struct Consumers {
    pub answers: Arc<Mutex<Vec<Answer>>>,
    running: Arc<AtomicBool>,
}

impl Consumers {
    pub fn start(
        record: &Record,
        to: Vec<SocketAddr>,
        path: &'static str,
        method: &'static str,
        per_s: u64,
        deadline_ms: u64,
    ) -> Consumers {
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let running = Arc::new(AtomicBool::new(true));
        let (all, run, record) = (answers.clone(), running.clone(), record.clone());
        thread::spawn(move || {
            let mut number = 0;
            while run.load(Ordering::SeqCst) {
                number += 1;
                let (answers, record) = (all.clone(), record.clone());
                let gateway = to[number % to.len()];
                thread::spawn(move || {
                    let attempt = format!("{number:016x}");
                    let deadline = deadline_ms.to_string();
                    let headers = [
                        ("Host", "desk.example"),
                        ("Attempt-Id", attempt.as_str()),
                        ("Deadline-Ms", deadline.as_str()),
                        ("X-Api-Key", "key-of-team-one"),
                    ];
                    let sent = Instant::now();
                    let timeout = Duration::from_millis(deadline_ms);
                    let body: &[u8] = if method == "GET" { b"" } else { b"book a gown" };
                    let reply = call(gateway, method, path, &headers, body, timeout);
                    let status = reply.as_ref().map_or(0, |reply| reply.status);
                    record.line(&format!("consumer: {attempt} to {gateway}: {status}"));
                    answers.lock().unwrap().push(Answer {
                        attempt,
                        sent,
                        status,
                    });
                });
                thread::sleep(Duration::from_micros(1_000_000 / per_s));
            }
        });
        Consumers { answers, running }
    }

    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
    }

    /// Counts the answers to requests sent in a span, by status.
    pub fn count(&self, from: Instant, to: Instant) -> HashMap<u16, usize> {
        let mut counts = HashMap::new();
        for answer in self.answers.lock().unwrap().iter() {
            if answer.sent >= from && answer.sent < to {
                *counts.entry(answer.status).or_default() += 1;
            }
        }
        counts
    }
}

/// A desired state with one service and one route to it.
pub fn plain_state(version: u64, kind: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-desk\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/desk/\",\"routeType\":\"{kind}\",\"timeoutMs\":2500,\"latencySloMs\":150,\
         \"priority\":2,\"service\":\"desk\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\
         \"resumable\":false}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\
         \"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"team-one\",\
         \"apiKeys\":[\"key-of-team-one\"],\"priority\":1}}]}}"
    )
}

// ---- a link that can be cut --------------------------------------------------------------------

/// A proxy on one link. While the link is cut, what was sent on open connections is held and
/// delivered afterwards, as TCP does by sending again; new connections never come about.
pub struct Link {
    is_cut: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

impl Link {
    /// Carries connections to `from` on to `to`.
    pub fn start(from: SocketAddr, to: SocketAddr) -> Link {
        let is_cut = Arc::new(AtomicBool::new(false));
        let stopped = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(from).expect("an address for a proxy");
        listener.set_nonblocking(true).expect("a listener");
        let (cut, stop) = (is_cut.clone(), stopped.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((inner, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = inner.set_nonblocking(false);
                let cut = cut.clone();
                thread::spawn(move || carry(inner, to, &cut));
            }
        });
        Link { is_cut, stopped }
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

fn carry(inner: TcpStream, to: SocketAddr, is_cut: &Arc<AtomicBool>) {
    if is_cut.load(Ordering::SeqCst) {
        // Its first packet is lost. It is silent until the link is whole, then ends.
        while is_cut.load(Ordering::SeqCst) {
            sleep_ms(5);
        }
        return;
    }
    let Ok(outer) = TcpStream::connect_timeout(&to, Duration::from_millis(300)) else {
        return;
    };
    let _ = inner.set_nodelay(true);
    let _ = outer.set_nodelay(true);
    let pairs = [
        (inner.try_clone(), outer.try_clone()),
        (outer.try_clone(), inner.try_clone()),
    ];
    for (from, to) in pairs {
        let (Ok(from), Ok(to)) = (from, to) else {
            return;
        };
        let is_cut = is_cut.clone();
        thread::spawn(move || copy(from, to, &is_cut));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16384];
    loop {
        let count = from.read(&mut bytes);
        let was_cut = is_cut.load(Ordering::SeqCst);
        while is_cut.load(Ordering::SeqCst) {
            sleep_ms(2);
        }
        match count {
            Ok(0) => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(count) => {
                if to.write_all(&bytes[..count]).is_err() {
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    return;
                }
                if was_cut {
                    // After a loss, TCP sends one segment, and the next one when that is confirmed.
                    thread::sleep(ROUND_TRIP);
                }
            }
            Err(_) => {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
