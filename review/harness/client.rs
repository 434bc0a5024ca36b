//! A stand-in of a client: one request on a new connection, sent in one or two pieces and read at a limited speed.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};
use std::{io, mem};

use crate::http::read_head;

/// A client's request.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub key: &'a str,
    /// Time budget in milliseconds.
    pub budget_ms: u64,
    pub body: &'a [u8],
    /// The pause between the two halves of the head.
    pub pause: Duration,
    /// The most bytes of the answer's body that are read each second; 0 for no limit.
    pub bytes_per_s: usize,
}

/// What a client saw.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// The status; 0 without an answer.
    pub status: u16,
    /// Whether the answer was signed by a target.
    pub is_signed: bool,
    /// The length that the answer states.
    pub length: usize,
    /// The bytes of the body that arrived.
    pub received: usize,
    /// How the connection ended, if the answer was not complete.
    pub error: String,
    /// Seconds from the first byte sent to the end.
    pub took_s: f64,
}

impl Seen {
    pub fn is_whole(&self) -> bool {
        self.status != 0 && self.received == self.length
    }
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    ip: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects as over a network: with segments of 1,460 bytes and a receive buffer of 64 KiB. The loopback interface has
/// segments of 64 KiB, with which the system buffers megabytes for each connection.
fn connect_as_over_a_network(to: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOCK_CLOEXEC: i32 = 0o2_000_000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(to) = to else {
        return Err(io::Error::other("not an IPv4 address"));
    };
    let address = SocketAddress {
        family: AF_INET as u16,
        port: to.port().to_be(),
        ip: u32::from(*to.ip()).to_be(),
        zero: [0; 8],
    };
    debug_assert!(*to.ip() != Ipv4Addr::UNSPECIFIED);
    // SAFETY: plain calls of the C library with valid pointers; the descriptor is owned by the stream from here on.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        for (level, name, value) in [(SOL_SOCKET, SO_RCVBUF, 65_536), (IPPROTO_TCP, TCP_MAXSEG, 1_460)] {
            setsockopt(descriptor, level, name, &value, 4);
        }
        let length = mem::size_of::<SocketAddress>() as u32;
        if connect(descriptor, &address, length) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends a request and reads the answer.
pub fn call(to: SocketAddr, request: &Request) -> Seen {
    let mut seen = Seen::default();
    let started = Instant::now();
    if let Err(error) = exchange(to, request, &mut seen) {
        seen.error = error.to_string();
    }
    seen.took_s = started.elapsed().as_secs_f64();
    seen
}

fn exchange(to: SocketAddr, request: &Request, seen: &mut Seen) -> io::Result<()> {
    let mut stream = connect_as_over_a_network(to)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.budget_ms + 1_000)))?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: jobs.example\r\nColtsfootkeel-Attempt-Id: {}\r\n\
         Coltsfootkeel-Request-Deadline: {}\r\nAuthorization: Token {}\r\nContent-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.attempt,
        request.budget_ms,
        request.key,
        request.body.len()
    );
    let bytes = [head.as_bytes(), request.body].concat();
    if request.pause.is_zero() {
        stream.write_all(&bytes)?;
    } else {
        let (first, second) = bytes.split_at(head.len() / 2);
        stream.write_all(first)?;
        thread::sleep(request.pause);
        stream.write_all(second)?;
    }
    let Some(answer) = read_head(&mut stream, Vec::new()) else {
        return Err(io::Error::other("the connection ended without an answer"));
    };
    seen.status = answer.status();
    seen.is_signed = answer.header("coltsfootkeel-response-signature").is_some();
    let length = answer.header("content-length");
    seen.length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    seen.received = answer.rest.len();
    let began = Instant::now();
    let mut buffer = [0; 8 * 1024];
    while seen.received < seen.length {
        if request.bytes_per_s > 0 {
            let due = seen.received as f64 / request.bytes_per_s as f64;
            let ahead = due - began.elapsed().as_secs_f64();
            thread::sleep(Duration::from_secs_f64(ahead.max(0.0)));
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::Error::other("the connection ended within the answer")),
            count => seen.received += count,
        }
    }
    Ok(())
}
