//! Discrete-event simulation: the production decision code in front of simulated engines on a
//! virtual clock.

mod agenda;
pub mod cache;
pub mod command;
pub mod engine;
pub mod entry;
pub mod gate;
pub mod job;
pub mod measure;
pub mod node;
pub mod plain;
pub mod plot;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod suite;
pub mod target;
pub mod workload;
pub mod world;
