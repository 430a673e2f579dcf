//! Admission control for one upstream: tracks its running streams and queued requests, and decides
//! whether a request starts now, waits or is refused.
//!
//! An upstream is either an engine, which streams tokens and has a token memory, or a plain
//! service, whose calls have one answer and no tokens.

mod decision;
mod options;

use std::collections;

use crate::batch;
use crate::curve;
use crate::fair;
use crate::forecast;
use crate::queue;
use crate::ramp;
use crate::running;
use crate::time;

pub use decision::decide;
pub use options::Options;
pub use options::MAX_GAP_RATIO;
pub use options::MAX_OVERFLOW_PROBABILITY;
pub use options::MAX_WAITING;

slotmap::new_key_type! {
    /// Key of a running stream or call.
    pub struct Stream;
}

/// Assumed time between tokens until one is measured, in milliseconds.
const DEFAULT_GAP_MS: f64 = 30.0;
/// Minimum number of overdue calls of a plain service that count as a sign of a cold upstream.
const MIN_OVERDUE_CALLS: u32 = 3;

/// A request for a generation or call.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Prompt tokens that the engine was recently reported to hold in its prefix cache.
    pub cached_tokens: u32,
    /// Class whose survival curve predicts its output length.
    pub class: curve::Class,
    /// Time by which the caller needs the complete answer.
    pub deadline: time::Instant,
    /// Limit on output tokens; 0 for a call of a plain service.
    pub max_tokens: u32,
    /// Priority; smaller values are served first.
    pub priority: u8,
    /// Prompt length in tokens; 0 for a call of a plain service.
    pub prompt_tokens: u32,
    /// Account charged for the request.
    pub team: fair::Team,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The queue is full or the expected wait is too long.
    Busy,
    /// The deadline cannot be met.
    Deadline,
    /// The limit of an upstream that is still ramping up is reached.
    Ramping,
    /// The request cannot fit in the engine's memory even when it runs alone.
    TooLarge,
}

/// What to do with a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Start it now.
    Admit,
    /// Report it as not run.
    Refuse {
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which the caller may retry, in milliseconds; 0 if a retry cannot succeed.
        retry_after_ms: u64,
    },
    /// Put it in the queue.
    Wait,
}

/// Whether a request may start now, or which limit prevents it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// One more stream would make the gap between tokens too long.
    Batch,
    /// It may start.
    Fits,
    /// The probability that engine memory overflows is too high.
    Memory,
    /// The limit of the ramp is reached.
    Ramping,
}

/// A queued request that has been started.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// Its former queue ticket.
    pub ticket: queue::Ticket,
    /// Its stream.
    pub stream: Stream,
}

/// A queued request that was removed and is to be refused.
#[derive(Clone, Copy, Debug)]
pub struct Shed {
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Its former queue ticket.
    pub ticket: queue::Ticket,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The caller cancelled it.
    Cancelled,
    /// The upstream failed.
    Failed,
    /// The answer is complete.
    Completed,
}

/// The load that the agent reports to entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Current limit on concurrent streams or calls.
    pub limit: u32,
    /// Running streams or calls.
    pub running: u32,
    /// Engine memory in use, in tokens.
    pub used_tokens: u64,
    /// Expected wait of a new request of the least urgent priority, in milliseconds.
    pub wait_ms: u64,
    /// Queued requests.
    pub waiting: u32,
}

/// State of the admission control for one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    batch: batch::Limiter,
    /// Whether the upstream reports that it is cold.
    cold: bool,
    curves: curve::Curves,
    overflow_deviations: f32,
    options: Options,
    queue: queue::Queue<Request>,
    ramp: ramp::Ramp,
    streams: running::RunningStreams,
    teams: collections::HashMap<String, fair::Team>,
}

impl Admission {
    /// Creates the state for an idle upstream whose ramp is at its start limit.
    #[must_use]
    pub fn new(now: time::Instant, options: Options) -> Admission {
        let limits = ramp::Options {
            ceiling: options.max_running,
            start_limit: options.start_limit,
            // Every running call of a plain service still waits for its answer, so that this limit
            // would apply to all of them; only the ramp limits them.
            unanswered_limit: match options.memory_tokens {
                0 => options.max_running,
                _ => options.unanswered_limit,
            },
        };
        Admission {
            cold: false,
            batch: batch::Limiter::new(options.max_running, options.max_gap_ratio),
            curves: curve::Curves::new(),
            overflow_deviations: forecast::upper_normal_quantile(options.max_overflow_probability),
            options,
            queue: queue::Queue::new(options.max_waiting),
            ramp: ramp::Ramp::new(now, limits),
            streams: running::RunningStreams::new(now),
            teams: collections::HashMap::new(),
        }
    }

