//! Metrics of a gateway.

use opentelemetry::metrics as otel;
use peargap_adapters::body_budget;
use peargap_adapters::metrics;
use peargap_core::event_timing;
use peargap_core::retry_budget;

use crate::fleet;
use crate::response;
use crate::run_guard;

/// Bucket boundaries of the time histograms, in seconds.
const BUCKET_BOUNDARIES: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 4.0, 10.0,
];
const MILLISECOND: f64 = 0.001;

/// How a copy or a move ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
}

/// Registers the gauge of requests, prompt parts and groups of these that are in quarantine.
pub(crate) fn observe_quarantine(registry: &metrics::Registry, fleet: &fleet::Fleet) {
    let fleet = fleet.clone();
    let _gauge = registry
        .meter()
        .u64_observable_gauge("peargap_gateway_quarantined")
        .with_description(
            "Requests and groups of prompt parts in quarantine, as upstreams crash on them",
        )
        .with_callback(move |gauge| gauge.observe(fleet.count_quarantined(), &[]))
        .build();
}

/// Registers the metrics of what callers and upstreams have not read.
pub(crate) fn observe_unread(registry: &metrics::Registry, unread: &body_budget::Budget) {
    let held = unread.clone();
    let _gauge = registry
        .meter()
        .u64_observable_gauge("peargap_gateway_unread_bytes")
        .with_description("Bytes held for callers and upstreams that have not read them yet")
        .with_callback(move |gauge| gauge.observe(held.usage().bytes, &[]))
        .build();
    let ended = unread.clone();
    let _counter = registry
        .meter()
        .u64_observable_counter("peargap_gateway_unread_ended")
        .with_description("Requests and responses ended as their peers were too slow")
        .with_callback(move |counter| counter.observe(ended.usage().ended, &[]))
        .build();
}

/// The gateway's instruments, shared by all clones.
#[derive(Clone, Debug)]
pub(crate) struct Meters {
    answers: otel::Counter<u64>,
    between_events: otel::Histogram<f64>,
    copies: otel::Counter<u64>,
    first_event: otel::Histogram<f64>,
    generations: otel::Counter<u64>,
    limited: otel::Counter<u64>,
    moves: otel::Counter<u64>,
    refusals: otel::Counter<u64>,
    retries: otel::Counter<u64>,
    run_ends: otel::Counter<u64>,
    waited_for_room: otel::Histogram<f64>,
}

impl Meters {
    /// Creates the instruments in `registry`.
    pub(crate) fn new(registry: &metrics::Registry) -> Meters {
        let meter = registry.meter();
        let counter = |name, description| {
            let builder = meter.u64_counter(name).with_description(description);
            builder.build()
        };
        let histogram = |name, description| {
            let builder = meter.f64_histogram(name).with_description(description);
            builder.with_boundaries(BUCKET_BOUNDARIES.to_vec()).build()
        };
        Meters {
            answers: counter(
                "peargap_gateway_answers",
                "Answers of plain calls passed on whole, by status class",
            ),
            between_events: histogram(
                "peargap_gateway_between_events_seconds",
                "Time between two events to a caller",
            ),
            copies: counter(
                "peargap_gateway_copies",
                "Copies of a generation's memory made on demand, by outcome",
            ),
            first_event: histogram(
                "peargap_gateway_first_event_seconds",
                "Time from a generation's arrival to its first event",
            ),
            generations: counter(
                "peargap_gateway_generations",
                "Generations that ended, by whether they were complete and on time",
            ),
            limited: counter(
                "peargap_gateway_limited",
                "Requests refused because of the limits that upstreams name, by service",
            ),
            moves: counter(
                "peargap_gateway_moves",
                "Generations that were to go on at another engine, by outcome",
            ),
            refusals: counter(
                "peargap_gateway_refusals",
                "Requests answered by the gateway itself, by reason",
            ),
            retries: counter(
                "peargap_gateway_retries",
                "Requests that reached an upstream and might go to another one, by decision",
            ),
            run_ends: counter(
                "peargap_gateway_run_ends",
                "Runs of generations given up before their end, by how they ended",
            ),
            waited_for_room: histogram(
                "peargap_gateway_waited_for_room_seconds",
                "Time that generations waited for an engine with room",
            ),
        }
    }

    /// Counts a response of a plain call that was forwarded to its caller.
    pub(crate) fn count_answer(&self, status: http::StatusCode) {
        let class = match status.as_u16() / 100 {
            2 => "2xx",
            4 => "4xx",
            5 => "5xx",
            _ => "other",
        };
        let labels = [opentelemetry::KeyValue::new("status", class)];
        self.answers.add(1, &labels);
    }

    /// Records the timing of an event sent to a caller.
    pub(crate) fn record_event(&self, arrival: event_timing::Arrival) {
        match arrival {
            event_timing::Arrival::First(millis) => self.first_event.record(seconds(millis), &[]),
            event_timing::Arrival::Next(millis) => self.between_events.record(seconds(millis), &[]),
        }
    }

    /// Counts a generation that has ended.
    pub(crate) fn count_generation(&self, end: &'static str, verdict: event_timing::Verdict) {
        let pace = match verdict {
            event_timing::Verdict::LateFirst => "late_first",
            event_timing::Verdict::OnTime => "on_time",
            event_timing::Verdict::Paused => "paused",
        };
        let labels = [
            opentelemetry::KeyValue::new("end", end),
            opentelemetry::KeyValue::new("pace", pace),
        ];
        self.generations.add(1, &labels);
    }

    /// Counts a copy made on demand for a move.
    pub(crate) fn count_copy(&self, outcome: Outcome) {
        self.copies.add(1, &[label_outcome(outcome)]);
    }

    /// Counts a move to another engine.
    pub(crate) fn count_move(&self, outcome: Outcome) {
        self.moves.add(1, &[label_outcome(outcome)]);
    }

    /// Counts a request that the gateway refused.
    pub(crate) fn count_refusal(&self, refusal: response::Refusal) {
        let labels = [opentelemetry::KeyValue::new("reason", refusal.as_str())];
        self.refusals.add(1, &labels);
    }

    /// Counts a decision on the retry of a request at another upstream.
    pub(crate) fn count_retry(&self, service: &str, decision: retry_budget::Decision) {
        let decision = match decision {
            retry_budget::Decision::Allow => "sent",
            retry_budget::Decision::Exhausted => "exhausted",
            retry_budget::Decision::Overloaded => "overloaded",
        };
        let labels = [
            opentelemetry::KeyValue::new("decision", decision),
            opentelemetry::KeyValue::new("service", service.to_owned()),
        ];
        self.retries.add(1, &labels);
    }

    /// Counts a run that was given up before its end.
    pub(crate) fn count_run_end(&self, end: run_guard::End) {
        let label = opentelemetry::KeyValue::new("end", end.as_str());
        self.run_ends.add(1, &[label]);
    }

    /// Counts a request that the limits of a service's upstreams leave no room for.
    pub(crate) fn count_limited(&self, service: &str) {
        let service = opentelemetry::KeyValue::new("service", service.to_owned());
        self.limited.add(1, &[service]);
    }

    /// Records how long a generation waited for an engine with free capacity.
    pub(crate) fn record_wait(&self, duration: core::time::Duration) {
        self.waited_for_room.record(duration.as_secs_f64(), &[]);
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "milliseconds of a request are far below 2^52"
)]
fn seconds(millis: u64) -> f64 {
    millis as f64 * MILLISECOND
}

fn label_outcome(outcome: Outcome) -> opentelemetry::KeyValue {
    let outcome = match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
    };
    opentelemetry::KeyValue::new("outcome", outcome)
}
