//! Load and experiment tool of peargap, for development.

pub mod caller;
pub mod client;
pub mod command;
pub mod compare;
pub mod experiment;
pub mod ports;
pub mod ready;
pub mod run;
pub mod tally;
pub mod token;
pub mod walk;
