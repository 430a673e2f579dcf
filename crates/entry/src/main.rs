//! The entry program.

use std::process;

use peargap_adapters::command;
use peargap_entry::run;
use peargap_entry::settings;

/// Settings file that is read if `--config` is not given.
const DEFAULT_CONFIG: &str = "peargap-entry.ini";

fn main() -> process::ExitCode {
    match command::load("peargap-entry", DEFAULT_CONFIG, settings::load) {
        Ok(settings) => run::run_entry(settings),
        Err(code) => code,
    }
}
