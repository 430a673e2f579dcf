//! Reports of this gateway's load to one control host.

use peargap_core::time::Instant;
use peargap_wire::fleet as wire;

/// Updates with loads after which the gateway confirms them even if its own load has not changed.
const MAX_UNCONFIRMED: u32 = 2;

/// What has been reported on one connection.
#[derive(Debug, Default)]
pub(crate) struct LoadReporter {
    /// Number of the last update received.
    last_update: u64,
    /// Loads in the last report.
    reported: Vec<wire::Load>,
    /// What waited by the last report.
    reported_waiting: Vec<wire::Waiting>,
    /// Time since which the control host is reported to, if it is.
    since: Option<Instant>,
    /// Whether no report has been sent since then.
    is_first: bool,
    /// Updates with loads that no report has confirmed.
    unconfirmed: u32,
}

impl LoadReporter {
    /// Records a received update.
    pub(crate) fn record_update(&mut self, update: &wire::Update) {
        self.last_update = update.number;
        self.unconfirmed += u32::from(update.has_loads);
    }

    /// Starts to report to this host, unless that has started before; returns whether it starts.
    pub(crate) fn start(&mut self, now: Instant) -> bool {
        if self.since.is_some() {
            return false;
        }
        self.since = Some(now);
        self.is_first = true;
        true
    }

    /// Returns the time since which the host is reported to.
    pub(crate) fn since(&self) -> Instant {
        self.since.unwrap_or_default()
    }

    /// Stops reporting to this host; returns the report that says so, if it was reported to.
    pub(crate) fn stop(&mut self) -> Option<wire::Report> {
        self.since.take()?;
        Some(wire::Report {
            stops_loads: true,
            ..wire::Report::default()
        })
    }

    /// Returns the next report, if one is due.
    pub(crate) fn build_report(
        &mut self,
        loads: Vec<wire::Load>,
        waiting: Vec<wire::Waiting>,
    ) -> Option<wire::Report> {
        let is_first = core::mem::take(&mut self.is_first);
        let has_loads = is_first || loads != self.reported || waiting != self.reported_waiting;
        if !has_loads && self.unconfirmed < MAX_UNCONFIRMED {
            return None;
        }
        self.unconfirmed = 0;
        let mut report = wire::Report {
            applied: self.last_update,
            has_loads,
            starts_loads: is_first,
            ..wire::Report::default()
        };
        if has_loads {
            self.reported.clone_from(&loads);
            self.reported_waiting.clone_from(&waiting);
            report.loads = loads;
            report.waiting = waiting;
        }
        Some(report)
    }
}
