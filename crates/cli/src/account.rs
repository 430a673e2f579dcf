//! Counts the outcomes of generations from the log lines of all gateways.

use std::collections;

use crate::timeline;

/// Weight of an output token in prompt tokens, by the engine time that each of them takes.
const OUTPUT_WEIGHT: u64 = 10;
/// Event logged when an upstream is chosen; for generations the line names their tokens.
const REQUEST_PLACED: &str = "E6010";
/// Event logged when an engine starts a generation.
const GENERATION_STARTED: &str = "E6019";
/// Event logged when a request ends.
const REQUEST_ENDED: &str = "E6012";
/// Event logged when the gateway itself rejects a request.
const REQUEST_REFUSED: &str = "E6011";
/// Event logged when copying or moving a generation fails.
const MOVE_FAILED: &str = "E6015";

/// How a generation ended. The table prints the `Debug` form of these variants and fields.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The stream ended before the response was complete.
    Broken {
        /// Whether the engine had announced its shutdown.
        leaving: bool,
        /// Reason of the last failed copy or move, if any.
        refused: Option<String>,
        /// Reason that the gateway logged.
        why: String,
    },
    /// The caller disconnected.
    CallerLeft,
    /// Complete, but the first event came later than the target.
    LateFirst,
    /// Complete and on time.
    OnTime,
    /// Complete, but a pause between two events was longer than the target.
    Paused {
        /// Whether the generation moved to another engine during the pause.
        by_move: bool,
        /// Whether the generation moved to another engine at any time.
        moved: bool,
    },
    /// Rejected by the gateway itself, for this reason.
    Refused(String),
    /// Placed, but no line reports its end: the gateway was killed, or log lines were dropped.
    Untold {
        /// Whether its engine had started it.
        begun: bool,
    },
}

/// Totals of the generations with one outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Number of generations.
    pub count: u64,
    /// Sum of the declared prompt tokens and ten times the declared output tokens. Lines of
    /// generations without an end do not name their output.
    pub tokens: u64,
}

/// Returns the totals by outcome. Rejections are counted for every kind of request, since their log
/// lines don't name the kind.
#[must_use]
pub fn count_outcomes(log: &str) -> collections::BTreeMap<Outcome, Totals> {
    let lines: Vec<timeline::Line> = log.lines().filter_map(timeline::parse_line).collect();
    let mut failures = collections::HashMap::new();
    for line in lines
        .iter()
        .filter(|line| line.text.starts_with(MOVE_FAILED))
    {
        if let Some(request) = timeline::find_value(&line.text, "request") {
            failures.insert(request.to_owned(), extract_reason(&line.text));
        }
    }
    let mut rows = collections::BTreeMap::new();
    for unfinished in find_unfinished(&lines).values() {
        let outcome = Outcome::Untold {
            begun: unfinished.begun,
        };
        let row: &mut Totals = rows.entry(outcome).or_default();
        row.count += 1;
        row.tokens += unfinished.tokens;
    }
    for line in &lines {
        let Some(outcome) = parse_outcome(&line.text, &failures) else {
            continue;
        };
        let row: &mut Totals = rows.entry(outcome).or_default();
        row.count += 1;
        row.tokens += parse_number(&line.text, "prompt");
        row.tokens += OUTPUT_WEIGHT * parse_number(&line.text, "output");
    }
    rows
}

/// A generation whose end no line reports.
#[derive(Clone, Copy, Debug, Default)]
struct Unfinished {
    begun: bool,
    tokens: u64,
}

fn find_unfinished(lines: &[timeline::Line]) -> collections::HashMap<&str, Unfinished> {
    let mut unfinished: collections::HashMap<&str, Unfinished> = collections::HashMap::new();
    let mut ended = collections::HashSet::new();
    for line in lines {
        let request = timeline::find_value(&line.text, "request").unwrap_or_default();
        let tokens = timeline::find_value(&line.text, "tokens");
        if line.text.starts_with(REQUEST_PLACED) && tokens.is_some() {
            unfinished.entry(request).or_default().tokens = parse_number(&line.text, "tokens");
        } else if line.text.starts_with(GENERATION_STARTED) {
            unfinished.entry(request).or_default().begun = true;
        } else if line.text.starts_with(REQUEST_ENDED) || line.text.starts_with(REQUEST_REFUSED) {
            ended.insert(request);
        }
    }
    unfinished.retain(|request, _unfinished| !ended.contains(request));
    unfinished
}

/// Formats the totals as a table, largest number of tokens first.
#[must_use]
pub fn format_table(rows: &collections::BTreeMap<Outcome, Totals>) -> String {
    let total: u64 = rows.values().map(|row| row.tokens).sum();
    let mut sorted: Vec<(&Outcome, &Totals)> = rows.iter().collect();
    sorted.sort_by_key(|(_outcome, row)| core::cmp::Reverse((row.tokens, row.count)));
    let mut text = "  count  share of tokens  outcome\n".to_owned();
    for (outcome, row) in sorted {
        let share = percentage(row.tokens, total);
        text += &format!("{:>7} {share:>14.1} %  {outcome:?}\n", row.count);
    }
    text
}

/// Returns the outcome that a line reports; `failures` holds the reason of the last failed copy or
/// move by request.
pub(crate) fn parse_outcome(
    text: &str,
    failures: &collections::HashMap<String, String>,
) -> Option<Outcome> {
    if text.starts_with(REQUEST_REFUSED) {
        let why = timeline::find_value(text, "why")?;
        return Some(Outcome::Refused(why.to_owned()));
    }
    let end = text
        .starts_with(REQUEST_ENDED)
        .then(|| timeline::find_value(text, "end"))??;
    let is_set = |key| timeline::find_value(text, key) == Some("true");
    match end {
        "Complete" => Some(match timeline::find_value(text, "pace")? {
            "OnTime" => Outcome::OnTime,
            "Paused" => Outcome::Paused {
                by_move: is_set("pause_by_move"),
                moved: parse_number(text, "moves") > 0,
            },
            _ => Outcome::LateFirst,
        }),
        "Left" => Some(Outcome::CallerLeft),
        _ => {
            let request = timeline::find_value(text, "request")?;
            Some(Outcome::Broken {
                leaving: is_set("leaving"),
                refused: failures.get(request).cloned(),
                why: find_quoted(text).unwrap_or(end).to_owned(),
            })
        }
    }
}

/// Returns the first quoted string of a line.
fn find_quoted(text: &str) -> Option<&str> {
    let mut parts = text.split('"');
    parts.nth(1)
}

/// Returns the `why` of a failed copy or move, which is the rest of the line.
fn extract_reason(text: &str) -> String {
    let why = text.split_once("why=").map_or(text, |(_head, why)| why);
    why.to_owned()
}

fn parse_number(text: &str, key: &str) -> u64 {
    // Older gateways don't log every key.
    let value = timeline::find_value(text, key);
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

#[allow(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn percentage(part: u64, total: u64) -> f64 {
    100.0 * part as f64 / total.max(1) as f64
}
