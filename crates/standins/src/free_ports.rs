//! Allocation of loopback ports for the processes of a test.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is tried. The whole range lies below the ephemeral ports of the operating system (from 32768), so
/// that no outgoing connection occupies one of them.
const FIRST_PORT: u16 = 24_000;
const PORT_COUNT: u16 = 7_900;
/// Distance between the first ports of test programs that run at the same time. Without it, two programs could find the
/// same port free before either of them binds it.
const PORTS_PER_PROGRAM: u16 = 100;

static TRIED_PORTS: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address whose port is free for TCP and UDP and was not returned before in this process.
///
/// # Panics
///
/// Panics if all ports of the range have been tried.
pub fn free_port() -> SocketAddr {
    loop {
        let tried = TRIED_PORTS.fetch_add(1, Ordering::Relaxed);
        assert!(
            tried < PORT_COUNT,
            "all {PORT_COUNT} ports from {FIRST_PORT} have been tried"
        );
        let port = FIRST_PORT + (first_offset() + tried) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the offset from [`FIRST_PORT`] at which this process begins its search, derived from its process id.
fn first_offset() -> u16 {
    let range_count = u32::from(PORT_COUNT / PORTS_PER_PROGRAM);
    let range = u16::try_from(std::process::id() % range_count).unwrap_or_default();
    range * PORTS_PER_PROGRAM
}
