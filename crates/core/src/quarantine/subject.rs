//! What requests have in common by which they may crash upstreams.

use core::fmt;

use crate::prompt;
use crate::request;

/// What evidence is kept of.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// A part of prompts, which many requests may have.
    Part(prompt::Part),
    /// A whole request, which its repeats are as well.
    Request(request::Digest),
}

impl Subject {
    /// Returns whether an operator means this subject by a name.
    #[must_use]
    pub fn has_name(&self, name: Name) -> bool {
        match (self, name) {
            (Subject::Part(part), Name::Part(id)) => part.id == id,
            (Subject::Request(digest), Name::Request(named)) => *digest == named,
            (Subject::Part(_), Name::Request(_)) | (Subject::Request(_), Name::Part(_)) => false,
        }
    }

    /// Returns whether this is a whole request.
    #[must_use]
    pub fn is_request(&self) -> bool {
        matches!(self, Subject::Request(_))
    }

    /// Returns a number that is evenly distributed over subjects.
    #[must_use]
    pub fn index(&self) -> usize {
        let number = match self {
            Subject::Part(part) => u128::from(part.id),
            Subject::Request(digest) => digest.0,
        };
        usize::try_from(number % (1 << 31)).unwrap_or_default()
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Part(part) => write!(formatter, "part:{part}"),
            Subject::Request(digest) => write!(formatter, "request:{digest}"),
        }
    }
}

/// How an operator names subjects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Name {
    /// Parts with this ID, for all models.
    Part(u64),
    /// A whole request.
    Request(request::Digest),
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Name::Part(id) => write!(formatter, "part:{id:08x}"),
            Name::Request(digest) => write!(formatter, "request:{digest}"),
        }
    }
}

/// Displays subjects with commas between them.
#[derive(Clone, Copy, Debug)]
pub struct List<'a>(pub &'a [Subject]);

impl fmt::Display for List<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, subject) in self.0.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(formatter, "{separator}{subject}")?;
        }
        Ok(())
    }
}
