//! Messages between peargap's processes.
//!
//! The modules below are generated from `proto` by `tools/wire-gen` and committed, so the build
//! needs no generator. Use them only at the boundary of a process, and convert them there.

#![allow(missing_docs, unreachable_pub, clippy::all, clippy::as_underscore)]
#![allow(clippy::ignored_unit_patterns)]

/// Entry to agent.
#[path = "gen/peargap.agent.rs"]
#[rustfmt::skip]
pub mod agent;

/// Entries and agents to control.
#[path = "gen/peargap.control.rs"]
#[rustfmt::skip]
pub mod control;

/// Gateways to control.
#[path = "gen/peargap.fleet.rs"]
#[rustfmt::skip]
pub mod fleet;

/// Operators to control.
#[path = "gen/peargap.operator.rs"]
#[rustfmt::skip]
pub mod operator;

/// Control host to control host.
#[path = "gen/peargap.peer.rs"]
#[rustfmt::skip]
pub mod peer;

/// The replicated log's commands and snapshots.
#[path = "gen/peargap.record.rs"]
#[rustfmt::skip]
pub mod record;
