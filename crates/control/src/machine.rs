//! The state machine behind the log.

use std::sync;

use bytes::Bytes;
use peargap_core::config;

/// Why a snapshot cannot be restored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error;

/// Counts commands until the real state machine takes its place.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    config: sync::Arc<config::Config>,
    count: u64,
}

impl Machine {
    /// Returns the empty state.
    pub fn new() -> Machine {
        Machine::default()
    }

    /// Applies one committed command and returns its reply.
    pub fn apply(&mut self, _index: u64, _command: &Bytes) -> Bytes {
        self.count += 1;
        Bytes::copy_from_slice(&self.count.to_be_bytes())
    }

    /// Returns the whole state.
    pub fn snapshot(&self) -> Bytes {
        Bytes::copy_from_slice(&self.count.to_be_bytes())
    }

    /// Returns the state of a snapshot.
    pub fn restore(snapshot: &Bytes) -> Result<Machine, Error> {
        let bytes: [u8; 8] = snapshot.as_ref().try_into().map_err(|_error| Error)?;
        Ok(Machine {
            config: sync::Arc::default(),
            count: u64::from_be_bytes(bytes),
        })
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> sync::Arc<config::Config> {
        self.config.clone()
    }
}
