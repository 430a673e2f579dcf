//! Evidence on one part of prompts.

use std::collections;

use xxhash_rust::xxh3;

use crate::prompt;

/// Logarithm of how much likelier an engine ends as a generation begins if the part crashes every
/// second engine (0.5) than if it is sound (0.05).
const LOSS_WEIGHT: f64 = 2.303;
/// Logarithm of how much likelier a generation is written if the part is sound (0.95) than if it
/// crashes every second engine (0.5).
const WRITE_WEIGHT: f64 = 0.642;
/// Weight from which a part is put in quarantine: that of three losses, with one generation written.
const QUARANTINE_WEIGHT: f64 = 6.0;
/// Generations written in a row that clear a part.
const CLEAR_WRITES: u32 = 4;
/// Losses that are told apart; later ones only count.
const MAX_LOSSES: usize = 32;

/// Identity of the end of one process of an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Loss(pub u64);

impl Loss {
    /// Returns the end of the process of an engine that started at `born_ms`, in Unix milliseconds.
    #[must_use]
    pub fn new(upstream: &str, born_ms: u64) -> Loss {
        Loss(xxh3::xxh3_64_with_seed(upstream.as_bytes(), born_ms))
    }
}

/// A generation whose prompt has a suspected part and that was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write {
    /// Epoch of the evidence that it counts for.
    pub epoch: u64,
    /// The suspected part.
    pub part: prompt::Part,
}

/// What is known of one part. It holds no losses once the part is cleared.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evidence {
    /// Number of times that the part was cleared.
    pub epoch: u64,
    /// Engines that ended as generations with the part began.
    pub losses: collections::BTreeSet<Loss>,
    /// Moments at which engines ended: those that end together may have a cause in common.
    pub moments: u32,
    /// The part.
    pub part: prompt::Part,
    /// Generations with the part that were written since the first loss.
    pub writes: u32,
    /// Generations with the part that were written since the last loss.
    pub writes_since_loss: u32,
}

/// What a change of the evidence was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum News {
    /// Nothing changed.
    None,
    /// An engine was lost.
    Loss,
    /// Other figures changed.
    Other,
}

impl Evidence {
    /// Returns the evidence on a part of which nothing is known.
    #[must_use]
    pub fn new(part: prompt::Part) -> Evidence {
        Evidence {
            epoch: 0,
            losses: collections::BTreeSet::new(),
            moments: 0,
            part,
            writes: 0,
            writes_since_loss: 0,
        }
    }

    /// Returns whether nothing speaks against the part.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.moments == 0
    }

    /// Returns whether the evidence, with `moments` in place of all of its moments, is enough for a
    /// quarantine.
    pub(super) fn is_enough(&self, moments: u32) -> bool {
        self.weight(moments) >= QUARANTINE_WEIGHT
    }

    pub(super) fn weight(&self, moments: u32) -> f64 {
        f64::from(moments) * LOSS_WEIGHT - f64::from(self.writes) * WRITE_WEIGHT
    }

    /// Records the end of an engine, in a moment of its own or in that of the loss before.
    pub(super) fn record_loss(&mut self, loss: Loss, is_new_moment: bool) -> News {
        if self.losses.contains(&loss) {
            return News::None;
        }
        if self.losses.len() < MAX_LOSSES {
            self.losses.insert(loss);
        }
        let is_new_moment = is_new_moment || self.moments == 0;
        self.moments = self.moments.saturating_add(u32::from(is_new_moment));
        self.writes_since_loss = 0;
        News::Loss
    }

    /// Records a generation that was written; enough of them in a row clear the part.
    pub(super) fn record_write(&mut self) {
        self.writes = self.writes.saturating_add(1);
        self.writes_since_loss = self.writes_since_loss.saturating_add(1);
        if self.writes_since_loss >= CLEAR_WRITES {
            self.clear();
        }
    }

    /// Makes nothing speak against the part any longer.
    pub(super) fn clear(&mut self) {
        let epoch = self.epoch.saturating_add(1);
        *self = Evidence {
            epoch,
            ..Evidence::new(self.part)
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
        self.writes = self.writes.max(told.writes);
        self.writes_since_loss = match (has_new, lacks) {
            (false, false) => self.writes_since_loss.max(told.writes_since_loss),
            (false, true) => self.writes_since_loss,
            (true, false) => told.writes_since_loss,
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
