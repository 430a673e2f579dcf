//! Command line parsing.

use core::net;
use core::str;
use core::time;
use std::ffi;
use std::path;

use peargap_wire::operator;

use crate::question;
use crate::suspect;
use crate::version_change;

/// Text of `--help`.
pub const HELP: &str = "\
peargap [OPTIONS] COMMAND

Commands
  manifest check FILE    validate a manifest locally
  manifest diff FILE     compare the current manifest with FILE
  manifest apply FILE    replace the manifest with FILE
  manifest show          print the manifest
  manifest history       list changes and their outcomes, newest first
  domain out NAME        stop placing new work in a failure domain
  domain back NAME       place new work in it again
  upstream drain NAME    stop placing new work on an upstream
  upstream resume NAME   place new work on it again
  members                list the known nodes
  quarantine list        list prompt parts and requests on which upstreams crash or may crash
  quarantine release ID  serve a request again (request:HEX), or prompts with a part (part:HEX)
  rollout start SERVICE VERSION SECONDS
                         move a service to another version of its upstreams within this time
  rollout status SERVICE show the last rollout of a service
  rollout abort SERVICE  roll the rollout of a service back
  account                count generations by outcome, from log lines on standard input
  explain REQUEST        print a request's timeline from log lines on standard input
  explain at IP:PORT URL [NAME:VALUE]..
                         ask a gateway, at its health address, where a request with this URL and
                         these headers would go now, without sending it; a value @FILE is read
  status                 show every control host and the nodes connected to it

Options
  --config FILE          settings in INI: [control] addresses=, [operator] key_file=, name=
  --control IP:PORT,..   operator addresses of the control hosts
  --key-file FILE        file that holds the operator's key
  --operator NAME        name recorded with changes (default: $USER)
  --id ID                id of the change; a retry with the same id returns the first result
                         (default: a random id, printed)
  --base REVISION        revision that a manifest is based on (default: the current one)
  --wait SECONDS         wait until the change is in force everywhere
  --timeout SECONDS      time to wait for a response (default 10)
  --limit NUMBER         number of changes listed by `manifest history` (default 50)
  --window SECONDS       `account` counts by the time of the request, in windows of this length
  --json                 print JSON
  --help, --version

Exit codes
  0  done
  2  invalid arguments, settings, key or manifest; nothing was changed
  3  conflict: another change was accepted on the same base revision
  4  no response; the change may have been accepted: retry with the same --id
  5  accepted, but not in force everywhere in time";

/// Default of `--timeout`.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Default of `--limit`.
const DEFAULT_LIMIT: u32 = 50;

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Count generations by outcome, from log lines on standard input.
    Account,
    /// Place new work in a failure domain again.
    DomainBack(String),
    /// Stop placing new work in a failure domain.
    DomainOut(String),
    /// Print a request's timeline from log lines on standard input.
    Explain(String),
    /// Ask a gateway where a request would go.
    ExplainAt(question::Question),
    /// Print the help text.
    Help,
    /// Replace the manifest with a file.
    ManifestApply(path::PathBuf),
    /// Validate a manifest locally.
    ManifestCheck(path::PathBuf),
    /// Compare the current manifest with a file.
    ManifestDiff(path::PathBuf),
    /// List changes and their outcomes.
    ManifestHistory,
    /// Print the manifest.
    ManifestShow,
    /// List the known nodes.
    Members,
    /// List the prompt parts and requests on which upstreams may crash.
    QuarantineList,
    /// Serve a request, or prompts with a part, again.
    QuarantineRelease(operator::Name),
    /// Start, show or abort the rollout of a service.
    Rollout(version_change::Action),
    /// Show the control hosts and the nodes connected to them.
    Status,
    /// Stop placing new work on an upstream.
    UpstreamDrain(String),
    /// Place new work on an upstream again.
    UpstreamResume(String),
    /// Print the version.
    Version,
}

/// The parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandLine {
    /// Revision that a manifest is based on.
    pub base: Option<u64>,
    /// The command to run.
    pub command: Command,
    /// Settings file.
    pub config: Option<path::PathBuf>,
    /// Operator addresses of the control hosts.
    pub controls: Vec<net::SocketAddr>,
    /// Id of the change.
    pub id: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// File that holds the key.
    pub key_file: Option<path::PathBuf>,
    /// Number of changes that `manifest history` lists.
    pub limit: u32,
    /// Operator name recorded with changes.
    pub operator: Option<String>,
    /// Longest wait for a response.
    pub timeout: time::Duration,
    /// Longest wait until the change is in force everywhere; `None` not to wait.
    pub wait: Option<time::Duration>,
    /// Length of the windows by which `account` counts; `None` counts by outcome.
    pub window: Option<time::Duration>,
}

