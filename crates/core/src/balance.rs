//! Load balancing in the gateways, by the requests that all gateways have sent to each upstream.
//!
//! Many gateways share the upstreams and learn of each other's requests about a hundred
//! milliseconds late. Each compares two candidates drawn at random, so that they do not all choose
//! the same one. For engines, the memory held by running generations and their copies counts more
//! than the number of requests: prompts and answers differ in size by a factor of ten.

use rand::seq::IteratorRandom as _;
use rand::Rng;

use crate::engine_room;
use crate::pace;
use crate::rate_limit;
use crate::slow_start;

/// Share of an engine's memory that generations and copies may hold by estimate. It is a little
/// above 1 because some of them end before the request's prompt is processed.
const MAX_MEMORY_SHARE: f64 = 1.05;
/// Share of an engine's memory up to which it accepts backup copies of running generations. Above
/// it a copy would take memory that the next request needs.
const MAX_BACKUP_MEMORY_SHARE: f64 = 0.25;
/// Share of an engine's memory up to which it accepts generations that move away from another
/// engine.
const MAX_MOVE_MEMORY_SHARE: f64 = 0.95;
/// Share of an engine's memory by which one where pauses are too long counts as fuller for a copy.
const UNSUITABLE_FILL: f64 = 1.0;
/// The same for one whose pace is not known yet: new engines are the emptiest.
const UNKNOWN_FILL: f64 = 0.5;
/// Candidates drawn at random and compared for a request. With a comparison of all, every gateway
/// would choose the same least loaded one before it learns of the others' choices.
const SAMPLE_SIZE: usize = 2;
/// Share of an engine's memory whose use does not add to its score. Below it engines differ by
/// their waiting prompts and running requests only, so that the gateways spread over many engines
/// instead of the emptiest ones.
const FREE_MEMORY_SHARE: f64 = 0.5;
/// Weight of the memory in use beyond [`FREE_MEMORY_SHARE`].
const MEMORY_WEIGHT: f64 = 2.0;
/// Weight of the running requests as a share of the engine's slots.
const RUNNING_WEIGHT: f64 = 0.1;
/// Tokens of waiting prompts that add 1 to the score, as much as a full memory does. Prompts are
/// processed one after the other, so each delays the first token of all requests behind it.
const WAITING_TOKENS_SCALE: u64 = 6000;
/// Score below which one of the gateway's own engines is chosen before any other: few prompts wait
/// there and half of its memory is free.
const OWN_ENGINE_MAX_SCORE: f64 = 0.4;

/// Tokens of waiting prompts beyond which an engine is not chosen: the first token would be late,
/// and prompts that are processed late are often processed in vain.
const MAX_WAITING_TOKENS: u64 = 6000;

/// An engine is preferred for what suits it if the first event is expected there within the latency
/// objective divided by this. What the expectation leaves out, such as prompts that other gateways
/// have just sent, has room in the rest.
const EARLY_OBJECTIVE_DIVISOR: u64 = 2;

/// Number of gateways with an open circuit breaker from which on an upstream is suspect for the
/// others. The requests of one gateway may fail for reasons of its own.
const SUSPECT_GATEWAYS: u32 = 2;

/// Requests for each slot of a service that all gateways together send at their start: one runs, the
/// others wait at the upstream.
const STARTUP_REQUESTS_PER_SLOT: u32 = 3;

/// Number of other gateways whose requests an upstream refuses from which on it counts as refusing.
const REFUSED_GATEWAYS: u32 = 2;

/// Load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Tokens held by copies of generations that run elsewhere.
    pub copied: u64,
    /// Gateways whose circuit breaker for the upstream is open.
    pub failing: u32,
    /// Tokens that running generations are expected to hold later.
    pub later: engine_room::Later,
    /// What gateways tell each other of requests to an upstream that names a limit.
    pub limited: rate_limit::Counts,
    /// Gateways whose last request it has refused, a short time ago.
    pub refusing: u32,
    /// Requests that run or wait.
    pub running: u32,
    /// What gateways have seen of its answers since it started; nothing once its start is over.
    pub starting: slow_start::Counts,
    /// Tokens held by running generations.
    pub tokens: u64,
    /// Tokens of prompts that are not processed yet.
    pub waiting: u64,
}

impl Load {
    /// Returns whether the upstream refuses requests, by what other gateways report.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.refusing >= REFUSED_GATEWAYS
    }

    /// Returns the sum of both loads.
    #[must_use]
    pub fn plus(self, other: Load) -> Load {
        Load {
            copied: self.copied + other.copied,
            failing: self.failing + other.failing,
            later: self.later.plus(other.later),
            limited: self.limited.plus(other.limited),
            refusing: self.refusing + other.refusing,
            running: self.running + other.running,
            starting: self.starting.plus(other.starting),
            tokens: self.tokens + other.tokens,
            waiting: self.waiting + other.waiting,
        }
    }

    /// Returns this load without `part`, which must be contained in it.
    #[must_use]
    pub fn minus(self, part: Load) -> Load {
        Load {
            copied: self.copied - part.copied,
            failing: self.failing - part.failing,
            later: self.later.minus(part.later),
            limited: self.limited.minus(part.limited),
            refusing: self.refusing - part.refusing,
            running: self.running - part.running,
            starting: self.starting.minus(part.starting),
            tokens: self.tokens - part.tokens,
            waiting: self.waiting - part.waiting,
        }
    }
}

