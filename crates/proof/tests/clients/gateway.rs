//! A gateway with a control host of the platform and an upstream.

use std::fs;
use std::net;
use std::process;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use peargap_fake::runner;
use peargap_load::ports;

use crate::program;
use crate::spawn;

/// Memory of the gateway's host, in megabytes.
pub(crate) const HOST_MB: u64 = 88;
/// Largest body that a caller may send, in bytes.
pub(crate) const BODY_BYTES: usize = 2_000_000;
const DOCUMENT: &str = r#"{"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/",
    "routeType":"idempotent","timeoutMs":9000,"service":"s"}],"services":[{"name":"s"}],
    "limits":{"maxBodyBytes":2000000,"maxHeaderBytes":16384,"headerTimeoutMs":3000,
    "idleTimeoutMs":60000}}"#;
/// Time limit of one call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Time limit of the start.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Addresses of the processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) callers: net::SocketAddr,
    pub(crate) health: net::SocketAddr,
    pub(crate) platform: net::SocketAddr,
}

/// The processes; killed when it is dropped.
pub(crate) struct Stack {
    pub(crate) addresses: Addresses,
    pub(crate) control: process::Child,
    pub(crate) gateway: process::Child,
    pub(crate) upstream: runner::Runner,
    beats: tokio::task::JoinHandle<()>,
    _folder: tempfile::TempDir,
    _group: runner::RunnerGroup,
}

impl Stack {
    /// Starts the processes, with a limit of the open descriptors of each if there is one, and
    /// waits until the gateway serves.
    pub(crate) async fn start(descriptors: Option<u64>) -> Stack {
        let ports = ports::find_ports(6).expect("ports");
        let local = |index: usize| net::SocketAddr::from(([127, 0, 0, 1], ports[index]));
        let addresses = Addresses {
            callers: local(4),
            health: local(5),
            platform: local(1),
        };
        let folder = tempfile::tempdir().expect("a folder");
        let (name, internal) = (local(1), ports[0]);
        let control = format!(
            "[node]\nname = {name}\ndomain = d\n[listen]\ninternal = {}\noperators = {}\n\
             health = {}\nplatform = {name}\n[data]\nfolder = {}\n[membership]\n\
             port = {internal}\nseeds = {name}\nlost_hosts = 0\n[bootstrap]\nvoters = {name}\n",
            local(0),
            local(2),
            local(3),
            folder.path().join("data").display(),
        );
        let gateway = format!(
            "[node]\nname = g\ndomain = d\n[listen]\ncallers = {}\nhealth = {}\n[control]\n\
             seeds = {name}\nport = {internal}\n[memory]\nhost_mb = {HOST_MB}\n",
            local(4),
            local(5),
        );
        let spawn = |program: &str, text: String| {
            let path = folder.path().join(format!("{program}.ini"));
            fs::write(&path, text).expect("settings");
            let log = folder.path().join(format!("{program}.log"));
            let mut command = process::Command::new(program::find_program(program));
            command.arg("--config").arg(path);
            command.stdout(fs::File::create(log).expect("a log"));
            spawn::start(&mut command, descriptors)
        };
        let control = spawn("peargap-control", control);
        let gateway = spawn("peargap-gateway", gateway);
        let group = runner::RunnerGroup::default();
        let upstream = group.start("u").await.expect("an upstream");
        let stack = Stack {
            addresses,
            beats: tokio::spawn(send_heartbeats(addresses.platform, upstream.address)),
            control,
            gateway,
            upstream,
            _folder: folder,
            _group: group,
        };
        let started = async {
            while stack.call_platform("PUT", DOCUMENT).await != Some(200)
                || stack.call(1).await != Some(200)
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let started = tokio::time::timeout(START_TIMEOUT, started).await;
        started.expect("the gateway serves");
        stack
    }

    /// Sends a request with a body of this size through the gateway; returns the status, if there
    /// is an answer.
    pub(crate) async fn call(&self, bytes: usize) -> Option<u16> {
        let body = Bytes::from(vec![b'x'; bytes]);
        send(self.addresses.callers, "POST", "/r/x", body).await
    }

    /// Calls the platform's API for documents; returns the status, if there is an answer.
    pub(crate) async fn call_platform(&self, method: &str, document: &'static str) -> Option<u16> {
        let body = Bytes::from_static(document.as_bytes());
        put_document(self.addresses.platform, method, body).await
    }
}

/// Calls the platform's API for documents; returns the status, if there is an answer.
pub(crate) async fn put_document(
    platform: net::SocketAddr,
    method: &str,
    document: Bytes,
) -> Option<u16> {
    send(platform, method, "/api/config", document).await
}

impl Drop for Stack {
    fn drop(&mut self) {
        self.beats.abort();
        for child in [&mut self.control, &mut self.gateway] {
            // The process may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn send_heartbeats(platform: net::SocketAddr, upstream: net::SocketAddr) {
    for sequence in 1.. {
        let beat = format!(
            r#"{{"service":"s","address":"{upstream}","zone":"d","version":"v1","slots":200,
            "state":"ready","coldLeftMs":0,"sequence":{sequence},"born":7}}"#
        );
        send(platform, "PUT", "/api/instances/u", Bytes::from(beat)).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a request on a new connection; returns the status, if there is an answer in time.
async fn send(address: net::SocketAddr, method: &str, path: &str, body: Bytes) -> Option<u16> {
    let sending = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.ok()?;
        tokio::spawn(connection);
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", "h")
            .header("attempt-id", "ordinary")
            .header("deadline-ms", "9000")
            .body(Full::new(body))
            .ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        answer.into_body().collect().await.ok()?;
        Some(status)
    };
    tokio::time::timeout(CALL_TIMEOUT, sending).await.ok()?
}
