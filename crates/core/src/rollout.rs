//! Rollouts: the traffic of a service moves to another version of its upstreams, and back if that is
//! bad.
//!
//! [`order`] holds the replicated orders, [`counts`] what gateways count of the answers of both
//! versions, [`judge`] compares these, [`schedule`] decides on the share of the new version and the
//! end of the rollout, and [`share`] applies the share at a gateway.

pub mod counts;
pub mod judge;
pub mod order;
pub mod schedule;
pub mod sequential;
pub mod share;
