//! Where the other control hosts are reached.

use std::collections;
use std::net;
use std::sync;

/// How the name of a control host becomes the address that it serves the others at.
#[derive(Clone, Debug)]
pub enum Addresses {
    /// Settings list each host.
    Listed(sync::Arc<collections::BTreeMap<String, net::SocketAddr>>),
    /// A name is itself an address; the host serves the others at the same IP and this port.
    Named {
        /// Port for other processes of the deployment, the same on all hosts.
        port: u16,
    },
}

impl Addresses {
    /// Returns the address of a host; none when its name tells nothing.
    pub fn find(&self, name: &str) -> Option<net::SocketAddr> {
        match self {
            Addresses::Listed(peers) => peers.get(name).copied(),
            Addresses::Named { port } => {
                let named: net::SocketAddr = name.parse().ok()?;
                Some(net::SocketAddr::new(named.ip(), *port))
            }
        }
    }
}
