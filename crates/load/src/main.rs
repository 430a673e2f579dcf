//! Load and experiment tool: `peargap-load experiment`, `peargap-load run`.

use std::process;

use peargap_load::command;
use peargap_load::experiment;

const HELP: &str = "usage: peargap-load experiment --all [--seeds N] [--out DIR]";

fn main() -> process::ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    match arguments.subcommand() {
        Ok(Some(word)) => run_word(&word, arguments),
        _ => fail(HELP),
    }
}

/// Runs the command that the first word names.
fn run_word(word: &str, arguments: pico_args::Arguments) -> process::ExitCode {
    match word {
        "experiment" => experiment::command::run(arguments),
        "compare" => command::compare(arguments),
        "ports" => command::print_ports(arguments),
        "ready" => command::wait_ready(arguments),
        "run" => command::run(arguments),
        "walk" => command::walk(arguments),
        _ => fail(HELP),
    }
}

fn fail(text: &str) -> process::ExitCode {
    eprintln!("{text}");
    process::ExitCode::from(2)
}
