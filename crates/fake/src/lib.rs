//! Stand-ins that run within a test.

pub mod runner;
