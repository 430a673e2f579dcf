//! Rate limit of the log lines of each event.

use std::collections;

use crate::logs;

pub(crate) const LINES_DROPPED: logs::Event = logs::Event::warn(1006, "log lines dropped");

/// Maximum number of lines of one event in a second.
const LINES_PER_SECOND: u32 = 100;
/// Length of the time window in which lines are counted, in milliseconds.
const SPAN_MS: u64 = 1000;

/// What to do with a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Drop it and count it as dropped.
    Drop,
    /// Write it.
    Write,
    /// Write it after a line that reports this number of dropped lines.
    WriteAfter(u32),
}

/// Counts the lines of each event.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    spans: collections::HashMap<u16, Span>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    dropped: u32,
    start_ms: u64,
    written: u32,
}

impl Budget {
    /// Counts a line of `event` at `now_ms` and decides whether to write it.
    pub fn take(&mut self, now_ms: u64, event: u16) -> Verdict {
        let span = self.spans.entry(event).or_default();
        if now_ms.saturating_sub(span.start_ms) >= SPAN_MS {
            let dropped = span.dropped;
            *span = Span {
                dropped: 0,
                start_ms: now_ms,
                written: 1,
            };
            return match dropped {
                0 => Verdict::Write,
                dropped => Verdict::WriteAfter(dropped),
            };
        }
        if span.written >= LINES_PER_SECOND {
            span.dropped += 1;
            return Verdict::Drop;
        }
        span.written += 1;
        Verdict::Write
    }
}
