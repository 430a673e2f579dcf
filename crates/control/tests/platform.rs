//! Control hosts behind the platform's API: a cluster formed from seeds, with calls of operators,
//! upstreams and gateways.

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

const TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Time for which the platform lets a restarted host catch up before the next one may fail.
const CATCH_UP: time::Duration = time::Duration::from_secs(4);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Control hosts on loopback addresses of their own, killed on drop.
struct Cluster {
    children: Vec<Option<process::Child>>,
    internal: u16,
    platform: u16,
    root: tempfile::TempDir,
}

impl Cluster {
    /// Writes the settings of `count` hosts, of which the first three are the seeds and those in
    /// `volatile` keep no data on disk.
    fn prepare(count: usize, volatile: &[usize]) -> Cluster {
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
    fn set_seeds(&self, host: usize, seeds: ops::Range<usize>, bootstrap: bool) {
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

    fn ip(host: usize) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, 0, 0, u8::try_from(host).expect("few hosts") + 1)
    }

    fn name(&self, host: usize) -> String {
        format!("{}:{}", Cluster::ip(host), self.platform)
    }

    fn folder(&self, host: usize) -> path::PathBuf {
        self.root.path().join(format!("data-{host}"))
    }

    /// Path of the part of a host's settings that does not change.
    fn node_settings(&self, host: usize) -> path::PathBuf {
        self.root.path().join(format!("{host}.node"))
    }

    fn settings(&self, host: usize) -> path::PathBuf {
        self.root.path().join(format!("{host}.ini"))
    }

    fn start(&mut self, host: usize) {
        let log = fs::File::create(self.root.path().join(format!("{host}.log"))).expect("a log");
        let child = process::Command::new(env!("CARGO_BIN_EXE_peargap-control"))
            .arg("--config")
            .arg(self.settings(host))
            .stdout(log)
            .spawn()
            .expect("the program");
        self.children[host] = Some(child);
    }

    fn start_all(&mut self) {
        for host in 0..self.children.len() {
            self.start(host);
        }
    }

    fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.children[host].take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Calls a host; returns `None` without an answer.
    async fn try_call(
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
    async fn call(&self, host: usize, status: u16, method: &str, path: &str, body: &str) -> Bytes {
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

    async fn follow(&self, host: usize) -> Follower {
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

struct Follower {
    reports: mpsc::Sender<wire::Report>,
    updates: tonic::Streaming<wire::Update>,
}

impl Follower {
    /// Returns the next update that satisfies `wanted`.
    async fn wait_for(&mut self, wanted: impl Fn(&wire::Update) -> bool) -> wire::Update {
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
    async fn wait_upstreams(&mut self) -> wire::Update {
        self.wait_for(|update| !update.upstreams.is_empty()).await
    }

    /// Reports that this gateway has `running` requests at an upstream.
    async fn report_load(&self, running: u32, starts_loads: bool) {
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
    async fn collect_running(&mut self, limit: time::Duration) -> (Vec<u32>, u64) {
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

    async fn confirm(&self, number: u64) {
        let report = wire::Report {
            applied: number,
            ..wire::Report::default()
        };
        self.reports.send(report).await.expect("a link");
    }
}

fn document(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h","pathPrefix":"/r/",
        "routeType":"idempotent","timeoutMs":{timeout_ms},"service":"s"}}],
        "services":[{{"name":"s"}}]}}"#
    )
}

fn heartbeat(state: &str, sequence: u64) -> String {
    format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"d0","version":"v1","slots":4,
        "state":"{state}","coldLeftMs":0,"sequence":{sequence},"born":7}}"#
    )
}

const CONFIG: &str = "/api/config";

