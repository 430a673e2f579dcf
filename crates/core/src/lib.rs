//! Decision logic and protocols of peargap, without I/O.
//!
//! The crate opens no sockets, reads no clock and has no source of randomness of its own: time is
//! passed in as [`time::Instant`], randomness as a generator. Callers perform the effects that its
//! functions return.

pub mod admit;
pub mod assign;
pub mod balance;
pub mod batch;
pub mod breaker;
pub mod cached;
pub mod changes;
pub mod claims;
pub mod clock;
pub mod config;
pub mod curve;
pub mod event;
pub mod fair;
pub mod fences;
pub mod fetch;
pub mod follow;
pub mod forecast;
pub mod generation;
pub mod log;
pub mod manifest;
pub mod members;
pub mod pace;
pub mod place;
pub mod prefix;
pub mod queue;
pub mod ramp;
pub mod replay;
pub mod retry;
pub mod routes;
pub mod routing;
mod running;
pub mod seen;
pub mod table;
pub mod time;
pub mod upstreams;
