//! Measures the load of nodes on three control hosts and the time until a change is in force.
//!
//! `cargo run --release -p peargap-control --example spread -- --nodes 100`, after
//! `cargo build --release -p peargap-control`. The control hosts are processes, the nodes are the
//! followers that entries and agents use, behind relays that count bytes.

mod claims;
mod cluster;
mod nodes;
mod relay;

use std::time;

use peargap_wire::operator::operator_client;
use peargap_wire::operator::submit_request;

const HOSTS: usize = 3;
/// Delay for connections and the first configuration before the measurement.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);
/// Delay between two changes.
const CHANGE_DELAY: time::Duration = time::Duration::from_millis(30);

struct Options {
    changes: usize,
    nodes: usize,
    seconds: u64,
}

fn read_options() -> Result<Options, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    Ok(Options {
        changes: arguments.opt_value_from_str("--changes")?.unwrap_or(200),
        nodes: arguments.opt_value_from_str("--nodes")?.unwrap_or(100),
        seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(10),
    })
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = read_options()?;
    let mut cluster = cluster::Cluster::start(HOSTS)?;
    cluster.wait_for_leader().await?;
    let mut relays = Vec::new();
    for address in cluster.internals() {
        relays.push(relay::Relay::start(*address).await?);
    }
    let channel = cluster.connect_operator().await?;
    let mut operator = operator_client::OperatorClient::new(channel);
    cluster::submit_manifest(&mut operator).await?;
    let baseline = cluster.read_usage();
    let attached_nodes = nodes::attach(options.nodes, &relays);
    nodes::wait_for_members(&attached_nodes, options.nodes).await;
    tokio::time::sleep(SETTLE_TIME).await;
    report_idle(&options, &cluster, &relays, &baseline).await;
    report_changes(&options, &mut operator, &attached_nodes).await?;
    report_claims(&options, &cluster).await?;
    cluster.stop();
    Ok(())
}

async fn report_idle(
    options: &Options,
    cluster: &cluster::Cluster,
    relays: &[relay::Relay],
    baseline: &[cluster::Usage],
) {
    let usage_before = cluster.read_usage();
    let traffic_before: Vec<relay::Count> = relays.iter().map(relay::Relay::read).collect();
    let window = time::Duration::from_secs(options.seconds);
    tokio::time::sleep(window).await;
    let usage_after = cluster.read_usage();
    let seconds = window.as_secs_f64();
    println!("| nodes | host | CPU % of a core | memory MB | grown MB | bytes/s in | bytes/s out | reads/s |");
    println!("|---|---|---|---|---|---|---|---|");
    for host in 0..HOSTS {
        let count = relays[host].read();
        println!(
            "| {} | {host} | {:.2} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} |",
            options.nodes,
            100.0 * (usage_after[host].cpu_seconds - usage_before[host].cpu_seconds) / seconds,
            usage_after[host].resident_bytes / 1e6,
            (usage_after[host].resident_bytes - baseline[host].resident_bytes) / 1e6,
            per_second(count.up - traffic_before[host].up, seconds),
            per_second(count.down - traffic_before[host].down, seconds),
            per_second(count.reads - traffic_before[host].reads, seconds),
        );
    }
}

#[allow(clippy::cast_precision_loss)]
fn per_second(count: u64, seconds: f64) -> f64 {
    count as f64 / seconds
}

async fn report_changes(
    options: &Options,
    operator: &mut operator_client::OperatorClient<tonic::transport::Channel>,
    attached_nodes: &[nodes::Node],
) -> Result<(), Box<dyn std::error::Error>> {
    let mut accepted = Vec::new();
    let mut in_force = Vec::new();
    for index in 0..options.changes {
        let name = "zone-0".to_owned();
        let change = match index % 2 {
            0 => submit_request::Change::DomainOut(name),
            _ => submit_request::Change::DomainBack(name),
        };
        let started = time::Instant::now();
        let version = cluster::submit(operator, format!("change-{index}"), change).await?;
        accepted.push(started.elapsed());
        nodes::wait_for_version(attached_nodes, version).await;
        in_force.push(started.elapsed());
        tokio::time::sleep(CHANGE_DELAY).await;
    }
    println!("| nodes | changes | what | p50 ms | p99 ms | largest ms |");
    println!("|---|---|---|---|---|---|");
    report_times(options, "accepted", accepted);
    report_times(options, "in force on every node", in_force);
    Ok(())
}

#[allow(clippy::cast_precision_loss)]
async fn report_claims(
    options: &Options,
    cluster: &cluster::Cluster,
) -> Result<(), Box<dyn std::error::Error>> {
    let times = claims::run(cluster.internals()).await?;
    let rate = times.len() as f64 / claims::window().as_secs_f64();
    report_times(options, &format!("claimed, at {rate:.0} calls/s"), times);
    Ok(())
}

fn report_times(options: &Options, what: &str, mut times: Vec<time::Duration>) {
    times.sort();
    let at = |percent: usize| {
        let index = (times.len() * percent).div_ceil(100).max(1) - 1;
        times[index].as_secs_f64() * 1e3
    };
    println!(
        "| {} | {} | {what} | {:.1} | {:.1} | {:.1} |",
        options.nodes,
        options.changes,
        at(50),
        at(99),
        at(100)
    );
}
