//! State shared by all requests of an entry.

use core::time;
use std::sync;
use std::sync::atomic;

use peargap_adapters::follow;
use peargap_adapters::logs;
use peargap_core::retry;
use peargap_core::time::Instant;
use tokio::time as clock;
use tokio_util::sync as cancel;

use crate::claim_client;
use crate::events;
use crate::fleet;
use crate::latency;
use crate::metrics;
use crate::refusal;
use crate::settings;
use crate::upstream_table;

/// The entry's shared state.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) upstream_table: sync::Arc<upstream_table::UpstreamTable>,
    pub(crate) fleet: fleet::Watch,
    pub(crate) ids: Ids,
    /// Latency estimates of the repeatable services.
    pub(crate) latencies: latency::Latencies,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) claim_client: claim_client::ClaimClient,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) settings: settings::Settings,
    /// Cancelled when the entry stops.
    pub(crate) stop: cancel::CancellationToken,
    /// Cancelled when a drain ends the open streams, for callers to resume them on another entry.
    pub(crate) streams_end: cancel::CancellationToken,
    /// Tasks that may outlive the caller's connection; a stop waits for them.
    pub(crate) tasks: tokio_util::task::TaskTracker,
    pub(crate) view: follow::View,
}

impl App {
    /// Returns the current configuration and its agents.
    pub(crate) fn fleet(&self) -> sync::Arc<fleet::Fleet> {
        self.fleet.borrow().clone()
    }

    /// Returns a refusal of new work if the configuration may be out of date.
    pub(crate) fn refuse_stale(&self) -> Option<refusal::Refusal> {
        if self.view.is_fresh() {
            return None;
        }
        let message = "This entry cannot obtain the current configuration.";
        let refusal = refusal::Refusal::not_run(refusal::Code::Stale, message);
        Some(refusal.with_retry(refusal::DEFAULT_RETRY_MS))
    }

    /// Logs a refusal and counts it in the metrics.
    pub(crate) fn log_refusal(&self, request: &str, team: &str, refusal: &refusal::Refusal) {
        self.metrics.count_refusal(refusal);
        let details = format_args!(
            "request={request} team={team} code={} ran={} retry_after_ms={}",
            refusal.code.as_str(),
            refusal.ran.as_str(),
            refusal.retry_after_ms.unwrap_or(0),
        );
        logs::emit(events::REFUSED, details);
    }
}

/// Generates request ids that are unique in the deployment.
#[derive(Debug)]
pub(crate) struct Ids {
    last: atomic::AtomicU64,
    prefix: String,
}

impl Ids {
    /// Creates a generator whose ids begin with the entry's name and incarnation.
    pub(crate) fn new(entry: &str, incarnation: &str) -> Ids {
        Ids {
            last: atomic::AtomicU64::new(0),
            prefix: format!("{entry}-{incarnation}"),
        }
    }

    /// Returns the next id.
    pub(crate) fn next(&self) -> String {
        let number = self.last.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        format!("{}-{number}", self.prefix)
    }
}

/// Retry budget shared by all requests of the entry.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget(sync::Mutex<retry::Budget>);

impl RetryBudget {
    /// Credits the budget for the first attempt of a request.
    pub(crate) fn record_first_attempt(&self) {
        self.lock().deposit();
    }

    /// Decides whether to retry after a failed attempt, and charges the retry to the budget.
    pub(crate) fn plan_retry(&self, now: Instant, attempt: &retry::Attempt) -> retry::Next {
        retry::plan_retry(&mut self.lock(), now, attempt, &mut rand::rng())
    }

    /// Charges a hedged attempt to the budget; returns false if the budget is exhausted.
    pub(crate) fn try_withdraw(&self) -> bool {
        self.lock().try_withdraw()
    }

    fn lock(&self) -> sync::MutexGuard<'_, retry::Budget> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns the milliseconds left until a deadline, at least 1.
pub(crate) fn millis_until(deadline: clock::Instant) -> u32 {
    let left = deadline.saturating_duration_since(clock::Instant::now());
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1)
}

/// Returns a request's timeout from its header, up to the configured maximum.
pub(crate) fn read_timeout(
    limits: &settings::Limits,
    headers: &http::HeaderMap,
) -> Result<time::Duration, refusal::Refusal> {
    const HEADER: &str = "x-request-timeout-ms";
    let Some(value) = headers.get(HEADER) else {
        return Ok(limits.default_deadline);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => {
            Ok(time::Duration::from_millis(millis).min(limits.max_deadline))
        }
        Some(_) | None => {
            let message = format!("`{HEADER}` must be a positive integer number of milliseconds.");
            Err(refusal::Refusal::invalid(HEADER, message))
        }
    }
}
