//! Ports for the processes of a test.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the operating system gives to outgoing connections, so that none of these takes one.
const FIRST_PORT: u16 = 24_000;
const LAST_PORT: u16 = 31_900;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Returns a loopback address that no other test of this process was given and that can be bound.
///
/// # Panics
///
/// Panics if no port is left.
pub fn free_port() -> SocketAddr {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port <= LAST_PORT, "no port is left for tests");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
