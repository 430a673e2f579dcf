//! Model runners as the platform's pages describe them: generations as streams of events, copies of their
//! memory, heartbeats, and the faults that a case asks for.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Head};
use crate::record::Record;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Idle time after which a runner that drops idle connections has dropped one.
const SILENT_DROP: Duration = Duration::from_millis(800);

/// What is wrong with a runner; nothing by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// It has dropped its idle connections without notice: what is sent next on one is reset.
    pub drops_idle: bool,
    /// It rejects requests with 503 and this `Retry-After`, in seconds.
    pub retry_after: Option<u32>,
    /// Two requests of five get a 500 whose body never ends.
    pub stalls: bool,
}

/// How a runner behaves that is sound.
#[derive(Clone, Debug)]
pub struct Traits {
    /// It works on when the connection of a request closes.
    pub works_on: bool,
    /// Requests that it runs at once; others wait.
    pub slots: usize,
}

impl Default for Traits {
    fn default() -> Traits {
        Traits { works_on: false, slots: 24 }
    }
}

/// One run of a request at a runner.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub runner: String,
    pub began_ms: u64,
    /// When it last produced an event.
    pub worked_ms: u64,
    pub resumed: bool,
}

/// What all runners of a case share.
#[derive(Clone)]
pub struct Group(Arc<Shared>);

struct Shared {
    record: Record,
    runs: Mutex<Vec<Run>>,
    /// Copies of memory, by the address that holds them and the name after `Kv-From`.
    copies: Mutex<HashMap<(String, String), u64>>,
    handles: AtomicU64,
}

#[derive(Clone)]
pub struct Runner(Arc<Inner>);

struct Inner {
    address: SocketAddr,
    born_ms: u64,
    draining: AtomicBool,
    faults: Mutex<Faults>,
    group: Group,
    name: String,
    sequence: AtomicU64,
    service: &'static str,
    stops: Mutex<HashMap<String, Arc<AtomicBool>>>,
    count: AtomicU64,
    /// Requests that run.
    running: Mutex<usize>,
    traits: Traits,
    zone: String,
}

/// A request that arrived, for cases that look at arrivals.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Group {
    pub fn new(record: &Record) -> Group {
        Group(Arc::new(Shared {
            record: record.clone(),
            runs: Mutex::default(),
            copies: Mutex::default(),
            handles: AtomicU64::new(1),
        }))
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Returns the runner at which a request runs, or last ran.
    pub fn holder(&self, attempt: &str) -> Option<String> {
        let runs = self.runs();
        runs.iter().rev().find(|run| run.attempt == attempt).map(|run| run.runner.clone())
    }

    /// Starts a runner, which sends heartbeats to the control hosts.
    pub fn start(
        &self,
        name: &str,
        service: &'static str,
        zone: &str,
        ip: Ipv4Addr,
        traits: Traits,
        control: &[SocketAddr],
    ) -> io::Result<Runner> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let runner = Runner(Arc::new(Inner {
            address: listener.local_addr()?,
            born_ms: born.as_millis() as u64,
            draining: AtomicBool::new(false),
            faults: Mutex::default(),
            group: self.clone(),
            name: name.to_owned(),
            sequence: AtomicU64::new(0),
            service,
            stops: Mutex::default(),
            count: AtomicU64::new(0),
            running: Mutex::default(),
            traits,
            zone: zone.to_owned(),
        }));
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        let beating = runner.clone();
        let control = control.to_vec();
        thread::spawn(move || loop {
            beating.beat(&control);
            thread::sleep(HEARTBEAT);
        });
        Ok(runner)
    }
}

impl Runner {
    pub fn name(&self) -> &str {
        &self.0.name
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.0.faults.lock().unwrap() = faults;
    }

    fn faults(&self) -> Faults {
        self.0.faults.lock().unwrap().clone()
    }

    fn record(&self, text: String) {
        self.0.group.0.record.line(text);
    }

