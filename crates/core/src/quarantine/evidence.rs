//! Evidence on one subject.

use core::cmp;
use std::collections;

use xxhash_rust::xxh3;

use crate::quarantine::subject;

/// Weight from which a subject is put in quarantine: that of three losses, with one success.
const QUARANTINE_WEIGHT: f64 = 6.0;
/// Times that answers cleared a subject which count for it.
const MAX_CLEARED: u32 = 2;
/// Losses that are told apart; later ones only count.
const MAX_LOSSES: usize = 32;

/// Weights of what is observed of a subject.
struct Odds {
    /// Successes in a row that clear it.
    clear_successes: u32,
    /// Weight for the subject of each time that answers cleared it before.
    cleared: f64,
    /// Logarithm of how much likelier an upstream ends if the subject is the cause than if it is sound.
    loss: f64,
    /// Logarithm of how much likelier a request is answered if the subject is sound than if it crashes
    /// upstreams.
    success: f64,
}

/// Other requests with the part may be answered: an upstream ends with probability 0.5 if the part is the
/// cause and with 0.05 if it is sound.
const PART_ODDS: Odds = Odds {
    clear_successes: 4,
    cleared: 0.0,
    loss: 2.303,
    success: 0.642,
};

/// Repeats of one request mostly end alike: the probabilities are 0.8 and 0.05. One that was cleared has
/// been answered several times in a row, so its next losses likely have another cause, as those before had:
/// each time weighs as much as a loss.
const REQUEST_ODDS: Odds = Odds {
    clear_successes: 3,
    cleared: 2.773,
    loss: 2.773,
    success: 1.558,
};

impl Odds {
    fn of(subject: subject::Subject) -> &'static Odds {
        match subject {
            subject::Subject::Part(_) => &PART_ODDS,
            subject::Subject::Request(_) => &REQUEST_ODDS,
        }
    }
}

/// Identity of the end of one process of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Loss(pub u64);

impl Loss {
    /// Returns the end of the process of an upstream that started at `born_ms`, in Unix milliseconds.
    #[must_use]
    pub fn new(upstream: &str, born_ms: u64) -> Loss {
        Loss(xxh3::xxh3_64_with_seed(upstream.as_bytes(), born_ms))
    }
}

/// An answered request that has a suspected subject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Success {
    /// Epoch of the evidence that it counts for.
    pub epoch: u64,
    /// The suspected subject.
    pub subject: subject::Subject,
}

/// What is known of one subject. It holds no losses once the subject is cleared.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// Number of times that answered requests cleared the subject; an operator's release does not count.
    pub cleared_by_answers: u32,
    /// Number of times that the subject was cleared.
    pub epoch: u64,
    /// Upstreams that ended while they ran requests with the subject.
    pub losses: collections::BTreeSet<Loss>,
    /// Moments at which upstreams ended: those that end together may have a cause in common.
    pub moments: u32,
    /// The subject.
    pub subject: subject::Subject,
    /// Requests with the subject that were answered since the first loss.
    pub successes: u32,
    /// Requests with the subject that were answered since the last loss.
    pub successes_since_loss: u32,
    /// Trials since the last success.
    pub trials: u32,
}

/// What a change of the evidence was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum News {
    /// Nothing changed.
    None,
    /// An upstream was lost.
    Loss,
    /// Other figures changed.
    Other,
}

impl Evidence {
    /// Returns the evidence on a subject of which nothing is known.
    #[must_use]
    pub fn new(subject: subject::Subject) -> Evidence {
        Evidence {
            cleared_by_answers: 0,
            epoch: 0,
            losses: collections::BTreeSet::new(),
            moments: 0,
            subject,
            successes: 0,
            successes_since_loss: 0,
            trials: 0,
        }
    }

