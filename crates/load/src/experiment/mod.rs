//! Discrete-event simulation: the production decision code in front of simulated engines on a
//! virtual clock.

pub mod admission;
pub mod baseline;
pub mod cache;
pub mod command;
pub mod deadly_parts;
pub mod deadly_requests;
pub mod engine;
pub mod entry;
mod event_queue;
mod exchange;
pub mod job;
pub mod measure;
pub mod named_limits;
pub mod node;
mod numbers;
pub mod pace;
mod paced_engine;
pub mod plot;
pub mod policy;
pub mod report;
pub mod restart;
pub mod rollouts;
pub mod scenario;
mod schedule;
pub mod shedding;
pub mod simulation;
pub mod suite;
pub mod target;
pub mod waiting;
pub mod workload;