    /// Sends a heartbeat to one control host after the other until one acknowledges it.
    fn beat(&self, control: &[SocketAddr]) -> bool {
        let inner = &self.0;
        let sequence = inner.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if inner.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":24,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"phase\":\"unified\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence},\"born\":{}}}",
            inner.service, inner.address, inner.zone, inner.born_ms
        );
        let path = format!("/api/instances/{}", inner.name);
        control.iter().any(|host| {
            let sent = http::call(*host, "PUT", &path, &body, Duration::from_secs(1));
            matches!(sent, Ok((200..=299, _)))
        })
    }

    /// Reports that it is draining; returns whether a control host has acknowledged that.
    pub fn drain(&self, control: &[SocketAddr]) -> bool {
        self.0.draining.store(true, Ordering::SeqCst);
        self.record(format!("{} reports that it is draining", self.0.name));
        let acknowledged = self.beat(control);
        self.record(format!("{} draining, acknowledged={acknowledged}", self.0.name));
        acknowledged
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        let mut is_first = true;
        loop {
            let since = Instant::now();
            let mut byte = [0];
            if !matches!(connection.stream.peek(&mut byte), Ok(1)) {
                return;
            }
            if !is_first && self.faults().drops_idle && since.elapsed() >= SILENT_DROP {
                // Closed with unread bytes, which resets it.
                self.record(format!("{} resets what was sent on a connection that it had dropped", self.0.name));
                return;
            }
            is_first = false;
            let Ok(head) = connection.read_head() else {
                return;
            };
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            let kept = self.answer(&mut connection, Request { head, body });
            if !matches!(kept, Ok(true)) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection is kept.
    fn answer(&self, connection: &mut Connection, request: Request) -> io::Result<bool> {
        let method = request.head.first[0].clone();
        let path = request.head.first.get(1).cloned().unwrap_or_default();
        if path == "/healthz" || path == "/api/report" {
            let status = if self.0.draining.load(Ordering::SeqCst) { 503 } else { 200 };
            return self.plain(connection, status, "", "{}");
        }
        if path == "/api/kv-move" {
            return self.copy(connection, &request.body);
        }
        if let ("DELETE", Some(handle)) = (method.as_str(), path.strip_prefix("/api/kv-handle/")) {
            self.record(format!("{} frees {handle}", self.0.name));
            return self.plain(connection, 200, "", "{}");
        }
        self.generate(connection, &request)
    }

    fn plain(&self, connection: &mut Connection, status: u16, headers: &str, body: &str) -> io::Result<bool> {
        let length = body.len();
        connection.write(
            format!(
                "HTTP/1.1 {status} X\r\nInstance-Id: {}\r\n{headers}Keep-Alive: timeout=5\r\n\
                 Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}",
                self.0.name
            )
            .as_bytes(),
        )?;
        Ok(true)
    }

    /// Copies a run's memory, and stops the run if the call is the final one.
    fn copy(&self, connection: &mut Connection, body: &[u8]) -> io::Result<bool> {
        let text = String::from_utf8_lossy(body).into_owned();
        let field = |name: &str| {
            let from = text.split(&format!("\"{name}\":")).nth(1)?;
            Some(from.trim_start_matches('"').split(['"', ',', '}']).next()?.to_owned())
        };
        let (id, target) = (field("id").unwrap_or_default(), field("target").unwrap_or_default());
        let is_final = field("isFinal").as_deref() == Some("true");
        let stop = self.0.stops.lock().unwrap().get(&id).cloned();
        let Some(stop) = stop else {
            self.record(format!("{} is ordered to copy {id} (final={is_final}): no such run", self.0.name));
            return self.plain(connection, 404, "", "{}");
        };
        if is_final {
            stop.store(true, Ordering::SeqCst);
        }
        let shared = &self.0.group.0;
        let handle = format!("h{}", shared.handles.fetch_add(1, Ordering::SeqCst));
        let key = (target, format!("{}/{handle}", self.0.address));
        shared.copies.lock().unwrap().insert(key, 0);
        self.record(format!("{} is ordered to copy {id} (final={is_final}): done", self.0.name));
        self.plain(connection, 200, "", &format!("{{\"kvHandle\":\"{handle}\",\"made\":0}}"))
    }

    fn generate(&self, connection: &mut Connection, request: &Request) -> io::Result<bool> {
        let inner = &self.0;
        let head = &request.head;
        let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
        let echo = format!("Attempt-Id: {attempt}\r\n");
        let from = head.get("kv-from").map(str::to_owned);
        inner.group.0.record.line(format!(
            "{} gets {attempt}{}",
            inner.name,
            from.as_ref().map_or(String::new(), |from| format!(" (Kv-From {from})"))
        ));
        if head.get("target-instance") != Some(inner.name.as_str()) {
            return self.plain(connection, 421, &format!("{echo}Not-Executed: 1\r\n"), "");
        }
        let faults = self.faults();
        if let Some(seconds) = faults.retry_after {
            self.record(format!("{} rejects {attempt} with 503, Retry-After {seconds}", inner.name));
            let headers = format!("{echo}Not-Executed: 1\r\nRetry-After: {seconds}\r\n");
            return self.plain(connection, 503, &headers, "");
        }
        if let Some(from) = &from {
            if !self.holds_copy(from) {
                self.record(format!("{} rejects {attempt}: no copy", inner.name));
                return self.plain(connection, 503, &format!("{echo}Not-Executed: 1\r\n"), "");
            }
        }
        let number = inner.count.fetch_add(1, Ordering::SeqCst);
        if faults.stalls && matches!(number % 5, 0 | 2) {
            return self.stall(connection, &attempt);
        }
        let stop = Arc::new(AtomicBool::new(false));
        inner.stops.lock().unwrap().insert(attempt.clone(), stop.clone());
        let limit = Duration::from_millis(head.number("deadline-ms").unwrap_or(60_000));
        let result = match self.wait_for_slot(connection, &attempt, Instant::now() + limit) {
            true => {
                let result = self.run(connection, request, &attempt, &stop);
                *inner.running.lock().unwrap() -= 1;
                result
            }
            false => Ok(false),
        };
        inner.stops.lock().unwrap().remove(&attempt);
        result
    }

    /// Sends requests of other callers straight to the runner, which anyone may call.
    pub fn occupy(&self, count: usize, events: (u64, u64)) -> Vec<thread::JoinHandle<()>> {
        let start = |number| {
            let (address, name) = (self.0.address, self.0.name.clone());
            thread::spawn(move || {
                let Ok(mut connection) = Connection::open(address) else {
                    return;
                };
                let body = format!("{} {}", events.0, events.1);
                let sent = connection.write(
                    format!(
                        "POST /other HTTP/1.1\r\nHost: other.example\r\nAttempt-Id: other-{number}\r\n\
                         Target-Instance: {name}\r\nDeadline-Ms: 39000\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    )
                    .as_bytes(),
                );
                if sent.is_err() || connection.read_head().is_err() {
                    return;
                }
                while let Ok(Some(_)) = connection.read_chunk() {}
            })
        };
        (0..count).map(start).collect()
    }

    /// Returns the requests that run.
    pub fn running(&self) -> usize {
        *self.0.running.lock().unwrap()
    }

    /// Waits for a free slot and takes it; returns false if the caller has closed its connection or the
    /// time is over.
    fn wait_for_slot(&self, connection: &Connection, attempt: &str, until: Instant) -> bool {
        let mut waits = false;
        while Instant::now() < until {
            {
                let mut running = self.0.running.lock().unwrap();
                if *running < self.0.traits.slots {
                    *running += 1;
                    return true;
                }
            }
            if !waits {
                waits = true;
                self.record(format!("{} has no free slot: {attempt} waits", self.0.name));
            }
            if connection.is_closed() {
                self.record(format!("{}: the caller of {attempt} has closed, not run", self.0.name));
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    fn holds_copy(&self, from: &str) -> bool {
        let address = self.0.address.to_string();
        let copies = self.0.group.0.copies.lock().unwrap();
        // A backup is named by this runner's own address and the request's id.
        let name = from.strip_prefix(&format!("{address}/")).unwrap_or(from);
        copies.contains_key(&(address, name.to_owned()))
    }

    /// Fails a request with a 500 whose body goes on, a byte now and then, until the caller closes.
    fn stall(&self, connection: &mut Connection, attempt: &str) -> io::Result<bool> {
        self.record(format!("{} fails {attempt} with a 500 whose body does not end", self.0.name));
        connection.write(
            format!(
                "HTTP/1.1 500 X\r\nAttempt-Id: {attempt}\r\nServer-Signature: s.{attempt}\r\n\
                 Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{{\r\n"
            )
            .as_bytes(),
        )?;
        loop {
            thread::sleep(Duration::from_millis(500));
            if connection.write(b"1\r\n \r\n").is_err() {
                self.record(format!("{}: the connection of {attempt} was closed", self.0.name));
                return Ok(false);
            }
        }
    }

    /// Writes the events of a generation; the request's body says how many, and how far apart.
    fn run(
        &self,
        connection: &mut Connection,
        request: &Request,
        attempt: &str,
        stop: &AtomicBool,
    ) -> io::Result<bool> {
        let inner = &self.0;
        let shared = &inner.group.0;
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let mut numbers = text.split_whitespace().map(|word| word.parse::<u64>().unwrap_or(1));
        let (events, gap_ms) = (numbers.next().unwrap_or(3), numbers.next().unwrap_or(20));
        let first = request.head.number("last-event-id").unwrap_or(0) + 1;
        let resumed = request.head.get("kv-from").is_some();
        let now_ms = shared.record.now_ms();
        let index = {
            let mut runs = shared.runs.lock().unwrap();
            runs.push(Run {
                attempt: attempt.to_owned(),
                runner: inner.name.clone(),
                began_ms: now_ms,
                worked_ms: now_ms,
                resumed,
            });
            runs.len() - 1
        };
        self.record(format!("{} runs {attempt} from event {first}", inner.name));
        let limit = Duration::from_millis(request.head.number("deadline-ms").unwrap_or(60_000));
        let until = Instant::now() + limit;
        let mut is_open = connection
            .write(
                format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: s.{attempt}\r\n\
                     Keep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                )
                .as_bytes(),
            )
            .is_ok();
        for id in first..=events {
            if stop.load(Ordering::SeqCst) {
                self.record(format!("{} has stopped {attempt} before event {id}", inner.name));
                return Ok(false);
            }
            if Instant::now() >= until {
                self.record(format!("{} ends {attempt}: its time is over", inner.name));
                return Ok(false);
            }
            let event = format!("id: {id}\ndata: {attempt}-{id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if is_open && connection.write(chunk.as_bytes()).is_err() {
                is_open = false;
                self.record(format!("{}: the connection of {attempt} was closed", inner.name));
            }
            if !is_open && !inner.traits.works_on {
                return Ok(false);
            }
            shared.runs.lock().unwrap()[index].worked_ms = shared.record.now_ms();
            if let Some(backup) = request.head.get("kv-backup") {
                let key = (backup.to_owned(), attempt.to_owned());
                shared.copies.lock().unwrap().insert(key, id);
            }
            thread::sleep(Duration::from_millis(gap_ms));
        }
        if !is_open {
            self.record(format!("{} has worked on {attempt} to its end", inner.name));
            return Ok(false);
        }
        connection.write(b"0\r\n\r\n")?;
        Ok(true)
    }
}
