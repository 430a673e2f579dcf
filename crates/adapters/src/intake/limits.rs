//! Settings of what callers may make a process hold.

use rustix::process;

use crate::settings;

const BYTES_PER_MB: f64 = 1e6;
const DEFAULT_HOST_MB: f64 = 256.0;
/// Share of the host's memory that is for callers.
const MEMORY_SHARE: f64 = 0.25;
/// Descriptors of a process that the system does not limit.
const UNLIMITED_DESCRIPTORS: u64 = 1 << 20;

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Connections that callers may open, if neither descriptors nor memory set a lower bound.
    pub connections: usize,
    /// Descriptors that it may open. Half of them are for callers' connections, the rest for
    /// connections to others and for files.
    pub descriptors: u64,
    /// Memory of the host, in megabytes. A quarter of it is for callers.
    pub host_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        let limit = process::getrlimit(process::Resource::Nofile).current;
        Limits {
            connections: usize::MAX,
            descriptors: limit.unwrap_or(UNLIMITED_DESCRIPTORS),
            host_mb: DEFAULT_HOST_MB,
        }
    }
}

impl Limits {
    /// Returns the memory for what callers make the process hold, in bytes.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the memory of a host in bytes is a positive number far below 2^53"
    )]
    pub fn memory_bytes(&self) -> u64 {
        (self.host_mb * BYTES_PER_MB * MEMORY_SHARE) as u64
    }

    /// Returns the number of connections that callers may open, if the budget counts this many bytes for
    /// each.
    #[must_use]
    pub(crate) fn max_connections(&self, connection_bytes: usize) -> usize {
        let half = |whole| usize::try_from(whole / 2).unwrap_or(usize::MAX);
        // The other half of the memory is for requests.
        let by_memory = half(self.memory_bytes()) / connection_bytes;
        half(self.descriptors).min(by_memory).min(self.connections)
    }
}

/// Reads `[memory] host_mb` and `[connections] descriptors`.
pub fn read(reader: &mut settings::Reader) -> Limits {
    let default = Limits::default();
    Limits {
        connections: default.connections,
        descriptors: reader.ranged(
            "connections",
            "descriptors",
            default.descriptors,
            64..=u64::MAX,
        ),
        host_mb: reader.ranged("memory", "host_mb", default.host_mb, 16.0..=1e6),
    }
}
