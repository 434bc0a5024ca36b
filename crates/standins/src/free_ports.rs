//! Ports for the processes of a test.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the operating system gives to outgoing connections, so that none of these takes one.
const FIRST_PORT: u16 = 24_000;
const PORTS: u16 = 7_900;
/// Test programs that run side by side begin their search this far apart. A port that is free when one looks may be taken by
/// another one before it is used.
const PORTS_OF_PROGRAM: u16 = 100;

static SEARCHED: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that no other test of this process was given and that can be bound, for TCP and for UDP.
///
/// # Panics
///
/// Panics if no port is left.
pub fn free_port() -> SocketAddr {
    loop {
        let searched = SEARCHED.fetch_add(1, Ordering::Relaxed);
        assert!(searched < PORTS, "no port is left for tests");
        let port = FIRST_PORT + (first_offset() + searched) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns where this process begins its search.
fn first_offset() -> u16 {
    let programs = u32::from(PORTS / PORTS_OF_PROGRAM);
    let own = u16::try_from(std::process::id() % programs).unwrap_or_default();
    own * PORTS_OF_PROGRAM
}
