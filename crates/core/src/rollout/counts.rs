//! Counts of the answers of the versions of a service.

use std::collections;

/// Number of buckets of times.
pub const BUCKETS: usize = 34;
/// Routes that are counted apart; the answers on others are counted together.
pub const MAX_ROUTES: usize = 16;

/// Times in buckets of half an octave, from one millisecond.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Times(pub [u32; BUCKETS]);

impl Default for Times {
    fn default() -> Times {
        Times([0; BUCKETS])
    }
}

impl Times {
    /// Returns the bucket of a time in milliseconds: two for each power of two.
    #[must_use]
    pub fn bucket(millis: u64) -> usize {
        let millis = millis.max(1);
        let octave = millis.ilog2();
        // 3/2 stands for the square root of two.
        let is_upper = millis * 2 >= 3 << octave;
        let bucket = usize::try_from(octave).unwrap_or(BUCKETS) * 2 + usize::from(is_upper);
        bucket.min(BUCKETS - 1)
    }

    /// Returns the time at which a bucket ends, in milliseconds.
    #[must_use]
    pub fn end_ms(bucket: usize) -> u64 {
        let octave = 1_u64 << (bucket / 2).min(62);
        match bucket % 2 {
            0 => octave + octave.div_ceil(2),
            _ => octave * 2,
        }
    }

    /// Counts a time in milliseconds.
    pub fn record(&mut self, millis: u64) {
        let count = &mut self.0[Times::bucket(millis)];
        *count = count.saturating_add(1);
    }

    /// Returns the number of times.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().copied().map(u64::from).sum()
    }

    /// Returns the number of times from this bucket on.
    #[must_use]
    pub fn count_from(&self, bucket: usize) -> u64 {
        let from = self.0.iter().skip(bucket);
        from.copied().map(u64::from).sum()
    }

    /// Returns the bucket that holds a quantile; `None` without times.
    #[must_use]
    pub fn quantile(&self, part: f64) -> Option<usize> {
        let total = to_float(self.total());
        if total == 0.0 {
            return None;
        }
        let mut below = 0;
        self.0.iter().position(|count| {
            below += u64::from(*count);
            to_float(below) >= part * total
        })
    }
}

/// Answers of upstreams on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Answers {
    /// Requests that were answered.
    pub answered: u32,
    /// Requests that upstreams failed.
    pub failed: u32,
    /// Times to the first event of a stream.
    pub first: Times,
    /// Longest pauses of ended streams.
    pub pause: Times,
    /// Whole times of plain calls.
    pub whole: Times,
}

/// An answer, or a part of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// A plain call was answered after this time, in milliseconds; `None` if its time says nothing of
    /// the version.
    Answered(Option<u64>),
    /// A stream had its first event after this time, in milliseconds.
    Began(Option<u64>),
    /// A stream ended; its longest pause, in milliseconds.
    Ended(Option<u64>),
    /// The upstream failed the request.
    Failed,
}

impl Answers {
    /// Counts a sample.
    pub fn record(&mut self, sample: Sample) {
        let counted = match sample {
            Sample::Answered(_) | Sample::Began(_) => &mut self.answered,
            Sample::Failed => &mut self.failed,
            Sample::Ended(_) => &mut 0,
        };
        *counted = counted.saturating_add(1);
        match sample {
            Sample::Answered(Some(millis)) => self.whole.record(millis),
            Sample::Began(Some(millis)) => self.first.record(millis),
            Sample::Ended(Some(millis)) => self.pause.record(millis),
            Sample::Answered(None) | Sample::Began(None) | Sample::Ended(None) | Sample::Failed => {
            }
        }
    }

    /// Returns what was counted since `former`, or since the start if the counter was reset.
    #[must_use]
    pub fn since(&self, former: &Answers) -> Answers {
        let is_reset = self.answered < former.answered || self.failed < former.failed;
        if is_reset {
            return *self;
        }
        let times = |now: &Times, then: &Times| {
            let mut difference = Times::default();
            for (index, count) in difference.0.iter_mut().enumerate() {
                *count = now.0[index].saturating_sub(then.0[index]);
            }
            difference
        };
        Answers {
            answered: self.answered - former.answered,
            failed: self.failed - former.failed,
            first: times(&self.first, &former.first),
            pause: times(&self.pause, &former.pause),
            whole: times(&self.whole, &former.whole),
        }
    }

    /// Adds other answers.
    pub fn add(&mut self, other: &Answers) {
        self.answered = self.answered.saturating_add(other.answered);
        self.failed = self.failed.saturating_add(other.failed);
        let pairs = [
            (&mut self.first, &other.first),
            (&mut self.pause, &other.pause),
            (&mut self.whole, &other.whole),
        ];
        for (sum, added) in pairs {
            for (count, more) in sum.0.iter_mut().zip(added.0) {
                *count = count.saturating_add(more);
            }
        }
    }
}

/// Answers of both versions on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pair {
    /// Answers of the versions that served before.
    pub others: Answers,
    /// Answers of the target.
    pub target: Answers,
}

/// What one gateway has counted of a rollout.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Answers by route; the empty name stands for all routes beyond [`MAX_ROUTES`].
    pub routes: collections::BTreeMap<String, Pair>,
    /// Requests that still run on other versions than the target.
    pub running_elsewhere: u32,
}

impl Counts {
    /// Counts a sample on a route.
    pub fn record(&mut self, route: &str, of_target: bool, sample: Sample) {
        let is_known = self.routes.contains_key(route) || self.routes.len() < MAX_ROUTES;
        let route = if is_known { route } else { "" };
        let pair = match self.routes.get_mut(route) {
            Some(pair) => pair,
            None => self.routes.entry(route.to_owned()).or_default(),
        };
        match of_target {
            true => pair.target.record(sample),
            false => pair.others.record(sample),
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn to_float(count: u64) -> f64 {
    count as f64
}