    /// Returns the curve class of a model (or service) and team.
    pub fn class(&mut self, model: &str, team: &str) -> curve::Class {
        self.curves.class(model, team)
    }

    /// Returns the account of a team after updating its weight; opens one for a new team.
    pub fn team(&mut self, name: &str, weight: u32) -> fair::Team {
        if let Some(team) = self.teams.get(name).copied() {
            self.queue.shares().set_weight(team, weight);
            return team;
        }
        let team = self.queue.shares().open(weight);
        self.teams.insert(name.to_owned(), team);
        team
    }

    /// Queues a request after [`Decision::Wait`].
    pub fn push(&mut self, now: time::Instant, request: Request) -> queue::Pushed {
        let start_by = time::Instant(request.deadline.0.saturating_sub(self.run_ms(&request)));
        let item = queue::Item {
            arrived: now,
            expected_ms: self.queue.wait_ms(request.priority, request.team),
            start_by,
            priority: request.priority,
            team: request.team,
            payload: request,
        };
        self.queue.push(now, item)
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: queue::Ticket) {
        self.queue.remove(ticket);
    }

    /// Starts a request after [`Decision::Admit`].
    pub fn start(&mut self, now: time::Instant, request: Request) -> Stream {
        let charged = token_cost(&request, self.mean_output(&request));
        self.queue.shares().charge(request.team, charged);
        self.streams.start(now, request, charged)
    }

    /// Starts the next queued request if the limits allow it.
    ///
    /// Call it after [`Admission::shed`] whenever a stream has ended or received a token, until it
    /// returns none.
    pub fn next(&mut self, now: time::Instant) -> Option<Started> {
        let ticket = self.queue.peek()?;
        let request = self.queue.get(ticket)?.payload;
        if self.room(&request) != Room::Fits {
            return None;
        }
        self.queue.take(now, ticket)?;
        let stream = self.start(now, request);
        Some(Started { ticket, stream })
    }

    /// Removes the queued requests that can no longer meet their deadline; the caller must refuse
    /// each of them.
    pub fn shed(&mut self, now: time::Instant) -> Vec<Shed> {
        let mut shed = Vec::new();
        for ticket in self.queue.shed(now) {
            shed.push(Shed {
                retry_after_ms: self.load().wait_ms,
                ticket,
            });
        }
        shed
    }

    /// Records `count` new tokens of a stream, or the answer of a call.
    ///
    /// If the first token was so slow that it is a sign of a cold upstream, resets the ramp and
    /// returns the sign.
    pub fn record_tokens(
        &mut self,
        now: time::Instant,
        stream: Stream,
        count: u32,
    ) -> Option<ramp::Sign> {
        let update = self.streams.add_tokens(now, stream, count)?;
        self.curves
            .record_growth(update.class, update.before, update.after);
        match update.kind {
            running::Kind::First { prefill_tokens } => {
                let sign = self
                    .ramp
                    .record_first_token(update.waited_ms, prefill_tokens);
                // Call durations of a plain service vary: a single slow one is no sign.
                let sign = sign.filter(|_| !self.is_plain());
                self.streams.set_timely(stream, sign.is_none());
                self.record_sign(now, sign?);
                sign
            }
            running::Kind::Next { decode_only: true } => {
                let gap_ms = update.waited_ms / u64::from(count.max(1));
                self.batch.observe(self.streams.len(), gap_ms);
                None
            }
            running::Kind::Next { decode_only: false } => None,
        }
    }

    /// Removes a stream that has ended and settles its charge.
    pub fn finished(&mut self, now: time::Instant, stream: Stream, end: End) {
        let Some(running) = self.streams.remove(stream) else {
            return;
        };
        let tokens = token_cost(&running.request, running.produced as f32);
        let difference = tokens - running.charged;
        self.queue.shares().settle(running.request.team, difference);
        match end {
            End::Completed => self.record_answer(now, &running),
            End::Failed => self.record_sign(now, ramp::Sign::Failure),
            End::Cancelled => {}
        }
    }

    /// Resets the ramp to its start limit on a sign of a cold upstream.
    pub fn record_sign(&mut self, now: time::Instant, sign: ramp::Sign) {
        self.ramp.reset(now, sign);
        self.streams.reset_ramp_counted();
        if let Some(item) = self.queue.peek().and_then(|ticket| self.queue.get(ticket)) {
            let run_ms = self.run_ms(&item.payload) as f64;
            self.queue.slow_down(run_ms / f64::from(self.ramp.limit()));
        }
    }

