//! Finds free loopback ports for the demo's settings.

use std::io;
use std::net;

/// Returns `count` ports that were free at the same moment.
///
/// Fails when the system has none left.
pub fn find_ports(count: usize) -> io::Result<Vec<u16>> {
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..count {
        listeners.push(net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?);
    }
    listeners
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect()
}
