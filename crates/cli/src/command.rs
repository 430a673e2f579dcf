//! The command line's grammar.

use core::net;
use core::str;
use core::time;
use std::ffi;
use std::path;

/// Text of `--help`.
pub const HELP: &str = "\
peargap [OPTIONS] COMMAND

Commands
  manifest check FILE    check a manifest without any control host
  manifest diff FILE     show what FILE would change
  manifest apply FILE    make FILE the manifest
  manifest show          print the manifest
  manifest history       list answered changes, newest first
  domain out NAME        give a failure domain no new work
  domain back NAME       give it work again
  upstream drain NAME    give an upstream no new work
  upstream resume NAME   give it work again
  members                list the known nodes
  account                count what became of generations, from log lines on standard input
  explain REQUEST        tell a request's story from log lines on standard input
  status                 show every control host and the nodes attached to it

Options
  --config FILE          settings in INI: [control] addresses=, [operator] key_file=, name=
  --control IP:PORT,..   control hosts' operator ports
  --key-file FILE        file that holds the operator's key
  --operator NAME        who asks (default: $USER)
  --id ID                the change's own id; a resend with it gets the first answer
                         (default: a new one, printed)
  --base REVISION        revision that a manifest builds on (default: the present one)
  --wait SECONDS         wait until the change is in force everywhere
  --timeout SECONDS      give up after that long without an answer (default 10)
  --limit NUMBER         changes listed by `manifest history` (default 50)
  --json                 print JSON
  --help, --version

Exit codes
  0  done
  2  wrong arguments, settings, key or manifest; nothing was changed
  3  conflict: another change won the revision
  4  no answer; whether the change was accepted may be unknown: resend the same --id
  5  accepted, but not in force everywhere in time";

/// Wait for an answer unless told otherwise.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Changes listed unless told otherwise.
const LIMIT: u32 = 50;

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Count what became of generations, from log lines on standard input.
    Account,
    /// Give a failure domain work again.
    DomainBack(String),
    /// Give a failure domain no new work.
    DomainOut(String),
    /// Tell a request's story from log lines on standard input.
    Explain(String),
    /// Print the help text.
    Help,
    /// Make a file the manifest.
    ManifestApply(path::PathBuf),
    /// Check a manifest.
    ManifestCheck(path::PathBuf),
    /// Show what a manifest would change.
    ManifestDiff(path::PathBuf),
    /// List answered changes.
    ManifestHistory,
    /// Print the manifest.
    ManifestShow,
    /// List the known nodes.
    Members,
    /// Show the control hosts.
    Status,
    /// Give an upstream no new work.
    UpstreamDrain(String),
    /// Give an upstream work again.
    UpstreamResume(String),
    /// Print the version.
    Version,
}

/// The whole command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Revision that a manifest builds on.
    pub base: Option<u64>,
    /// What to do.
    pub command: Command,
    /// Settings file.
    pub config: Option<path::PathBuf>,
    /// Control hosts' operator ports.
    pub controls: Vec<net::SocketAddr>,
    /// The change's id.
    pub id: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// File that holds the key.
    pub key_file: Option<path::PathBuf>,
    /// Changes listed.
    pub limit: u32,
    /// Who asks.
    pub operator: Option<String>,
    /// Longest wait for an answer.
    pub timeout: time::Duration,
    /// Longest wait until in force everywhere.
    pub wait: Option<time::Duration>,
}

/// Returns the command line, or what is wrong with it.
pub fn parse(arguments: Vec<ffi::OsString>) -> Result<Line, String> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let help = arguments.contains(["-h", "--help"]);
    let version = arguments.contains(["-V", "--version"]);
    let line = Line {
        base: take(&mut arguments, "--base")?,
        command: Command::Help,
        config: take_path(&mut arguments, "--config")?,
        controls: take_controls(&mut arguments)?,
        id: take(&mut arguments, "--id")?,
        json: arguments.contains("--json"),
        key_file: take_path(&mut arguments, "--key-file")?,
        limit: take(&mut arguments, "--limit")?.unwrap_or(LIMIT),
        operator: take(&mut arguments, "--operator")?,
        timeout: take_seconds(&mut arguments, "--timeout")?.unwrap_or(TIMEOUT),
        wait: take_seconds(&mut arguments, "--wait")?,
    };
    if help {
        return Ok(line);
    }
    let command = if version {
        Command::Version
    } else {
        parse_command(arguments.finish())?
    };
    Ok(Line { command, ..line })
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
        ["explain", request] => Command::Explain((*request).to_owned()),
        ["members"] => Command::Members,
        ["status"] => Command::Status,
        [] => return Err("names no command".to_owned()),
        words => return Err(format!("unknown command {:?}", words.join(" "))),
    };
    Ok(command)
}

fn take<T>(arguments: &mut pico_args::Arguments, name: &'static str) -> Result<Option<T>, String>
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
    let Some(seconds) = take::<f64>(arguments, name)? else {
        return Ok(None);
    };
    match time::Duration::try_from_secs_f64(seconds) {
        Ok(duration) => Ok(Some(duration)),
        Err(error) => Err(format!("{name}: {error}")),
    }
}

fn take_controls(arguments: &mut pico_args::Arguments) -> Result<Vec<net::SocketAddr>, String> {
    let Some(text) = take::<String>(arguments, "--control")? else {
        return Ok(Vec::new());
    };
    let mut controls = Vec::new();
    for word in text.split(',') {
        let control = word.trim().parse();
        controls.push(control.map_err(|_| format!("--control: {word:?} is not ip:port"))?);
    }
    Ok(controls)
}
