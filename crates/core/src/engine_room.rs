//! Room in the memory of engines, by what their generations are expected to hold later.
//!
//! Each generation grows with its output. An engine that has room for a prompt now may have none for
//! the outputs that run beside it, and then reads one of the prompts in vain. So the room is also
//! looked at some output tokens ahead: by then some generations have ended and the others have grown.
//! The expected sums add up over gateways like the present ones.

use rand::Rng;

use crate::balance;

/// Output tokens ahead at which [`Later::near`] looks.
pub const NEAR_TOKENS: u32 = 128;
/// Output tokens ahead at which [`Later::far`] looks.
pub const FAR_TOKENS: u32 = 512;
/// Share of an engine's memory that its generations may be expected to hold later.
const MAX_LATER_SHARE: f64 = 1.0;

/// Tokens that generations are expected to hold in an engine's memory later.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Later {
    /// After [`FAR_TOKENS`] more output tokens of each that has not ended.
    pub far: u64,
    /// After [`NEAR_TOKENS`] more output tokens of each that has not ended.
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
    /// Waiting generations of all gateways that go first.
    pub ahead: u32,
    /// Tokens that it is expected to hold later.
    pub later: Later,
    /// Tokens that it holds at its beginning.
    pub tokens: u64,
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
    let fitting = candidates
        .iter()
        .filter(|candidate| fits_later(candidate, need.later));
    let fitting: Vec<balance::Candidate<K>> = fitting.copied().collect();
    let chosen = match balance::choose_engine(&fitting, need.tokens, random) {
        balance::Choice::Full | balance::Choice::NoCandidates => return Choice::Full,
        balance::Choice::Take(key) => key,
    };
    let has_place = need.ahead == 0 || count_places(&fitting, need.tokens) > u64::from(need.ahead);
    match has_place {
        true => Choice::Take(chosen),
        false => Choice::HeldBack,
    }
}

fn fits_later<K>(candidate: &balance::Candidate<K>, later: Later) -> bool {
    let load = candidate.load;
    // An engine without running generations has room for any that it accepts at all.
    if load.running == 0 {
        return true;
    }
    let held = load.later.plus(later);
    balance::ratio(held.near.max(held.far) + load.copied, candidate.memory) <= MAX_LATER_SHARE
}

/// Returns how many generations of this size the engines have room for now.
fn count_places<K>(candidates: &[balance::Candidate<K>], tokens: u64) -> u64 {
    let places = candidates.iter().map(|candidate| {
        let load = candidate.load;
        let held = load.tokens + load.copied;
        let by_memory = candidate.memory.saturating_sub(held) / tokens.max(1);
        let by_slots = u64::from(candidate.slots.saturating_sub(load.running));
        by_memory.min(by_slots)
    });
    places.sum()
}
