//! Control host: the durable configuration, members, fences and claims.

mod attached;
mod claims;
mod codec;
mod events;
pub mod machine;
mod operators;
pub mod replica;
pub mod service;
mod spread;
mod watch;
