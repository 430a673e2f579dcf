//! Command line of the load tool, except for the `experiment` command.

use core::future;
use core::time;
use std::fs;
use std::process;

use peargap_adapters::command;

use crate::compare;
use crate::ports;
use crate::ready;
use crate::run;
use crate::walk;

/// How long processes may take to become ready.
const READY_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Prints free ports, one a line: `ports COUNT`.
pub fn print_ports(arguments: pico_args::Arguments) -> process::ExitCode {
    let count = arguments
        .finish()
        .first()
        .and_then(|argument| argument.to_str()?.parse().ok());
    let Some(count) = count else {
        return fail("ports: COUNT is missing or not a number");
    };
    match ports::find_ports(count) {
        Ok(found) => {
            for port in found {
                println!("{port}");
            }
            process::ExitCode::SUCCESS
        }
        Err(error) => fail(&format!("ports: {error}")),
    }
}

/// Waits until each URL answers 200: `ready URL...`.
pub fn wait_ready(arguments: pico_args::Arguments) -> process::ExitCode {
    let urls: Vec<String> = arguments
        .finish()
        .iter()
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    block_on(async move {
        ready::wait_ready(&urls, READY_LIMIT)
            .await
            .map_err(|url| format!("{url} did not become ready in time"))
    })
}

/// Sends the demo's requests: `walk --entries URLS --key K --model M --service S --text FILE`.
pub fn walk(mut arguments: pico_args::Arguments) -> process::ExitCode {
    match parse_walk_options(&mut arguments) {
        Ok(options) => block_on(async move { walk::walk(&options).await }),
        Err(error) => fail(&format!("walk: {error}")),
    }
}

/// Sends an open-loop load: `run --entries URLS --key K [--model M] [--service S] [--rate R] ...`.
pub fn run(mut arguments: pico_args::Arguments) -> process::ExitCode {
    let out: Result<Option<String>, _> = arguments.opt_value_from_str("--json");
    let load = parse_load(&mut arguments);
    match (load, out) {
        (Ok(load), Ok(out)) => block_on(async move {
            let report = run::run(&load).await;
            let text = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
            println!("{text}");
            if let Some(path) = out {
                fs::write(path, &text).map_err(|error| error.to_string())?;
            }
            if report.lost == 0 {
                Ok(())
            } else {
                Err(format!(
                    "{} requests got no complete, correct answer",
                    report.lost
                ))
            }
        }),
        (Err(error), _) | (_, Err(error)) => fail(&format!("run: {error}")),
    }
}

/// Compares requests through entry and agent with direct ones:
/// `compare --direct URL --entry URL --key K ...`.
pub fn compare(mut arguments: pico_args::Arguments) -> process::ExitCode {
    let comparison = match parse_comparison(&mut arguments) {
        Ok(comparison) => comparison,
        Err(error) => return fail(&format!("compare: {error}")),
    };
    block_on(async move {
        compare::check_direct(&comparison.direct).await?;
        let results = compare::compare(&comparison).await?;
        let text = serde_json::to_string_pretty(&results).map_err(|error| error.to_string())?;
        println!("{text}");
        Ok(())
    })
}

fn parse_comparison(
    arguments: &mut pico_args::Arguments,
) -> Result<compare::Comparison, pico_args::Error> {
    Ok(compare::Comparison {
        agent_pid: arguments.value_from_str("--agent-pid")?,
        direct: arguments.value_from_str("--direct")?,
        entry: arguments.value_from_str("--entry")?,
        entry_pid: arguments.value_from_str("--entry-pid")?,
        key: arguments.value_from_str("--key")?,
        model: arguments.value_from_str("--model")?,
        pairs: command::take_option(arguments, "--pairs", 100)?,
        streams: command::take_option(arguments, "--streams", 64)?,
        tokens: command::take_option(arguments, "--tokens", 200)?,
    })
}

fn parse_walk_options(
    arguments: &mut pico_args::Arguments,
) -> Result<walk::Options, pico_args::Error> {
    let path: String = arguments.value_from_str("--text")?;
    let text =
        fs::read_to_string(&path).map_err(|error| pico_args::Error::ArgumentParsingFailed {
            cause: format!("{path}: {error}"),
        })?;
    Ok(walk::Options {
        entries: parse_entries(arguments)?,
        key: arguments.value_from_str("--key")?,
        model: arguments.value_from_str("--model")?,
        service: arguments.value_from_str("--service")?,
        text,
    })
}

fn parse_load(arguments: &mut pico_args::Arguments) -> Result<run::Load, pico_args::Error> {
    Ok(run::Load {
        entries: parse_entries(arguments)?,
        key: arguments.value_from_str("--key")?,
        max_tokens: command::take_option(arguments, "--max-tokens", 2_000)?,
        model: arguments.opt_value_from_str("--model")?,
        prompt_words: command::take_option(arguments, "--prompt-words", 60)?,
        rate: command::take_option(arguments, "--rate", 10.0)?,
        seconds: command::take_option(arguments, "--seconds", 20)?,
        seed: command::take_option(arguments, "--seed", 1)?,
        service: arguments.opt_value_from_str("--service")?,
        service_share: command::take_option(arguments, "--service-share", 0.2)?,
    })
}

fn parse_entries(arguments: &mut pico_args::Arguments) -> Result<Vec<String>, pico_args::Error> {
    let text: String = arguments.value_from_str("--entries")?;
    Ok(text.split(',').map(str::to_owned).collect())
}

fn block_on(future: impl future::Future<Output = Result<(), String>>) -> process::ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("cannot start the async runtime: {error}")),
    };
    match runtime.block_on(future) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => fail(&message),
    }
}

fn fail(message: &str) -> process::ExitCode {
    eprintln!("peargap-load: {message}");
    process::ExitCode::FAILURE
}
