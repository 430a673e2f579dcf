//! Operators' command line: manifests, failure domains, upstreams, members, status.

pub mod account;
mod changes;
mod client;
pub mod command;
pub mod diff;
mod exit;
mod in_force;
mod options;
mod page;
mod run;
pub mod story;

pub use run::run;
