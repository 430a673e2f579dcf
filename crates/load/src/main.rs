//! Load and experiment tool; `peargap-load` alone lists its commands.

use std::process;

use peargap_load::command;
use peargap_load::experiment;

const HELP: &str = "peargap-load COMMAND
  experiment --all [--seeds N] [--out DIR]    simulate the decision code on a virtual clock
  experiment --scenario NAME | --ablate NAME  one scenario | one with each mechanism disabled
  run --entries URL,.. --key KEY [--model M] [--service S] [--rate R] [--seconds S] [--json FILE]
                                              send an open-loop load to running entries
  compare --direct URL --entry URL --key KEY --model M --agent-pid P --entry-pid P
                                              measure the latency that entry and agent add
  walk --entries URL,.. --key KEY --model M --service S --text FILE
                                              send the requests of the demo
  ready URL..                                 wait until each URL answers 200
  ports COUNT                                 print free loopback ports";

fn main() -> process::ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    match arguments.subcommand() {
        Ok(Some(name)) => run_command(&name, arguments),
        _ => fail(HELP),
    }
}

/// Runs the command of the given name.
fn run_command(name: &str, arguments: pico_args::Arguments) -> process::ExitCode {
    match name {
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
