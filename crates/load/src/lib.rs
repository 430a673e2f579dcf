//! Load and experiment tool of peargap, for development.

pub mod experiment;
