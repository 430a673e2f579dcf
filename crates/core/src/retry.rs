//! Retries within a budget, with full jitter and deadlines.

use crate::time;
use core::time as duration;
use rand::RngExt as _;

/// Retries for each first attempt, at most.
pub const BUDGET_SHARE: f64 = 0.1;
/// Retries that a fresh budget holds, so that the first failure at a quiet site is retried too.
pub const RESERVED_RETRIES: f64 = 3.0;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Upper bound of the first pause.
const FIRST_PAUSE_MS: u64 = 20;
/// Upper bound of any pause.
const MAX_PAUSE_MS: u64 = 1000;
/// Attempts for one request, the first included.
const MAX_ATTEMPTS: u32 = 4;

/// Whether the failed attempt ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// It provably did not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Time by which the caller wants the answer.
    pub deadline: time::Instant,
    /// Attempts so far.
    pub number: u32,
    /// Whether it ran.
    pub ran: Ran,
    /// Whether the call may run more than once, with nothing of its answer delivered.
    pub repeatable: bool,
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The budget is used up.
    Budget,
    /// The deadline would pass.
    Deadline,
    /// It may have run and may not run twice.
    MayHaveRun,
    /// It was tried often enough.
    TooMany,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Answer the caller now.
    GiveUp(Reason),
    /// Try again after a pause.
    Retry {
        /// Pause in milliseconds.
        after_ms: u64,
    },
}

/// Retries that are left, earned by first attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}

impl Budget {
    /// Returns a budget that holds [`RESERVED_RETRIES`].
    #[must_use]
    pub fn new() -> Budget {
        Budget {
            saved: RESERVED_RETRIES,
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + BUDGET_SHARE).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry (or hedge) out of the budget, if it holds one.
    pub fn spend(&mut self) -> bool {
        // Ten times 0.1 is a hair less than 1 in binary.
        const ONE: f64 = 1.0 - 1e-9;
        if self.saved < ONE {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Decides whether and when a failed attempt is tried again, and pays for it.
pub fn plan_retry<R: rand::Rng + ?Sized>(
    budget: &mut Budget,
    now: time::Instant,
    attempt: &Attempt,
    random: &mut R,
) -> Next {
    if attempt.ran != Ran::No && !attempt.repeatable {
        return Next::GiveUp(Reason::MayHaveRun);
    }
    if attempt.number >= MAX_ATTEMPTS {
        return Next::GiveUp(Reason::TooMany);
    }
    let after_ms = random.random_range(0..=pause_bound(attempt.number));
    if now + duration::Duration::from_millis(after_ms) >= attempt.deadline {
        return Next::GiveUp(Reason::Deadline);
    }
    if !budget.spend() {
        return Next::GiveUp(Reason::Budget);
    }
    Next::Retry { after_ms }
}

/// Returns the longest pause after `number` attempts in milliseconds.
fn pause_bound(number: u32) -> u64 {
    let doublings = number.saturating_sub(1).min(16);
    (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS)
}
