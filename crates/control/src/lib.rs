//! Control host: the durable configuration, members, fences and claims.

pub mod machine;
pub mod replica;
