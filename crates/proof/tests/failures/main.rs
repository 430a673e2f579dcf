//! Failure tests that run the real programs in front of the fake engine and service.
//!
//! Run as part of `cargo test --workspace --locked`, which builds the programs first.

mod caller;
mod fleet;
mod program;
#[allow(dead_code, reason = "the soak test uses the rest of it")]
mod relay;
mod settings;
mod spawn;

mod cold;
mod configuration;
mod control;
mod domains;
mod kills;
mod path;
mod placement;
mod security;
mod stops;