#[tokio::test]
async fn documents_survive_crashes_and_lost_disks_and_never_revert() {
    let mut cluster = Cluster::prepare(4, &[]);
    cluster.start_all();
    let first = document(3, 900);
    cluster.call(3, 200, "PUT", CONFIG, &first).await;
    let read = cluster.call(0, 200, "GET", CONFIG, "").await;
    assert_eq!(read, first.as_bytes());
    // A repeated document, an older version, and other content for the same version are
    // acknowledged but do not take effect.
    cluster.call(1, 200, "PUT", CONFIG, &first).await;
    cluster.call(1, 200, "PUT", CONFIG, &document(2, 100)).await;
    cluster.call(2, 200, "PUT", CONFIG, &document(3, 100)).await;
    let invalid = cluster.try_call(0, "PUT", CONFIG, &document(9, 0)).await;
    assert_eq!(invalid.expect("an answer").0, 400);
    for host in 0..4 {
        cluster.kill(host);
    }
    cluster.start_all();
    let read = cluster.call(2, 200, "GET", CONFIG, "").await;
    assert_eq!(read, first.as_bytes());
    // One host restarts with an empty disk, then another one after the first has caught up.
    for host in [1, 2] {
        cluster.kill(host);
        fs::remove_dir_all(cluster.folder(host)).expect("a folder");
        cluster.start(host);
        tokio::time::sleep(CATCH_UP).await;
        let read = cluster.call(host, 200, "GET", CONFIG, "").await;
        assert_eq!(read, first.as_bytes());
    }
    cluster.call(1, 200, "PUT", CONFIG, &document(8, 700)).await;
    let read = cluster.call(3, 200, "GET", CONFIG, "").await;
    assert_eq!(read, document(8, 700).as_bytes());
}

/// Shortest election timeout under the default settings, which the hosts use.
const ELECTION: time::Duration = time::Duration::from_millis(300);

#[tokio::test]
async fn hosts_that_all_restart_elect_before_the_election_timeout() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    cluster.call(0, 200, "PUT", CONFIG, &document(3, 900)).await;
    let mut shortest = TIMEOUT;
    // A single round may be delayed by a split vote.
    for _round in 0..5 {
        for host in 0..3 {
            cluster.kill(host);
        }
        cluster.start_all();
        let started = time::Instant::now();
        cluster.call(1, 200, "GET", CONFIG, "").await;
        shortest = shortest.min(started.elapsed());
    }
    assert!(shortest < ELECTION, "{shortest:?}");
}

#[tokio::test]
async fn hosts_without_a_disk_serve_and_never_vote() {
    let mut cluster = Cluster::prepare(4, &[3]);
    cluster.start_all();
    cluster.call(3, 200, "PUT", CONFIG, &document(3, 900)).await;
    // Two of the three voters are a quorum. After another voter fails, the fourth host, which has
    // no disk and no vote, does not complete one.
    cluster.kill(0);
    cluster.call(3, 200, "PUT", CONFIG, &document(5, 900)).await;
    cluster.kill(1);
    let body = document(7, 900);
    let refused = cluster.try_call(3, "PUT", CONFIG, &body).await;
    assert_eq!(refused.expect("an answer").0, 503);
    let read = cluster.try_call(3, "GET", CONFIG, "").await;
    assert_eq!(read.expect("an answer").0, 503);
}

/// The seeds of a deployment may be exchanged for hosts without a disk. After such hosts restart,
/// their settings name only each other, and their former disks are gone.
#[tokio::test]
async fn restarted_learners_find_the_members_when_they_are_the_only_seeds() {
    let learners = 3..6;
    let mut cluster = Cluster::prepare(6, &[3, 4, 5]);
    cluster.start_all();
    let document = document(3, 900);
    cluster.call(0, 200, "PUT", CONFIG, &document).await;
    for host in learners.clone() {
        cluster.call(host, 200, "GET", CONFIG, "").await;
    }
    for host in learners.clone() {
        cluster.set_seeds(host, learners.clone(), false);
        cluster.kill(host);
    }
    for host in learners.clone() {
        cluster.start(host);
    }
    for host in learners {
        let read = cluster.call(host, 200, "GET", CONFIG, "").await;
        assert_eq!(read, document.as_bytes());
    }
    // A gateway that knows only these seeds receives the document and the voters' names.
    let voter = cluster.name(0);
    let mut follower = cluster.follow(3).await;
    let update = follower.wait_for(|update| update.version == 3).await;
    assert!(update.hosts.contains(&voter), "{:?}", update.hosts);
}

