//! Finds free loopback ports for the configuration of demos and tests.

use std::io;
use std::net;
use std::process;
use std::sync::atomic;

/// Lowest port returned; the whole range lies below the ephemeral ports of outgoing connections.
const FIRST_PORT: u32 = 11_000;
/// Size of the range of ports that may be returned.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first candidate ports of processes with consecutive ids.
const PROCESS_STRIDE: u32 = 211;

/// Number of ports that this process has probed.
static PROBED_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Returns `count` ports that are free now; never returns the same port twice to a process.
///
/// Fails when the range is exhausted.
pub fn find_ports(count: usize) -> io::Result<Vec<u16>> {
    let mut found = Vec::with_capacity(count);
    while found.len() < count {
        found.push(find_port()?);
    }
    Ok(found)
}

fn find_port() -> io::Result<u16> {
    loop {
        let index = PROBED_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        if index >= PORT_COUNT {
            return Err(io::Error::from(io::ErrorKind::AddrNotAvailable));
        }
        let process_offset = process::id().wrapping_mul(PROCESS_STRIDE);
        let port = FIRST_PORT + process_offset.wrapping_add(index) % PORT_COUNT;
        let port = u16::try_from(port).map_err(io::Error::other)?;
        // Probes by connecting rather than by binding: child processes that other threads spawn
        // would briefly inherit a bound listener, and the intended user would find the port in use.
        if net::TcpStream::connect((net::Ipv4Addr::LOCALHOST, port)).is_err() {
            return Ok(port);
        }
    }
}
