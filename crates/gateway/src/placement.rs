//! Placement of a request on an upstream, with the load that it adds there.

use std::sync;

use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::pace;
use peargap_core::rate_limit;
use peargap_core::time::Instant;

use crate::fleet;
use crate::notice;
use crate::pool;
use crate::upstream;

/// What the gateway knew of the upstream's load when it chose it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct View {
    /// What the request may expect there.
    pub(crate) expected: Option<pace::Expectation>,
    /// Load from all gateways.
    pub(crate) load: balance::Load,
    /// Figures of the limit that the upstream names.
    pub(crate) limit: Option<rate_limit::Usage>,
    /// Time since the load from the other gateways was received, in milliseconds.
    pub(crate) load_age_ms: u64,
    /// Factor by which the upstream's answers take longer than in the middle of its service.
    pub(crate) pace: f64,
}

impl core::fmt::Display for View {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(
            formatter,
            "running={} held={} copied={} waiting={} age_ms={}",
            self.load.running,
            self.load.tokens,
            self.load.copied,
            self.load.waiting,
            self.load_age_ms
        )?;
        if let Some(expected) = self.expected {
            write!(
                formatter,
                " pace={:.2} expected_first_ms={} expected_pause_ms={}",
                self.pace, expected.first_event_ms, expected.longest_pause_ms
            )?;
        }
        LimitText(self.limit).fmt(formatter)
    }
}

/// Text on the figures of a limit for a log line; empty without a limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitText(pub(crate) Option<rate_limit::Usage>);

impl core::fmt::Display for LimitText {
    fn fmt(&self, formatter: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self.0 {
            None => Ok(()),
            Some(usage) => write!(formatter, " limit: {usage}"),
        }
    }
}

/// Times of the answer to a request, for the pace of its upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Time in which the answer has to begin, in milliseconds.
    objective_ms: u64,
    pauses: pace::Pauses,
    sent_at: Instant,
    /// Tokens in an event; `None` for plain calls.
    stride: Option<u64>,
}

impl Timing {
    /// Returns the timing of a request that is sent now.
    pub(crate) fn start(now: Instant, stride: Option<u64>, objective_ms: u64) -> Timing {
        Timing {
            objective_ms,
            pauses: pace::Pauses::default(),
            sent_at: now,
            stride,
        }
    }
}

/// An upstream that a request was placed on. Its load there is released on drop.
#[derive(Debug)]
pub(crate) struct Placement {
    /// IP address and port.
    pub(crate) address: String,
    /// Start time of the upstream's process by its own clock, in Unix milliseconds.
    born_ms: u64,
    fleet: fleet::Fleet,
    pub(crate) key: fleet::UpstreamKey,
    load: balance::Load,
    /// Name of the upstream.
    pub(crate) name: String,
    /// Records what the upstream says of itself.
    pub(crate) notices: notice::Recorder,
    pub(crate) pool: sync::Arc<pool::Pool>,
    slots: u32,
    timing: Timing,
    pub(crate) view: View,
}

impl Placement {
    /// Adds `load` to the upstream's local load until the placement is dropped.
    pub(crate) fn reserve(
        fleet: &fleet::Fleet,
        key: fleet::UpstreamKey,
        upstream: &mut upstream::Upstream,
        load: balance::Load,
        view: View,
        timing: Timing,
    ) -> Placement {
        upstream.local_load = upstream.local_load.plus(load);
        Placement {
            address: upstream.status.address.clone(),
            born_ms: upstream.status.edition.born_ms,
            fleet: fleet.clone(),
            key,
            load,
            name: upstream.status.name.clone(),
            notices: notice::Recorder::new(fleet, key, upstream.status.edition.born_ms),
            pool: upstream.pool.clone(),
            slots: upstream.status.slots,
            timing,
            view,
        }
    }

    /// Counts the memory of a copy as that of a running generation, unless it does already.
    pub(crate) fn promote_copy(&mut self) {
        if self.load.running > 0 {
            return;
        }
        self.replace(balance::Load {
            running: 1,
            tokens: self.load.copied,
            ..balance::Load::default()
        });
    }

    /// Records for the upstream's pace that it has begun to answer, or answered a plain call.
    pub(crate) fn record_first(&self) {
        let waited_ms = self.fleet.clock.now().millis_since(self.timing.sent_at);
        let reference_ms = match self.timing.stride {
            Some(_stride) => pace::first_reference_ms(self.view.load.waiting + self.load.waiting),
            None => pace::call_reference_ms(self.view.load.running.saturating_add(1), self.slots),
        };
        let is_in_time = waited_ms <= self.timing.objective_ms;
        let waited_ms = f64::from(u32::try_from(waited_ms).unwrap_or(u32::MAX));
        let ratio = waited_ms / reference_ms;
        self.fleet
            .record_first(self.key, self.born_ms, ratio, is_in_time);
    }

    /// Records for the engine's pace the time between two of its events, in milliseconds.
    pub(crate) fn record_gap(&mut self, gap_ms: u64) {
        let Some(stride) = self.timing.stride else {
            return;
        };
        let gap_ms = u32::try_from(gap_ms).unwrap_or(u32::MAX);
        let pauses = &mut self.timing.pauses;
        self.fleet
            .record_gap(self.key, self.born_ms, pauses, gap_ms, stride);
    }

    /// Removes the prompt from the waiting load, as the engine has processed it.
    pub(crate) fn finish_prompt(&mut self) {
        self.replace(balance::Load {
            waiting: 0,
            ..self.load
        });
    }

    /// Updates the tokens that the generation or its copy holds in the upstream's memory, and those
    /// that the generation is expected to hold later.
    pub(crate) fn set_tokens(&mut self, tokens: u64, later: engine_room::Later) {
        let mut load = self.load;
        match load.running {
            0 => load.copied = tokens,
            _ => {
                load.later = later;
                load.tokens = tokens;
            }
        }
        self.replace(load);
    }

    fn replace(&mut self, load: balance::Load) {
        if self.fleet.replace_load(self.key, self.load, load) {
            self.load = load;
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.replace(balance::Load::default());
    }
}
