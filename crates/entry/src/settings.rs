//! Reads the settings file of an entry.

use core::time;
use std::net;
use std::path;

use peargap_adapters::deployment;
use peargap_adapters::intake::limits;
use peargap_adapters::logs;
use peargap_adapters::settings;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Control hosts, in order of preference.
    pub controls: Vec<net::SocketAddr>,
    /// Key with which the processes of the deployment authenticate to each other.
    pub deployment_key: Option<deployment::Key>,
    /// Behaviour on a stop.
    pub drain: Drain,
    /// Listen addresses.
    pub listen: Listen,
    /// What callers may make the process hold.
    pub intake: limits::Limits,
    /// Limits on callers.
    pub limits: Limits,
    /// Log format and level.
    pub log: Log,
    /// Own failure domain and name.
    pub node: Node,
}

/// Behaviour on a stop.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Time after SIGTERM in which connections are still accepted, until load balancers react.
    pub linger: time::Duration,
    /// Time after SIGTERM at which open streams end with a hint to resume; never if absent.
    pub streams: Option<time::Duration>,
}

/// Listen addresses.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Callers' requests.
    pub callers: net::SocketAddr,
    /// `/healthz`, `/readyz` and `/metrics`.
    pub health: net::SocketAddr,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Timeout of a request that sets none.
    pub default_deadline: time::Duration,
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum timeout that a caller may set.
    pub max_deadline: time::Duration,
    /// Time after which a caller that reads nothing is dropped.
    pub stalled_reader: time::Duration,
    /// Number of threads that serve callers.
    pub traffic_threads: usize,
}

/// Log format and level.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Text or JSON.
    pub format: logs::Format,
    /// Lowest level that is logged.
    pub level: logs::Level,
}

/// Own failure domain and name.
#[derive(Clone, Debug)]
pub struct Node {
    /// Failure domain.
    pub domain: String,
    /// Name, unique in the deployment.
    pub name: String,
}

/// Reads a settings file; returns all findings if any setting is invalid.
pub fn load(path: &path::Path) -> Result<Settings, settings::Findings> {
    read(settings::Reader::open(path))
}

/// Reads the settings; returns all findings if any setting is invalid.
pub fn read(mut reader: settings::Reader) -> Result<Settings, settings::Findings> {
    let deployment_key = deployment::read_key(&mut reader);
    let node = read_node(&mut reader);
    let listen = read_listen(&mut reader);
    let controls = read_controls(&mut reader);
    let limits = read_limits(&mut reader);
    let intake = limits::Limits {
        connections: reader.ranged("limits", "max_connections", 10_000, 1..=1_000_000),
        ..limits::read(&mut reader)
    };
    let drain = read_drain(&mut reader);
    let log = read_log(&mut reader);
    let settings = node.zip(listen).map(|(node, listen)| Settings {
        controls,
        deployment_key,
        drain,
        listen,
        intake,
        limits,
        log,
        node,
    });
    reader.finish(settings)
}

fn read_node(reader: &mut settings::Reader) -> Option<Node> {
    let name = reader.required("node", "name", "a name that is unique in the deployment");
    let domain = reader.required("node", "domain", "the name of a failure domain");
    Some(Node {
        domain: domain?,
        name: name?,
    })
}

fn read_listen(reader: &mut settings::Reader) -> Option<Listen> {
    let callers = reader.required("listen", "callers", "ip:port");
    let health = reader.required("listen", "health", "ip:port");
    Some(Listen {
        callers: callers?,
        health: health?,
    })
}

fn read_controls(reader: &mut settings::Reader) -> Vec<net::SocketAddr> {
    let expected = "one or more ip:port, separated by commas";
    let controls = reader.list("control", "addresses", expected);
    if controls.is_empty() {
        reader.report("control", "addresses", format!("is empty; give {expected}"));
    }
    controls
}

fn read_limits(reader: &mut settings::Reader) -> Limits {
    let limits = Limits {
        body_bytes: reader.ranged("limits", "body_bytes", 4 << 20, 1024..=256 << 20),
        default_deadline: read_millis(reader, "limits", "default_deadline_ms", 600_000, 1),
        header_bytes: reader.ranged("limits", "header_bytes", 32 << 10, 8 << 10..=1 << 20),
        max_deadline: read_millis(reader, "limits", "max_deadline_ms", 3_600_000, 1),
        stalled_reader: read_millis(reader, "limits", "stalled_reader_ms", 30_000, 100),
        traffic_threads: reader.ranged("limits", "traffic_threads", 2, 1..=256),
    };
    if limits.default_deadline > limits.max_deadline {
        let problem = "is longer than max_deadline_ms".to_owned();
        reader.report("limits", "default_deadline_ms", problem);
    }
    limits
}

fn read_drain(reader: &mut settings::Reader) -> Drain {
    let streams = read_millis(reader, "drain", "streams_ms", 0, 0);
    Drain {
        linger: read_millis(reader, "drain", "linger_ms", 2_000, 0),
        streams: (!streams.is_zero()).then_some(streams),
    }
}

fn read_log(reader: &mut settings::Reader) -> Log {
    Log {
        format: reader.optional("log", "format", logs::Format::Text, "text or json"),
        level: reader.optional(
            "log",
            "level",
            logs::Level::Info,
            "debug, info, warn or error",
        ),
    }
}

fn read_millis(
    reader: &mut settings::Reader,
    section: &str,
    key: &str,
    default: u64,
    min: u64,
) -> time::Duration {
    /// One day.
    const MAX_MILLIS: u64 = 86_400_000;
    time::Duration::from_millis(reader.ranged(section, key, default, min..=MAX_MILLIS))
}
