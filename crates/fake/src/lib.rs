//! Simulated runners for tests, which run inside the test process.

pub mod endless;
pub mod runner;
