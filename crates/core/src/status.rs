//! Statuses of HTTP responses.

/// Statuses that a final response may have. Those from 100 to 199 announce another response, or a
/// change of protocol that nobody asked for; all others are not defined.
const FINAL: core::ops::RangeInclusive<u16> = 200..=599;

/// Returns whether a response with this status may be the answer to a request.
#[must_use]
pub fn is_final(status: u16) -> bool {
    FINAL.contains(&status)
}
