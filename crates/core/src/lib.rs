//! Decisions and protocols of peargap, free of sockets, clocks and randomness.
//!
//! Time is passed in as [`time::Instant`], randomness as a generator. Adapters around this crate
//! perform the effects that its functions return.

pub mod config;
pub mod follow;
pub mod manifest;
pub mod members;
pub mod prefix;
pub mod time;
