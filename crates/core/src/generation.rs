//! Ids of generations.

use core::fmt;
use std::str;

/// Separates the parts of an [`Id`].
const SEPARATOR: char = '~';

/// Identifies a generation and the agent that holds it.
///
/// The text form is `{upstream}~{incarnation}~{number}`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Id {
    /// Incarnation of the agent; new at each of its starts.
    pub incarnation: String,
    /// Sequence number of the generation at the agent, from 1.
    pub number: u64,
    /// Name of the upstream.
    pub upstream: String,
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}{SEPARATOR}{}{SEPARATOR}{}",
            self.upstream, self.incarnation, self.number
        )
    }
}

/// The text is not a valid generation id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("invalid generation id")
    }
}

impl core::error::Error for Malformed {}

impl str::FromStr for Id {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Id, Malformed> {
        let (rest, number) = text.rsplit_once(SEPARATOR).ok_or(Malformed)?;
        let (upstream, incarnation) = rest.rsplit_once(SEPARATOR).ok_or(Malformed)?;
        if upstream.is_empty() || incarnation.is_empty() {
            return Err(Malformed);
        }
        Ok(Id {
            incarnation: incarnation.to_owned(),
            number: parse_number(number).ok_or(Malformed)?,
            upstream: upstream.to_owned(),
        })
    }
}

/// Parses a decimal number without sign or leading zeros, so that each id has only one text form.
fn parse_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
