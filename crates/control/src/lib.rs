//! Control host: the durable configuration, members, fences and claims.

mod attached;
mod birth;
mod claims;
mod codec;
pub mod convert;
pub mod disk;
mod events;
pub mod files;
mod gauges;
pub mod host;
mod inbox;
mod lease;
pub mod machine;
pub mod operators;
mod pace;
mod peers;
mod proposal;
mod record;
mod replay;
pub mod replica;
pub mod service;
pub mod settings;
mod spread;
mod timers;
mod watch;
mod worker;
