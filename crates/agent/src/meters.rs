//! Metrics of the agent.

use std::sync;
use std::sync::atomic;

use opentelemetry::metrics as otel;
use peargap_adapters::metrics;
use peargap_core::admit;
use peargap_wire::agent as wire;

use crate::engine;

/// Bucket boundaries of the time histograms, in milliseconds.
const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    30_000.0,
];

/// The agent's metric instruments; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Meters {
    admitted: otel::Counter<u64>,
    between_tokens: otel::Histogram<f64>,
    ends: otel::Counter<u64>,
    first_token: otel::Histogram<f64>,
    gauges: sync::Arc<Gauges>,
    queue_wait: otel::Histogram<f64>,
    refusals: otel::Counter<u64>,
    resumes: otel::Counter<u64>,
    cold_signs: otel::Counter<u64>,
    tokens: otel::Counter<u64>,
}

/// Current values of the observable gauges.
#[derive(Debug, Default)]
struct Gauges {
    limit: atomic::AtomicU64,
    preemptions: atomic::AtomicU64,
    queued: atomic::AtomicU64,
    running: atomic::AtomicU64,
    stall_ms: atomic::AtomicU64,
    used_tokens: atomic::AtomicU64,
}

/// How a generation or call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ended {
    Cancelled,
    Failed,
    Finished,
}

impl Meters {
    /// Creates and registers the instruments.
    pub(crate) fn new(registry: &metrics::Registry) -> Meters {
        let meter = registry.meter();
        let gauges = sync::Arc::default();
        register_gauges(&meter, &gauges);
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let histogram = |name: &'static str, description: &'static str| {
            let builder = meter.f64_histogram(name).with_description(description);
            builder.with_boundaries(BUCKETS_MS.to_vec()).build()
        };
        Meters {
            admitted: counter("peargap_agent_admitted", "Requests admitted"),
            between_tokens: histogram(
                "peargap_agent_between_tokens_ms",
                "Time between tokens of a stream in milliseconds",
            ),
            ends: counter("peargap_agent_ended", "Generations and calls by their end"),
            first_token: histogram(
                "peargap_agent_first_token_ms",
                "Time from admission to the first token in milliseconds",
            ),
            gauges,
            queue_wait: histogram(
                "peargap_agent_queue_wait_ms",
                "Time in the queue of admitted requests in milliseconds",
            ),
            refusals: counter("peargap_agent_refused", "Requests refused by reason"),
            resumes: counter("peargap_agent_resumed", "Links replaced, by side"),
            cold_signs: counter("peargap_agent_cold_signs", "Signs of a cold upstream"),
            tokens: counter("peargap_agent_tokens", "Tokens relayed"),
        }
    }

    /// Counts an admitted request.
    pub(crate) fn count_admitted(&self, waited_ms: u64) {
        self.admitted.add(1, &[]);
        self.queue_wait.record(waited_ms as f64, &[]);
    }

    /// Counts a refused request.
    pub(crate) fn count_refusal(&self, reason: wire::Reason) {
        let reason = opentelemetry::KeyValue::new("reason", reason.as_str_name());
        self.refusals.add(1, &[reason]);
    }

    /// Counts an ended generation or call.
    pub(crate) fn count_end(&self, ended: Ended) {
        let label = match ended {
            Ended::Cancelled => "cancelled",
            Ended::Failed => "failed",
            Ended::Finished => "finished",
        };
        self.ends
            .add(1, &[opentelemetry::KeyValue::new("how", label)]);
    }

    /// Counts an attempt to resume a stream from the engine.
    pub(crate) fn count_engine_resume(&self) {
        let side = opentelemetry::KeyValue::new("side", "engine");
        self.resumes.add(1, &[side]);
    }

    /// Counts a generation resumed by an entry.
    pub(crate) fn count_entry_resume(&self) {
        let side = opentelemetry::KeyValue::new("side", "entry");
        self.resumes.add(1, &[side]);
    }

    /// Counts a sign of a cold upstream.
    pub(crate) fn count_cold_sign(&self) {
        self.cold_signs.add(1, &[]);
    }

    /// Counts tokens and the time since the previous ones; the first ones have no gap.
    pub(crate) fn count_tokens(&self, count: u64, gap_ms: Option<f64>) {
        self.tokens.add(count, &[]);
        if let Some(gap_ms) = gap_ms {
            self.between_tokens.record(gap_ms, &[]);
        }
    }

    /// Records the time to the first token.
    pub(crate) fn record_first_token(&self, waited_ms: f64) {
        self.first_token.record(waited_ms, &[]);
    }

    /// Updates the gauges of admission.
    pub(crate) fn set_load(&self, load: &admit::Load) {
        store(&self.gauges.limit, u64::from(load.limit));
        store(&self.gauges.queued, u64::from(load.waiting));
        store(&self.gauges.running, u64::from(load.running));
        store(&self.gauges.used_tokens, load.used_tokens);
    }

    /// Updates the gauges of the engine's report.
    pub(crate) fn set_report(&self, report: &engine::Report) {
        store(&self.gauges.preemptions, report.preemptions);
        store(&self.gauges.stall_ms, report.stall_ms);
    }
}

fn store(gauge: &atomic::AtomicU64, value: u64) {
    gauge.store(value, atomic::Ordering::Relaxed);
}

fn register_gauges(meter: &otel::Meter, gauges: &sync::Arc<Gauges>) {
    let gauge = |name: &'static str, description: &'static str, read: fn(&Gauges) -> u64| {
        let gauges = sync::Arc::clone(gauges);
        let _ = meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |gauge| gauge.observe(read(&gauges), &[]))
            .build();
    };
    gauge(
        "peargap_agent_limit",
        "Streams or calls allowed at once",
        |gauges| gauges.limit.load(atomic::Ordering::Relaxed),
    );
    gauge("peargap_agent_queued", "Requests that wait", |gauges| {
        gauges.queued.load(atomic::Ordering::Relaxed)
    });
    gauge(
        "peargap_agent_running",
        "Streams or calls that run",
        |gauges| gauges.running.load(atomic::Ordering::Relaxed),
    );
    gauge(
        "peargap_agent_used_tokens",
        "Engine memory in use in tokens",
        |gauges| gauges.used_tokens.load(atomic::Ordering::Relaxed),
    );
    gauge(
        "peargap_agent_preemptions",
        "Preemptions the engine reports",
        |gauges| gauges.preemptions.load(atomic::Ordering::Relaxed),
    );
    gauge(
        "peargap_agent_stall_ms",
        "Stall time the engine reports",
        |gauges| gauges.stall_ms.load(atomic::Ordering::Relaxed),
    );
}
