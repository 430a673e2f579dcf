//! Command line for operators: manifests, failure domains, upstreams, members, status, log analysis.

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
