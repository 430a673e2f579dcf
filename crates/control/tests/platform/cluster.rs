//! Control hosts behind the platform's API, run as processes, and gateways that follow them.

use std::fs;
use std::net;
use std::ops;
use std::path;
use std::process;
use std::time;

use bytes::Bytes;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use peargap_load::ports;
use peargap_wire::fleet as wire;
use peargap_wire::fleet::fleet_client;
use tokio::sync::mpsc;
use tokio_stream::wrappers;

pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(20);
pub(crate) const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Control hosts on loopback addresses of their own, killed on drop.
pub(crate) struct Cluster {
    pub(crate) children: Vec<Option<process::Child>>,
    internal: u16,
    platform: u16,
    pub(crate) root: tempfile::TempDir,
}

impl Cluster {
    /// Writes the settings of `count` hosts, of which the first three are the seeds and those in
    /// `volatile` keep no data on disk.
    pub(crate) fn prepare(count: usize, volatile: &[usize]) -> Cluster {
        let ports = ports::find_ports(4).expect("ports");
        let cluster = Cluster {
            children: (0..count).map(|_host| None).collect(),
            internal: ports[0],
            platform: ports[1],
            root: tempfile::tempdir().expect("a folder"),
        };
        for host in 0..count {
            let ip = Cluster::ip(host);
            let text = format!(
                "[node]\nname = {name}\ndomain = d{host}\n[listen]\ninternal = {ip}:{internal}\n\
                 operators = {ip}:{operators}\nhealth = {ip}:{health}\nplatform = {name}\n\
                 [data]\nfolder = {folder}\nvolatile = {volatile}\n",
                name = cluster.name(host),
                internal = cluster.internal,
                operators = ports[2],
                health = ports[3],
                folder = cluster.folder(host).display(),
                volatile = volatile.contains(&host),
            );
            fs::write(cluster.node_settings(host), text).expect("settings");
            cluster.set_seeds(host, 0..3, true);
        }
        cluster
    }

    /// Names the seeds in a host's settings; `bootstrap` makes them the first voters.
    pub(crate) fn set_seeds(&self, host: usize, seeds: ops::Range<usize>, bootstrap: bool) {
        let seeds: Vec<String> = seeds.map(|seed| self.name(seed)).collect();
        let seeds = seeds.join(",");
        let mut text = fs::read_to_string(self.node_settings(host)).expect("settings");
        let port = self.internal;
        text.push_str(&format!("[membership]\nport = {port}\nseeds = {seeds}\n"));
        if bootstrap {
            text.push_str(&format!("[bootstrap]\nvoters = {seeds}\n"));
        }
        fs::write(self.settings(host), text).expect("settings");
    }

