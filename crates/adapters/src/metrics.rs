//! OpenTelemetry metrics, exported in Prometheus text format.

use std::fs;

use opentelemetry::metrics as otel;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics as sdk;
use prometheus::Encoder as _;

use crate::panics;

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// Registry of a process's metrics; clones share it.
#[derive(Clone, Debug)]
pub struct Registry {
    provider: sdk::SdkMeterProvider,
    registry: prometheus::Registry,
}

impl Registry {
    /// Returns a registry that already reports the process's own CPU time and memory.
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Registry, opentelemetry_sdk::error::OTelSdkError> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = sdk::SdkMeterProvider::builder()
            .with_reader(exporter)
            .build();
        let registry = Registry { provider, registry };
        registry.observe_process();
        Ok(registry)
    }

    /// Returns the meter to build instruments with.
    pub fn meter(&self) -> otel::Meter {
        self.provider.meter("peargap")
    }

    /// Returns every metric in Prometheus text format.
    pub fn encode(&self) -> String {
        let mut buffer = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        match encoder.encode(&self.registry.gather(), &mut buffer) {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }

    fn observe_process(&self) {
        let meter = self.meter();
        let _cpu = meter
            .f64_observable_counter("peargap_process_cpu_seconds")
            .with_description("CPU time of this process")
            .with_callback(|gauge| {
                if let Some(usage) = read_usage() {
                    gauge.observe(usage.cpu_seconds, &[]);
                }
            })
            .build();
        let _panics = meter
            .u64_observable_counter("peargap_panics")
            .with_description("Panics of this process, each of which ended one piece of work")
            .with_callback(|counter| counter.observe(panics::count(), &[]))
            .build();
        let _memory = meter
            .f64_observable_gauge("peargap_process_resident_bytes")
            .with_description("Resident memory of this process")
            .with_callback(|gauge| {
                if let Some(usage) = read_usage() {
                    gauge.observe(usage.resident_bytes, &[]);
                }
            })
            .build();
    }
}

/// What the process has used so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// User and system CPU time.
    pub cpu_seconds: f64,
    /// Resident memory.
    pub resident_bytes: f64,
}

/// Returns this process's usage; `None` if `/proc/self/stat` is missing or malformed.
pub fn read_usage() -> Option<Usage> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    // The second field is the name in parentheses and may hold spaces.
    let (_, rest) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    let pages: f64 = fields.get(21)?.parse().ok()?;
    Some(Usage {
        cpu_seconds: (user + system) / TICKS_PER_SECOND,
        resident_bytes: pages * PAGE_BYTES,
    })
}
