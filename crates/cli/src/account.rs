//! What became of generations and why, counted from the log lines of all gateways.

use std::collections;

use crate::story;

/// Output tokens cost an engine as much time as so many prompt tokens.
const OUTPUT_WEIGHT: u64 = 10;
/// Event of a generation that an engine has begun.
const BEGUN: &str = "E6019";
/// Event of a request's end.
const ENDED: &str = "E6012";
/// Event of an answer of the gateway's own.
const REFUSED: &str = "E6011";
/// Event of a copy or move that failed.
const MOVE_FAILED: &str = "E6015";

/// What became of a generation.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fate {
    /// The stream ended before the answer, for this reason.
    Broken {
        /// Whether its engine had said that it leaves.
        leaving: bool,
        /// The engine's last word to a copy or move, when one failed.
        refused: Option<String>,
        /// What the gateway said.
        why: String,
    },
    /// The caller left.
    CallerLeft,
    /// Complete, but its first event came too late.
    LateFirst,
    /// Complete and on time.
    OnTime,
    /// Complete, with a pause that was too long.
    Paused {
        /// The engine changed within the pause.
        by_move: bool,
        /// Times that it went on at another engine.
        moved: bool,
    },
    /// Answered by the gateway itself, for this reason.
    Refused(String),
    /// Begun, and no line tells of its end: its gateway was killed, or the lines were dropped.
    Untold,
}

/// Generations with one fate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Row {
    /// How many.
    pub count: u64,
    /// Their declared prompts and ten times their declared answers, in tokens.
    pub tokens: u64,
}

/// Returns the generations by fate. A refusal counts whatever kind of request it answered.
#[must_use]
pub fn count(log: &str) -> collections::BTreeMap<Fate, Row> {
    let lines: Vec<story::Line> = log.lines().filter_map(story::scan_line).collect();
    let mut failures = collections::HashMap::new();
    for line in lines
        .iter()
        .filter(|line| line.text.starts_with(MOVE_FAILED))
    {
        if let Some(request) = story::find_value(&line.text, "request") {
            failures.insert(request.to_owned(), shorten(&line.text));
        }
    }
    let mut rows = collections::BTreeMap::new();
    let mut untold = collections::HashSet::new();
    for line in &lines {
        let request = story::find_value(&line.text, "request").unwrap_or_default();
        if line.text.starts_with(BEGUN) {
            untold.insert(request);
        } else if line.text.starts_with(ENDED) || line.text.starts_with(REFUSED) {
            untold.remove(request);
        }
    }
    if !untold.is_empty() {
        let count = u64::try_from(untold.len()).unwrap_or(u64::MAX);
        rows.insert(Fate::Untold, Row { count, tokens: 0 });
    }
    for line in &lines {
        let Some(fate) = read_fate(&line.text, &failures) else {
            continue;
        };
        let row: &mut Row = rows.entry(fate).or_default();
        row.count += 1;
        row.tokens += read_number(&line.text, "prompt");
        row.tokens += OUTPUT_WEIGHT * read_number(&line.text, "output");
    }
    rows
}

/// Returns the table as text, the most tokens first.
#[must_use]
pub fn format_table(rows: &collections::BTreeMap<Fate, Row>) -> String {
    let all: u64 = rows.values().map(|row| row.tokens).sum();
    let mut sorted: Vec<(&Fate, &Row)> = rows.iter().collect();
    sorted.sort_by_key(|(_fate, row)| core::cmp::Reverse((row.tokens, row.count)));
    let mut text = "  count  share of tokens  what became of them\n".to_owned();
    for (fate, row) in sorted {
        let share = share_of(row.tokens, all);
        text += &format!("{:>7} {share:>14.1} %  {fate:?}\n", row.count);
    }
    text
}

fn read_fate(text: &str, failures: &collections::HashMap<String, String>) -> Option<Fate> {
    if text.starts_with(REFUSED) {
        let why = story::find_value(text, "why")?;
        return Some(Fate::Refused(why.to_owned()));
    }
    let end = text
        .starts_with(ENDED)
        .then(|| story::find_value(text, "end"))??;
    let is_true = |key| story::find_value(text, key) == Some("true");
    match end {
        "Complete" => Some(match story::find_value(text, "pace")? {
            "OnTime" => Fate::OnTime,
            "Paused" => Fate::Paused {
                by_move: is_true("pause_by_move"),
                moved: read_number(text, "moves") > 0,
            },
            _ => Fate::LateFirst,
        }),
        "Left" => Some(Fate::CallerLeft),
        _ => {
            let request = story::find_value(text, "request")?;
            Some(Fate::Broken {
                leaving: is_true("leaving"),
                refused: failures.get(request).cloned(),
                why: read_quoted(text).unwrap_or(end).to_owned(),
            })
        }
    }
}

/// Returns the first text in quotes.
fn read_quoted(text: &str) -> Option<&str> {
    let mut parts = text.split('"');
    parts.nth(1)
}

/// Returns what an engine said to a copy or a move, without the request it concerned.
fn shorten(text: &str) -> String {
    let why = text.split_once("why=").map_or(text, |(_head, why)| why);
    why.to_owned()
}

fn read_number(text: &str, key: &str) -> u64 {
    // Lines of older gateways lack some keys.
    let value = story::find_value(text, key);
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn share_of(part: u64, all: u64) -> f64 {
    100.0 * part as f64 / all.max(1) as f64
}
