//! Control host: the durable configuration, members, fences and claims.

mod attached;
mod claims;
mod codec;
mod events;
pub mod machine;
pub mod operators;
mod pace;
mod proposal;
pub mod replica;
pub mod service;
mod spread;
mod watch;
