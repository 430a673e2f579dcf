//! Scans a stream of server-sent events without changing its bytes.

/// A whole event at the start of the scanned bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes of the event, the blank line behind it included.
    pub bytes: usize,
    /// Value of its `id` field.
    pub id: Option<u64>,
}

/// Returns the first whole event, or nothing while its blank line has not come.
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

/// Returns the number in a line `id: N`.
fn scan_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?.trim_ascii();
    core::str::from_utf8(value).ok()?.parse().ok()
}
