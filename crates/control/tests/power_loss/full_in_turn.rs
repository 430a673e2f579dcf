//! Control hosts whose disks are full for a while, one after the other.

use std::sync;
use std::time;

use bytes::Bytes;
use peargap_adapters::settings as ini;
use peargap_control::host;
use peargap_control::settings;
use peargap_load::ports;
use peargap_wire::peer as wire;
use rand::rngs;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio_util::sync::CancellationToken;

use crate::volume;

/// Time in which a change must be accepted while all disks have room.
const CHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Size of a change; some dozens of them have the log replaced by a snapshot.
const CHANGE_BYTES: usize = 100 << 10;
const CHANGES_AFTERWARDS: usize = 5;
const HOSTS: u8 = 4;
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Spells of a full disk.
const SPELLS: usize = 8;

struct Cluster {
    hosts: Vec<tokio::task::JoinHandle<Result<(), host::Error>>>,
    /// Ports for other hosts, the platform, operators and health checks.
    ports: Vec<u16>,
    token: CancellationToken,
    volumes: Vec<volume::Simulated>,
}

impl Cluster {
    fn start(seed: u64) -> Cluster {
        let volumes = (0..HOSTS)
            .map(|host| volume::Simulated::new(seed * u64::from(HOSTS) + u64::from(host)))
            .collect();
        Cluster::start_on(volumes, ports::find_ports(4).expect("ports"))
    }

    fn start_on(volumes: Vec<volume::Simulated>, ports: Vec<u16>) -> Cluster {
        let token = CancellationToken::new();
        let names: Vec<String> = (1..=HOSTS)
            .map(|host| format!("127.0.0.{host}:{}", ports[1]))
            .collect();
        let seeds = names[..3].join(",");
        let hosts = names.iter().zip(&volumes).map(|(name, volume)| {
            let ip = name.split(':').next().expect("an address");
            let text = format!(
                "[node]\nname = {name}\ndomain = {ip}\n[listen]\ninternal = {ip}:{}\n\
                 operators = {ip}:{}\nhealth = {ip}:{}\nplatform = {name}\n\
                 [data]\nfolder = /data\nlimit_mb = 16\ntrust_copy = true\n\
                 [membership]\nport = {}\nseeds = {seeds}\n[bootstrap]\nvoters = {seeds}\n\
                 [timing]\nheartbeat_ms = 50\nelection_ms = 200\nlease_ms = 500\n",
                ports[0], ports[2], ports[3], ports[0],
            );
            let mut settings =
                settings::read(ini::Reader::parse("control.ini", &text)).expect("settings");
            settings.volume = sync::Arc::new(volume.clone());
            tokio::spawn(host::run(settings, token.clone()))
        });
        let hosts = hosts.collect();
        Cluster {
            hosts,
            ports,
            token,
            volumes,
        }
    }

    /// Proposes a change to one host after the other until it is accepted.
    async fn change(&self, text: &str) {
        for host in (1..=HOSTS).cycle() {
            let tried = tokio::time::timeout(ATTEMPT_TIMEOUT, self.propose(host, text)).await;
            if let Ok(Some(wire::propose_reply::Kind::Reply(_))) = tried {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    fn assert_running(&self) {
        let ended = self.hosts.iter().position(|host| host.is_finished());
        assert_eq!(ended, None, "a host that has ended");
    }

    async fn propose(&self, host: u8, text: &str) -> Option<wire::propose_reply::Kind> {
        let address = format!("http://127.0.0.{host}:{}", self.ports[0]);
        let mut client = wire::peer_client::PeerClient::connect(address).await.ok()?;
        let command = Bytes::copy_from_slice(text.as_bytes());
        let reply = client.propose(wire::ProposeRequest { command }).await;
        reply.ok()?.into_inner().kind
    }
}

async fn play(seed: u64) {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let cluster = sync::Arc::new(Cluster::start(seed));
    cluster.change("first").await;
    let changing = cluster.clone();
    let changes = tokio::spawn(async move {
        loop {
            changing.change(&"x".repeat(CHANGE_BYTES)).await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    });
    for spell in 0..SPELLS {
        let volume = &cluster.volumes[spell % cluster.volumes.len()];
        let full = volume::Full {
            new_files: random.random_bool(0.5),
            syncs: random.random_bool(0.3),
            writes: true,
        };
        volume.fill_after(0, full);
        let length = random.random_range(300..2500);
        tokio::time::sleep(time::Duration::from_millis(length)).await;
        volume.fill_after(0, volume::Full::default());
        let pause = random.random_range(50..600);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
    changes.abort();
    for number in 0..CHANGES_AFTERWARDS {
        let change = cluster.change("afterwards");
        let changed = tokio::time::timeout(CHANGE_TIMEOUT, change).await;
        assert!(
            changed.is_ok(),
            "seed {seed}: change {number} is not accepted"
        );
    }
    cluster.assert_running();
    cluster.token.cancel();
}

/// Returns the seed to begin with; `PEARGAP_SEED` names another one than 0.
fn first_seed() -> u64 {
    let seed = std::env::var("PEARGAP_SEED").ok();
    seed.map_or(0, |seed| seed.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_accepted_after_disks_were_full_in_turn() {
    play(first_seed()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_that_start_on_full_disks_wait_for_room() {
    let cluster = Cluster::start(0);
    cluster.change("before").await;
    let volumes = cluster.volumes.clone();
    cluster.token.cancel();
    for host in cluster.hosts {
        host.await.expect("a task").expect("a clean end");
    }
    let full = volume::Full {
        new_files: true,
        syncs: false,
        writes: true,
    };
    for volume in &volumes {
        volume.fill_after(0, full);
    }
    let cluster = Cluster::start_on(volumes, cluster.ports);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    cluster.assert_running();
    for volume in &cluster.volumes {
        volume.fill_after(0, volume::Full::default());
    }
    let changed = tokio::time::timeout(CHANGE_TIMEOUT, cluster.change("after")).await;
    assert!(changed.is_ok(), "no change is accepted");
    cluster.token.cancel();
}
