//! Rate limit of the log lines of each event.

use std::collections;

use crate::logs;

pub(crate) const LINES_DROPPED: logs::Event = logs::Event::warn(1006, "log lines dropped");

/// Maximum number of lines of one event in a second.
const LINES_PER_SECOND: u32 = 100;
/// Length of the time window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1000;

/// What to do with a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Drop it and count it as dropped.
    Drop,
    /// Write it.
    Write,
    /// Write it after a line that reports this number of dropped lines.
    WriteAfter(u32),
}

/// Counts the lines of each event.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    windows: collections::HashMap<u16, Window>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    dropped: u32,
    start_ms: u64,
    written: u32,
}

impl Limiter {
    /// Counts a line of `event` at `now_ms` and decides whether to write it.
    pub fn check(&mut self, now_ms: u64, event: u16) -> Decision {
        let window = self.windows.entry(event).or_default();
        if now_ms.saturating_sub(window.start_ms) >= WINDOW_MS {
            let dropped = window.dropped;
            *window = Window {
                dropped: 0,
                start_ms: now_ms,
                written: 1,
            };
            return match dropped {
                0 => Decision::Write,
                dropped => Decision::WriteAfter(dropped),
            };
        }
        if window.written >= LINES_PER_SECOND {
            window.dropped += 1;
            return Decision::Drop;
        }
        window.written += 1;
        Decision::Write
    }
}
