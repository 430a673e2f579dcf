//! Control host: the durable configuration, members, fences and claims.

mod codec;
pub mod machine;
