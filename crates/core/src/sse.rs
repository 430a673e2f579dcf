//! Incremental scanner for server-sent events that leaves the bytes as they are.

/// A complete event at the start of the input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Length in bytes, including the terminating blank line.
    pub bytes: usize,
    /// Value of its `id` field.
    pub id: Option<u64>,
}

/// Returns the first complete event, or `None` if the input does not contain its terminating
/// blank line yet.
#[must_use]
pub fn scan_event(bytes: &[u8]) -> Option<Event> {
    let mut id = None;
    let mut start = 0;
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let line = bytes[start..start + length].trim_ascii_end();
        start += length + 1;
        if line.is_empty() {
            return Some(Event { bytes: start, id });
        }
        if let Some(value) = scan_id(line) {
            id = Some(value);
        }
    }
    None
}

/// Parses the number from an `id: N` line.
fn scan_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?.trim_ascii();
    core::str::from_utf8(value).ok()?.parse().ok()
}
