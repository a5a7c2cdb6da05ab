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
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if port > LAST_PORT {
            return Err(BenchError::new(BenchErrorKind::Process, "no free port is left"));
        }
        let address = SocketAddr::new(loopback(), port);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

fn loopback() -> IpAddr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    // 127.x.y.0 and 127.x.y.255 are valid host addresses of 127.0.0.0/8.
    IpAddr::V4(Ipv4Addr::new(127, high, middle, low))
}
