//! Command line of `peargap-load experiment`.

use std::fs;
use std::path;
use std::process;

use crate::experiment::deadly_parts;
use crate::experiment::deadly_requests;
use crate::experiment::named_limits;
use crate::experiment::pace;
use crate::experiment::plot;
use crate::experiment::policy;
use crate::experiment::report;
use crate::experiment::restart;
use crate::experiment::rollouts;
use crate::experiment::scenario;
use crate::experiment::shedding;
use crate::experiment::suite;
use crate::experiment::waiting;

const HELP: &str =
    "usage: peargap-load experiment (--all | --scenario NAME | --ablate NAME | --limits | --pace | --rollouts | --shedding
  | --tainted | --waiting)
  [--seeds N] [--load FACTOR] [--out DIR]";
/// Scenarios that `--all` also runs with each mechanism disabled in turn.
const ABLATED: [&str; 8] = [
    "archive-steady",
    "lending-saturday",
    "archive-overload",
    "lending-cold",
    "archive-sick",
    "archive-mixed",
    "archive-late",
    "archive-prefix",
];

/// Parsed command line.
#[derive(Debug)]
struct Options {
    ablate: Vec<scenario::Scenario>,
    compare: Vec<scenario::Scenario>,
    out: Option<path::PathBuf>,
    /// Whether to play rollouts.
    rollouts: bool,
    seeds: u64,
    /// Whether to compare rules for repeats at a service that refuses requests.
    limits: bool,
    /// Whether to play engines that differ in speed.
    pace: bool,
    shedding: bool,
    /// Whether to play prompts that crash engines.
    tainted: bool,
    /// Whether to play bursts at engines that are short of memory.
    waiting: bool,
}

/// Runs the scenarios that the arguments select.
#[must_use]
pub fn run(arguments: pico_args::Arguments) -> process::ExitCode {
    let result = parse_options(arguments).and_then(|options| run_options(&options));
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("peargap-load: {message}\n{HELP}");
            process::ExitCode::from(2)
        }
    }
}

fn parse_options(mut arguments: pico_args::Arguments) -> Result<Options, String> {
    let all = arguments.contains("--all");
    let limits = arguments.contains("--limits");
    let pace = arguments.contains("--pace");
    let rollouts = arguments.contains("--rollouts");
    let shedding = arguments.contains("--shedding");
    let tainted = arguments.contains("--tainted");
    let waiting = arguments.contains("--waiting");
    let one: Option<String> = parse(&mut arguments, "--scenario")?;
    let ablate: Option<String> = parse(&mut arguments, "--ablate")?;
    let load: Option<f64> = parse(&mut arguments, "--load")?;
    let seeds = parse(&mut arguments, "--seeds")?.unwrap_or(3);
    let out: Option<String> = parse(&mut arguments, "--out")?;
    if let Some(rest) = arguments.finish().first() {
        return Err(format!("unknown argument {rest:?}"));
    }
    let mut options = Options {
        ablate: Vec::new(),
        compare: Vec::new(),
        out: out.map(Into::into),
        limits,
        pace,
        rollouts,
        seeds,
        shedding,
        tainted,
        waiting,
    };
    if all {
        options.compare = scenario::list_scenarios();
        options.ablate = ABLATED
            .iter()
            .filter_map(|name| scenario::find_scenario(name))
            .collect();
    }
    if let Some(name) = one {
        options.compare.push(find_scenario(&name)?);
    }
    if let Some(name) = ablate {
        options.ablate.push(find_scenario(&name)?);
    }
    for scenario in options.compare.iter_mut().chain(&mut options.ablate) {
        scenario.traffic.load = load.unwrap_or(scenario.traffic.load);
    }
    let has_scenarios = !options.compare.is_empty() || !options.ablate.is_empty();
    if !has_scenarios && !limits && !pace && !rollouts && !shedding && !tainted && !waiting {
        return Err(
            "no scenario given: use --all, --scenario, --ablate, --limits, --pace, --rollouts, --shedding, \
             --tainted or --waiting"
                .to_owned(),
        );
    }
    Ok(options)
}

fn parse<T: core::str::FromStr>(
    arguments: &mut pico_args::Arguments,
    key: &'static str,
) -> Result<Option<T>, String>
where
    T::Err: core::fmt::Display,
{
    arguments
        .opt_value_from_str(key)
        .map_err(|error| error.to_string())
}

fn find_scenario(name: &str) -> Result<scenario::Scenario, String> {
    scenario::find_scenario(name).ok_or_else(|| format!("unknown scenario {name:?}"))
}

fn run_options(options: &Options) -> Result<(), String> {
    let mut text = String::new();
    if options.limits {
        (0..options.seeds).for_each(|seed| text.push_str(&named_limits::report(seed)));
    }
    if options.pace {
        (0..options.seeds).for_each(|seed| text.push_str(&pace::report(seed)));
        (0..options.seeds).for_each(|seed| text.push_str(&restart::report(seed)));
    }
    if options.shedding {
        (0..options.seeds).for_each(|seed| text.push_str(&shedding::report(seed)));
    }
    if options.tainted {
        text.push_str(&deadly_parts::report(options.seeds));
        text.push_str(&deadly_requests::report(options.seeds));
    }
    if options.rollouts {
        text.push_str(&rollouts::report(options.seeds));
    }
    if options.waiting {
        (0..options.seeds).for_each(|seed| text.push_str(&waiting::report(seed)));
    }
    for scenario in &options.compare {
        eprintln!("{}", scenario.name);
        let table = suite::run_scenario(scenario, &policy::COMPARED, options.seeds);
        report::write_table(&mut text, &table, true).map_err(|error| error.to_string())?;
        if let Some(out) = &options.out {
            fs::create_dir_all(out).map_err(|error| error.to_string())?;
            plot::draw_table(out, &table).map_err(|error| error.to_string())?;
            let name = scenario.name;
            text.push_str(&format!("![{name}](figures/{name}.svg)\n\n"));
        }
    }
    for scenario in &options.ablate {
        eprintln!("{}, ablated", scenario.name);
        let table = suite::run_scenario(scenario, &policy::ABLATED, options.seeds);
        text.push_str("## Ablated\n\n");
        report::write_table(&mut text, &table, false).map_err(|error| error.to_string())?;
    }
    match &options.out {
        Some(out) => fs::write(out.join("tables.md"), text).map_err(|error| error.to_string()),
        None => {
            print!("{text}");
            Ok(())
        }
    }
}
