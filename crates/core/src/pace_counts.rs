//! Counts of how long answers took, relative to a reference time.
//!
//! Counts are whole numbers in classes of equal width on a logarithmic scale, so that the sums of
//! many gateways add up exactly, in any order. Their median hardly moves with a few answers that
//! were slow for a passing reason, or that were broken.

/// Number of classes.
pub const CLASSES: usize = 40;
/// Classes for a factor of two.
const CLASSES_PER_OCTAVE: f64 = 4.0;
/// Ratio at which the lowest class begins.
const LOWEST: f64 = 1.0 / 16.0;

/// Counts of ratios between observed times and their reference.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Counts([u32; CLASSES]);

impl Default for Counts {
    fn default() -> Counts {
        Counts([0; CLASSES])
    }
}

impl Counts {
    /// Counts a ratio. One beyond the outermost classes counts there.
    pub fn record(&mut self, ratio: f64) {
        self.add(class_of(ratio), 1);
    }

    /// Adds `count` to a class; ignores classes that do not exist.
    pub fn add(&mut self, class: usize, count: u32) {
        if let Some(counted) = self.0.get_mut(class) {
            *counted = counted.saturating_add(count);
        }
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn plus(mut self, other: &Counts) -> Counts {
        for (class, count) in other.iter() {
            self.add(class, count);
        }
        self
    }

    /// Returns the classes that have counts.
    pub fn iter(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        let classes = self.0.iter().copied().enumerate();
        classes.filter(|(_class, count)| *count > 0)
    }

    /// Returns the number of all ratios.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0.iter().copied().fold(0, u32::saturating_add)
    }

    /// Returns the ratio below which half of all lie; `None` without counts.
    #[must_use]
    pub fn median(&self) -> Option<f64> {
        self.quantile(0.5)
    }

    /// Returns the ratio below which this part of all lie; `None` without counts.
    #[must_use]
    pub fn quantile(&self, part: f64) -> Option<f64> {
        let wanted = f64::from(self.total()) * part;
        let mut below = 0.0;
        for (class, count) in self.iter() {
            let count = f64::from(count);
            if below + count >= wanted {
                return Some(ratio_at(class, (wanted - below) / count));
            }
            below += count;
        }
        None
    }
}

/// Returns the class of a ratio.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn class_of(ratio: f64) -> usize {
    let class = (ratio / LOWEST).log2() * CLASSES_PER_OCTAVE;
    (class as usize).min(CLASSES - 1)
}

/// Returns the ratio at `part` of the way through a class.
#[allow(
    clippy::cast_precision_loss,
    reason = "the number of classes is far below 2^52"
)]
fn ratio_at(class: usize, part: f64) -> f64 {
    LOWEST * ((class as f64 + part) / CLASSES_PER_OCTAVE).exp2()
}
