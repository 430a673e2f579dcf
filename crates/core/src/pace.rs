//! Pace of upstreams: how long their answers take, compared with the others of their service.
//!
//! Upstreams of one service differ in speed. Their answers show it: the time to a first event for
//! the prompts that were read before it, the time between events for the requests that ran beside,
//! the time of a plain call. Each is divided by a reference time, so that answers of different
//! sizes compare, and the median of these ratios is set against that of the service. Only the
//! comparison counts; what the reference leaves out is the same for all upstreams of a service.
//!
//! From the pace follow, for a request and a candidate under its load, the expected time to the
//! first event and the expected longest pause. An upstream that nobody knows yet is expected to be
//! like the middle of its service.

use crate::balance;
use crate::pace_counts;

/// Reference time of a prompt token, in milliseconds.
const PROMPT_TOKEN_MS: f64 = 0.1;
/// Reference time before the first event without any prompt, in milliseconds.
const FIRST_MS: f64 = 20.0;
/// Reference time of a token of a generation that runs alone, in milliseconds.
const STEP_MS: f64 = 10.0;
/// Part of [`STEP_MS`] that each further generation adds.
const STEP_PART: f64 = 0.05;
/// Generations that are expected to join a long one.
const JOINING: u32 = 2;
/// Reference time of a plain call, in milliseconds.
const CALL_MS: f64 = 50.0;
/// Events between which one observation of pauses is made.
const WINDOW_GAPS: u32 = 16;
/// Observations of one answer that all count; after them each [`LATER_PERIOD`]th does. A single
/// answer shall not outweigh the others.
const EARLY_WINDOWS: u32 = 3;
const LATER_PERIOD: u32 = 4;
/// Part of an upstream's longest pauses that the expected one covers.
const LONGEST_PART: f64 = 0.9;
/// Part of the upstreams whose longest pauses the expected one covers: at many, hardly a prompt was
/// read beside the generations that were observed.
const LONGEST_UPSTREAMS_PART: f64 = 0.75;
/// Observations from which on an upstream's longest pauses count.
const LONGEST_COUNT: u32 = 4;
/// Factor by which a pace differs from the middle at most.
const MAX_FACTOR: f64 = 8.0;
/// Smallest difference from the middle that counts as one.
const MIN_DIFFERENCE: f64 = 0.1;
/// Known upstreams from which on a service has a middle.
const MIN_KNOWN: usize = 2;
/// Events up to which a generation is short: it has few pauses, of which hardly one falls together
/// with the reading of other prompts.
const SHORT_EVENTS: u64 = 16;
/// Observations from which on an upstream's pace is known. A single one may be wrong.
const KNOWN_COUNT: u32 = 2;

/// What a request may expect at a candidate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Expectation {
    /// Time from sending it to its first event, in milliseconds.
    pub first_event_ms: u32,
    /// Longest time between two of its events, in milliseconds.
    pub longest_pause_ms: u32,
}

/// Which generations keep their bound on pauses at a candidate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fit {
    /// All.
    #[default]
    Long,
    /// Short ones.
    Short,
    /// None: its usual pauses are too long.
    Unfit,
    /// The candidate's pace is not known yet.
    Unknown,
}

/// Length of a generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Span {
    /// Many events.
    #[default]
    Long,
    /// A few events.
    Short,
}

impl Span {
    /// Returns the span of a generation with up to `output` tokens, of which each event holds
    /// `stride`.
    #[must_use]
    pub fn of_output(output: u64, stride: u64) -> Span {
        match output / stride.max(1) <= SHORT_EVENTS {
            true => Span::Short,
            false => Span::Long,
        }
    }
}

/// What a generation needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Longest pause for which it is on time, in milliseconds; `None` if pauses are not limited.
    pub gap_ms: Option<u64>,
    /// Time in which the first event has to arrive, in milliseconds.
    pub objective_ms: u64,
    /// Its length.
    pub span: Span,
}

/// Observations of one start of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Samples {
    /// Times to first events, or of plain calls.
    pub first: pace_counts::Counts,
    /// Usual times between events.
    pub gap: pace_counts::Counts,
    /// Longest times between events.
    pub longest: pace_counts::Counts,
}

impl Samples {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Samples::default()
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn plus(&self, other: &Samples) -> Samples {
        Samples {
            first: self.first.plus(&other.first),
            gap: self.gap.plus(&other.gap),
            longest: self.longest.plus(&other.longest),
        }
    }

