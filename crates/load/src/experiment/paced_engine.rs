//! An engine of a given speed, for the experiment on paces.
//!
//! Each step produces a token of every running generation and reads a chunk of the waiting prompts,
//! one after the other.

use peargap_core::balance;
use peargap_core::pace;
use rand::rngs::SmallRng;
use rand::RngExt as _;

/// Tokens in an event.
pub(crate) const STRIDE: u64 = 4;
/// Longest pause for which a generation is on time, in milliseconds.
pub(crate) const GAP_MS: u64 = 180;
pub(crate) const MEMORY_TOKENS: u64 = 27_000;
pub(crate) const SLOTS: u32 = 24;

/// Time of a step with one generation, in milliseconds.
const STEP_MS: f64 = 7.0;
/// Time that each generation adds to a step, in milliseconds.
const GENERATION_MS: f64 = 0.3;
/// Prompt tokens that are read in a step.
const CHUNK_TOKENS: f64 = 340.0;
/// Prompt tokens read in a millisecond, beside the step that reads them.
const READ_PER_MS: f64 = 20.0;
/// Tokens that gateways reserve for the output.
const RESERVED_TOKENS: u64 = 200;
const LONG_EVENTS: u32 = 187;
/// Tokens of a prompt from which the time of one token is taken.
const LONG_PROMPT: u64 = 10_000;
const SHORT_EVENTS: u32 = 3;
const LONG_OBJECTIVE_MS: u64 = 1800;
const SHORT_OBJECTIVE_MS: u64 = 1500;
const SPELL_MS: u64 = 600;
const SPELL_PART: f64 = 0.15;
const SPELL_FACTOR: f64 = 2.5;

/// A request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    is_long: bool,
    prompt: u64,
    sent_ms: u64,
}

impl Job {
    /// Draws the length of the prompt.
    pub(crate) fn draw(now_ms: u64, is_long: bool, random: &mut SmallRng) -> Job {
        let prompt = match is_long {
            true => random.random_range(2_000..4_000),
            false => random.random_range(1_400..3_600),
        };
        Job {
            is_long,
            prompt,
            sent_ms: now_ms,
        }
    }

    /// Returns the tokens that a gateway counts for it.
    pub(crate) fn tokens(&self) -> u64 {
        self.prompt + RESERVED_TOKENS
    }

    pub(crate) fn span(&self) -> pace::Span {
        match self.is_long {
            true => pace::Span::Long,
            false => pace::Span::Short,
        }
    }

    pub(crate) fn need(&self) -> pace::Need {
        pace::Need {
            gap_ms: Some(GAP_MS),
            objective_ms: self.objective_ms(),
            span: self.span(),
        }
    }

    /// Returns the load that it adds until its first event.
    pub(crate) fn load(&self) -> balance::Load {
        balance::Load {
            running: 1,
            tokens: self.tokens(),
            waiting: self.tokens(),
            ..balance::Load::default()
        }
    }

    fn objective_ms(&self) -> u64 {
        match self.is_long {
            true => LONG_OBJECTIVE_MS,
            false => SHORT_OBJECTIVE_MS,
        }
    }

    fn events(&self) -> u32 {
        match self.is_long {
            true => LONG_EVENTS,
            false => SHORT_EVENTS,
        }
    }
}

/// An answered request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    pub(crate) in_time: bool,
    pub(crate) is_long: bool,
    pub(crate) sent_ms: u64,
    /// Speed of its engine.
    pub(crate) speed: f64,
    /// Time to its first event, in milliseconds.
    pub(crate) wait_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    ahead: u64,
    events: u32,
    first_ms: f64,
    job: Job,
    last_ms: f64,
    longest_ms: f64,
    pauses: pace::Pauses,
    /// Tokens of the next event that are produced.
    produced: f64,
    /// Prompt tokens that are not read yet.
    unread: f64,
}

/// An engine, and what runs on those that it has replaced.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    born_ms: u64,
    running: Vec<Running>,
    speed: f64,
    spell_until_ms: u64,
    is_in_spell: bool,
}

impl Engine {
    /// Returns an idle engine whose steps take `speed` times as long.
    pub(crate) fn new(speed: f64) -> Engine {
        Engine {
            born_ms: 0,
            running: Vec::new(),
            speed,
            spell_until_ms: 0,
            is_in_spell: false,
        }
    }

    pub(crate) fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// Starts another process in its place. What ran there has moved away, and counts as it was.
    pub(crate) fn replace(&mut self, now_ms: u64, speed: f64, ended: &mut Vec<Ended>) {
        let begun = self.running.iter().filter(|running| running.events > 0);
        ended.extend(begun.map(|running| running.end(self.speed)));
        *self = Engine {
            born_ms: now_ms,
            ..Engine::new(speed)
        };
    }

