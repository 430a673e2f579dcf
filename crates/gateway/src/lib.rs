//! Gateway: takes callers' requests and passes them to upstreams that announce themselves.
//!
//! It follows every control host for routes, domains out of service and upstreams, and calls
//! upstreams itself. Generations move to another engine when theirs leaves or breaks off.

mod answer;
mod call;
mod events;
mod fleet;
mod follow;
mod gateway;
mod generation;
pub mod host;
mod meters;
mod migrate;
mod place;
mod plain;
mod pool;
mod relay;
mod server;
pub mod settings;
mod source;
mod upstream;
