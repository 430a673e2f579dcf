//! Command line of the long-running programs.

use core::fmt;
use core::str;
use std::ffi;
use std::path;
use std::process;

/// Action requested on the command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Check the settings file and exit.
    Check(path::PathBuf),
    /// Print the help text and exit.
    Help,
    /// Run with the settings file.
    Run(path::PathBuf),
    /// Print the version and exit.
    Version,
    /// The arguments are invalid, for this reason.
    Invalid(String),
}

/// Parses the arguments; `default` is the settings file to use without `--config`.
pub fn parse_arguments(arguments: Vec<ffi::OsString>, default: &str) -> Action {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Action::Help;
    }
    if arguments.contains(["-V", "--version"]) {
        return Action::Version;
    }
    let check = arguments.contains("--check");
    let config = arguments.opt_value_from_os_str("--config", parse_path);
    let config = match config {
        Ok(config) => config.unwrap_or_else(|| path::PathBuf::from(default)),
        Err(error) => return Action::Invalid(error.to_string()),
    };
    let rest = arguments.finish();
    if let Some(first) = rest.first() {
        return Action::Invalid(format!("unknown argument {first:?}"));
    }
    if check {
        Action::Check(config)
    } else {
        Action::Run(config)
    }
}

fn parse_path(text: &ffi::OsStr) -> Result<path::PathBuf, String> {
    Ok(path::PathBuf::from(text))
}

/// Returns the value of an option, or `default` if it is not given.
///
/// Fails when the value is malformed.
pub fn take_option<T>(
    arguments: &mut pico_args::Arguments,
    key: &'static str,
    default: T,
) -> Result<T, pico_args::Error>
where
    T: str::FromStr,
    T::Err: fmt::Display,
{
    Ok(arguments.opt_value_from_str(key)?.unwrap_or(default))
}

/// Returns the settings to run with, or the exit code when there is nothing to run.
///
/// Prints help, version, the result of `--check` or the findings. Findings and wrong arguments
/// give exit code 2.
pub fn load<T>(
    program: &str,
    default: &str,
    load_settings: fn(&path::Path) -> Result<T, crate::settings::Findings>,
) -> Result<T, process::ExitCode> {
    let arguments = std::env::args_os().skip(1).collect();
    let (config, only_check) = match parse_arguments(arguments, default) {
        Action::Help => {
            println!("{}", format_help(program, default));
            return Err(process::ExitCode::SUCCESS);
        }
        Action::Version => {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            return Err(process::ExitCode::SUCCESS);
        }
        Action::Invalid(problem) => {
            eprintln!("{program}: {problem}; see --help");
            return Err(process::ExitCode::from(2));
        }
        Action::Check(config) => (config, true),
        Action::Run(config) => (config, false),
    };
    match load_settings(&config) {
        Ok(_) if only_check => {
            println!("{}: correct", config.display());
            Err(process::ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(findings) => {
            eprintln!("{findings}");
            Err(process::ExitCode::from(2))
        }
    }
}

fn format_help(program: &str, default: &str) -> String {
    format!(
        "{program} [--config FILE] [--check]\n\n\
         --config FILE  settings in INI (default {default})\n\
         --check        only check the settings; exit 2 with every finding when they are wrong\n\
         --help         print this text\n\
         --version      print the version"
    )
}

/// Runs a program with the settings that its arguments name; returns its exit code.
///
/// Prints the same as [`load`], and the error if the program fails.
pub fn run<T>(
    program: &str,
    default: &str,
    load_settings: fn(&path::Path) -> Result<T, crate::settings::Findings>,
    run_settings: fn(T) -> Result<(), Box<dyn std::error::Error>>,
) -> process::ExitCode {
    let settings = match load(program, default, load_settings) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run_settings(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            process::ExitCode::FAILURE
        }
    }
}
