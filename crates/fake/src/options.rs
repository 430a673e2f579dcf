//! Command line of the stand-ins.

use core::net;
use core::time;

use peargap_adapters::command;

const HELP: &str = "peargap-fake engine|service [--listen IP:PORT] [--name NAME]
  engine:
  --models A,B          models loaded at start
  --memory-tokens N     KV memory in tokens
  --max-batch N         streams decoded at once
  --step-us N           time of a step with one stream
  --stream-us N         added for each further stream
  --prefill-us N        added for each prompt token computed
  --cold-ms N           how long it stays cold after a start or POST /turn-cold
  --cold-limit N        streams it carries while cold
  --median-tokens N     median of the output lengths
  --seed N              seed of the output lengths
  --checks-fences       refuse orders with an old number
  service:
  --cold-ms N --cold-limit N as above
Prints `listening IP:PORT` once it serves. POST /turn-cold makes it cold with no announcement.";

/// How a stand-in engine behaves.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) checks_fences: bool,
    pub(crate) cold: time::Duration,
    pub(crate) cold_limit: usize,
    pub(crate) listen: net::SocketAddr,
    pub(crate) max_batch: usize,
    pub(crate) median_tokens: f64,
    pub(crate) memory_tokens: u64,
    pub(crate) models: Vec<String>,
    pub(crate) name: String,
    pub(crate) prefill: time::Duration,
    pub(crate) seed: u64,
    pub(crate) step: time::Duration,
    pub(crate) stream: time::Duration,
}

/// How a stand-in service behaves.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) cold: time::Duration,
    pub(crate) cold_limit: usize,
    pub(crate) listen: net::SocketAddr,
    pub(crate) name: String,
}

/// Which stand-in to run.
pub(crate) enum Mode {
    Engine(Engine),
    Service(Service),
}

/// What the command line asks for.
pub(crate) enum Parsed {
    Done,
    Engine(Engine),
    Service(Service),
    Wrong(String),
}

/// Returns what the process's arguments ask for; help and version are printed here.
pub(crate) fn parse_options() -> Parsed {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Parsed::Done;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("peargap-fake {}", env!("CARGO_PKG_VERSION"));
        return Parsed::Done;
    }
    match parse_mode(&mut arguments) {
        Ok(parsed) => match arguments.finish().first() {
            Some(first) => Parsed::Wrong(format!("unknown argument {first:?}")),
            None => parsed,
        },
        Err(error) => Parsed::Wrong(error.to_string()),
    }
}

fn parse_mode(arguments: &mut pico_args::Arguments) -> Result<Parsed, pico_args::Error> {
    let mode = arguments.subcommand()?;
    match mode.as_deref() {
        Some("engine") => Ok(Parsed::Engine(parse_engine(arguments)?)),
        Some("service") => Ok(Parsed::Service(parse_service(arguments)?)),
        Some(_) | None => Ok(Parsed::Wrong("say engine or service".to_owned())),
    }
}

fn parse_engine(arguments: &mut pico_args::Arguments) -> Result<Engine, pico_args::Error> {
    let models: String = command::take_option(arguments, "--models", "transcript".to_owned())?;
    Ok(Engine {
        checks_fences: arguments.contains("--checks-fences"),
        cold: take_time(arguments, "--cold-ms", 0, 1_000)?,
        cold_limit: command::take_option(arguments, "--cold-limit", 2)?,
        listen: command::take_option(arguments, "--listen", default_listen())?,
        max_batch: command::take_option(arguments, "--max-batch", 64)?,
        median_tokens: command::take_option(arguments, "--median-tokens", 120.0)?,
        memory_tokens: command::take_option(arguments, "--memory-tokens", 32_768)?,
        models: models.split(',').map(str::to_owned).collect(),
        name: command::take_option(arguments, "--name", "engine".to_owned())?,
        prefill: take_time(arguments, "--prefill-us", 20, 1)?,
        seed: command::take_option(arguments, "--seed", 1)?,
        step: take_time(arguments, "--step-us", 5_000, 1)?,
        stream: take_time(arguments, "--stream-us", 200, 1)?,
    })
}

fn parse_service(arguments: &mut pico_args::Arguments) -> Result<Service, pico_args::Error> {
    Ok(Service {
        cold: take_time(arguments, "--cold-ms", 0, 1_000)?,
        cold_limit: command::take_option(arguments, "--cold-limit", 2)?,
        listen: command::take_option(arguments, "--listen", default_listen())?,
        name: command::take_option(arguments, "--name", "service".to_owned())?,
    })
}

fn default_listen() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// Returns the time given in units of `micros` microseconds.
fn take_time(
    arguments: &mut pico_args::Arguments,
    key: &'static str,
    default: u64,
    micros: u64,
) -> Result<time::Duration, pico_args::Error> {
    let number: u64 = command::take_option(arguments, key, default)?;
    Ok(time::Duration::from_micros(number.saturating_mul(micros)))
}
