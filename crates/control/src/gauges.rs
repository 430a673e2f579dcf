//! Gauges of the replicated log.

use opentelemetry::metrics as otel;
use peargap_adapters::metrics;
use tokio::sync::watch;

use crate::status;

/// Registers the gauges of a replica.
pub(crate) fn observe_replica(
    registry: &metrics::Registry,
    status: &watch::Receiver<status::Status>,
) {
    let meter = registry.meter();
    observe(
        &meter,
        status,
        "peargap_log_term",
        "Current term",
        |status| status.term,
    );
    observe(
        &meter,
        status,
        "peargap_log_leader",
        "1 when this host leads",
        |status| u64::from(status.role == status::Role::Leader),
    );
    observe(
        &meter,
        status,
        "peargap_log_commits",
        "Last committed index",
        |status| status.committed,
    );
    observe(
        &meter,
        status,
        "peargap_log_applied",
        "Last applied index",
        |status| status.applied,
    );
    observe(
        &meter,
        status,
        "peargap_log_last",
        "Last stored index",
        |status| status.last,
    );
    observe(
        &meter,
        status,
        "peargap_log_voters",
        "Members that vote",
        |status| u64::try_from(status.voters.len()).unwrap_or_default(),
    );
    observe(
        &meter,
        status,
        "peargap_log_learners",
        "Members that catch up",
        |status| u64::try_from(status.learners.len()).unwrap_or_default(),
    );
    observe(
        &meter,
        status,
        "peargap_log_fresh",
        "1 when leases may be granted",
        |status| u64::from(status.is_fresh()),
    );
}

fn observe(
    meter: &otel::Meter,
    status: &watch::Receiver<status::Status>,
    name: &'static str,
    description: &'static str,
    read: fn(&status::Status) -> u64,
) {
    let status = status.clone();
    let _gauge = meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |gauge| gauge.observe(read(&status.borrow()), &[]))
        .build();
}
