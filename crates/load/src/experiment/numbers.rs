//! Conversions of numbers in experiments.

/// Returns a count as a number.
#[allow(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
pub(crate) fn number(count: usize) -> f64 {
    count as f64
}

/// Returns a number rounded down, 0 if it is negative.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
pub(crate) fn whole(number: f64) -> usize {
    number as usize
}
