//! Gateways: their requests that wait, and what they know of the engines and of each other.

use core::time::Duration;

use peargap_core::balance;
use peargap_core::engine_room;
use peargap_core::output_forecast;
use peargap_core::pace;
use peargap_core::team_share;
use peargap_core::time::Instant;
use peargap_core::waiting as queue;
use peargap_core::window;

use crate::experiment::waiting::callers;
use crate::experiment::waiting::engines;

/// Engines of the service.
pub const ENGINES: usize = 43;
/// Output tokens that gateways reserve beyond those made so far.
const RESERVED_OUTPUT_TOKENS: u64 = 200;
const STARTED_WINDOW: window::Window = window::Window {
    length: Duration::from_secs(1),
    slots: 10,
};

/// Load of one gateway on all engines, and what waits there.
#[derive(Clone, Debug)]
pub struct Report {
    /// Loads by engine.
    pub loads: Vec<balance::Load>,
    /// What waits.
    pub figures: queue::Figures,
}

impl Default for Report {
    fn default() -> Report {
        Report {
            figures: queue::Figures::default(),
            loads: vec![balance::Load::default(); ENGINES],
        }
    }
}

impl Report {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(&self, other: &Report) -> Report {
        let loads = self.loads.iter().zip(&other.loads);
        Report {
            figures: self.figures.plus(other.figures),
            loads: loads.map(|(one, other)| one.plus(*other)).collect(),
        }
    }
}

/// A request that waits at a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// When it arrived here.
    pub arrived: Instant,
    /// Index of the call.
    pub call: usize,
    /// Its place in the queue, once it has one.
    pub key: Option<queue::Key>,
}

/// A generation that a gateway has placed.
#[derive(Clone, Copy, Debug)]
pub struct Placed {
    /// Index of the call.
    pub call: usize,
    /// Class of its forecast.
    pub class: output_forecast::Class,
    /// Index of the engine.
    pub engine: usize,
    /// Output tokens that the gateway has seen.
    pub produced: u64,
}

/// A gateway.
#[derive(Clone, Debug, Default)]
pub struct Gateway {
    /// Learned lengths of outputs.
    pub forecasts: output_forecast::Forecasts,
    /// What the others reported, a moment ago.
    pub others: Report,
    /// When that was received.
    pub heard: Instant,
    /// Generations that run.
    pub placed: Vec<Placed>,
    /// The queue.
    pub queue: queue::Queue,
    /// Tokens served by team.
    pub shares: team_share::Shares,
    started: window::Counter,
    /// Requests that wait, in order of arrival.
    pub waiting: Vec<Waiting>,
}

impl Gateway {
    /// Returns what the gateway reports.
    #[must_use]
    pub fn report(&self, now: Instant, calls: &[callers::Call], knows_outputs: bool) -> Report {
        let mut report = Report::default();
        for placed in &self.placed {
            let load = self.load_of(placed, calls, knows_outputs);
            let sum = &mut report.loads[placed.engine];
            *sum = sum.plus(load);
        }
        report.figures = queue::Figures {
            started: self.started.count(now, &STARTED_WINDOW),
            waiting: self.queue.count_waiting(now),
        };
        report
    }

    fn load_of(
        &self,
        placed: &Placed,
        calls: &[callers::Call],
        knows_outputs: bool,
    ) -> balance::Load {
        let call = &calls[placed.call];
        let waiting = match call.first_ms {
            None => call.kind.prompt(),
            Some(_at) => 0,
        };
        let later = match knows_outputs {
            true => later_of(call, placed.produced),
            false => {
                let request = describe(call.kind);
                self.forecasts.later(placed.class, request, placed.produced)
            }
        };
        balance::Load {
            later,
            running: 1,
            tokens: reserve(call.kind, placed.produced),
            waiting,
            ..balance::Load::default()
        }
    }

    /// Returns the engines as the gateway knows them.
    #[must_use]
    pub fn candidates(&self, index: usize, own: &Report) -> Vec<balance::Candidate<usize>> {
        let known = own.plus(&self.others);
        let candidates = known.loads.iter().enumerate();
        let candidates = candidates.map(|(engine, load)| balance::Candidate {
            expected: None,
            fit: pace::Fit::Long,
            pace: 1.0,
            is_near: true,
            is_own: engine % callers::GATEWAYS == index,
            key: engine,
            load: *load,
            memory: engines::MEMORY_TOKENS,
            slots: engines::SLOTS,
        });
        candidates.collect()
    }

    /// Returns what the gateway knows of what waits elsewhere.
    #[must_use]
    pub fn known_others(&self) -> queue::Others {
        queue::Others {
            figures: self.others.figures,
            received: self.heard,
        }
    }

    /// Returns how many generations began in the last second.
    #[must_use]
    pub fn count_started(&self, now: Instant) -> u32 {
        self.started.count(now, &STARTED_WINDOW)
    }

    /// Records that a generation begins.
    pub fn record_started(&mut self, now: Instant, call: &callers::Call) {
        self.started.record(now, &STARTED_WINDOW);
        self.shares
            .record(now, &call.team.to_string(), call.kind.prompt());
    }
}

/// Returns what a request says of its generation.
#[must_use]
pub fn describe(kind: callers::Kind) -> output_forecast::Request {
    output_forecast::Request {
        hint: None,
        max_output: Some(kind.max_output()),
        prompt: kind.prompt(),
    }
}

/// Returns the tokens that a gateway reckons that a generation holds.
#[must_use]
pub fn reserve(kind: callers::Kind, produced: u64) -> u64 {
    kind.prompt() + produced + RESERVED_OUTPUT_TOKENS
}

/// Returns what a generation will hold, by the output that it really gets.
#[must_use]
pub fn later_of(call: &callers::Call, produced: u64) -> engine_room::Later {
    let held = call.kind.prompt() + produced;
    let left = call.output_tokens().saturating_sub(produced);
    let near = u64::from(engine_room::NEAR_TOKENS);
    engine_room::Later {
        far: if left > near { held + left } else { 0 },
        near: held + left.min(near),
    }
}