    /// Returns the pace that they show.
    #[must_use]
    pub fn pace(&self) -> Pace {
        Pace {
            first: Ratio::of(&self.first, 0.5),
            gap: Ratio::of(&self.gap, 0.5),
            longest: Ratio::of(&self.longest, LONGEST_PART),
        }
    }
}

/// A typical ratio between observed and reference times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ratio {
    /// Observations behind it.
    pub count: u32,
    /// The ratio; 0 without observations.
    pub value: f64,
}

impl Ratio {
    fn of(counts: &pace_counts::Counts, part: f64) -> Ratio {
        Ratio {
            count: counts.total(),
            value: counts.quantile(part).unwrap_or_default(),
        }
    }

    fn is_known(&self) -> bool {
        self.count >= KNOWN_COUNT
    }

    /// Returns how far the ratio counts against that of the service, from 0 to 1.
    fn confidence(&self) -> f64 {
        match self.is_known() {
            true => 1.0 - 1.0 / (f64::from(self.count) * f64::from(self.count)),
            false => 0.0,
        }
    }

    /// Returns the logarithm of the ratio to that of the service, 0 where either is unknown.
    fn distance(&self, middle: f64) -> f64 {
        match self.value > 0.0 && middle > 0.0 {
            true => (self.value / middle).ln() * self.confidence(),
            false => 0.0,
        }
    }
}

/// Pace of one start of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    /// Of first events, or of plain calls.
    pub first: Ratio,
    /// Of usual times between events.
    pub gap: Ratio,
    /// Of longest times between events.
    pub longest: Ratio,
}

impl Pace {
    fn is_known(&self) -> bool {
        self.first.is_known() || self.gap.is_known()
    }
}

/// How an upstream compares with the middle of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Comparison {
    /// Its answers take less time.
    Faster,
    /// They take longer.
    Slower,
    /// It is not known yet.
    Unknown,
    /// They take as long.
    Usual,
}

impl Comparison {
    /// All of them.
    pub const ALL: [Comparison; 4] = [
        Comparison::Faster,
        Comparison::Slower,
        Comparison::Unknown,
        Comparison::Usual,
    ];

    /// Returns the label value for metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Comparison::Faster => "faster",
            Comparison::Slower => "slower",
            Comparison::Unknown => "unknown",
            Comparison::Usual => "usual",
        }
    }
}

/// Middle of a service's upstreams; a part is 0 while it is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Middle {
    /// Ratio of first events, or of plain calls.
    pub first: f64,
    /// Ratio of usual times between events.
    pub gap: f64,
    /// Longest time between events for the usual one.
    pub longest: f64,
}

impl Middle {
    /// Returns the middle of these paces.
    #[must_use]
    pub fn of(paces: &[Pace]) -> Middle {
        let has_longest =
            |pace: &&Pace| pace.gap.value > 0.0 && pace.longest.count >= LONGEST_COUNT;
        let longest = paces.iter().filter(has_longest);
        let longest = longest.map(|pace| pace.longest.value / pace.gap.value);
        Middle {
            first: quantile(paces.iter().map(|pace| pace.first.value), 0.5),
            gap: quantile(paces.iter().map(|pace| pace.gap.value), 0.5),
            longest: quantile(longest, LONGEST_UPSTREAMS_PART).max(1.0),
        }
    }

    /// Returns the factor by which an upstream of this pace takes longer than the middle; 1 where it
    /// is not known to differ.
    #[must_use]
    pub fn factor(&self, pace: &Pace) -> f64 {
        let first = f64::from(pace.first.count);
        let gap = f64::from(pace.gap.count);
        let sum = first * pace.first.distance(self.first) + gap * pace.gap.distance(self.gap);
        let distance = sum / (first + gap).max(1.0);
        match distance.abs() < MIN_DIFFERENCE {
            true => 1.0,
            false => distance.exp().clamp(1.0 / MAX_FACTOR, MAX_FACTOR),
        }
    }

    /// Returns what a generation may expect at an upstream that takes longer by `factor`, with the
    /// load there before it. `None` while the service's engines are not known.
    #[must_use]
    pub fn expect(
        &self,
        factor: f64,
        load: &balance::Load,
        stride: u64,
        tokens: u64,
        span: Span,
    ) -> Option<Expectation> {
        if self.first <= 0.0 {
            return None;
        }
        let first = self.first * factor * first_reference_ms(load.waiting + tokens);
        let pause = match span {
            Span::Long => self.longest_pause_ms(factor, load, stride),
            Span::Short => self.usual_pause_ms(factor, load, stride),
        };
        Some(Expectation {
            first_event_ms: whole_ms(first),
            longest_pause_ms: whole_ms(pause),
        })
    }

