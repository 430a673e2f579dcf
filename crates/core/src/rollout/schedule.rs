//! Share of a rollout's target, and the end of the rollout, from its time and the verdict so far.
//!
//! The target first gets half of what a bad version may get, which leaves the other half to one that
//! turns bad later. Late enough to judge it and early enough for requests on the other versions to
//! end, its share rises to all. The rollout completes shortly before its time limit.

use core::time;

use crate::rollout::judge;
use crate::rollout::order;

/// Part of what a bad version may get that the target gets while it is on trial.
const TRIAL_PART: f64 = 0.5;
/// Largest share of the target while it is on trial.
const MAX_TRIAL: f64 = 0.5;
/// Time after the order from which on the rate of requests is known, in milliseconds.
const RATE_MS: u64 = 500;
/// Time without news after which a gateway gives the target nothing: two commits of the leader may be
/// late.
const LEASE: time::Duration = time::Duration::from_millis(900);
/// Answers of the target without which it is given no more than a trial.
const MIN_ANSWERS: u64 = 10;
/// Evidence, in natural logarithms beyond that of the number of answers, with which the share of a
/// target does not rise, and with which it is taken back at the end.
const SUSPECT_EVIDENCE: f64 = 6.0;
/// Part of the time limit before its end at which the rollout ends.
const END_DIVISOR: u64 = 8;
/// Bounds of that time, in milliseconds: a change of the leader takes about a second.
const END_MS: (u64, u64) = (500, 2_000);
/// Part of the time limit in which the share rises from the trial to all.
const RISE_DIVISOR: u64 = 5;
/// Longest such time, in milliseconds.
const MAX_RISE_MS: u64 = 10_000;
/// Time for which streams on other versions are let run before the end, in milliseconds.
const STREAM_MS: u64 = 15_000;
/// Part of the time limit in which the target has all new requests, at least.
const ALONE_DIVISOR: u64 = 16;
/// Bounds of that time, in milliseconds.
const ALONE_MS: (u64, u64) = (500, 3_000);

/// What a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Part of all requests to the service.
    pub fraction: f64,
    /// Time after the fiftieth bad answer from which on it gets nothing.
    pub rollback: time::Duration,
    /// Requests beyond that part.
    pub tolerance: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            fraction: 0.1,
            rollback: time::Duration::from_secs(5),
            tolerance: 0.0,
        }
    }
}

impl Bounds {
    /// Returns the time without news after which a gateway gives the target nothing.
    #[must_use]
    pub fn lease(&self) -> time::Duration {
        LEASE.min(self.rollback / 2)
    }

    /// Returns the share of the target while it is on trial: what it may get then, spread over the
    /// requests that are expected until its share rises.
    fn trial_ppm(&self, view: &View, plan: &Plan) -> u32 {
        let least = self.fraction * TRIAL_PART;
        if view.elapsed_ms < RATE_MS || view.elapsed_ms >= plan.rise {
            return to_ppm(least);
        }
        let per_ms = to_float(view.all_answers) / to_float(view.elapsed_ms);
        let all = per_ms * to_float(view.duration_ms);
        let budget = (self.fraction * all + self.tolerance) * TRIAL_PART;
        let left = budget - to_float(view.answers);
        let expected = per_ms * to_float(plan.rise - view.elapsed_ms);
        let share = left / expected.max(1.0);
        to_ppm(share.clamp(least / 2.0, MAX_TRIAL))
    }
}

/// State of a rollout in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Answers of all versions so far.
    pub all_answers: u64,
    /// Answers of the target so far.
    pub answers: u64,
    /// Time limit, in milliseconds.
    pub duration_ms: u64,
    /// Evidence that the target is worse, in natural logarithms beyond that of the number of answers.
    pub evidence: f64,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Time in which requests on the other versions end, in milliseconds.
    pub longest_ms: u64,
    /// Share at present.
    pub share_ppm: u32,
    /// Whether the service has streams.
    pub has_streams: bool,
    /// What the answers say.
    pub verdict: judge::Verdict,
}

/// Why a rollout is taken back.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The target answered no request in time.
    NoAnswers,
    /// There were too few answers to say that the target is worse, but they speak against it.
    Suspect,
    /// The target is worse.
    Worse(judge::Finding),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The target serves alone.
    Complete,
    /// The target gets nothing.
    RollBack(Reason),
    /// The target gets this share, in millionths.
    Share(u32),
}

/// Moments of a rollout, in milliseconds since the order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Plan {
    rise: u64,
    alone: u64,
    end: u64,
}

impl Plan {
    fn of(view: &View) -> Plan {
        let before_limit = (view.duration_ms / END_DIVISOR).clamp(END_MS.0, END_MS.1);
        let end = view.duration_ms.saturating_sub(before_limit);
        let streams = if view.has_streams { STREAM_MS } else { 0 };
        let least = (view.duration_ms / ALONE_DIVISOR).clamp(ALONE_MS.0, ALONE_MS.1);
        let longest = view.longest_ms.max(streams).max(least);
        let alone = end.saturating_sub(longest.min(view.duration_ms / 2));
        let rise = (view.duration_ms / RISE_DIVISOR).min(MAX_RISE_MS);
        Plan {
            rise: alone.saturating_sub(rise),
            alone,
            end,
        }
    }
}

/// Decides what to do next.
#[must_use]
pub fn decide(bounds: &Bounds, view: &View) -> Step {
    if let judge::Verdict::Worse(finding) = &view.verdict {
        return Step::RollBack(Reason::Worse(finding.clone()));
    }
    let plan = Plan::of(view);
    let trial = bounds.trial_ppm(view, &plan);
    if view.elapsed_ms >= plan.end {
        return decide_end(view, trial);
    }
    // A new leader may not have the counts yet by which the former one let the share rise.
    let has_risen = view.share_ppm > to_ppm(MAX_TRIAL);
    let has_answers = has_risen || view.answers >= MIN_ANSWERS;
    let is_suspect = view.evidence >= SUSPECT_EVIDENCE;
    if view.elapsed_ms < plan.rise || !has_answers {
        return Step::Share(trial);
    }
    // A lower share would end what may show itself only under load.
    if is_suspect {
        return Step::Share(view.share_ppm.max(trial));
    }
    if view.elapsed_ms >= plan.alone {
        return Step::Share(order::WHOLE_PPM);
    }
    let passed = view.elapsed_ms - plan.rise;
    let rise = (plan.alone - plan.rise).max(1);
    let missing = u64::from(order::WHOLE_PPM.saturating_sub(trial));
    let risen = u32::try_from(missing * passed / rise).unwrap_or(order::WHOLE_PPM);
    // The moments shift as times are counted; the share then keeps what it has.
    let share = trial.saturating_add(risen).min(order::WHOLE_PPM);
    Step::Share(share.max(view.share_ppm))
}

/// Decides at the end of the time.
fn decide_end(view: &View, trial: u32) -> Step {
    if view.evidence >= SUSPECT_EVIDENCE {
        return Step::RollBack(Reason::Suspect);
    }
    match view.answers {
        0 if view.share_ppm <= trial => Step::RollBack(Reason::NoAnswers),
        _ => Step::Complete,
    }
}

#[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
fn to_float(number: u64) -> f64 {
    number as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn to_ppm(share: f64) -> u32 {
    (share * f64::from(order::WHOLE_PPM)) as u32
}
