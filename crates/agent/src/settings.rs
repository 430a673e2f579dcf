//! The agent's settings file.

use core::net;
use core::time;
use std::path;
use std::str;

use peargap_adapters::deployment;
use peargap_adapters::intake::limits;
use peargap_adapters::logs;
use peargap_adapters::settings;

/// The parsed settings file.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) controls: Vec<net::SocketAddr>,
    pub(crate) deployment_key: Option<deployment::Key>,
    pub(crate) domain: String,
    pub(crate) health: net::SocketAddr,
    pub(crate) intake: limits::Limits,
    pub(crate) internal: net::SocketAddr,
    pub(crate) log_format: logs::Format,
    pub(crate) log_level: logs::Level,
    pub(crate) name: String,
    pub(crate) queue: Queue,
    pub(crate) stream: Stream,
    /// Worker threads that relay tokens and calls.
    pub(crate) traffic_threads: usize,
    pub(crate) upstream: Upstream,
}

/// The upstream that the agent serves.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) address: net::SocketAddr,
    pub(crate) checks_fences: bool,
    pub(crate) kind: Kind,
    /// Concurrency limit of streams or calls once the upstream is warm.
    pub(crate) max_running: u32,
    /// Engine memory, in tokens.
    pub(crate) memory_tokens: u64,
    pub(crate) name: String,
    /// Models loaded at startup, or services.
    pub(crate) offers: Vec<String>,
    /// A connection to the engine that receives no byte for this long is replaced.
    pub(crate) silent_after: time::Duration,
}

/// Kind of upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Engine,
    Service,
}

impl str::FromStr for Kind {
    type Err = ();

    fn from_str(text: &str) -> Result<Kind, ()> {
        match text {
            "engine" => Ok(Kind::Engine),
            "service" => Ok(Kind::Service),
            _ => Err(()),
        }
    }
}

/// Limits of the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queue {
    /// Maximum number of queued requests.
    pub(crate) max_queued: u32,
}

/// Limits of the replay buffers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    /// How long a running generation without a reader waits to be resumed.
    pub(crate) grace: time::Duration,
    /// Memory limit of one generation's replay buffer.
    pub(crate) replay_bytes: usize,
    /// How long a finished generation can still be resumed.
    pub(crate) retention: time::Duration,
    /// Memory limit of all finished generations.
    pub(crate) retained_bytes: usize,
    /// Memory limit of the tokens of all generations that readers have not acknowledged.
    pub(crate) unread_bytes: u64,
}

/// Reads the settings file, or returns all problems found in it.
pub(crate) fn load(path: &path::Path) -> Result<Settings, settings::Findings> {
    let mut reader = settings::Reader::open(path);
    let settings = read(&mut reader);
    reader.finish(settings)
}

fn read(reader: &mut settings::Reader) -> Option<Settings> {
    let deployment_key = deployment::read_key(reader);
    let name = reader.required("node", "name", "the agent's name");
    let domain = reader.required("node", "domain", "the name of its failure domain");
    let traffic_threads = reader.ranged("node", "traffic_threads", 1, 1..=64);
    let internal = reader.required("listen", "internal", "ip:port");
    let health = reader.required("listen", "health", "ip:port");
    let controls = reader.list("control", "addresses", "ip:port,ip:port");
    if controls.is_empty() {
        reader.report("control", "addresses", "lists no ip:port".to_owned());
    }
    let upstream = read_upstream(reader);
    let queue = Queue {
        max_queued: reader.ranged("queue", "max_queued", 256, 0..=100_000),
    };
    let stream = read_stream(reader);
    let log_level = reader.optional(
        "log",
        "level",
        logs::Level::Info,
        "debug, info, warn, error",
    );
    let log_format = reader.optional("log", "format", logs::Format::Text, "text or json");
    Some(Settings {
        controls,
        deployment_key,
        domain: domain?,
        health: health?,
        intake: limits::read(reader),
        internal: internal?,
        log_format,
        log_level,
        name: name?,
        queue,
        stream,
        traffic_threads,
        upstream: upstream?,
    })
}

fn read_upstream(reader: &mut settings::Reader) -> Option<Upstream> {
    let name: Option<String> = reader.required("upstream", "name", "the upstream's name");
    let kind = reader.required("upstream", "kind", "engine or service");
    let address = reader.required("upstream", "address", "ip:port");
    let offers: Vec<String> = reader.list("upstream", "offers", "names");
    if offers.is_empty() {
        reader.report("upstream", "offers", "lists no name".to_owned());
    }
    let memory_tokens = reader.ranged("upstream", "memory_tokens", 0, 0..=1_000_000_000);
    if kind == Some(Kind::Engine) && memory_tokens == 0 {
        let problem = "is missing; give the size of engine memory in tokens".to_owned();
        reader.report("upstream", "memory_tokens", problem);
    }
    let max_running = reader.ranged("upstream", "max_running", 64, 1..=100_000);
    let checks_fences = reader.optional("upstream", "checks_fences", false, "true or false");
    let silent_after_ms = reader.ranged("upstream", "silent_after_ms", 800, 50..=60_000);
    Some(Upstream {
        address: address?,
        checks_fences,
        kind: kind?,
        max_running,
        memory_tokens,
        name: name?,
        offers,
        silent_after: time::Duration::from_millis(silent_after_ms),
    })
}

fn read_stream(reader: &mut settings::Reader) -> Stream {
    let grace = reader.ranged("stream", "grace_ms", 10_000, 100..=600_000);
    let retention = reader.ranged("stream", "retention_ms", 60_000, 100..=3_600_000);
    Stream {
        grace: time::Duration::from_millis(grace),
        replay_bytes: reader.ranged("stream", "replay_bytes", 1 << 20, 1 << 10..=1 << 30),
        retention: time::Duration::from_millis(retention),
        retained_bytes: reader.ranged("stream", "retained_bytes", 64 << 20, 1 << 16..=8 << 30),
        unread_bytes: reader.ranged("stream", "unread_bytes", 64 << 20, 1 << 12..=8 << 30),
    }
}
