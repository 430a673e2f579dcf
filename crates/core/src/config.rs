//! The configuration that every node follows.

/// What is in force; a placeholder until the state machine's own type replaces it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    /// Grows with each change.
    pub version: u64,
}