    /// Returns the pace that follows from its speed.
    pub(crate) fn true_pace(&self) -> pace::Pace {
        let ratio = |value: f64| pace::Ratio { count: 1000, value };
        let chunk_ms = CHUNK_TOKENS / READ_PER_MS;
        let read_ms = (STEP_MS + chunk_ms) / CHUNK_TOKENS;
        let base_ms = pace::gap_reference_ms(1, 1);
        let reference_ms = pace::first_reference_ms(LONG_PROMPT) / millis(LONG_PROMPT);
        pace::Pace {
            first: ratio(self.speed * read_ms / reference_ms),
            gap: ratio(self.speed * STEP_MS / base_ms),
            longest: ratio(self.speed * (STEP_MS + chunk_ms) / base_ms),
        }
    }

    /// Enters or leaves a spell in which everything takes longer.
    pub(crate) fn update_spell(&mut self, now_ms: u64, random: &mut SmallRng) {
        if now_ms >= self.spell_until_ms {
            self.spell_until_ms = now_ms + SPELL_MS;
            self.is_in_spell = random.random_bool(SPELL_PART);
        }
    }

    pub(crate) fn add(&mut self, now_ms: u64, job: Job, waiting: u64) {
        self.running.push(Running {
            ahead: waiting,
            events: 0,
            first_ms: 0.0,
            job,
            last_ms: millis(now_ms),
            longest_ms: 0.0,
            pauses: pace::Pauses::default(),
            produced: 0.0,
            unread: millis(job.prompt),
        });
    }

    /// Returns its load.
    pub(crate) fn load(&self) -> balance::Load {
        let none = balance::Load::default();
        self.running.iter().fold(none, |sum, running| {
            let load = running.job.load();
            sum.plus(balance::Load {
                tokens: load.tokens + u64::from(running.events) * STRIDE,
                waiting: if running.events == 0 { load.waiting } else { 0 },
                ..load
            })
        })
    }

    /// Plays `step_ms` from `now_ms` on; returns what the gateways observe meanwhile.
    pub(crate) fn advance(
        &mut self,
        now_ms: u64,
        step_ms: u64,
        ended: &mut Vec<Ended>,
    ) -> pace::Samples {
        let mut samples = pace::Samples::default();
        let count = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let decoding = self.running.iter().filter(|one| one.unread <= 0.0).count();
        let is_reading = decoding < self.running.len();
        let mut token_ms = STEP_MS + GENERATION_MS * crate::experiment::numbers::number(decoding);
        if is_reading {
            token_ms += CHUNK_TOKENS / READ_PER_MS;
        }
        token_ms *= self.speed;
        if self.is_in_spell {
            token_ms *= SPELL_FACTOR;
        }
        let steps = millis(step_ms) / token_ms;
        let mut to_read = CHUNK_TOKENS * steps;
        for running in &mut self.running {
            if running.unread > 0.0 {
                let read = to_read.min(running.unread);
                running.unread -= read;
                to_read -= read;
                if running.unread <= 0.0 {
                    // The first event comes with the end of the prompt.
                    running.produced = millis(STRIDE);
                }
            } else {
                running.produced += steps;
            }
            if running.produced >= millis(STRIDE) {
                running.produced -= millis(STRIDE);
                let late_ms = running.produced * token_ms;
                let at_ms = millis(now_ms + step_ms) - late_ms;
                running.record_event(at_ms, count, &mut samples);
            }
        }
        let speed = self.speed;
        self.running.retain(|running| {
            let has_ended = running.events >= running.job.events();
            if has_ended {
                ended.push(running.end(speed));
            }
            !has_ended
        });
        samples
    }
}

impl Running {
    fn record_event(&mut self, at_ms: f64, count: u32, samples: &mut pace::Samples) {
        let gap_ms = at_ms - self.last_ms;
        self.last_ms = at_ms;
        self.events += 1;
        if self.events == 1 {
            self.first_ms = gap_ms;
            let reference_ms = pace::first_reference_ms(self.ahead + self.job.tokens());
            samples.first.record(gap_ms / reference_ms);
            return;
        }
        self.longest_ms = self.longest_ms.max(gap_ms);
        let ratio = gap_ms / pace::gap_reference_ms(count, STRIDE);
        if let Some(window) = self.pauses.record(ratio) {
            samples.gap.record(window.usual);
            samples.longest.record(window.longest);
        }
    }

    fn end(&self, speed: f64) -> Ended {
        let is_early = self.first_ms <= millis(self.job.objective_ms());
        Ended {
            in_time: is_early && self.longest_ms <= millis(GAP_MS),
            is_long: self.job.is_long,
            sent_ms: self.job.sent_ms,
            speed,
            wait_ms: self.first_ms,
        }
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "times and tokens of a run are far below 2^52"
)]
fn millis(number: u64) -> f64 {
    number as f64
}
