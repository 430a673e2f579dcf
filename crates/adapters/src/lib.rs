//! Adapters that the peargap processes share: command line, settings, configuration, logs,
//! metrics, health and signals.

pub mod body_budget;
pub mod body_buffer;
pub mod clock;
pub mod command;
pub mod config;
pub mod deployment;
pub mod digest;
pub mod document;
pub mod evidence;
pub mod follow;
pub mod health;
pub mod intake;
pub mod limit;
pub mod load;
pub mod logs;
pub mod manifest;
pub mod metrics;
pub mod pace;
pub mod panics;
pub mod rate_limit;
pub mod read_budget;
pub mod rollout;
pub mod settings;
pub mod signals;
pub mod upstream;
pub mod waiting;
