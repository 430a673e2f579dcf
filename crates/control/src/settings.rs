//! Settings of a control host.
//!
//! `[bootstrap] voters=a,b,c` names the hosts that start the log as its first voters. The setting
//! can remain in the file: the first roster is written only once every named host has reported that
//! its disk has never been part of a log. A host that returns with an empty disk learns that the
//! disks of the others have been, and joins as a new member instead. All named hosts must be up at
//! the same time once, for the first start.

use std::collections;
use std::net;
use std::path;
use std::sync;
use std::time;

use bytes::Bytes;
use peargap_adapters::deployment;
use peargap_adapters::digest;
use peargap_adapters::intake::limits;
use peargap_adapters::logs;
use peargap_adapters::settings;
use peargap_core::rollout::schedule;

use crate::addresses;
use crate::disk;
use crate::volume;

const ADDRESS: &str = "an address such as 127.0.0.1:7000";
const BATCH_ENTRIES: usize = 512;
const CHUNK_BYTES: usize = 1 << 20;
const DEFAULT_ELECTION_MS: u64 = 300;
const DEFAULT_HEARTBEAT_MS: u64 = 50;
const DEFAULT_LEASE_MS: u64 = 1500;
const DEFAULT_LIMIT_MB: u64 = 1 << 20;
const KEEP_BYTES: usize = 16 << 20;
const KEEP_ENTRIES: u64 = 1024;
const LEARNER_LAG_ENTRIES: u64 = 64;
const MEGABYTE: u64 = 1 << 20;
const RESERVE_BYTES: u64 = 4 * MEGABYTE;
/// Quorum checks, one every `election_ms`, that a voter may miss in a row before it is removed; a
/// host that restarts is back before.
const MAX_MISSED_CHECKS: u32 = 8;

/// Settings of a control host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Hosts that start the log as its first voters.
    pub bootstrap: Vec<String>,
    /// Size limits of the data folder.
    pub disk_limits: disk::Limits,
    /// Key that processes of the deployment authenticate with.
    pub deployment_key: Option<deployment::Key>,
    /// Failure domain of this host.
    pub domain: String,
    /// Data folder, which must outlast the process unless the host is volatile.
    pub folder: path::PathBuf,
    /// Address for health checks and metrics.
    pub health: net::SocketAddr,
    /// What callers may make the process hold.
    pub intake: limits::Limits,
    /// Address for entries, agents and other control hosts.
    pub internal: net::SocketAddr,
    /// Format of log lines.
    pub log_format: logs::Format,
    /// Lowest severity of log lines.
    pub log_level: logs::Level,
    /// Hosts that may be members of the log.
    pub membership: Membership,
    /// Name of this host.
    pub name: String,
    /// SHA-256 digests of the operators' keys.
    pub operator_keys: Vec<[u8; 32]>,
    /// Address for operators.
    pub operators: net::SocketAddr,
    /// Address in this host's own `[peer]` section, which lets all hosts have the same sections.
    pub own_address: Option<net::SocketAddr>,
    /// File that the settings were read from, if any.
    pub path: Option<path::PathBuf>,
    /// Address of the platform API, for the platform's operators and upstreams, if there is one.
    pub platform: Option<net::SocketAddr>,
    /// Internal addresses of the other control hosts by name.
    pub peers: collections::BTreeMap<String, net::SocketAddr>,
    /// What a bad version may get in a rollout.
    pub rollout: schedule::Bounds,
    /// Intervals of the log protocol.
    pub timing: Timing,
    /// The host stores nothing beyond its process: it follows the log and never votes.
    pub volatile: bool,
    /// Accept a copied data folder as up to date.
    pub trust_copy: bool,
    /// Volume that the data folder is on.
    pub volume: volume::Shared,
}

/// The hosts that may be members of the log, and how their addresses are found.
#[derive(Clone, Debug)]
pub enum Membership {
    /// The hosts with a section `[peer NAME]`.
    Listed,
    /// Any host of the deployment. Names are addresses; `seeds` are contacted first.
    Open {
        /// Number of hosts that may lose their disks at the same time.
        lost_hosts: usize,
        /// Internal port of every host.
        port: u16,
        /// Names of some hosts.
        seeds: Vec<String>,
    },
}

