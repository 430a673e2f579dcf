//! Retries with a budget, exponential backoff with full jitter, and deadlines.

use crate::time;
use core::time as duration;
use rand::RngExt as _;

/// Retries that each first attempt adds to the budget.
pub const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Retries in a new budget, so that the first failure of a site with little traffic is retried too.
pub const INITIAL_RETRIES: f64 = 3.0;
/// Upper bound of the retries in a budget.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Upper bound of the backoff before the first retry.
const FIRST_BACKOFF_MS: u64 = 20;
/// Upper bound of the backoff before any retry.
const MAX_BACKOFF_MS: u64 = 1000;
/// Attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// Whether a failed attempt ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// It provably did not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Time by which the caller wants the answer.
    pub deadline: time::Instant,
    /// Number of attempts so far, including this one.
    pub number: u32,
    /// Whether it ran.
    pub ran: Ran,
    /// Whether the call may run more than once and no part of its answer was delivered.
    pub repeatable: bool,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The budget is used up.
    Budget,
    /// The deadline would pass before the retry.
    Deadline,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// It reached the maximum number of attempts.
    TooMany,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Return the failure to the caller.
    GiveUp(Reason),
    /// Retry after a backoff.
    Retry {
        /// Backoff in milliseconds.
        after_ms: u64,
    },
}

/// Retry budget: first attempts add to it, retries are taken from it.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new()
    }
}

impl Budget {
    /// Returns a budget of [`INITIAL_RETRIES`].
    #[must_use]
    pub fn new() -> Budget {
        Budget {
            retries: INITIAL_RETRIES,
        }
    }

    /// Adds the share of a first attempt.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Returns the retries that it holds.
    #[must_use]
    pub fn left(&self) -> f64 {
        self.retries
    }

    /// Takes one retry or hedged request from the budget; returns false if it holds none.
    pub fn try_withdraw(&mut self) -> bool {
        // Ten times 0.1 adds up to slightly less than 1 in floating point.
        const ONE: f64 = 1.0 - 1e-9;
        if self.retries < ONE {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Decides whether and when a failed attempt is retried, and takes the retry from the budget.
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
    let after_ms = random.random_range(0..=backoff_bound(attempt.number));
    if now + duration::Duration::from_millis(after_ms) >= attempt.deadline {
        return Next::GiveUp(Reason::Deadline);
    }
    if !budget.try_withdraw() {
        return Next::GiveUp(Reason::Budget);
    }
    Next::Retry { after_ms }
}

/// Returns the upper bound of the backoff after `number` attempts, in milliseconds.
fn backoff_bound(number: u32) -> u64 {
    let doublings = number.saturating_sub(1).min(16);
    (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS)
}
