//! Loopback addresses for a deployment's listeners.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

use crate::error::{BenchError, BenchErrorKind};

/// First port given out; below the range that outgoing connections use.
const FIRST_PORT: u16 = 10_000;

/// Last port given out.
const LAST_PORT: u16 = 32_000;

/// Second byte of the IP number of the first node with one of its own; process
/// ids stay below it.
const FIRST_OWN_NUMBER: u8 = 128;

/// Nodes that can have an IP number of their own.
const OWN_NUMBERS: usize = 127;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Gives out an address that no other deployment uses.
///
/// The IP address is derived from the process id and the port counts up, so
/// that a node can be restarted on the address it had.
///
/// # Errors
///
/// Fails when the ports are used up.
pub fn free_address() -> Result<SocketAddr, BenchError> {
    let [_, high, middle, low] = process::id().to_be_bytes();
    // 127.x.y.0 and 127.x.y.255 are valid host addresses of 127.0.0.0/8.
    free_port(Ipv4Addr::new(127, high, middle, low))
}

/// Gives out an address whose IP number belongs to one node alone.
///
/// # Errors
///
/// Fails when the ports are used up.
pub(crate) fn own_address(node: usize) -> Result<SocketAddr, BenchError> {
    let [_, _, middle, low] = process::id().to_be_bytes();
    let number = (node % OWN_NUMBERS) as u8;
    free_port(Ipv4Addr::new(127, FIRST_OWN_NUMBER + number, middle, low))
}

fn free_port(ip: Ipv4Addr) -> Result<SocketAddr, BenchError> {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if port > LAST_PORT {
            return Err(BenchError::new(BenchErrorKind::Process, "no free port is left"));
        }
        let address = SocketAddr::new(IpAddr::V4(ip), port);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