/// Intervals of the log protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Shortest election timeout.
    pub election: time::Duration,
    /// Interval of a leader's heartbeats.
    pub heartbeat: time::Duration,
    /// Time for which a host may grant freshness leases after a quorum confirmed its leader.
    pub lease: time::Duration,
}

/// Reads the settings file.
pub fn load(path: &path::Path) -> Result<Settings, settings::Findings> {
    let mut settings = read(settings::Reader::open(path))?;
    settings.path = Some(path.to_owned());
    Ok(settings)
}

/// Reads settings; all findings are reported together.
pub fn read(mut reader: settings::Reader) -> Result<Settings, settings::Findings> {
    let value = read_values(&mut reader);
    if let Some(settings) = &value {
        validate(&mut reader, settings);
    }
    reader.finish(value)
}

fn read_values(reader: &mut settings::Reader) -> Option<Settings> {
    let deployment_key = deployment::read_key(reader);
    let name = reader.required("node", "name", "this host's name");
    let domain = reader.required("node", "domain", "this host's failure domain");
    let internal = reader.required("listen", "internal", ADDRESS);
    let operators = reader.required("listen", "operators", ADDRESS);
    let health = reader.required("listen", "health", ADDRESS);
    let folder = reader.required("data", "folder", "a folder on a disk");
    let limit_mb = reader.ranged("data", "limit_mb", DEFAULT_LIMIT_MB, 16..=DEFAULT_LIMIT_MB);
    let volatile = reader.optional("data", "volatile", false, "true or false");
    let trust_copy = reader.optional("data", "trust_copy", false, "true or false");
    let operator_keys = read_keys(reader);
    let bootstrap = reader.list("bootstrap", "voters", "names of hosts");
    let level = logs::Level::Info;
    let log_level = reader.optional("log", "level", level, "debug, info, warn or error");
    let format = logs::Format::default();
    let log_format = reader.optional("log", "format", format, "text or json");
    let timing = read_timing(reader);
    let membership = read_membership(reader);
    let platform = reader.list("listen", "platform", ADDRESS).pop();
    let rollout = read_rollout(reader);
    let mut peers = read_peers(reader);
    let own_address = name.as_ref().and_then(|name: &String| peers.remove(name));
    Some(Settings {
        bootstrap,
        disk_limits: disk::Limits {
            max_bytes: limit_mb * MEGABYTE,
            reserve_bytes: RESERVE_BYTES,
        },
        deployment_key,
        domain: domain?,
        folder: folder?,
        health: health?,
        intake: limits::read(reader),
        internal: internal?,
        log_format,
        log_level,
        membership,
        name: name?,
        operator_keys,
        operators: operators?,
        own_address,
        path: None,
        peers,
        platform,
        rollout,
        timing,
        trust_copy,
        volatile,
        volume: sync::Arc::new(volume::Local),
    })
}

fn read_keys(reader: &mut settings::Reader) -> Vec<[u8; 32]> {
    let texts: Vec<String> = reader.list("operators", "key_sha256", "SHA-256 in hex");
    let keys: Vec<[u8; 32]> = texts
        .iter()
        .filter_map(|text| digest::parse_hex(text))
        .collect();
    if keys.len() < texts.len() {
        let problem = "contains a value that is not a SHA-256 digest in 64 hex digits".to_owned();
        reader.report("operators", "key_sha256", problem);
    }
    keys
}

fn read_timing(reader: &mut settings::Reader) -> Timing {
    let mut millis = |key, default, range| {
        time::Duration::from_millis(reader.ranged("timing", key, default, range))
    };
    Timing {
        election: millis("election_ms", DEFAULT_ELECTION_MS, 20..=60_000),
        heartbeat: millis("heartbeat_ms", DEFAULT_HEARTBEAT_MS, 5..=10_000),
        lease: millis("lease_ms", DEFAULT_LEASE_MS, 50..=600_000),
    }
}

