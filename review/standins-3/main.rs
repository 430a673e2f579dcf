//! Runs one case of the review: `cases NAME RECORD FOLDER`. `TROUBLE=0` leaves out the disruption.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case couldn't run.

mod caller;
mod deploy;
mod engine;
mod full_target;
mod http;
mod record;
mod stalled_error;
mod stops;

use std::path::Path;
use std::process::exit;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// What a case gets.
pub struct Setting<'a> {
    pub folder: &'a Path,
    pub record: &'a record::Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record, folder] = arguments.as_slice() else {
        eprintln!("cases NAME RECORD FOLDER");
        exit(2);
    };
    let Ok(record) = record::Record::create(record) else {
        eprintln!("the record can't be written");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {name}, trouble={trouble}"));
    let setting = Setting { folder: Path::new(folder), record: &record, trouble };
    let verdict = match name.as_str() {
        "stale-connections" => stops::stale_connections(&setting),
        "paused-engine" => stops::paused_engine(&setting),
        "full-target" => full_target::run(&setting),
        "stalled-error" => stalled_error::run(&setting),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
