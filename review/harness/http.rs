//! HTTP/1.1 on blocking sockets, as much as the stand-ins need.

use std::io::{Read, Write};
use std::net::TcpStream;

/// The head of a request or an answer, and the first bytes after it.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Bytes that were read after the head.
    pub rest: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The method and the target of a request.
    pub fn request(&self) -> (String, String) {
        let mut words = self.line.split(' ');
        let method = words.next().unwrap_or_default().to_string();
        (method, words.next().unwrap_or_default().to_string())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. Returns `None` if the connection ends before it is complete.
pub fn read_head(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Option<Head> {
    let mut buffer = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    };
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Some(Head {
        line,
        headers,
        rest: bytes[end + 4..].to_vec(),
    })
}

/// Reads the body of a request. Returns it with the bytes behind it; `None` if it is incomplete.
pub fn read_body(stream: &mut TcpStream, head: &Head) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut bytes = head.rest.clone();
    let mut buffer = [0; 16 * 1024];
    let mut more = |bytes: &mut Vec<u8>| match stream.read(&mut buffer) {
        Ok(0) | Err(_) => None,
        Ok(count) => {
            bytes.extend_from_slice(&buffer[..count]);
            Some(())
        }
    };
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match bytes.windows(2).position(|two| two == b"\r\n") {
                    Some(end) => break end,
                    None => more(&mut bytes)?,
                }
            };
            let size = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            while bytes.len() < end + 2 + size + 2 {
                more(&mut bytes)?;
            }
            body.extend_from_slice(&bytes[end + 2..end + 2 + size]);
            bytes.drain(..end + 2 + size + 2);
            if size == 0 {
                return Some((body, bytes));
            }
        }
    }
    let length: usize = head
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while bytes.len() < length {
        more(&mut bytes)?;
    }
    let rest = bytes.split_off(length);
    Some((bytes, rest))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
