//! Reads and validates settings and manifests in INI format.
//!
//! A [`Reader`] collects every finding with its location, so that all are reported together.

use core::fmt;
use std::collections;
use std::ops;
use std::path;
use std::str;

/// One problem in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Name of the file.
    pub file: String,
    /// Key; empty if the finding concerns the section itself.
    pub key: String,
    /// What is wrong and what is expected instead.
    pub problem: String,
    /// Section; empty if the finding concerns the file itself.
    pub section: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.file)?;
        if !self.section.is_empty() {
            write!(formatter, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}", self.problem)
    }
}

/// All problems in a file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Reads typed values from an INI text and collects findings.
#[derive(Debug)]
pub struct Reader {
    file: String,
    findings: Vec<Finding>,
    ini: ini::Ini,
    known: collections::HashSet<Location>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Location {
    key: String,
    section: String,
}

impl Reader {
    /// Reads a file; a file that cannot be read or parsed is a finding.
    pub fn open(path: &path::Path) -> Reader {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Reader::parse(&file, &text),
            Err(error) => {
                let mut reader = Reader::parse(&file, "");
                reader.report("", "", format!("cannot be read: {error}"));
                reader
            }
        }
    }

    /// Reads a text; `file` is its name in findings.
    pub fn parse(file: &str, text: &str) -> Reader {
        let parsed = ini::Ini::load_from_str_noescape(text);
        let mut reader = Reader {
            file: file.to_owned(),
            findings: Vec::new(),
            ini: ini::Ini::new(),
            known: collections::HashSet::new(),
        };
        match parsed {
            Ok(ini) => reader.ini = ini,
            Err(error) => reader.report("", "", format!("is not INI: {error}")),
        }
        reader.report_duplicates();
        reader
    }

    /// Adds a finding.
    pub fn report(&mut self, section: &str, key: &str, problem: String) {
        self.findings.push(Finding {
            file: self.file.clone(),
            key: key.to_owned(),
            problem,
            section: section.to_owned(),
        });
    }

    /// Returns the names of the sections `[{kind} {name}]`, in the file's order.
    pub fn list_names(&self, kind: &str) -> Vec<String> {
        let sections = self.ini.sections().flatten();
        sections
            .filter_map(|section| section.strip_prefix(kind)?.strip_prefix(' '))
            .map(|name| name.trim().to_owned())
            .collect()
    }

    /// Returns the value. A missing or malformed one is a finding, in which `expected` describes
    /// the valid values.
    pub fn required<T: str::FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
    ) -> Option<T> {
        match self.look_up(section, key) {
            Some(text) => self.convert(section, key, &text, expected),
            None => {
                self.report(section, key, format!("is missing; give {expected}"));
                None
            }
        }
    }

    /// Returns the value, or `default` if it is missing. A malformed one is a finding, in which
    /// `expected` describes the valid values.
    pub fn optional<T: str::FromStr>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        expected: &str,
    ) -> T {
        match self.look_up(section, key) {
            Some(text) => self
                .convert(section, key, &text, expected)
                .unwrap_or(default),
            None => default,
        }
    }

    /// Returns the number, or `default` if it is missing. A number outside of `range` is a finding.
    pub fn ranged<T>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        range: ops::RangeInclusive<T>,
    ) -> T
    where
        T: Copy + fmt::Display + PartialOrd + str::FromStr,
    {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let value = self.optional(section, key, default, &expected);
        if !range.contains(&value) {
            self.report(section, key, format!("{value} is not {expected}"));
        }
        value
    }

    /// Returns the values of a comma-separated list; a missing list is empty.
    ///
    /// Each malformed value is a finding, in which `expected` describes the valid ones.
    pub fn list<T: str::FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        let text = self.look_up(section, key).unwrap_or_default();
        let items: Vec<String> = text
            .split(',')
            .map(|item| item.trim().to_owned())
            .filter(|item| !item.is_empty())
            .collect();
        items
            .iter()
            .filter_map(|item| self.convert(section, key, item, expected))
            .collect()
    }

    /// Returns the value, or every finding, including unknown keys.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, Findings> {
        self.report_unknown();
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            Some(_) | None => Err(Findings(self.findings)),
        }
    }

    fn look_up(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.insert(Location {
            key: key.to_owned(),
            section: section.to_owned(),
        });
        let text = self.ini.get_from(Some(section), key)?;
        Some(text.trim().to_owned())
    }

    fn convert<T: str::FromStr>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        expected: &str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.report(section, key, format!("{text:?} is not {expected}"));
        }
        value
    }

    fn report_duplicates(&mut self) {
        let mut seen = collections::HashSet::new();
        let mut duplicates = Vec::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default().to_owned();
            for (key, _) in properties {
                let location = Location {
                    key: key.to_owned(),
                    section: section.clone(),
                };
                if !seen.insert(location.clone()) {
                    duplicates.push(location);
                }
            }
        }
        for location in duplicates {
            self.report(
                &location.section,
                &location.key,
                "stands twice; keep one".to_owned(),
            );
        }
    }

    fn report_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default().to_owned();
            for (key, _) in properties {
                let location = Location {
                    key: key.to_owned(),
                    section: section.clone(),
                };
                if !self.known.contains(&location) {
                    unknown.push(location);
                }
            }
        }
        for location in unknown {
            self.report(
                &location.section,
                &location.key,
                "is unknown; remove it".to_owned(),
            );
        }
    }
}
