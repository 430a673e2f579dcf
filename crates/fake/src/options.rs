//! Command line parsing.

use core::net;
use core::time;

use peargap_adapters::command;

const HELP: &str = "peargap-fake engine|service [--listen IP:PORT] [--name NAME]
  engine:
  --models A,B          models loaded at start
  --memory-tokens N     size of the KV cache in tokens
  --max-batch N         largest batch, in streams
  --step-us N           duration of a decoding step with one stream
  --stream-us N         added to a step for each further stream
  --prefill-us N        added to a step for each prompt token prefilled
  --cold-ms N           how long the engine is cold after its start or POST /turn-cold
  --cold-limit N        streams that a cold engine can run; one more makes all of them fail
  --median-tokens N     median of the output lengths
  --seed N              seed of the random output lengths
  --checks-fences       reject orders with an outdated fence
  service:
  --cold-ms N --cold-limit N as above
Prints `listening IP:PORT` when ready. POST /turn-cold makes it cold without notice.";

/// Options of a simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) checks_fences: bool,
    pub(crate) cold_time: time::Duration,
    pub(crate) cold_limit: usize,
    pub(crate) listen: net::SocketAddr,
    pub(crate) max_batch: usize,
    pub(crate) median_tokens: f64,
    pub(crate) memory_tokens: u64,
    pub(crate) models: Vec<String>,
    pub(crate) name: String,
    pub(crate) prefill_time: time::Duration,
    pub(crate) seed: u64,
    pub(crate) step_time: time::Duration,
    pub(crate) stream_time: time::Duration,
}

/// Options of a simulated service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) cold_time: time::Duration,
    pub(crate) cold_limit: usize,
    pub(crate) listen: net::SocketAddr,
    pub(crate) name: String,
}

/// What to simulate, with its options.
pub(crate) enum Mode {
    Engine(Engine),
    Service(Service),
}

/// Result of parsing the command line.
pub(crate) enum Parsed {
    Done,
    Engine(Engine),
    Service(Service),
    Invalid(String),
}

/// Parses the arguments of the process; prints help and version.
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
            Some(first) => Parsed::Invalid(format!("unknown argument {first:?}")),
            None => parsed,
        },
        Err(error) => Parsed::Invalid(error.to_string()),
    }
}

fn parse_mode(arguments: &mut pico_args::Arguments) -> Result<Parsed, pico_args::Error> {
    let mode = arguments.subcommand()?;
    match mode.as_deref() {
        Some("engine") => Ok(Parsed::Engine(parse_engine(arguments)?)),
        Some("service") => Ok(Parsed::Service(parse_service(arguments)?)),
        Some(_) | None => Ok(Parsed::Invalid(
            "missing or unknown mode: expected engine or service".to_owned(),
        )),
    }
}

fn parse_engine(arguments: &mut pico_args::Arguments) -> Result<Engine, pico_args::Error> {
    let models: String = command::take_option(arguments, "--models", "transcript".to_owned())?;
    Ok(Engine {
        checks_fences: arguments.contains("--checks-fences"),
        cold_time: take_duration(arguments, "--cold-ms", 0, 1_000)?,
        cold_limit: command::take_option(arguments, "--cold-limit", 2)?,
        listen: command::take_option(arguments, "--listen", default_listen())?,
        max_batch: command::take_option(arguments, "--max-batch", 64)?,
        median_tokens: command::take_option(arguments, "--median-tokens", 120.0)?,
        memory_tokens: command::take_option(arguments, "--memory-tokens", 32_768)?,
        models: models.split(',').map(str::to_owned).collect(),
        name: command::take_option(arguments, "--name", "engine".to_owned())?,
        prefill_time: take_duration(arguments, "--prefill-us", 20, 1)?,
        seed: command::take_option(arguments, "--seed", 1)?,
        step_time: take_duration(arguments, "--step-us", 5_000, 1)?,
        stream_time: take_duration(arguments, "--stream-us", 200, 1)?,
    })
}

fn parse_service(arguments: &mut pico_args::Arguments) -> Result<Service, pico_args::Error> {
    Ok(Service {
        cold_time: take_duration(arguments, "--cold-ms", 0, 1_000)?,
        cold_limit: command::take_option(arguments, "--cold-limit", 2)?,
        listen: command::take_option(arguments, "--listen", default_listen())?,
        name: command::take_option(arguments, "--name", "service".to_owned())?,
    })
}

fn default_listen() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// Returns the duration of an option that counts units of `micros` microseconds.
fn take_duration(
    arguments: &mut pico_args::Arguments,
    key: &'static str,
    default: u64,
    micros: u64,
) -> Result<time::Duration, pico_args::Error> {
    let number: u64 = command::take_option(arguments, key, default)?;
    Ok(time::Duration::from_micros(number.saturating_mul(micros)))
}
