//! Addresses of the other control hosts.

use std::collections;
use std::net;
use std::sync;

/// Resolves the name of a control host to its internal address.
#[derive(Clone, Debug)]
pub enum Addresses {
    /// Addresses from the settings, by host name.
    Listed(sync::Arc<collections::BTreeMap<String, net::SocketAddr>>),
    /// Each name is itself an address; the internal address has the same IP and this port.
    FromName {
        /// Internal port, the same on all hosts.
        port: u16,
    },
}

impl Addresses {
    /// Returns the address of a host, or `None` if its name is not listed or not an address.
    pub fn resolve(&self, name: &str) -> Option<net::SocketAddr> {
        match self {
            Addresses::Listed(peers) => peers.get(name).copied(),
            Addresses::FromName { port } => {
                let address: net::SocketAddr = name.parse().ok()?;
                Some(net::SocketAddr::new(address.ip(), *port))
            }
        }
    }
}
