//! What differs between two texts: ranges copied from the base, and inserted bytes.
//!
//! The text is reproduced byte for byte, whatever its format is. Both texts are cut after bytes that
//! end an element in usual formats, so that an element that moved is found again.

use core::fmt;
use std::collections;

use bytes::Bytes;
use xxhash_rust::xxh3;

/// Shortest element that is looked up in the base: a copied range of fewer bytes takes as many itself.
const MIN_ELEMENT_BYTES: usize = 32;

/// The next bytes of a text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Bytes of the base.
    Copy(Range),
    /// Bytes that the base does not have at this place.
    Insert(Bytes),
}

/// A range of the base.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Range {
    /// Number of bytes.
    pub length: usize,
    /// Where it begins.
    pub offset: usize,
}

/// A difference does not apply to a base.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// A copied range is not in the base.
    OutOfBase,
    /// The text is longer than allowed.
    TooLong,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::OutOfBase => "a copied range is not in the base",
            Error::TooLong => "the text is longer than allowed",
        })
    }
}

impl std::error::Error for Error {}

/// Returns the digest of a text. It finds damage and mix-ups, not attacks.
#[must_use]
pub fn digest(text: &[u8]) -> u64 {
    xxh3::xxh3_64(text)
}

/// Returns the steps that make `text` out of `base`.
#[must_use]
pub fn diff(base: &[u8], text: &Bytes) -> Vec<Step> {
    let elements = index_elements(base);
    let mut steps = Vec::new();
    let mut end = 0;
    for element in split_elements(text) {
        let range = Range {
            length: element.len(),
            offset: end,
        };
        end += element.len();
        // An element that follows the last copied one in the base prolongs its range; the index
        // has only the first of several equal ones.
        let following = find_end(&steps).filter(|offset| base[*offset..].starts_with(element));
        match following.or_else(|| elements.get(element).copied()) {
            Some(offset) => push_copy(&mut steps, Range { offset, ..range }),
            None => push_insert(&mut steps, text, range),
        }
    }
    steps
}

/// Returns the text that the steps make out of `base`, of at most `max_bytes`.
///
/// # Errors
///
/// Fails if a step copies from outside the base, or the text is too long.
pub fn apply(base: &[u8], steps: &[Step], max_bytes: usize) -> Result<Bytes, Error> {
    let mut text = Vec::new();
    for step in steps {
        let bytes = match step {
            Step::Copy(range) => slice(base, *range)?,
            Step::Insert(inserted) => inserted,
        };
        if bytes.len() > max_bytes - text.len() {
            return Err(Error::TooLong);
        }
        text.extend_from_slice(bytes);
    }
    Ok(Bytes::from(text))
}

fn slice(base: &[u8], range: Range) -> Result<&[u8], Error> {
    let end = range.offset.checked_add(range.length);
    let end = end.ok_or(Error::OutOfBase)?;
    base.get(range.offset..end).ok_or(Error::OutOfBase)
}

fn split_elements(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| matches!(byte, b'\n' | b'}'))
}

fn index_elements(base: &[u8]) -> collections::HashMap<&[u8], usize> {
    let mut elements = collections::HashMap::new();
    let mut offset = 0;
    for element in split_elements(base) {
        if element.len() >= MIN_ELEMENT_BYTES {
            elements.entry(element).or_insert(offset);
        }
        offset += element.len();
    }
    elements
}

/// Returns where the range of the last step ends in the base, if that step copies.
fn find_end(steps: &[Step]) -> Option<usize> {
    match steps.last() {
        Some(Step::Copy(range)) => Some(range.offset + range.length),
        Some(Step::Insert(_)) | None => None,
    }
}

fn push_copy(steps: &mut Vec<Step>, range: Range) {
    if find_end(steps) == Some(range.offset) {
        if let Some(Step::Copy(last)) = steps.last_mut() {
            last.length += range.length;
            return;
        }
    }
    steps.push(Step::Copy(range));
}

/// Adds a range of `text`, joined with the one that was inserted before it.
fn push_insert(steps: &mut Vec<Step>, text: &Bytes, range: Range) {
    let end = range.offset + range.length;
    let joined = match steps.last() {
        Some(Step::Insert(last)) => last.len(),
        Some(Step::Copy(_)) | None => 0,
    };
    if joined > 0 {
        steps.pop();
    }
    steps.push(Step::Insert(text.slice(range.offset - joined..end)));
}