/// An upstream that may be picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// What the request may expect there; `None` if nothing is known of the service's upstreams.
    pub expected: Option<pace::Expectation>,
    /// Which generations keep their bound on pauses there.
    pub fit: pace::Fit,
    /// Whether it is in the requested failure domain.
    pub is_near: bool,
    /// Whether this gateway prefers the upstream. Other gateways choose it only when their own are
    /// busy, so their late information on its load seldom matters.
    pub is_own: bool,
    /// Identifies the upstream.
    pub key: K,
    /// Its load as this gateway knows it.
    pub load: Load,
    /// Memory in tokens; 0 for plain services.
    pub memory: u64,
    /// Factor by which its answers take longer than in the middle of its service.
    pub pace: f64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

impl<K> Candidate<K> {
    /// Returns whether other gateways have found that the upstream fails.
    fn is_suspect(&self) -> bool {
        self.load.failing >= SUSPECT_GATEWAYS
    }

    /// Returns whether the first event is expected within this time, in milliseconds.
    fn begins_within(&self, millis: u64) -> bool {
        self.expected
            .is_none_or(|expected| u64::from(expected.first_event_ms) <= millis)
    }

    /// Returns the part of [`WAITING_TOKENS_SCALE`] that the prompts waiting there amount to at its
    /// pace, with the difference that the pace makes to a further prompt of `tokens` tokens.
    fn paced_waiting(&self, tokens: u64) -> f64 {
        let waiting = ratio(self.load.waiting, WAITING_TOKENS_SCALE);
        let own = ratio(tokens, WAITING_TOKENS_SCALE);
        waiting * self.pace + own * (self.pace - 1.0)
    }
}

/// Returns the candidates that are not suspect, or all if there are no others.
fn exclude_suspects<K: Copy>(candidates: &[Candidate<K>]) -> Vec<Candidate<K>> {
    let sound = candidates
        .iter()
        .filter(|candidate| !candidate.is_suspect());
    let sound: Vec<Candidate<K>> = sound.copied().collect();
    match sound.is_empty() {
        true => candidates.to_vec(),
        false => sound,
    }
}

/// Result of a choice between candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice<K> {
    /// There are candidates, but none has capacity.
    Full,
    /// There are no candidates.
    NoCandidates,
    /// Use this one.
    Take(K),
}

/// Picks an engine for a generation that needs memory for `tokens` tokens.
pub fn choose_engine<K: Copy, R: Rng + ?Sized>(
    candidates: &[Candidate<K>],
    tokens: u64,
    random: &mut R,
) -> Choice<K> {
    if candidates.is_empty() {
        return Choice::NoCandidates;
    }
    let candidates = exclude_suspects(candidates);
    let fits = |candidate: &Candidate<K>| {
        let held = candidate.load.tokens + candidate.load.copied + tokens;
        candidate.load.running < candidate.slots
            && ratio(held, candidate.memory) <= MAX_MEMORY_SHARE
            && candidate.load.waiting <= MAX_WAITING_TOKENS
    };
    let score = |candidate: &Candidate<K>| {
        let held = candidate.load.tokens + candidate.load.copied + tokens;
        let running = f64::from(candidate.load.running) / f64::from(candidate.slots.max(1));
        let waiting = candidate.paced_waiting(tokens);
        let fill = (ratio(held, candidate.memory) - FREE_MEMORY_SHARE).max(0.0);
        MEMORY_WEIGHT * fill + waiting + RUNNING_WEIGHT * running
    };
    let fitting = candidates.iter().filter(|candidate| fits(candidate));
    let preferred = fitting
        .clone()
        .filter(|candidate| candidate.is_own && score(candidate) < OWN_ENGINE_MAX_SCORE);
    match choose_least(preferred, score, random) {
        Choice::Take(key) => Choice::Take(key),
        Choice::Full | Choice::NoCandidates => choose_least(fitting, score, random),
    }
}

