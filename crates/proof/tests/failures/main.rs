//! Failure tests on the real programs, with the stand-in engine and service behind them.
//!
//! Run as part of `cargo test --workspace --locked`, which builds the programs first.

mod caller;
mod fleet;
mod program;
#[allow(dead_code, reason = "the soak uses more of it")]
mod relay;
mod settings;

mod cold;
mod configuration;
mod control;
mod domains;
mod kills;
mod path;
mod placement;
mod security;
mod stops;
