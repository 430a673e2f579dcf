//! Finds free loopback ports for the settings of demos and tests.

use std::io;
use std::net;
use std::process;
use std::sync::atomic;

/// First port offered; below the range that systems use for outgoing connections.
const FIRST_PORT: u32 = 11_000;
/// Ports that may be offered.
const PORTS: u32 = 20_000;
/// Distance between the first ports of two processes with neighbouring ids.
const PROCESS_STRIDE: u32 = 211;

/// Ports that this process has looked at.
static LOOKED_AT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Returns `count` ports that are free now; a process is never offered one twice.
///
/// Fails when there are none left.
pub fn find_ports(count: usize) -> io::Result<Vec<u16>> {
    let mut found = Vec::with_capacity(count);
    while found.len() < count {
        found.push(find_port()?);
    }
    Ok(found)
}

fn find_port() -> io::Result<u16> {
    loop {
        let number = LOOKED_AT.fetch_add(1, atomic::Ordering::Relaxed);
        if number >= PORTS {
            return Err(io::Error::from(io::ErrorKind::AddrNotAvailable));
        }
        let first = process::id().wrapping_mul(PROCESS_STRIDE);
        let port = FIRST_PORT + first.wrapping_add(number) % PORTS;
        let port = u16::try_from(port).map_err(io::Error::other)?;
        // A listener made to try it would live on for a moment in processes that other threads
        // start, and the process that is to have the port would find it in use.
        if net::TcpStream::connect((net::Ipv4Addr::LOCALHOST, port)).is_err() {
            return Ok(port);
        }
    }
}