/// Picks an engine for a generation that needs memory for `tokens` tokens, by what the engines' paces
/// let it expect. One with many events goes where none of its pauses is expected to be too long. One
/// with a few leaves those engines to others, if it is in time elsewhere, and tries those that are
/// not known yet.
pub fn choose_engine_by_pace<K: Copy, R: Rng + ?Sized>(
    candidates: &[Candidate<K>],
    tokens: u64,
    need: &pace::Need,
    random: &mut R,
) -> Choice<K> {
    let early_ms = need.objective_ms / EARLY_OBJECTIVE_DIVISOR;
    let prefers = |candidate: &&Candidate<K>| {
        let suits = match need.span {
            pace::Span::Long => candidate.fit == pace::Fit::Long,
            pace::Span::Short => candidate.fit == pace::Fit::Unknown && candidate.load.waiting == 0,
        };
        suits && candidate.begins_within(early_ms)
    };
    let accepts = |candidate: &&Candidate<K>| {
        let suits = match need.span {
            pace::Span::Long => matches!(candidate.fit, pace::Fit::Long | pace::Fit::Unknown),
            pace::Span::Short => candidate.fit != pace::Fit::Unfit,
        };
        suits && candidate.begins_within(need.objective_ms)
    };
    let sound = exclude_suspects(candidates);
    let preferred: Vec<_> = sound.iter().filter(prefers).copied().collect();
    if let Choice::Take(key) = choose_engine(&preferred, tokens, random) {
        return Choice::Take(key);
    }
    let accepted: Vec<_> = sound.iter().filter(accepts).copied().collect();
    match choose_engine(&accepted, tokens, random) {
        Choice::Take(key) => Choice::Take(key),
        Choice::Full | Choice::NoCandidates => choose_engine(candidates, tokens, random),
    }
}

/// Returns whether a gateway that has just started may send another request to a service, while it
/// has `running` there. Requests have gathered at all gateways until the first upstreams are known,
/// whose `slots` they share; sent all at once, most would be refused.
#[must_use]
pub fn may_send_at_start(running: u32, slots: u32, gateways: u32) -> bool {
    let share = slots.saturating_mul(STARTUP_REQUESTS_PER_SLOT) / gateways.max(1);
    running < share.max(1)
}

/// Why a generation is copied to another engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// To continue there if its engine fails or leaves.
    Backup,
    /// To continue there at once.
    Move,
}

/// Picks an engine that receives a copy of a generation of `tokens` tokens.
pub fn choose_copy<K: Copy, R: Rng + ?Sized>(
    candidates: &[Candidate<K>],
    tokens: u64,
    purpose: Purpose,
    random: &mut R,
) -> Choice<K> {
    let candidates = exclude_suspects(candidates);
    let share = match purpose {
        Purpose::Backup => MAX_BACKUP_MEMORY_SHARE,
        Purpose::Move => MAX_MOVE_MEMORY_SHARE,
    };
    let fill = |candidate: &Candidate<K>| {
        let held = candidate.load.tokens + candidate.load.copied + tokens;
        ratio(held, candidate.memory)
    };
    let fitting = candidates
        .iter()
        .filter(|candidate| fill(candidate) <= share);
    // Copies spread over all engines that have room, as each takes few at a time. Of the two that
    // are compared, the one where pauses are within the bound is taken.
    let score = |candidate: &Candidate<K>| match candidate.fit {
        pace::Fit::Long => fill(candidate),
        pace::Fit::Unknown => fill(candidate) + UNKNOWN_FILL,
        pace::Fit::Short | pace::Fit::Unfit => fill(candidate) + UNSUITABLE_FILL,
    };
    // Copying memory to another failure domain takes twice as long.
    let near = fitting.clone().filter(|candidate| candidate.is_near);
    match choose_least(near, score, random) {
        Choice::Full => choose_least(fitting, score, random),
        choice => choice,
    }
}

/// Picks an upstream of a plain service.
pub fn choose_plain<K: Copy, R: Rng + ?Sized>(
    candidates: &[Candidate<K>],
    random: &mut R,
) -> Choice<K> {
    if candidates.is_empty() {
        return Choice::NoCandidates;
    }
    let candidates = exclude_suspects(candidates);
    // Expected time of one more call, in times of a call that runs alone in the middle of the service.
    let score = |candidate: &Candidate<K>| {
        let beside = f64::from(candidate.load.running) / f64::from(candidate.slots.max(1));
        (beside + 1.0) * candidate.pace
    };
    choose_least(candidates.iter(), score, random)
}

/// Draws [`SAMPLE_SIZE`] candidates at random and returns the one with the lowest score.
fn choose_least<'a, K: Copy + 'a, R: Rng + ?Sized>(
    candidates: impl Iterator<Item = &'a Candidate<K>>,
    score: impl Fn(&Candidate<K>) -> f64,
    random: &mut R,
) -> Choice<K> {
    let drawn = candidates.sample(random, SAMPLE_SIZE);
    let scored = drawn.into_iter().map(|drawn| (score(drawn), drawn.key));
    let least = scored.min_by(|(one, _), (other, _)| one.total_cmp(other));
    least.map_or(Choice::Full, |(_score, key)| Choice::Take(key))
}

#[allow(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub(crate) fn ratio(tokens: u64, memory: u64) -> f64 {
    tokens as f64 / memory.max(1) as f64
}
