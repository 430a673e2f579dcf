//! Compares two manifests section by section.

use core::fmt;
use std::collections;

/// One difference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Difference {
    /// The section is new.
    Added(String),
    /// A key's value differs.
    Changed(ChangedValue),
    /// The section was removed.
    Removed(String),
}

/// A key whose value differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangedValue {
    /// The key.
    pub key: String,
    /// The new value, if it is set.
    pub new: Option<String>,
    /// The old value, if it was set.
    pub old: Option<String>,
    /// The section.
    pub section: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Added(section) => write!(formatter, "+ [{section}]"),
            Difference::Changed(value) => write!(
                formatter,
                "~ [{}] {}: {} -> {}",
                value.section,
                value.key,
                value.old.as_deref().unwrap_or("(default)"),
                value.new.as_deref().unwrap_or("(default)")
            ),
            Difference::Removed(section) => write!(formatter, "- [{section}]"),
        }
    }
}

type Keys = collections::BTreeMap<String, String>;
type Sections = collections::BTreeMap<String, Keys>;

/// Returns the differences between two manifests in INI format. Text that can't be parsed counts as
/// an empty manifest.
pub fn compare(old: &str, new: &str) -> Vec<Difference> {
    let old = read_sections(old);
    let new = read_sections(new);
    let mut lines = Vec::new();
    for (section, keys) in &new {
        match old.get(section) {
            Some(old_keys) => compare_keys(section, old_keys, keys, &mut lines),
            None => lines.push(Difference::Added(section.clone())),
        }
    }
    for section in old.keys().filter(|section| !new.contains_key(*section)) {
        lines.push(Difference::Removed(section.clone()));
    }
    lines
}

fn compare_keys(section: &str, old: &Keys, new: &Keys, lines: &mut Vec<Difference>) {
    let names: collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in names {
        if old.get(key) == new.get(key) {
            continue;
        }
        lines.push(Difference::Changed(ChangedValue {
            key: key.clone(),
            new: new.get(key).cloned(),
            old: old.get(key).cloned(),
            section: section.to_owned(),
        }));
    }
}

fn read_sections(text: &str) -> Sections {
    let mut sections = Sections::new();
    let Ok(ini) = ini::Ini::load_from_str_noescape(text) else {
        return sections;
    };
    for (section, properties) in &ini {
        let Some(section) = section else {
            continue;
        };
        let keys = sections.entry(section.to_owned()).or_default();
        for (key, value) in properties {
            keys.insert(key.to_owned(), value.trim().to_owned());
        }
    }
    sections
}
