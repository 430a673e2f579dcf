//! Settings of a gateway.

use std::net;
use std::path;
use std::time;

use peargap_adapters::intake::limits;
use peargap_adapters::logs;
use peargap_adapters::settings;
use peargap_core::retry_budget;

const ADDRESS_HINT: &str = "an address such as 127.0.0.1:7000";
const DEFAULT_GRACE_MS: u64 = 8000;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listen address for callers.
    pub callers: net::SocketAddr,
    /// Port on which control hosts serve other processes.
    pub control_port: u16,
    /// Addresses of some control hosts; the others are learned from these.
    pub control_seeds: Vec<net::SocketAddr>,
    /// Failure domain of this host.
    pub domain: String,
    /// Longest time between SIGTERM and the exit of the process.
    pub grace: time::Duration,
    /// Listen address of the health and metrics endpoints.
    pub health: net::SocketAddr,
    /// What callers may make the process hold.
    pub intake: limits::Limits,
    /// Format of log lines.
    pub log_format: logs::Format,
    /// Minimum severity of log lines.
    pub log_level: logs::Level,
    /// Name of this host.
    pub name: String,
    /// Bounds of what upstreams send in a response.
    pub response_limits: ResponseLimits,
    /// Whether generations that wait for room begin in the order of their urgency, at services whose
    /// latency objectives differ enough for it to matter.
    pub orders_waiting: bool,
    /// Bounds of the retries to one service, for all gateways together.
    pub retry_limits: retry_budget::Limits,
    /// File that the settings were read from, if any; it is read again on SIGHUP.
    pub path: Option<path::PathBuf>,
}

/// Bounds of what an upstream sends in a response; a longer one is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseLimits {
    /// Bytes of a body that is read whole before it is forwarded.
    pub body_bytes: usize,
    /// Bytes of one event of a stream.
    pub event_bytes: usize,
}

impl Default for ResponseLimits {
    fn default() -> ResponseLimits {
        ResponseLimits {
            body_bytes: 4 << 20,
            event_bytes: 128 << 10,
        }
    }
}

/// Reads the settings file.
pub fn load(path: &path::Path) -> Result<Settings, settings::Findings> {
    let mut settings = read(settings::Reader::open(path))?;
    settings.path = Some(path.to_owned());
    Ok(settings)
}

/// Reads settings and reports all errors together.
pub fn read(mut reader: settings::Reader) -> Result<Settings, settings::Findings> {
    let value = read_all(&mut reader);
    reader.finish(value)
}

fn read_all(reader: &mut settings::Reader) -> Option<Settings> {
    let name = reader.required("node", "name", "this host's name");
    let domain = reader.required("node", "domain", "this host's failure domain");
    let callers = reader.required("listen", "callers", ADDRESS_HINT);
    let health = reader.required("listen", "health", ADDRESS_HINT);
    let control_port = reader.required("control", "port", "a port");
    let control_seeds = reader.list("control", "seeds", ADDRESS_HINT);
    let grace_ms = reader.ranged("stop", "grace_ms", DEFAULT_GRACE_MS, 100..=600_000);
    let intake = limits::read(reader);
    let response_limits = read_response_limits(reader);
    let retry_limits = read_retry_limits(reader);
    let orders_waiting = reader.optional("waiting", "in_order", false, "true or false");
    let level = logs::Level::Info;
    let log_level = reader.optional("log", "level", level, "debug, info, warn or error");
    let format = logs::Format::default();
    let log_format = reader.optional("log", "format", format, "text or json");
    Some(Settings {
        callers: callers?,
        control_port: control_port?,
        control_seeds,
        domain: domain?,
        grace: time::Duration::from_millis(grace_ms),
        health: health?,
        intake,
        log_format,
        log_level,
        name: name?,
        orders_waiting,
        path: None,
        response_limits,
        retry_limits,
    })
}

fn read_response_limits(reader: &mut settings::Reader) -> ResponseLimits {
    let default = ResponseLimits::default();
    let bytes = 1024..=256 << 20;
    ResponseLimits {
        body_bytes: reader.ranged("responses", "body_bytes", default.body_bytes, bytes.clone()),
        event_bytes: reader.ranged("responses", "event_bytes", default.event_bytes, bytes),
    }
}

fn read_retry_limits(reader: &mut settings::Reader) -> retry_budget::Limits {
    let default = retry_budget::Limits::default();
    let window_s = reader.ranged(
        "retries",
        "window_s",
        default.window.as_secs_f64(),
        1.0..=600.0,
    );
    retry_budget::Limits {
        burst: reader.ranged("retries", "burst", default.burst, 0.0..=1e6),
        ratio: reader.ranged("retries", "ratio", default.ratio, 0.0..=1.0),
        window: time::Duration::try_from_secs_f64(window_s).unwrap_or(default.window),
    }
}