#[tokio::test]
async fn gateways_receive_upstreams_documents_and_outages() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    cluster.call(0, 200, "PUT", CONFIG, &document(3, 900)).await;
    let mut follower = cluster.follow(1).await;
    let path = "/api/instances/i-1";
    cluster
        .call(1, 200, "PUT", path, &heartbeat("ready", 1))
        .await;
    let update = follower.wait_upstreams().await;
    assert_eq!(update.upstreams[0].name, "i-1");
    follower.confirm(update.number).await;
    let ask = wire::Report {
        wanted: 3,
        ..wire::Report::default()
    };
    follower.reports.send(ask).await.expect("a link");
    let update = follower.wait_for(|update| update.document.is_some()).await;
    let text = update.document.expect("a document").text;
    assert_eq!(text, document(3, 900).as_bytes());
    cluster
        .call(2, 200, "POST", "/api/evacuations/d0", "")
        .await;
    let update = follower
        .wait_for(|update| {
            let outage = update.outage.as_ref();
            outage.is_some_and(|outage| outage.domains == ["d0"])
        })
        .await;
    assert!(update.outage.expect("an outage").revision > 0);
}

/// A gateway that does not confirm stands for one behind a link that cannot carry all updates.
#[tokio::test]
async fn sums_do_not_queue_for_a_gateway_that_is_behind() {
    const CHANGES: u32 = 20;
    const CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(60);
    const SETTLE_TIME: time::Duration = time::Duration::from_millis(300);
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    cluster.call(0, 200, "PUT", CONFIG, &document(3, 900)).await;
    let busy = cluster.follow(1).await;
    let mut behind = cluster.follow(1).await;
    let mut elsewhere = cluster.follow(1).await;
    behind.report_load(0, true).await;
    for running in 1..=CHANGES {
        busy.report_load(running, running == 1).await;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let (running, number) = behind.collect_running(SETTLE_TIME).await;
    assert!((1..=3).contains(&running.len()), "{running:?}");
    behind.confirm(number).await;
    let (running, _number) = behind.collect_running(SETTLE_TIME).await;
    assert_eq!(running, [CHANGES], "the sum as it is now");
    let (running, _number) = elsewhere.collect_running(SETTLE_TIME).await;
    assert!(running.is_empty(), "it reports no load to this host");
}

#[tokio::test]
async fn a_leave_is_acknowledged_after_gateways_confirm() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    let path = "/api/instances/i-1";
    cluster
        .call(0, 200, "PUT", path, &heartbeat("ready", 1))
        .await;
    let mut follower = cluster.follow(0).await;
    let update = follower.wait_upstreams().await;
    follower.confirm(update.number).await;
    let body = heartbeat("draining", 2);
    let leaving = cluster.try_call(0, "PUT", path, &body);
    let confirming = async {
        let update = follower.wait_upstreams().await;
        assert_eq!(update.upstreams[0].state(), wire::State::Draining);
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        let confirmed = time::Instant::now();
        follower.confirm(update.number).await;
        confirmed
    };
    let answered = async {
        let answer = leaving.await.expect("an answer");
        (answer.0, time::Instant::now())
    };
    let ((status, answered), confirmed) = tokio::join!(answered, confirming);
    assert_eq!(status, 200);
    assert!(
        answered >= confirmed,
        "acknowledged before the gateway confirmed"
    );
}

#[tokio::test]
async fn a_malformed_heartbeat_is_rejected_and_changes_nothing() {
    let mut cluster = Cluster::prepare(3, &[]);
    cluster.start_all();
    let path = "/api/instances/i-1";
    cluster
        .call(0, 200, "PUT", path, &heartbeat("ready", 1))
        .await;
    let malformed = cluster.try_call(0, "PUT", path, "{\"state\":1}").await;
    assert_eq!(malformed.expect("an answer").0, 400);
    let mut follower = cluster.follow(0).await;
    let update = follower.wait_upstreams().await;
    assert_eq!(update.upstreams.len(), 1);
    assert_eq!(update.upstreams[0].state(), wire::State::Ready);
}
