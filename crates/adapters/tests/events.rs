//! The catalogue in docs/EVENTS.md lists exactly the events of the code.

use std::collections;
use std::fs;
use std::path;

/// An event as the code or the catalogue gives it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Row {
    level: String,
    name: String,
    number: u16,
}

fn find_root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn list_sources(folder: &path::Path, found: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            list_sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
}

fn scan_code() -> Vec<Row> {
    let mut sources = Vec::new();
    for package in fs::read_dir(find_root().join("crates")).expect("a folder") {
        let source = package.expect("an entry").path().join("src");
        if source.is_dir() {
            list_sources(&source, &mut sources);
        }
    }
    let mut rows = Vec::new();
    for source in sources {
        let text = fs::read_to_string(source).expect("a source file");
        for part in text.split("logs::Event::").skip(1) {
            rows.extend(scan_event(part));
        }
    }
    rows.sort();
    rows
}

/// Reads `info(3001, "request placed")`.
fn scan_event(part: &str) -> Option<Row> {
    let (level, rest) = part.split_once('(')?;
    let (number, rest) = rest.split_once(',')?;
    let (_, rest) = rest.split_once('"')?;
    let (name, _) = rest.split_once('"')?;
    Some(Row {
        level: level.to_owned(),
        name: name.to_owned(),
        number: number.trim().replace('_', "").parse().ok()?,
    })
}

fn scan_catalogue() -> Vec<Row> {
    let text = fs::read_to_string(find_root().join("docs/EVENTS.md")).expect("the catalogue");
    let mut rows: Vec<Row> = text.lines().filter_map(scan_line).collect();
    rows.sort();
    rows
}

fn scan_line(line: &str) -> Option<Row> {
    let mut cells = line.split('|').map(str::trim).skip(1);
    let number = cells.next()?.strip_prefix('E')?.parse().ok()?;
    Some(Row {
        level: cells.next()?.to_owned(),
        name: cells.next()?.to_owned(),
        number,
    })
}

#[test]
fn catalogue_matches_the_code() {
    assert_eq!(scan_code(), scan_catalogue());
}

#[test]
fn numbers_are_used_once() {
    let mut seen = collections::BTreeSet::new();
    for row in scan_code() {
        assert!(seen.insert(row.number), "E{} is used twice", row.number);
    }
}
