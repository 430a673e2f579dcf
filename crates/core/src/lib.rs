//! Decision logic and protocols of peargap, without I/O.
//!
//! The crate opens no sockets, reads no clock and has no source of randomness of its own: time is
//! passed in as [`time::Instant`], randomness as a generator. Callers perform the effects that its
//! functions return.

pub mod admit;
pub mod aggregator;
pub mod backlog;
pub mod balance;
pub mod batch;
pub mod body_budget;
pub mod breaker;
pub mod changes;
pub mod claims;
pub mod clock;
pub mod cold_rate;
pub mod config;
pub mod config_follower;
pub mod curve;
pub mod departures;
pub mod document_delta;
pub mod document_fetch;
pub mod document_history;
pub mod document_transfer;
pub mod drain;
pub mod event_timing;
pub mod fair;
pub mod fences;
pub mod fetch;
pub mod fleet_share;
pub mod forecast;
pub mod generation;
pub mod limit;
pub mod load_totals;
pub mod log;
pub mod manifest;
pub mod members;
pub mod named_limits;
pub mod pace;
pub mod pace_counts;
pub mod pace_table;
pub mod pause;
pub mod placement;
pub mod prefix;
pub mod prefix_cache;
pub mod prompt;
pub mod quarantine;
pub mod queue;
pub mod ramp;
pub mod rate_limit;
pub mod reconnect;
pub mod replay_buffer;
pub mod request;
pub mod retry;
pub mod retry_budget;
pub mod rollout;
pub mod routes;
pub mod routing;
mod running;
pub mod seen;
pub mod selection;
pub mod slow_start;
pub mod sse;
pub mod table;
pub mod time;
pub mod upstreams;
pub mod window;
