//! Plays the cases of a review against the project's own programs on loopback addresses.
//!
//! `case NAME RECORD` plays one case and writes its record to that file. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod cases;
mod deploy;
mod http;
mod record;
mod runner;

use std::path::Path;
use std::process::exit;
use std::time::Duration;
use std::{env, panic, thread};

/// Time after which a case is ended.
const LONGEST: Duration = Duration::from_secs(110);

/// What a case has shown.
pub enum Verdict {
    /// The rule was broken, in this way.
    Broken(String),
    /// The rule held.
    Held(String),
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: case NAME RECORD");
        exit(2);
    };
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            println!("could not run: {path}: {error}");
            exit(2);
        }
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!(
        "case {name}, disruption {}",
        if has_trouble { "on" } else { "off" }
    ));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        deploy::kill_all();
        println!("could not run: it took too long");
        exit(2);
    });
    let played = record.clone();
    let name = name.clone();
    let case = thread::spawn(move || {
        panic::catch_unwind(panic::AssertUnwindSafe(|| {
            cases::play(&name, &played, has_trouble)
        }))
    });
    let outcome = case.join().expect("panics are caught");
    let (code, text) = match outcome {
        Ok(Ok(Verdict::Broken(text))) => (1, format!("BROKEN: {text}")),
        Ok(Ok(Verdict::Held(text))) => (0, format!("held: {text}")),
        Ok(Err(problem)) => (2, format!("could not run: {problem}")),
        Err(_) => (2, "could not run: the stand-in failed".to_owned()),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
