//! Picks an upstream by what all gateways have sent to each.
//!
//! Load: many gateways place requests on the same upstreams and hear of each other's placements a
//! hundred milliseconds late. Each compares two that it draws at random, so that they do not all
//! take the same one. For engines the memory that running generations and their copies hold counts
//! before the number of requests: prompts and answers differ in size by a factor of ten.

use rand::seq::IteratorRandom as _;
use rand::Rng;

/// Share of an engine's memory that generations and copies may hold by estimate. Some of them end
/// before the request's prompt is read, so a little more than all is promised.
const MEMORY_SHARE: f64 = 1.05;
/// Share of an engine's memory up to which copies are added while their generations run on. Above
/// it a copy would take the room of the next request.
const COPY_SHARE: f64 = 0.25;
/// Share of an engine's memory up to which generations move in whose engine leaves.
const MOVE_SHARE: f64 = 0.95;
/// Candidates that are compared for a request. All gateways see the same least loaded one and hear
/// of each other late; of a few drawn at random they see different ones.
const DRAWN: usize = 2;
/// Share of an engine's memory that does not count against it. Below it engines differ in their
/// unread prompts only, so that gateways spread over many of them and not over the emptiest.
const FREE_SHARE: f64 = 0.5;
/// Weight of the memory beyond that share.
const FILL_WEIGHT: f64 = 2.0;
/// Weight of the requests that run, against the engine's slots.
const RUNNING_WEIGHT: f64 = 0.1;
/// Tokens of unread prompts that count as much as a full memory. Prompts are read one after the
/// other, so each of them delays the first token of all behind it.
const WAITING_TOKENS: u64 = 6000;
/// Score up to which an own engine is taken without a look at others: little waits there and half
/// of its memory is free.
const OWN_SCORE: f64 = 0.4;

/// Tokens of unread prompts behind which a request is not put: its first token would be late, and
/// what is read late is often read in vain.
const MOST_WAITING_TOKENS: u64 = 6000;

/// What is known of an upstream's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Tokens that copies of generations elsewhere hold.
    pub copied: u64,
    /// Requests that run or wait there.
    pub running: u32,
    /// Tokens that running generations hold.
    pub tokens: u64,
    /// Tokens of prompts that are not read yet.
    pub waiting: u64,
}

impl Load {
    /// Returns both loads together.
    #[must_use]
    pub fn plus(self, other: Load) -> Load {
        Load {
            copied: self.copied + other.copied,
            running: self.running + other.running,
            tokens: self.tokens + other.tokens,
            waiting: self.waiting + other.waiting,
        }
    }

    /// Returns this load without a part of it.
    #[must_use]
    pub fn less(self, part: Load) -> Load {
        Load {
            copied: self.copied - part.copied,
            running: self.running - part.running,
            tokens: self.tokens - part.tokens,
            waiting: self.waiting - part.waiting,
        }
    }
}

/// An upstream that may be picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<K> {
    /// Whether it is in the failure domain asked for.
    pub is_near: bool,
    /// Whether the gateway is the one that places requests there first. Others do so only where
    /// theirs are busy, so that what they hear late seldom misleads them.
    pub is_own: bool,
    /// Who it is.
    pub key: K,
    /// What it has to do.
    pub load: Load,
    /// Tokens that it can hold; 0 for plain services.
    pub memory: u64,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice<K> {
    /// Every candidate is full.
    Full,
    /// There is no candidate.
    Nobody,
    /// Send it there.
    Take(K),
}

/// Picks an engine for a generation that needs `tokens`.
pub fn choose_engine<K: Copy, R: Rng + ?Sized>(
    candidates: &[Candidate<K>],
    tokens: u64,
    random: &mut R,
) -> Choice<K> {
    if candidates.is_empty() {
        return Choice::Nobody;
    }
    let fits = |candidate: &Candidate<K>| {
        let held = candidate.load.tokens + candidate.load.copied + tokens;
        candidate.load.running < candidate.slots
            && ratio(held, candidate.memory) <= MEMORY_SHARE
            && candidate.load.waiting <= MOST_WAITING_TOKENS
    };
    let score = |candidate: &Candidate<K>| {
        let held = candidate.load.tokens + candidate.load.copied + tokens;
        let running = f64::from(candidate.load.running) / f64::from(candidate.slots.max(1));
        let waiting = ratio(candidate.load.waiting, WAITING_TOKENS);
        let fill = (ratio(held, candidate.memory) - FREE_SHARE).max(0.0);
        FILL_WEIGHT * fill + waiting + RUNNING_WEIGHT * running
    };
    let fitting = candidates.iter().filter(|candidate| fits(candidate));
    let idle = fitting
        .clone()
        .filter(|candidate| candidate.is_own && score(candidate) < OWN_SCORE);
    match choose_least(idle, score, random) {
        Choice::Take(key) => Choice::Take(key),
        Choice::Full | Choice::Nobody => choose_least(fitting, score, random),
    }
}

/// Why memory is copied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// To go on there if the engine breaks off or leaves.
    Backup,
    /// To go on there right away.
    Move,
}

/// Picks an engine that receives a copy of a generation which holds `tokens`.
pub fn choose_copy<K: Copy, R: Rng + ?Sized>(
    candidates: &[Candidate<K>],
    tokens: u64,
    purpose: Purpose,
    random: &mut R,
) -> Choice<K> {
    let share = match purpose {
        Purpose::Backup => COPY_SHARE,
        Purpose::Move => MOVE_SHARE,
    };
    let fill = |candidate: &Candidate<K>| {
        let held = candidate.load.tokens + candidate.load.copied + tokens;
        ratio(held, candidate.memory)
    };
    let fitting = candidates
        .iter()
        .filter(|candidate| fill(candidate) <= share);
    // Memory takes twice as long to another failure domain.
    let near = fitting.clone().filter(|candidate| candidate.is_near);
    match choose_least(near, fill, random) {
        Choice::Full => choose_least(fitting, fill, random),
        choice => choice,
    }
}

/// Picks an upstream of a plain service.
pub fn choose_plain<K: Copy, R: Rng + ?Sized>(
    candidates: &[Candidate<K>],
    random: &mut R,
) -> Choice<K> {
    if candidates.is_empty() {
        return Choice::Nobody;
    }
    let score = |candidate: &Candidate<K>| {
        f64::from(candidate.load.running) / f64::from(candidate.slots.max(1))
    };
    choose_least(candidates.iter(), score, random)
}

/// Draws a few candidates and takes the one with the least score.
fn choose_least<'a, K: Copy + 'a, R: Rng + ?Sized>(
    candidates: impl Iterator<Item = &'a Candidate<K>>,
    score: impl Fn(&Candidate<K>) -> f64,
    random: &mut R,
) -> Choice<K> {
    let drawn = candidates.sample(random, DRAWN);
    let scored = drawn.into_iter().map(|drawn| (score(drawn), drawn.key));
    let least = scored.min_by(|(one, _), (other, _)| one.total_cmp(other));
    least.map_or(Choice::Full, |(_score, key)| Choice::Take(key))
}

#[allow(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn ratio(tokens: u64, memory: u64) -> f64 {
    tokens as f64 / memory.max(1) as f64
}
