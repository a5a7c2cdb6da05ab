//! Allocates loopback addresses for a deployment's listeners.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

use crate::error::{BenchError, BenchErrorKind};

/// First port to allocate; the ports lie below the range that outgoing
/// connections use.
const FIRST_PORT: u16 = 10_000;

/// Last port to allocate.
const LAST_PORT: u16 = 32_000;

/// Second octet of the first IP address that is reserved for one node. Process
/// ids never reach this value in that octet, so that these addresses differ from
/// those of [`free_address`].
const FIRST_NODE_OCTET: u8 = 128;

/// Number of nodes that can have an IP address of their own.
const NODE_IP_COUNT: usize = 127;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Allocates an address that no other deployment uses.
///
/// The IP address is derived from the process id, and ports are never reused,
/// so that a node can be restarted on its previous address.
///
/// # Errors
///
/// Fails when all ports have been allocated.
pub fn free_address() -> Result<SocketAddr, BenchError> {
    let [_, high, middle, low] = process::id().to_be_bytes();
    // 127.x.y.0 and 127.x.y.255 are valid host addresses of 127.0.0.0/8.
    free_port(Ipv4Addr::new(127, high, middle, low))
}

/// Allocates an address whose IP address is used by one node only.
///
/// # Errors
///
/// Fails when all ports have been allocated.
pub(crate) fn distinct_address(node: usize) -> Result<SocketAddr, BenchError> {
    let [_, _, middle, low] = process::id().to_be_bytes();
    let offset = (node % NODE_IP_COUNT) as u8;
    free_port(Ipv4Addr::new(127, FIRST_NODE_OCTET + offset, middle, low))
}

fn free_port(ip: Ipv4Addr) -> Result<SocketAddr, BenchError> {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if port > LAST_PORT {
            return Err(BenchError::new(BenchErrorKind::Process, "no free loopback port left"));
        }
        let address = SocketAddr::new(IpAddr::V4(ip), port);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
