//! Timeline of one request, merged from the log lines of all processes.

use std::collections;

use serde::Deserialize;

/// The JSON record of a log line.
#[derive(Debug, Deserialize)]
struct Record {
    logger: String,
    payload: String,
    /// Unix milliseconds.
    timestamp: u64,
}

/// A parsed log line.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Line {
    /// Time of writing in Unix milliseconds.
    pub at_ms: u64,
    /// Text before the JSON record, which ends with the host's name.
    pub prefix: String,
    /// Name of the program that wrote the line.
    pub program: String,
    /// Event code, message and `key=value` details.
    pub text: String,
}

impl Line {
    /// Returns the host's name: the last word before the JSON record.
    fn host(&self) -> &str {
        let words = self.prefix.split_whitespace();
        words.last().unwrap_or_default()
    }
}

/// Parses a log line; returns `None` for lines without a JSON record.
pub(crate) fn parse_line(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let record: Record = serde_json::from_str(line[start..].trim()).ok()?;
    Some(Line {
        at_ms: record.timestamp,
        prefix: line[..start].trim().to_owned(),
        program: record.logger,
        text: record.payload,
    })
}

/// Returns the value of the first `key=value` word with this key.
pub(crate) fn find_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut words = text.split_whitespace();
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Returns the lines that concern a request, in order of time: those that name it and, from the same
/// hosts during the request, changes of its upstreams and of the domains out of service.
#[must_use]
pub fn collect(log: &str, request: &str) -> Vec<Line> {
    let lines: Vec<Line> = log.lines().filter_map(parse_line).collect();
    let is_own = |line: &&Line| find_value(&line.text, "request") == Some(request);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let first = own.iter().map(|line| line.at_ms).min();
    let last = own.iter().map(|line| line.at_ms).max();
    let (Some(first), Some(last)) = (first, last) else {
        return Vec::new();
    };
    let mut upstreams = collections::BTreeSet::new();
    for line in &own {
        for key in ["copy", "from", "to", "upstream"] {
            upstreams.extend(find_value(&line.text, key));
        }
    }
    let hosts: collections::BTreeSet<&str> = own.iter().map(|line| line.host()).collect();
    let is_related = |line: &&Line| {
        let upstream = find_value(&line.text, "upstream");
        let is_outage = find_value(&line.text, "domains").is_some();
        (first..=last).contains(&line.at_ms)
            && hosts.contains(line.host())
            && find_value(&line.text, "request").is_none()
            && (is_outage || upstream.is_some_and(|upstream| upstreams.contains(upstream)))
    };
    let related = lines.iter().filter(is_related);
    let merged: collections::BTreeSet<Line> = own.into_iter().chain(related).cloned().collect();
    merged.into_iter().collect()
}

/// Formats a timeline as text, with times relative to its first line.
#[must_use]
pub fn format_timeline(lines: &[Line]) -> String {
    let start = lines.first().map_or(0, |line| line.at_ms);
    let texts = lines.iter().map(|line| {
        let after = line.at_ms - start;
        format!(
            "{after:>7} ms  {} {}  {}\n",
            line.prefix, line.program, line.text
        )
    });
    texts.collect()
}
