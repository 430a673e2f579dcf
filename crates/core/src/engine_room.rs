//! Room in the memory of engines, by what their generations are expected to hold later.
//!
//! Each generation grows with its output. An engine that has room for a prompt now may have none for
//! the outputs that run beside it, and then reads one of the prompts in vain. So the room is also
//! looked at some output tokens ahead: by then some generations have ended and the others have grown.
//! The expected sums add up over gateways like the present ones.

use rand::Rng;
use rand::RngExt as _;

use crate::balance;
use crate::pace;
use crate::waiting;

/// Output tokens ahead up to which [`Later::near`] looks.
pub const NEAR_TOKENS: u32 = 128;
/// Output tokens ahead up to which [`Later::far`] looks.
pub const FAR_TOKENS: u32 = 1024;
/// Share of an engine's memory that its generations may be expected to hold later.
const MAX_LATER_SHARE: f64 = 1.0;
/// Tokens of waiting prompts behind which a generation with a shorter prompt is not sent. An engine reads
/// them in some hundred milliseconds, so it always has one to read; what waits at a gateway instead of
/// behind them can still be overtaken by more urgent ones.
const MAX_QUEUED_TOKENS: u64 = 3000;
/// Generations that look for a place, for each that takes one at the same time as others.
const TAKERS_PER_PLACE: u64 = 2;

/// Tokens that generations are expected to hold in an engine's memory later.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Later {
    /// By those that last for more than [`NEAR_TOKENS`] output tokens, when they have grown as expected by
    /// up to [`FAR_TOKENS`].
    pub far: u64,
    /// By all, when they have grown by up to [`NEAR_TOKENS`] output tokens and none has ended.
    pub near: u64,
}

impl Later {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Later) -> Later {
        Later {
            far: self.far + other.far,
            near: self.near + other.near,
        }
    }

    /// Returns the larger of both.
    #[must_use]
    pub fn peak(self) -> u64 {
        self.far.max(self.near)
    }

    /// Returns this without `part`, which must be contained in it.
    #[must_use]
    pub fn minus(self, part: Later) -> Later {
        Later {
            far: self.far - part.far,
            near: self.near - part.near,
        }
    }
}

/// What a generation that is to begin needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Need {
    /// Waiting generations of other gateways that go first.
    pub ahead: u32,
    /// Generations of other gateways that look for room as well and may not have been seen.
    pub beside: u32,
    /// Whether it may take room at an engine that another gateway prefers, or has done so in vain since
    /// it last heard of the others.
    pub may_draw: bool,
    /// Tokens that it is expected to hold later.
    pub later: Later,
    /// What it needs of an engine's pace.
    pub pace: pace::Need,
    /// Whether engines need room for what generations hold later, and short queues.
    pub looks_ahead: bool,
    /// Tokens that it holds at its beginning.
    pub tokens: u64,
}

impl Need {
    /// Returns the need of a generation that looks at the present load only.
    #[must_use]
    pub fn present(tokens: u64) -> Need {
        Need {
            may_draw: true,
            tokens,
            ..Need::default()
        }
    }

    /// Returns the need of a generation whose turn it is.
    #[must_use]
    pub fn new(turn: waiting::Turn, later: Later, tokens: u64) -> Need {
        match turn {
            waiting::Turn::Begin {
                ahead,
                beside,
                is_news,
            } => Need {
                ahead,
                beside,
                later,
                looks_ahead: true,
                may_draw: is_news,
                pace: pace::Need::default(),
                tokens,
            },
            waiting::Turn::Wait => Need {
                ahead: u32::MAX,
                beside: 0,
                later,
                looks_ahead: true,
                may_draw: false,
                pace: pace::Need::default(),
                tokens,
            },
        }
    }
}

/// Result of a choice between engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice<K> {
    /// There are candidates, but none has room.
    Full,
    /// There is room, but others go first.
    HeldBack,
    /// There are no candidates.
    NoCandidates,
    /// Use this one.
    Take(K),
}

