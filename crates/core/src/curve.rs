//! Survival curves of output lengths, learned online.
//!
//! A curve is a table of hazards over logarithmic buckets of length. A stream counts as an
//! observation of a bucket as soon as it grows past it, so that longer outputs are learned before
//! they end. The hazards of a class are shrunk towards those of its model, the model's towards
//! those of all models, and these towards a prior.

use std::collections;

slotmap::new_key_type! {
    /// Key of a learned curve: one model and team, one model, or all models.
    pub struct Class;
}

/// Number of length buckets: four per doubling.
const BUCKETS: usize = 56;
/// Tokens added to a length before its logarithm is taken.
const OFFSET_TOKENS: f32 = 16.0;
/// Mantissa bits of `f32` below the two that select the bucket within a doubling.
const FRACTION_BITS: u32 = 21;
/// Exponent and upper mantissa bits of `OFFSET_TOKENS`, subtracted so that buckets start at 0.
const FIRST_BUCKET: u32 = OFFSET_TOKENS.to_bits() >> FRACTION_BITS;
/// Observations after which evidence has decayed to 1/e.
const DECAY_OBSERVATIONS: f32 = 150.0;
/// Weight of the parent's hazard in a bucket, as a number of observations.
const PARENT_WEIGHT: f32 = 6.0;
/// Median length of the prior in tokens.
const PRIOR_MEDIAN_TOKENS: f32 = 256.0;
/// Limit on classes; teams beyond it share their model's curve.
const MAX_CLASSES: usize = 4096;

/// Exponentially decayed counts of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Streams that reached the bucket.
    at_risk: f32,
    /// Streams that ended in it.
    ended: f32,
}

/// One learned curve.
#[derive(Clone, Debug)]
struct Curve {
    buckets: [Bucket; BUCKETS],
    parent: Option<Class>,
    /// Probability of reaching the lower edge of each bucket.
    survival: [f32; BUCKETS + 1],
}

/// A length as a bucket and the fraction of the bucket below it.
#[derive(Clone, Copy)]
struct Position {
    bucket: usize,
    fraction: f32,
}

/// The curves of all classes.
#[derive(Clone, Debug)]
pub struct Curves {
    curves: slotmap::SlotMap<Class, Curve>,
    models: collections::HashMap<String, Model>,
    root: Class,
}

/// A model's own curve and those of its teams.
#[derive(Clone, Debug)]
struct Model {
    class: Class,
    teams: collections::HashMap<String, Class>,
}

impl Default for Curves {
    fn default() -> Curves {
        Curves::new()
    }
}

impl Curves {
    /// Returns curves without observations, which follow the prior.
    #[must_use]
    pub fn new() -> Curves {
        let mut curves = slotmap::SlotMap::with_key();
        let root = curves.insert(Curve::new(None));
        let mut curves = Curves {
            curves,
            models: collections::HashMap::new(),
            root,
        };
        curves.refresh(root);
        curves
    }

    /// Returns the number of classes.
    #[must_use]
    pub fn count_classes(&self) -> usize {
        self.curves.len()
    }

    /// Returns the class of a model (or service) and team after recomputing its curve.
    pub fn class(&mut self, model: &str, team: &str) -> Class {
        let parent = self.model_class(model);
        self.refresh(self.root);
        self.refresh(parent);
        let class = self.team_class(model, team, parent);
        self.refresh(class);
        class
    }

    /// Records that a stream has grown from `before` to `after` tokens and continues.
    pub fn record_growth(&mut self, class: Class, before: u32, after: u32) {
        let first = locate(before).bucket;
        let last = locate(after).bucket;
        for bucket in first..last {
            self.observe(class, bucket, false);
        }
    }

    /// Records that a stream ended after `tokens` without reaching its token limit.
    pub fn record_end(&mut self, class: Class, tokens: u32) {
        self.observe(class, locate(tokens).bucket, true);
    }

    /// Returns the probability that an output is longer than `tokens`.
    #[must_use]
    pub fn survival(&self, class: Class, tokens: u32) -> f32 {
        let curve = self.curves.get(class).unwrap_or(&self.curves[self.root]);
        curve.survival_at(tokens)
    }

    /// Returns the probability that an output of `produced` tokens so far grows by `more`.
    #[must_use]
    pub fn conditional_survival(&self, class: Class, produced: u32, more: u32) -> f32 {
        self.tail(class, produced).survival(more)
    }

