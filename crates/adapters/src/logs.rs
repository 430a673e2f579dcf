//! Log lines as numbered events.
//!
//! Each program lists its events in its own `events` module; `docs/EVENTS.md` is their catalogue.

use core::fmt;
use std::str;
use std::sync;
use std::time;

use spdlog::formatter;
use spdlog::sink;

use crate::panics;
use crate::rate_limit;

/// A kind of log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Severity.
    pub level: Level,
    /// Short name.
    pub name: &'static str,
    /// Number in the catalogue, never reused for another event.
    pub number: u16,
}

/// Severity of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Detail for a maintainer.
    Debug,
    /// Failure that needs an operator's attention.
    Error,
    /// Normal operation.
    Info,
    /// Unusual condition that the process handled.
    Warn,
}

impl Event {
    /// Returns a debug event.
    pub const fn debug(number: u16, name: &'static str) -> Event {
        Event::new(Level::Debug, number, name)
    }

    /// Returns an error event.
    pub const fn error(number: u16, name: &'static str) -> Event {
        Event::new(Level::Error, number, name)
    }

    /// Returns an information event.
    pub const fn info(number: u16, name: &'static str) -> Event {
        Event::new(Level::Info, number, name)
    }

    /// Returns a warning event.
    pub const fn warn(number: u16, name: &'static str) -> Event {
        Event::new(Level::Warn, number, name)
    }

    const fn new(level: Level, number: u16, name: &'static str) -> Event {
        Event {
            level,
            name,
            number,
        }
    }
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Plain text.
    #[default]
    Text,
}

impl str::FromStr for Format {
    type Err = ();

    fn from_str(text: &str) -> Result<Format, ()> {
        match text {
            "json" => Ok(Format::Json),
            "text" => Ok(Format::Text),
            _ => Err(()),
        }
    }
}

impl str::FromStr for Level {
    type Err = ();

    fn from_str(text: &str) -> Result<Level, ()> {
        match text {
            "debug" => Ok(Level::Debug),
            "error" => Ok(Level::Error),
            "info" => Ok(Level::Info),
            "warn" => Ok(Level::Warn),
            _ => Err(()),
        }
    }
}

static RATE_LIMITER: sync::LazyLock<sync::Mutex<rate_limit::Limiter>> =
    sync::LazyLock::new(sync::Mutex::default);
static START: sync::LazyLock<time::Instant> = sync::LazyLock::new(time::Instant::now);

/// Writes log lines of `level` and above to standard output, panics among them; fails with spdlog's error.
pub fn init(name: &str, level: Level, format: Format) -> Result<(), spdlog::Error> {
    let mut builder = sink::StdStreamSink::builder().stdout();
    builder = match format {
        Format::Json => builder.formatter(formatter::JsonFormatter::new()),
        Format::Text => builder.formatter(formatter::PatternFormatter::new(formatter::pattern!(
            "{date} {time}.{millisecond} {level} {logger} {payload}{eol}"
        ))),
    };
    let logger = spdlog::Logger::builder()
        .sink(sync::Arc::new(builder.build()?))
        .name(name)
        .level_filter(spdlog::LevelFilter::MoreSevereEqual(map_level(level)))
        .build()?;
    spdlog::set_default_logger(sync::Arc::new(logger));
    panics::install();
    Ok(())
}

/// Writes one line of `event` with `key=value` details, unless the event's rate limit is reached.
pub fn emit(event: Event, details: fmt::Arguments<'_>) {
    match check_rate(event) {
        rate_limit::Decision::Drop => return,
        rate_limit::Decision::Write => {}
        rate_limit::Decision::WriteAfter(count) => {
            let number = event.number;
            write(
                rate_limit::LINES_DROPPED,
                format_args!("event=E{number} count={count}"),
            );
        }
    }
    write(event, details);
}

fn check_rate(event: Event) -> rate_limit::Decision {
    let elapsed = START.elapsed().as_millis();
    let now_ms = u64::try_from(elapsed).unwrap_or(u64::MAX);
    let locked = RATE_LIMITER.lock();
    let mut limiter = locked.unwrap_or_else(sync::PoisonError::into_inner);
    limiter.check(now_ms, event.number)
}

fn write(event: Event, details: fmt::Arguments<'_>) {
    let level = map_level(event.level);
    spdlog::log!(level, "E{} {}: {}", event.number, event.name, details);
}

fn map_level(level: Level) -> spdlog::Level {
    match level {
        Level::Debug => spdlog::Level::Debug,
        Level::Error => spdlog::Level::Error,
        Level::Info => spdlog::Level::Info,
        Level::Warn => spdlog::Level::Warn,
    }
}