fn read_rollout(reader: &mut settings::Reader) -> schedule::Bounds {
    let default = schedule::Bounds::default();
    let fraction = reader.ranged(
        "rollout",
        "exposure_fraction",
        default.fraction,
        0.001..=1.0,
    );
    let tolerance = reader.ranged(
        "rollout",
        "exposure_tolerance",
        default.tolerance,
        0.0..=1e6,
    );
    let default_ms = default.rollback.as_secs_f64() * 1000.0;
    let rollback_ms = reader.ranged("rollout", "rollback_ms", default_ms, 1_000.0..=600_000.0);
    schedule::Bounds {
        fraction,
        rollback: time::Duration::from_secs_f64(rollback_ms / 1000.0),
        tolerance,
    }
}

fn read_membership(reader: &mut settings::Reader) -> Membership {
    let port = reader.optional("membership", "port", 0, "a port");
    let seeds = reader.list("membership", "seeds", "names of hosts");
    if port == 0 {
        return Membership::Listed;
    }
    let lost_hosts = reader.optional("membership", "lost_hosts", 1, "a number of hosts");
    Membership::Open {
        lost_hosts,
        port,
        seeds,
    }
}

fn read_peers(reader: &mut settings::Reader) -> collections::BTreeMap<String, net::SocketAddr> {
    let mut peers = collections::BTreeMap::new();
    for name in reader.list_names("peer") {
        let section = format!("peer {name}");
        if let Some(address) = reader.required(&section, "address", ADDRESS) {
            peers.insert(name, address);
        }
    }
    peers
}

fn validate(reader: &mut settings::Reader, settings: &Settings) {
    let timing = settings.timing;
    if timing.election < timing.heartbeat * 3 {
        let problem = "is less than three times heartbeat_ms".to_owned();
        reader.report("timing", "election_ms", problem);
    }
    if settings
        .own_address
        .is_some_and(|address| address != settings.internal)
    {
        let section = format!("peer {}", settings.name);
        let problem = format!(
            "differs from this host's own internal address {}",
            settings.internal
        );
        reader.report(&section, "address", problem);
    }
    for voter in &settings.bootstrap {
        if matches!(settings.membership, Membership::Open { .. }) {
            break;
        }
        if *voter != settings.name && !settings.peers.contains_key(voter) {
            let problem = format!("{voter} has no section [peer {voter}]");
            reader.report("bootstrap", "voters", problem);
        }
    }
}

impl Settings {
    /// Returns the names of the hosts to contact first, if membership is open.
    pub(crate) fn seeds(&self) -> Vec<Bytes> {
        match &self.membership {
            Membership::Listed => Vec::new(),
            Membership::Open { seeds, .. } => seeds.iter().cloned().map(Bytes::from).collect(),
        }
    }

    /// Returns the settings of the roster if membership is open.
    fn open_membership(&self) -> Option<peargap_core::log::OpenMembership> {
        let Membership::Open { lost_hosts, .. } = self.membership else {
            return None;
        };
        Some(peargap_core::log::OpenMembership {
            // A majority remains when `lost_hosts` of them lose their disks.
            min_voters: 2 * lost_hosts + 1,
            missed_check_limit: MAX_MISSED_CHECKS,
        })
    }

    /// Returns the addresses of the other control hosts.
    pub(crate) fn addresses(&self) -> addresses::Addresses {
        match self.membership {
            Membership::Listed => addresses::Addresses::Listed(sync::Arc::new(self.peers.clone())),
            Membership::Open { port, .. } => addresses::Addresses::FromName { port },
        }
    }

    /// Returns the settings of the log.
    pub(crate) fn log_settings(&self) -> peargap_core::log::Settings {
        let names = |names: &mut dyn Iterator<Item = &String>| {
            names.map(|name| Bytes::from(name.clone())).collect()
        };
        peargap_core::log::Settings {
            bootstrap: names(&mut self.bootstrap.iter()),
            batch_entries: BATCH_ENTRIES,
            chunk_bytes: CHUNK_BYTES,
            keep_bytes: KEEP_BYTES,
            keep_entries: KEEP_ENTRIES,
            learner_lag: LEARNER_LAG_ENTRIES,
            open_membership: self.open_membership(),
            peers: match &self.membership {
                Membership::Listed => names(&mut self.peers.keys()),
                Membership::Open { seeds, .. } => {
                    names(&mut seeds.iter().filter(|seed| **seed != self.name))
                }
            },
        }
    }
}
