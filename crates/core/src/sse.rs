//! Incremental scanner for server-sent events that leaves the bytes as they are.

use bytes::Bytes;
use bytes::BytesMut;

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, including the terminating blank line.
    pub bytes: Bytes,
    /// Value of its `id` field.
    pub id: Option<u64>,
}

/// What a response's content type says of its body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// It is a stream of events.
    Events,
    /// It is something else.
    Other,
    /// There is no content type.
    Undeclared,
}

/// Media type of a stream of events.
const MEDIA_TYPE: &[u8] = b"text/event-stream";

/// Reads a content type, with its parameters, if there is one.
#[must_use]
pub fn content<T: AsRef<[u8]>>(content_type: Option<T>) -> Content {
    let Some(content_type) = content_type else {
        return Content::Undeclared;
    };
    let mut parts = content_type.as_ref().split(|byte| *byte == b';');
    let media_type = parts.next().unwrap_or_default().trim_ascii();
    match media_type.eq_ignore_ascii_case(MEDIA_TYPE) {
        true => Content::Events,
        false => Content::Other,
    }
}

/// Returns whether a whole stream ends between two events.
#[must_use]
pub fn ends_between_events(stream: &[u8]) -> bool {
    let mut buffer = Buffer::default();
    buffer.push(stream);
    while buffer.take_event().is_some() {}
    buffer.is_empty()
}

/// Bytes of a stream that are not yet taken as events. Each byte is scanned once.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
    /// Value of the `id` field of the event that has begun.
    id: Option<u64>,
    /// Start of the line that is not complete yet.
    line_start: usize,
    /// Bytes that have been scanned.
    scanned: usize,
}

impl Buffer {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        *self = Buffer::default();
    }

    /// Returns whether no event has begun that is not complete.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the length of the event that is not complete, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Takes the first complete event, or returns `None` if its terminating blank line has not
    /// arrived yet.
    pub fn take_event(&mut self) -> Option<Event> {
        while let Some(length) = find_newline(&self.bytes[self.scanned..]) {
            let line_end = self.scanned + length;
            let line = self.bytes[self.line_start..line_end].trim_ascii_end();
            let id = scan_id(line);
            let is_end = line.is_empty();
            self.line_start = line_end + 1;
            self.scanned = self.line_start;
            if is_end {
                return Some(self.split_event());
            }
            self.id = id.or(self.id);
        }
        self.scanned = self.bytes.len();
        None
    }

    fn split_event(&mut self) -> Event {
        let bytes = self.bytes.split_to(self.scanned).freeze();
        self.line_start = 0;
        self.scanned = 0;
        Event {
            bytes,
            id: self.id.take(),
        }
    }
}

fn find_newline(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

/// Parses the number from an `id: N` line.
fn scan_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?.trim_ascii();
    core::str::from_utf8(value).ok()?.parse().ok()
}