    pub(crate) fn ip(host: usize) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, 0, 0, u8::try_from(host).expect("few hosts") + 1)
    }

    pub(crate) fn name(&self, host: usize) -> String {
        format!("{}:{}", Cluster::ip(host), self.platform)
    }

    pub(crate) fn folder(&self, host: usize) -> path::PathBuf {
        self.root.path().join(format!("data-{host}"))
    }

    /// Path of the part of a host's settings that does not change.
    pub(crate) fn node_settings(&self, host: usize) -> path::PathBuf {
        self.root.path().join(format!("{host}.node"))
    }

    pub(crate) fn settings(&self, host: usize) -> path::PathBuf {
        self.root.path().join(format!("{host}.ini"))
    }

    pub(crate) fn start(&mut self, host: usize) {
        let log = fs::File::create(self.root.path().join(format!("{host}.log"))).expect("a log");
        let child = process::Command::new(env!("CARGO_BIN_EXE_peargap-control"))
            .arg("--config")
            .arg(self.settings(host))
            .stdout(log)
            .spawn()
            .expect("the program");
        self.children[host] = Some(child);
    }

    pub(crate) fn start_all(&mut self) {
        for host in 0..self.children.len() {
            self.start(host);
        }
    }

    pub(crate) fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.children[host].take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a host has a file in its data folder.
    pub(crate) async fn wait_for_file(&self, host: usize, name: &str) {
        let path = self.folder(host).join(name);
        let waiting = async {
            while !path.exists() {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        let result = tokio::time::timeout(TIMEOUT, waiting).await;
        result.expect("the file in time");
    }

    /// Calls a host; returns `None` without an answer.
    pub(crate) async fn try_call(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Bytes)> {
        let address = net::SocketAddr::from((Cluster::ip(host), self.platform));
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let mut request = http::Request::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        *request.method_mut() = method.parse().expect("a method");
        *request.uri_mut() = path.parse().expect("a path");
        let host = http::HeaderValue::from_static("control");
        request.headers_mut().insert("host", host);
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?;
        Some((status, body.to_bytes()))
    }

    /// Calls a host until it answers with `status`.
    pub(crate) async fn call(
        &self,
        host: usize,
        status: u16,
        method: &str,
        path: &str,
        body: &str,
    ) -> Bytes {
        let answered = async {
            loop {
                match self.try_call(host, method, path, body).await {
                    Some((found, body)) if found == status => return body,
                    _ => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        };
        let answered = tokio::time::timeout(TIMEOUT, answered).await;
        answered.unwrap_or_else(|_elapsed| panic!("{method} {path} at {host}: never {status}"))
    }

    pub(crate) async fn follow(&self, host: usize) -> Follower {
        let address = format!("http://{}:{}", Cluster::ip(host), self.internal);
        let mut client = fleet_client::FleetClient::connect(address)
            .await
            .expect("a host");
        let (reports, outgoing) = mpsc::channel(16);
        let first = wire::Report {
            gateway: "g".to_owned(),
            ..wire::Report::default()
        };
        reports.send(first).await.expect("a link");
        let response = client.follow(wrappers::ReceiverStream::new(outgoing)).await;
        Follower {
            reports,
            updates: response.expect("a link").into_inner(),
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in 0..self.children.len() {
            self.kill(host);
        }
    }
}

pub(crate) struct Follower {
    pub(crate) reports: mpsc::Sender<wire::Report>,
    pub(crate) updates: tonic::Streaming<wire::Update>,
}

impl Follower {
    /// Returns the next update that satisfies `wanted`.
    pub(crate) async fn wait_for(
        &mut self,
        wanted: impl Fn(&wire::Update) -> bool,
    ) -> wire::Update {
        let waiting = async {
            loop {
                let update = self.updates.next().await.expect("a link").expect("a link");
                if wanted(&update) {
                    return update;
                }
            }
        };
        let result = tokio::time::timeout(TIMEOUT, waiting).await;
        result.expect("the update in time")
    }

    /// Returns the next update with upstreams.
    pub(crate) async fn wait_upstreams(&mut self) -> wire::Update {
        self.wait_for(|update| !update.upstreams.is_empty()).await
    }

    /// Reports that this gateway has `running` requests at an upstream.
    pub(crate) async fn report_load(&self, running: u32, starts_loads: bool) {
        let load = wire::Load {
            running,
            upstream: "i-1".to_owned(),
            ..wire::Load::default()
        };
        let report = wire::Report {
            has_loads: true,
            loads: vec![load],
            starts_loads,
            ..wire::Report::default()
        };
        self.reports.send(report).await.expect("a link");
    }

    /// Returns the requests in all updates with loads that come within `limit`, and the number of
    /// the last update.
    pub(crate) async fn collect_running(&mut self, limit: time::Duration) -> (Vec<u32>, u64) {
        let mut running = Vec::new();
        let mut number = 0;
        let collecting = async {
            loop {
                let update = self.updates.next().await.expect("a link").expect("a link");
                number = update.number;
                running.extend(update.loads.iter().map(|load| load.running));
            }
        };
        let _ = tokio::time::timeout(limit, collecting).await;
        (running, number)
    }

    pub(crate) async fn confirm(&self, number: u64) {
        let report = wire::Report {
            applied: number,
            ..wire::Report::default()
        };
        self.reports.send(report).await.expect("a link");
    }
}
