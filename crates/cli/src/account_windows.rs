//! Counts the outcomes of generations by the time at which they were asked for.

use std::collections;
use std::time;

use crate::account;
use crate::timeline;

/// Event logged when an upstream is chosen.
const REQUEST_PLACED: &str = "E6010";
/// Refusals of requests that no route or team allows; they say nothing of the load.
const IMPROPER: [&str; 2] = ["KeyUnknown", "RouteUnknown"];

/// Outcomes of the generations that were asked for in one window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Window {
    /// Incomplete responses.
    pub broken: u64,
    /// Late first events, and pauses longer than the target.
    pub late: u64,
    /// Generations whose caller left.
    pub left: u64,
    /// Generations without an end: their gateway was killed, or log lines were dropped.
    pub lost: u64,
    /// Complete and on time.
    pub on_time: u64,
    /// Requests of any kind that a gateway refused.
    pub refused: u64,
}

/// Returns the windows by start, in milliseconds after the first request.
///
/// A generation counts in the window in which it was first placed, a refused request in the one of
/// its refusal.
#[must_use]
pub fn count_windows(log: &str, length: time::Duration) -> collections::BTreeMap<u64, Window> {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    let lines: Vec<timeline::Line> = log.lines().filter_map(timeline::parse_line).collect();
    let placed = find_placed(&lines);
    let start_ms = lines
        .iter()
        .filter(|line| timeline::find_value(&line.text, "request").is_some())
        .map(|line| line.at_ms)
        .min()
        .unwrap_or_default();
    let find_window = |at_ms: u64| (at_ms - start_ms) / length_ms * length_ms;
    let mut windows: collections::BTreeMap<u64, Window> = collections::BTreeMap::new();
    let mut unfinished = placed.clone();
    for line in &lines {
        let request = timeline::find_value(&line.text, "request").unwrap_or_default();
        let Some(outcome) = account::parse_outcome(&line.text, &collections::HashMap::new()) else {
            continue;
        };
        unfinished.remove(request);
        let at_ms = placed.get(request).copied().unwrap_or(line.at_ms);
        windows.entry(find_window(at_ms)).or_default().add(&outcome);
    }
    for at_ms in unfinished.values() {
        windows.entry(find_window(*at_ms)).or_default().lost += 1;
    }
    windows
}

/// Returns when each generation was first placed. Lines of plain calls name no tokens.
fn find_placed(lines: &[timeline::Line]) -> collections::HashMap<&str, u64> {
    let mut placed = collections::HashMap::new();
    let choices = lines
        .iter()
        .filter(|line| line.text.starts_with(REQUEST_PLACED));
    for line in choices.filter(|line| timeline::find_value(&line.text, "tokens").is_some()) {
        let request = timeline::find_value(&line.text, "request").unwrap_or_default();
        let at_ms = placed.entry(request).or_insert(line.at_ms);
        *at_ms = line.at_ms.min(*at_ms);
    }
    placed
}

impl Window {
    fn add(&mut self, outcome: &account::Outcome) {
        match outcome {
            account::Outcome::Broken { .. } => self.broken += 1,
            account::Outcome::CallerLeft => self.left += 1,
            account::Outcome::LateFirst | account::Outcome::Paused { .. } => self.late += 1,
            account::Outcome::OnTime => self.on_time += 1,
            account::Outcome::Refused(why) if IMPROPER.contains(&why.as_str()) => {}
            account::Outcome::Refused(_) => self.refused += 1,
            account::Outcome::Untold { .. } => self.lost += 1,
        }
    }
}

/// Formats the windows as a table, with their starts in seconds.
#[must_use]
pub fn format_table(windows: &collections::BTreeMap<u64, Window>) -> String {
    let mut text = "   from  on time     late   broken     lost  refused     left\n".to_owned();
    for (start_ms, window) in windows {
        text += &format!(
            "{:>7.1} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
            time::Duration::from_millis(*start_ms).as_secs_f64(),
            window.on_time,
            window.late,
            window.broken,
            window.lost,
            window.refused,
            window.left,
        );
    }
    text
}
