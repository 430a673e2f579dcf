//! Control host: the durable configuration, members, fences and claims.

pub mod convert;
pub mod disk;
mod events;
pub mod files;
mod gauges;
pub mod host;
mod lease;
pub mod machine;
mod peers;
mod record;
mod replay;
pub mod replica;
mod service;
pub mod settings;
mod timers;
mod worker;