    /// Resets the ramp if a first token of an engine, or most answers of a plain service, are
    /// overdue; call it a few times a second.
    ///
    /// Returns the sign only if the limit was above the start limit, so that one slow period is
    /// reported once.
    pub fn check_overdue(&mut self, now: time::Instant) -> Option<ramp::Sign> {
        let mut waiting = 0;
        let mut overdue = 0;
        for running in self
            .streams
            .values()
            .filter(|running| running.produced == 0)
        {
            let waited_ms = now.millis_since(running.started_at);
            waiting += 1;
            overdue += u32::from(self.ramp.is_slow(waited_ms, running.prefill_tokens));
        }
        let is_sign = if self.is_plain() {
            overdue >= MIN_OVERDUE_CALLS && overdue * 2 > waiting
        } else {
            overdue > 0
        };
        if !is_sign {
            return None;
        }
        let was_raised = self.ramp.limit() > self.options.start_limit;
        self.record_sign(now, ramp::Sign::SlowFirstToken);
        was_raised.then_some(ramp::Sign::SlowFirstToken)
    }

    /// Returns the load to report.
    #[must_use]
    pub fn load(&self) -> Load {
        let block_tokens = self.options.block_tokens;
        let loads = self
            .streams
            .values()
            .map(|running| running.load(block_tokens));
        let used = loads.map(|load| u64::from(load.used_tokens));
        Load {
            limit: self.limit(),
            running: self.streams.len(),
            used_tokens: used.sum(),
            wait_ms: self.queue.wait_ms(u8::MAX, fair::Team::default()),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
        }
    }

    /// Sets whether the upstream reports that it is cold.
    ///
    /// While it is cold, all its streams count against the ramp's limit and no completion raises
    /// that limit.
    pub fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    /// Returns whether a request may start now, or which limit prevents it.
    #[must_use]
    pub fn room(&self, request: &Request) -> Room {
        let counted = if self.cold {
            self.streams.len()
        } else {
            self.streams.ramp_counted()
        };
        if counted >= self.ramp.limit() || self.streams.unanswered() >= self.ramp.unanswered_limit()
        {
            return Room::Ramping;
        }
        if self.streams.len() >= self.batch.limit() {
            return Room::Batch;
        }
        if !self.is_plain() && !self.has_memory(request) {
            return Room::Memory;
        }
        Room::Fits
    }

    /// Returns the current limit on concurrent streams or calls.
    fn limit(&self) -> u32 {
        if self.cold {
            return self.ramp.limit().min(self.batch.limit());
        }
        let exempt = self.streams.len() - self.streams.ramp_counted();
        (exempt + self.ramp.limit()).min(self.batch.limit())
    }

    fn has_memory(&self, request: &Request) -> bool {
        if self.streams.len() == 0 {
            return true;
        }
        let block_tokens = self.options.block_tokens;
        let mut forecast = forecast::Forecast::default();
        for running in self.streams.values() {
            forecast.add(&self.curves, &running.load(block_tokens));
        }
        forecast.add(&self.curves, &running::load(request, 0, block_tokens));
        forecast.peak(self.overflow_deviations) <= self.options.memory_tokens as f32
    }

    fn is_plain(&self) -> bool {
        self.options.memory_tokens == 0
    }

    fn mean_output(&self, request: &Request) -> f32 {
        self.curves.mean(request.class, request.max_tokens)
    }

    /// Returns the expected time to run a request in milliseconds.
    fn run_ms(&self, request: &Request) -> u64 {
        (f64::from(self.mean_output(request)) * self.batch.gap_ms(DEFAULT_GAP_MS)) as u64
    }

    /// Updates the curves and the ramp after a complete answer.
    fn record_answer(&mut self, now: time::Instant, running: &running::RunningStream) {
        if running.produced < running.request.max_tokens {
            self.curves
                .record_end(running.request.class, running.produced);
        }
        if running.produced == 0 {
            let waited_ms = now.millis_since(running.started_at);
            self.ramp
                .record_first_token(waited_ms, running.prefill_tokens);
        }
        if !self.cold {
            self.ramp.record_completion(running.started_at);
        }
    }
}

/// Returns the tokens charged to the team for a request with `output` output tokens.
///
/// At least 1, which is the charge for a call of a plain service.
fn token_cost(request: &Request, output: f32) -> f64 {
    let uncached = request.prompt_tokens.saturating_sub(request.cached_tokens);
    (f64::from(uncached) + f64::from(output)).max(1.0)
}
