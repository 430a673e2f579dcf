//! The agent of one upstream: admission, queueing, token streams, calls and model orders.

mod admission;
mod admission_api;
mod agent;
mod body;
mod call;
mod decision;
mod domain;
mod enforcement;
mod engine;
mod events;
mod generation;
mod http;
mod link;
mod meters;
mod observe;
mod orders;
mod outcome;
mod poll;
mod registry;
mod run;
mod service;
mod settings;
mod start;
mod stream;
mod sweep;
mod tokens;

pub use run::run;