    /// Returns which generations keep the bound on pauses at an upstream of this pace, with the load
    /// there before one is added.
    #[must_use]
    pub fn fit(&self, pace: &Pace, load: &balance::Load, stride: u64, gap_ms: Option<u64>) -> Fit {
        let Some(bound) = gap_ms.map(millis) else {
            return Fit::Long;
        };
        if self.gap <= 0.0 || !pace.is_known() {
            return Fit::Unknown;
        }
        let factor = self.factor(pace);
        if self.longest_pause_ms(factor, load, stride) <= bound {
            return Fit::Long;
        }
        match self.usual_pause_ms(factor, load, stride) <= bound {
            true => Fit::Short,
            false => Fit::Unfit,
        }
    }

    /// Returns how an upstream of this pace compares.
    #[must_use]
    pub fn compare(&self, pace: &Pace) -> Comparison {
        if !pace.is_known() {
            return Comparison::Unknown;
        }
        match self.factor(pace) {
            factor if factor > 1.0 => Comparison::Slower,
            factor if factor < 1.0 => Comparison::Faster,
            _ => Comparison::Usual,
        }
    }

    fn usual_pause_ms(&self, factor: f64, load: &balance::Load, stride: u64) -> f64 {
        self.gap * factor * gap_reference_ms(load.running.saturating_add(1), stride)
    }

    fn longest_pause_ms(&self, factor: f64, load: &balance::Load, stride: u64) -> f64 {
        let running = load.running.saturating_add(1 + JOINING);
        self.longest * self.gap * factor * gap_reference_ms(running, stride)
    }
}

/// Pauses of one generation at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pauses {
    gaps: u32,
    longest: f64,
    sum: f64,
    windows: u32,
}

/// Pauses of a few events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Longest of them, as a ratio to its reference.
    pub longest: f64,
    /// Mean of the others.
    pub usual: f64,
}

impl Pauses {
    /// Records a pause as a ratio to its reference. Returns the last few together if they are to be
    /// counted.
    pub fn record(&mut self, ratio: f64) -> Option<Window> {
        self.gaps += 1;
        self.sum += ratio;
        self.longest = self.longest.max(ratio);
        if self.gaps < WINDOW_GAPS {
            return None;
        }
        let window = Window {
            longest: self.longest,
            usual: (self.sum - self.longest) / f64::from(WINDOW_GAPS - 1),
        };
        let number = self.windows;
        *self = Pauses {
            windows: number + 1,
            ..Pauses::default()
        };
        let counts = number < EARLY_WINDOWS || number.is_multiple_of(LATER_PERIOD);
        counts.then_some(window)
    }
}

/// Returns the reference time to a first event behind this many prompt tokens, its own included, in
/// milliseconds.
#[must_use]
pub fn first_reference_ms(tokens: u64) -> f64 {
    FIRST_MS + millis(tokens) * PROMPT_TOKEN_MS
}

/// Returns the reference time between two events of `stride` tokens while this many generations run,
/// in milliseconds.
#[must_use]
pub fn gap_reference_ms(running: u32, stride: u64) -> f64 {
    let others = f64::from(running.saturating_sub(1));
    millis(stride.max(1)) * STEP_MS * (1.0 + STEP_PART * others)
}

/// Returns the reference time of a plain call beside others, its own included, in milliseconds.
#[must_use]
pub fn call_reference_ms(running: u32, slots: u32) -> f64 {
    CALL_MS * (f64::from(running) / f64::from(slots.max(1))).max(1.0)
}

/// Returns the value below which this part of the positive values lies; 0 if there are too few.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the index is within the list"
)]
fn quantile(values: impl Iterator<Item = f64>, part: f64) -> f64 {
    let mut known: Vec<f64> = values.filter(|value| *value > 0.0).collect();
    if known.len() < MIN_KNOWN {
        return 0.0;
    }
    known.sort_by(f64::total_cmp);
    let index = known.len() as f64 * part;
    known[(index as usize).min(known.len() - 1)]
}

#[allow(
    clippy::cast_precision_loss,
    reason = "times and counts of tokens are far below 2^52"
)]
fn millis(number: u64) -> f64 {
    number as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn whole_ms(number: f64) -> u32 {
    number as u32
}
