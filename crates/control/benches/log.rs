//! Measures commits per second, commit latency and failover time of three local control hosts.
//!
//! `cargo bench -p peargap-control --bench log`

#[path = "../tests/support/mod.rs"]
mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use peargap_wire::peer as wire;
use support::Cluster;

const COMMAND_BYTES: usize = 256;
const FAILOVERS: usize = 20;
const MEASURED_TIME: time::Duration = time::Duration::from_secs(5);
const PROPOSERS: [usize; 4] = [1, 8, 64, 256];

type Client = wire::peer_client::PeerClient<tonic::transport::Channel>;

fn main() {
    let mut cluster = Cluster::start(3, "");
    println!(
        "hosts=3 command_bytes={COMMAND_BYTES} seconds={}",
        MEASURED_TIME.as_secs()
    );
    for proposers in PROPOSERS {
        let leader = cluster.wait_for_leader();
        let address = cluster.hosts[leader].internal;
        let mut latencies = measure_load(address, proposers);
        latencies.sort_unstable();
        let rate = latencies.len() as f64 / MEASURED_TIME.as_secs_f64();
        println!(
            "proposers={proposers} changes_per_second={rate:.0} p50_ms={:.2} p99_ms={:.2} \
             max_ms={:.2}",
            find_quantile(&latencies, 0.50),
            find_quantile(&latencies, 0.99),
            find_quantile(&latencies, 1.0),
        );
    }
    let mut failovers: Vec<time::Duration> = (0..FAILOVERS)
        .map(|_round| measure_failover(&mut cluster))
        .collect();
    failovers.sort_unstable();
    println!(
        "failovers={FAILOVERS} p50_ms={:.0} p90_ms={:.0} max_ms={:.0}",
        find_quantile(&failovers, 0.50),
        find_quantile(&failovers, 0.90),
        find_quantile(&failovers, 1.0),
    );
}

/// Returns the latency of each commit of `proposers` concurrent clients, each one at a time.
fn measure_load(address: net::SocketAddr, proposers: usize) -> Vec<time::Duration> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let client = Client::connect(format!("http://{address}")).await;
        let client = client.expect("a leader");
        let tasks: Vec<_> = (0..proposers)
            .map(|_number| tokio::spawn(propose_until(client.clone(), stop.clone())))
            .collect();
        tokio::time::sleep(MEASURED_TIME).await;
        stop.store(true, atomic::Ordering::Relaxed);
        let mut latencies = Vec::new();
        for task in tasks {
            latencies.extend(task.await.expect("a proposer"));
        }
        latencies
    })
}

async fn propose_until(
    mut client: Client,
    stop: sync::Arc<atomic::AtomicBool>,
) -> Vec<time::Duration> {
    let command = Bytes::from(vec![b'x'; COMMAND_BYTES]);
    let mut latencies = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let started = time::Instant::now();
        let request = wire::ProposeRequest {
            command: command.clone(),
        };
        let reply = client.propose(request).await.expect("an answer");
        let kind = reply.into_inner().kind;
        assert!(
            matches!(kind, Some(wire::propose_reply::Kind::Reply(_))),
            "{kind:?}"
        );
        latencies.push(started.elapsed());
    }
    latencies
}

/// Kills the leader and returns the time until another host commits a command.
fn measure_failover(cluster: &mut Cluster) -> time::Duration {
    let leader = cluster.wait_for_leader();
    cluster.wait_for_catch_up(leader);
    cluster.hosts[leader].kill();
    let started = time::Instant::now();
    cluster.commit("failover");
    let elapsed = started.elapsed();
    cluster.hosts[leader].start();
    elapsed
}

/// Returns a quantile of sorted durations, in milliseconds.
fn find_quantile(sorted: &[time::Duration], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted
        .get(index)
        .map_or(0.0, |found| found.as_secs_f64() * 1_000.0)
}
