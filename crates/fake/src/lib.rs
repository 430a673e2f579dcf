//! Simulated runners for tests, which run inside the test process.

pub mod runner;