/// Parses the command line; the error says which argument is invalid.
pub fn parse(arguments: Vec<ffi::OsString>) -> Result<CommandLine, String> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let help = arguments.contains(["-h", "--help"]);
    let version = arguments.contains(["-V", "--version"]);
    let line = CommandLine {
        base: take_value(&mut arguments, "--base")?,
        command: Command::Help,
        config: take_path(&mut arguments, "--config")?,
        controls: take_addresses(&mut arguments)?,
        id: take_value(&mut arguments, "--id")?,
        json: arguments.contains("--json"),
        key_file: take_path(&mut arguments, "--key-file")?,
        limit: take_value(&mut arguments, "--limit")?.unwrap_or(DEFAULT_LIMIT),
        operator: take_value(&mut arguments, "--operator")?,
        timeout: take_seconds(&mut arguments, "--timeout")?.unwrap_or(DEFAULT_TIMEOUT),
        wait: take_seconds(&mut arguments, "--wait")?,
        window: take_seconds(&mut arguments, "--window")?,
    };
    if help {
        return Ok(line);
    }
    let command = if version {
        Command::Version
    } else {
        parse_command(arguments.finish())?
    };
    Ok(CommandLine { command, ..line })
}

fn parse_command(words: Vec<ffi::OsString>) -> Result<Command, String> {
    let mut texts = Vec::new();
    for word in &words {
        let text = word.to_str().ok_or("an argument is not UTF-8")?;
        texts.push(text);
    }
    let command = match texts.as_slice() {
        ["manifest", "check", file] => Command::ManifestCheck(file.into()),
        ["manifest", "diff", file] => Command::ManifestDiff(file.into()),
        ["manifest", "apply", file] => Command::ManifestApply(file.into()),
        ["manifest", "show"] => Command::ManifestShow,
        ["manifest", "history"] => Command::ManifestHistory,
        ["domain", "out", name] => Command::DomainOut((*name).to_owned()),
        ["domain", "back", name] => Command::DomainBack((*name).to_owned()),
        ["upstream", "drain", name] => Command::UpstreamDrain((*name).to_owned()),
        ["upstream", "resume", name] => Command::UpstreamResume((*name).to_owned()),
        ["account"] => Command::Account,
        ["explain", "at", gateway, url, headers @ ..] => {
            Command::ExplainAt(question::parse(gateway, url, headers)?)
        }
        ["explain", request] => Command::Explain((*request).to_owned()),
        ["quarantine", "list"] => Command::QuarantineList,
        ["quarantine", "release", id] => Command::QuarantineRelease(suspect::parse(id)?),
        ["rollout", "start", service, target, seconds] => {
            Command::Rollout(version_change::Action::Start {
                duration: parse_seconds("SECONDS", seconds)?,
                service: (*service).to_owned(),
                target: (*target).to_owned(),
            })
        }
        ["rollout", "status", service] => {
            Command::Rollout(version_change::Action::Status((*service).to_owned()))
        }
        ["rollout", "abort", service] => {
            Command::Rollout(version_change::Action::Abort((*service).to_owned()))
        }
        ["members"] => Command::Members,
        ["status"] => Command::Status,
        [] => return Err("missing command".to_owned()),
        words => return Err(format!("unknown command {:?}", words.join(" "))),
    };
    Ok(command)
}

fn take_value<T>(
    arguments: &mut pico_args::Arguments,
    name: &'static str,
) -> Result<Option<T>, String>
where
    T: str::FromStr,
    T::Err: core::fmt::Display,
{
    let value = arguments.opt_value_from_str(name);
    value.map_err(|error| format!("{name}: {error}"))
}

fn take_path(
    arguments: &mut pico_args::Arguments,
    name: &'static str,
) -> Result<Option<path::PathBuf>, String> {
    let value = arguments.opt_value_from_os_str(name, parse_path);
    value.map_err(|error| format!("{name}: {error}"))
}

fn parse_path(text: &ffi::OsStr) -> Result<path::PathBuf, String> {
    Ok(path::PathBuf::from(text))
}

fn take_seconds(
    arguments: &mut pico_args::Arguments,
    name: &'static str,
) -> Result<Option<time::Duration>, String> {
    let Some(seconds) = take_value::<f64>(arguments, name)? else {
        return Ok(None);
    };
    to_duration(name, seconds).map(Some)
}

fn parse_seconds(name: &str, text: &str) -> Result<time::Duration, String> {
    let seconds = text.parse::<f64>();
    to_duration(name, seconds.map_err(|error| format!("{name}: {error}"))?)
}

fn to_duration(name: &str, seconds: f64) -> Result<time::Duration, String> {
    let duration = time::Duration::try_from_secs_f64(seconds);
    duration.map_err(|error| format!("{name}: {error}"))
}

fn take_addresses(arguments: &mut pico_args::Arguments) -> Result<Vec<net::SocketAddr>, String> {
    let Some(text) = take_value::<String>(arguments, "--control")? else {
        return Ok(Vec::new());
    };
    let mut controls = Vec::new();
    for word in text.split(',') {
        let control = word.trim().parse();
        controls.push(control.map_err(|_| format!("--control: {word:?} is not ip:port"))?);
    }
    Ok(controls)
}