    /// Returns the conditional curve of an output of `produced` tokens so far.
    #[must_use]
    pub fn tail(&self, class: Class, produced: u32) -> Tail<'_> {
        let curve = self.curves.get(class).unwrap_or(&self.curves[self.root]);
        let reached = curve.survival_at(produced);
        let known = reached > f32::MIN_POSITIVE;
        Tail {
            curve,
            floor: if known { 0.0 } else { 1.0 },
            produced,
            scale: if known { 1.0 / reached } else { 0.0 },
        }
    }

    /// Returns the expected output length in tokens when outputs are cut off at `limit`.
    #[must_use]
    pub fn mean(&self, class: Class, limit: u32) -> f32 {
        let mut sum = 0.0;
        let mut left = 0;
        for bucket in 0..BUCKETS {
            let right = bucket_start(bucket + 1).min(limit);
            if right <= left {
                break;
            }
            let survival_sum = self.survival(class, left) + self.survival(class, right);
            sum += survival_sum * 0.5 * (right - left) as f32;
            left = right;
        }
        sum
    }

    fn model_class(&mut self, model: &str) -> Class {
        if let Some(known) = self.models.get(model) {
            return known.class;
        }
        if self.curves.len() >= MAX_CLASSES {
            return self.root;
        }
        let class = self.curves.insert(Curve::new(Some(self.root)));
        let teams = collections::HashMap::new();
        self.models.insert(model.to_owned(), Model { class, teams });
        class
    }

    fn team_class(&mut self, model: &str, team: &str, parent: Class) -> Class {
        let full = self.curves.len() >= MAX_CLASSES;
        let Some(known) = self.models.get_mut(model) else {
            return parent;
        };
        if let Some(class) = known.teams.get(team) {
            return *class;
        }
        if full {
            return parent;
        }
        let class = self.curves.insert(Curve::new(Some(parent)));
        known.teams.insert(team.to_owned(), class);
        class
    }

    /// Counts one stream in a bucket of the class and of all its ancestors.
    fn observe(&mut self, class: Class, bucket: usize, ended: bool) {
        let mut next = Some(class);
        while let Some(curve) = next.and_then(|key| self.curves.get_mut(key)) {
            curve.buckets[bucket].observe(ended);
            next = curve.parent;
        }
    }

    /// Recomputes a class's survival table from its counts and its parent's table.
    fn refresh(&mut self, class: Class) {
        let Some(curve) = self.curves.get(class) else {
            return;
        };
        let parent = curve.parent.and_then(|key| self.curves.get(key));
        let table = curve.compute_survival(parent);
        self.curves[class].survival = table;
    }
}

/// A curve conditioned on the tokens already produced.
#[derive(Clone, Copy, Debug)]
pub struct Tail<'a> {
    curve: &'a Curve,
    /// 1 where the curve has no probability mass left, so that the output never ends; else 0.
    floor: f32,
    produced: u32,
    /// Inverse of the probability of reaching `produced`; 0 where that is 0.
    scale: f32,
}

impl Tail<'_> {
    /// Returns the probability of `more` tokens beyond those produced.
    #[must_use]
    pub fn survival(&self, more: u32) -> f32 {
        let length = self.produced.saturating_add(more);
        (self.curve.survival_at(length) * self.scale + self.floor).min(1.0)
    }
}

impl Bucket {
    fn observe(&mut self, ended: bool) {
        const DECAY: f32 = 1.0 - 1.0 / DECAY_OBSERVATIONS;
        self.at_risk = self.at_risk * DECAY + 1.0;
        self.ended = self.ended * DECAY + if ended { 1.0 } else { 0.0 };
    }
}

impl Curve {
    fn new(parent: Option<Class>) -> Curve {
        let buckets = [Bucket::default(); BUCKETS];
        Curve {
            buckets,
            parent,
            survival: [1.0; BUCKETS + 1],
        }
    }

    fn survival_at(&self, tokens: u32) -> f32 {
        let position = locate(tokens);
        let left = self.survival[position.bucket];
        let right = self.survival[position.bucket + 1];
        left + (right - left) * position.fraction
    }

    fn compute_survival(&self, parent: Option<&Curve>) -> [f32; BUCKETS + 1] {
        let mut table = [1.0; BUCKETS + 1];
        for (bucket, counts) in self.buckets.iter().enumerate() {
            let fallback = match parent {
                Some(parent) => parent.hazard(bucket),
                None => prior_hazard(bucket),
            };
            let ended = counts.ended + PARENT_WEIGHT * fallback;
            let hazard = ended / (counts.at_risk + PARENT_WEIGHT);
            table[bucket + 1] = table[bucket] * (1.0 - hazard);
        }
        table
    }

    /// Returns the probability of ending in a bucket once it is reached.
    fn hazard(&self, bucket: usize) -> f32 {
        let reached = self.survival[bucket];
        if reached <= f32::MIN_POSITIVE {
            return prior_hazard(bucket);
        }
        1.0 - self.survival[bucket + 1] / reached
    }
}

/// Returns the hazard of a bucket under the prior, a long-tailed (Lomax) distribution.
fn prior_hazard(bucket: usize) -> f32 {
    let left = PRIOR_MEDIAN_TOKENS + bucket_start(bucket) as f32;
    let right = PRIOR_MEDIAN_TOKENS + bucket_start(bucket + 1) as f32;
    1.0 - left / right
}

/// Returns the bucket of a length and the fraction of the bucket that lies below it.
fn locate(tokens: u32) -> Position {
    const MASK: u32 = (1 << FRACTION_BITS) - 1;
    const SCALE: f32 = 1.0 / (1 << FRACTION_BITS) as f32;
    let bits = (tokens as f32 + OFFSET_TOKENS).to_bits();
    let bucket = ((bits >> FRACTION_BITS) - FIRST_BUCKET) as usize;
    if bucket >= BUCKETS {
        return Position {
            bucket: BUCKETS - 1,
            fraction: 1.0,
        };
    }
    Position {
        bucket,
        fraction: (bits & MASK) as f32 * SCALE,
    }
}

/// Returns the length in tokens at which a bucket begins.
fn bucket_start(bucket: usize) -> u32 {
    let bits = (bucket as u32 + FIRST_BUCKET) << FRACTION_BITS;
    (f32::from_bits(bits) - OFFSET_TOKENS) as u32
}