    /// Returns whether nothing speaks against the subject.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.moments == 0
    }

    /// Returns whether the evidence, with `moments` in place of all of its moments, is enough for a
    /// quarantine.
    pub(super) fn is_enough(&self, moments: f64) -> bool {
        self.weight(moments) >= QUARANTINE_WEIGHT
    }

    pub(super) fn weight(&self, moments: f64) -> f64 {
        let odds = Odds::of(self.subject);
        moments * odds.loss - f64::from(self.successes) * odds.success - self.cleared(odds)
    }

    /// Returns what speaks for the subject from before the first loss that counts.
    fn cleared(&self, odds: &Odds) -> f64 {
        f64::from(self.cleared_by_answers.min(MAX_CLEARED)) * odds.cleared
    }

    /// Records the end of an upstream, in a moment of its own or in that of the loss before.
    pub(super) fn record_loss(&mut self, loss: Loss, is_new_moment: bool) -> News {
        if self.losses.contains(&loss) {
            return News::None;
        }
        if self.losses.len() < MAX_LOSSES {
            self.losses.insert(loss);
        }
        let is_new_moment = is_new_moment || self.moments == 0;
        self.moments = self.moments.saturating_add(u32::from(is_new_moment));
        self.successes_since_loss = 0;
        News::Loss
    }

    /// Records that a request was answered. Enough of them in a row clear the subject; a request in
    /// quarantine is cleared by one, as each of its repeats would end the same way.
    pub(super) fn record_success(&mut self, is_quarantined: bool) {
        self.successes = self.successes.saturating_add(1);
        self.successes_since_loss = self.successes_since_loss.saturating_add(1);
        self.trials = 0;
        let is_enough = self.successes_since_loss >= Odds::of(self.subject).clear_successes;
        if is_enough || is_quarantined && self.subject.is_request() {
            self.cleared_by_answers = self.cleared_by_answers.saturating_add(1);
            self.clear();
        }
    }

    /// Records that a request is sent to show whether upstreams still end with it.
    pub(super) fn record_trial(&mut self) {
        self.trials = self.trials.saturating_add(1);
    }

    /// Makes nothing speak against the subject any longer.
    pub(super) fn clear(&mut self) {
        let epoch = self.epoch.saturating_add(1);
        *self = Evidence {
            cleared_by_answers: self.cleared_by_answers,
            epoch,
            ..Evidence::new(self.subject)
        };
    }

    /// Merges what another process knows.
    pub(super) fn merge(&mut self, told: &Evidence, is_new_moment: bool) -> News {
        if told.epoch != self.epoch {
            if told.epoch < self.epoch {
                return News::None;
            }
            let news = if told.is_clear() {
                News::Other
            } else {
                News::Loss
            };
            self.clone_from(told);
            self.bound_losses();
            return news;
        }
        let former = self.clone();
        let has_new = !told.losses.is_subset(&self.losses);
        let lacks = !self.losses.is_subset(&told.losses);
        self.losses.extend(told.losses.iter().copied());
        self.bound_losses();
        let counted = former
            .moments
            .saturating_add(u32::from(has_new && is_new_moment));
        self.moments = counted.max(told.moments);
        self.cleared_by_answers = self.cleared_by_answers.max(told.cleared_by_answers);
        self.trials = match self.successes.cmp(&told.successes) {
            cmp::Ordering::Less => told.trials,
            cmp::Ordering::Equal => self.trials.max(told.trials),
            cmp::Ordering::Greater => self.trials,
        };
        self.successes = self.successes.max(told.successes);
        self.successes_since_loss = match (has_new, lacks) {
            (false, false) => self.successes_since_loss.max(told.successes_since_loss),
            (false, true) => self.successes_since_loss,
            (true, false) => told.successes_since_loss,
            (true, true) => 0,
        };
        if self.losses != former.losses || self.moments != former.moments {
            News::Loss
        } else if *self != former {
            News::Other
        } else {
            News::None
        }
    }

    fn bound_losses(&mut self) {
        while self.losses.len() > MAX_LOSSES {
            self.losses.pop_last();
        }
    }
}
