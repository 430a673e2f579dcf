//! Metrics of an entry.

use core::time;
use std::sync;
use std::sync::atomic;

use opentelemetry::metrics as otel;
use peargap_adapters::metrics;

use crate::fleet;
use crate::refusal;
use crate::upstream_table;

/// A gap between two tokens counts as a stall beyond this.
const STALL_THRESHOLD: time::Duration = time::Duration::from_millis(500);
/// Bucket boundaries of the histograms, in seconds.
const BUCKET_BOUNDARIES: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The instruments.
#[derive(Debug)]
pub(crate) struct Metrics {
    active: sync::Arc<atomic::AtomicU64>,
    /// Number of upstreams whose agent reports that it accepts work.
    pub(crate) upstreams: sync::Arc<atomic::AtomicU64>,
    between_tokens: otel::Histogram<f64>,
    first_token: otel::Histogram<f64>,
    pub(crate) hedges: otel::Counter<u64>,
    pub(crate) links_replaced: otel::Counter<u64>,
    refusals: otel::Counter<u64>,
    pub(crate) retries: otel::Counter<u64>,
    stall_seconds: otel::Counter<f64>,
    tokens: otel::Counter<u64>,
}

/// Counts a request as running until dropped.
#[derive(Debug)]
pub(crate) struct Active(sync::Arc<atomic::AtomicU64>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Metrics {
    /// Registers the instruments with `registry`.
    pub(crate) fn new(registry: &metrics::Registry) -> Metrics {
        let meter = registry.meter();
        let active = sync::Arc::new(atomic::AtomicU64::new(0));
        let observed = active.clone();
        let _gauge = meter
            .u64_observable_gauge("peargap_entry_active_requests")
            .with_description("Requests that are running")
            .with_callback(move |gauge| {
                gauge.observe(observed.load(atomic::Ordering::Relaxed), &[]);
            })
            .build();
        let upstreams = sync::Arc::new(atomic::AtomicU64::new(0));
        let count = upstreams.clone();
        let _gauge = meter
            .u64_observable_gauge("peargap_entry_agents_accepting")
            .with_description("Upstreams whose agent reports that it takes work")
            .with_callback(move |gauge| gauge.observe(count.load(atomic::Ordering::Relaxed), &[]))
            .build();
        Metrics {
            active,
            upstreams,
            between_tokens: build_histogram(
                &meter,
                "peargap_entry_between_tokens_seconds",
                "Time between two tokens from the agent",
            ),
            first_token: build_histogram(
                &meter,
                "peargap_entry_first_token_seconds",
                "Time from a request's arrival to its first token",
            ),
            hedges: meter
                .u64_counter("peargap_entry_hedges")
                .with_description("Repeatable calls that were sent to a second upstream")
                .build(),
            links_replaced: meter
                .u64_counter("peargap_entry_links_replaced")
                .with_description("Silent or lost links that were replaced")
                .build(),
            refusals: meter
                .u64_counter("peargap_entry_refusals")
                .with_description("Requests refused, by reason and by whether they ran")
                .build(),
            retries: meter
                .u64_counter("peargap_entry_retries")
                .with_description("Attempts beyond the first")
                .build(),
            stall_seconds: meter
                .f64_counter("peargap_entry_stall_seconds")
                .with_description("Time beyond the stall bound between two tokens")
                .build(),
            tokens: meter
                .u64_counter("peargap_entry_tokens")
                .with_description("Tokens received from agents")
                .build(),
        }
    }

    /// Counts a request as running until the returned guard is dropped.
    pub(crate) fn count_active(&self) -> Active {
        self.active.fetch_add(1, atomic::Ordering::Relaxed);
        Active(self.active.clone())
    }

    /// Records the time to the first token.
    pub(crate) fn record_first_token(&self, elapsed: time::Duration) {
        self.first_token.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the gap since the last token and the number of tokens that ended it.
    pub(crate) fn record_gap(&self, gap: time::Duration, tokens: usize) {
        self.tokens.add(tokens as u64, &[]);
        self.between_tokens.record(gap.as_secs_f64(), &[]);
        let stall = gap.saturating_sub(STALL_THRESHOLD);
        if !stall.is_zero() {
            self.stall_seconds.add(stall.as_secs_f64(), &[]);
        }
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, refusal: &refusal::Refusal) {
        let labels = [
            opentelemetry::KeyValue::new("reason", refusal.code.as_str()),
            opentelemetry::KeyValue::new("ran", refusal.ran.as_str()),
        ];
        self.refusals.add(1, &labels);
    }
}

/// Registers a gauge of the upstreams that this entry considers available.
pub(crate) fn observe_upstreams(
    registry: &metrics::Registry,
    upstream_table: sync::Arc<upstream_table::UpstreamTable>,
    fleet: fleet::Watch,
) {
    let _gauge = registry
        .meter()
        .u64_observable_gauge("peargap_entry_upstreams")
        .with_description("Upstreams that take work, as this entry sees them")
        .with_callback(move |gauge| {
            let fleet = fleet.borrow().clone();
            gauge.observe(upstream_table.count_available(fleet.list_keys()), &[]);
        })
        .build();
}

fn build_histogram(
    meter: &otel::Meter,
    name: &'static str,
    description: &'static str,
) -> otel::Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(BUCKET_BOUNDARIES.to_vec())
        .build()
}