impl<K> From<balance::Choice<K>> for Choice<K> {
    fn from(choice: balance::Choice<K>) -> Choice<K> {
        match choice {
            balance::Choice::Full => Choice::Full,
            balance::Choice::NoCandidates => Choice::NoCandidates,
            balance::Choice::Take(key) => Choice::Take(key),
        }
    }
}

/// Picks an engine that is expected to have room for a generation until its end, if there is also room
/// for those that go first.
pub fn choose<K: Copy, R: Rng + ?Sized>(
    candidates: &[balance::Candidate<K>],
    need: Need,
    random: &mut R,
) -> Choice<K> {
    if candidates.is_empty() {
        return Choice::NoCandidates;
    }
    if !need.looks_ahead {
        return balance::choose_engine_by_pace(candidates, need.tokens, &need.pace, random).into();
    }
    let fitting = candidates
        .iter()
        .filter(|candidate| fits_later(candidate, need) && has_short_queue(candidate, need));
    let fitting: Vec<balance::Candidate<K>> = fitting.copied().collect();
    if fitting.is_empty() {
        return Choice::Full;
    }
    // One that fits has a place, if its size is above the memory.
    let places = count_places(&fitting, need).max(1);
    if places <= u64::from(need.ahead) && need.ahead > 0 {
        return match balance::choose_engine_by_pace(&fitting, need.tokens, &need.pace, random) {
            balance::Choice::Full | balance::Choice::NoCandidates => Choice::Full,
            balance::Choice::Take(_key) => Choice::HeldBack,
        };
    }
    if draw(places, need, random) {
        return balance::choose_engine_by_pace(&fitting, need.tokens, &need.pace, random).into();
    }
    let own = fitting.iter().filter(|candidate| candidate.is_own);
    let own: Vec<balance::Candidate<K>> = own.copied().collect();
    match balance::choose_engine_by_pace(&own, need.tokens, &need.pace, random) {
        balance::Choice::Take(key) => Choice::Take(key),
        balance::Choice::Full | balance::Choice::NoCandidates => Choice::HeldBack,
    }
}

/// Decides whether a generation takes any engine with room. Where there are fewer places than
/// generations that look for one, all gateways would take the same few: each takes one with the
/// probability with which half of the places are taken, until it hears what the others took.
fn draw<R: Rng + ?Sized>(places: u64, need: Need, random: &mut R) -> bool {
    let left = places.saturating_sub(u64::from(need.ahead));
    let wanted = TAKERS_PER_PLACE * u64::from(need.beside) + 1;
    if left >= wanted {
        return true;
    }
    need.may_draw && random.random_range(0..wanted) < left
}

fn fits_later<K>(candidate: &balance::Candidate<K>, need: Need) -> bool {
    let load = candidate.load;
    // An engine without running generations has room for any that it accepts at all.
    if load.running == 0 {
        return true;
    }
    let held = load.later.plus(need.later).peak() + load.copied;
    balance::ratio(held, candidate.memory) <= MAX_LATER_SHARE
}

fn has_short_queue<K>(candidate: &balance::Candidate<K>, need: Need) -> bool {
    candidate.load.waiting <= MAX_QUEUED_TOKENS.max(need.tokens)
}

/// Returns how many generations of this size the engines have room for.
fn count_places<K>(candidates: &[balance::Candidate<K>], need: Need) -> u64 {
    let size = need.later.peak().max(need.tokens);
    let places = candidates.iter().map(|candidate| {
        let load = candidate.load;
        let held = load.later.peak().max(load.tokens) + load.copied;
        let by_memory = candidate.memory.saturating_sub(held) / size.max(1);
        let by_slots = u64::from(candidate.slots.saturating_sub(load.running));
        let queue = MAX_QUEUED_TOKENS.max(need.tokens);
        let by_queue = queue.saturating_sub(load.waiting) / need.tokens.max(1) + 1;
        by_memory.min(by_slots).min(by_queue)
    });
    places.sum()
}
