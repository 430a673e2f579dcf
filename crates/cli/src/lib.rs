//! Command line for operators: manifests, failure domains, upstreams, members, status, log analysis.

pub mod account;
pub mod account_windows;
mod changes;
mod client;
pub mod command;
pub mod diff;
mod exit;
mod options;
mod output;
pub mod question;
mod rollout;
mod run;
pub mod suspect;
pub mod timeline;
pub mod version_change;

pub use run::run;
