//! A model or plain server: it announces itself with heartbeats and answers requests as its case says.

use std::io::{BufReader, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;

/// Time between heartbeats (`heartbeatMs` of the sites).
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Answers one request on its connection; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Runner, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A server; clones share it.
#[derive(Clone)]
pub struct Runner(Arc<Inner>);

struct Inner {
    address: SocketAddr,
    born: u128,
    connections: Mutex<Vec<TcpStream>>,
    controls: Vec<SocketAddr>,
    has_ended: AtomicBool,
    is_silent: AtomicBool,
    name: String,
    record: Record,
    sequence: AtomicU64,
    service: String,
    state: Mutex<&'static str>,
    zone: String,
}

impl Runner {
    /// Starts a server, which sends its first heartbeat at once.
    pub fn start(
        record: &Record,
        name: &str,
        service: &str,
        zone: &str,
        controls: Vec<SocketAddr>,
        handler: Handler,
    ) -> Runner {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time of day");
        let runner = Runner(Arc::new(Inner {
            address,
            born: born.as_millis(),
            connections: Mutex::default(),
            controls,
            has_ended: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            name: name.to_owned(),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            service: service.to_owned(),
            state: Mutex::new("ready"),
            zone: zone.to_owned(),
        }));
        let accepting = runner.clone();
        thread::spawn(move || accepting.accept(&listener, &handler));
        let beating = runner.clone();
        thread::spawn(move || beating.send_heartbeats());
        runner
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        self.0
            .record
            .line(&format!("server {}: {text}", self.0.name));
    }

    /// Stops the regular heartbeats; others can still be sent one by one.
    pub fn stop_heartbeats(&self) {
        self.0.is_silent.store(true, Ordering::SeqCst);
    }

    /// Sets the state that it announces.
    pub fn set_state(&self, state: &'static str) {
        *self.0.state.lock().expect("unpoisoned") = state;
    }

    /// Sends a heartbeat to one control host; returns whether it was acknowledged.
    pub fn beat(&self, control: SocketAddr) -> bool {
        let Inner {
            address,
            born,
            name,
            service,
            zone,
            ..
        } = &*self.0;
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = *self.0.state.lock().expect("unpoisoned");
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":24,"state":"{state}","coldLeftMs":0,"phase":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#
        );
        let path = format!("/api/instances/{name}");
        let headers = [("Content-Type", "application/json")];
        let request = http::format_request("PUT", &path, "control", &headers, body.as_bytes());
        self.call(control, &request)
    }

    /// Says that it leaves; returns whether that was acknowledged.
    pub fn leave(&self, control: SocketAddr) -> bool {
        let path = format!("/api/instances/{}", self.0.name);
        let request = http::format_request("DELETE", &path, "control", &[], &[]);
        self.call(control, &request)
    }

    /// Ends as a process does: closes the port and all connections.
    pub fn exit(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.0.address);
        for connection in self.0.connections.lock().expect("unpoisoned").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn call(&self, control: SocketAddr, request: &[u8]) -> bool {
        let answer = http::call(control, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() / 100 == 2)
    }

    fn send_heartbeats(&self) {
        let controls = &self.0.controls;
        let mut next = self.0.born as usize;
        while !self.0.is_silent.load(Ordering::SeqCst) && !self.0.has_ended.load(Ordering::SeqCst) {
            for _ in 0..controls.len() {
                next += 1;
                if self.beat(controls[next % controls.len()]) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn accept(&self, listener: &TcpListener, handler: &Handler) {
        for stream in listener.incoming() {
            if self.0.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let runner = self.clone();
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                self.0.connections.lock().expect("unpoisoned").push(clone);
            }
            thread::spawn(move || runner.serve(stream, &handler));
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.0.has_ended.load(Ordering::SeqCst) {
                break;
            }
            let target = request.header("target-instance");
            if target.is_some_and(|target| target != self.0.name) {
                let _ = writer
                    .write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if !handler(self, &request, &mut writer) {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }
}

/// Writes an answer to a request, with its attempt ID and a signature.
pub fn answer(
    stream: &mut TcpStream,
    request: &Message,
    status: &str,
    headers: &str,
    body: &[u8],
) -> bool {
    let attempt = request.header("attempt-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Signature: {attempt}.1\r\n\
         {headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
