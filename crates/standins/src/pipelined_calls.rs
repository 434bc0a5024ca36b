//! HTTP/1.1 client that sends several requests over one connection before it reads the first answer.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::http_call::{CallAnswer, CallRequest};

/// Returns the bytes of a request with a body of known length.
#[must_use]
pub fn encode_request(request: &CallRequest) -> Vec<u8> {
    let headers = request.headers.iter();
    let mut lines: Vec<String> = headers
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    if !request.body.is_empty() {
        lines.push(format!("content-length: {}\r\n", request.body.len()));
    }
    let (method, path) = (&request.method, &request.path);
    let head = format!("{method} {path} HTTP/1.1\r\n{}\r\n", lines.concat());
    [head.as_bytes(), &request.body].concat()
}

/// A connection on which requests are sent without waiting for the answers to earlier ones.
#[derive(Debug)]
pub struct PipelinedConnection {
    reader: AnswerReader,
    writer: OwnedWriteHalf,
}

impl PipelinedConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the connection cannot be established.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read_half, writer) = stream.into_split();
        let reader = AnswerReader {
            stream: BufReader::new(read_half),
        };
        Ok(Self { reader, writer })
    }

    /// Sends bytes, for example several encoded requests.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the connection is closed.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes).await
    }

    /// Reads the next answer; see [`AnswerReader::read_answer`].
    ///
    /// # Errors
    ///
    /// Returns the errors of [`AnswerReader::read_answer`].
    pub async fn read_answer(&mut self) -> io::Result<Option<CallAnswer>> {
        self.reader.read_answer().await
    }

    /// Separates the two directions, so that two tasks can use them.
    #[must_use]
    pub fn into_split(self) -> (AnswerReader, OwnedWriteHalf) {
        (self.reader, self.writer)
    }

    /// Ends the connection with a reset.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the option of the socket cannot be set.
    pub fn reset(self) -> io::Result<()> {
        self.writer.as_ref().set_zero_linger()?;
        self.writer.forget();
        Ok(())
    }
}

/// The receiving direction of a [`PipelinedConnection`].
#[derive(Debug)]
pub struct AnswerReader {
    stream: BufReader<OwnedReadHalf>,
}

impl AnswerReader {
    /// Reads the next answer. Returns `None` if the connection was closed after a complete answer.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the connection is reset, ends within an answer, or carries bytes that are no answer with
    /// a body of known length.
    pub async fn read_answer(&mut self) -> io::Result<Option<CallAnswer>> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let status = line
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3)?.parse().ok());
        let status = status.ok_or_else(|| invalid(&line))?;
        let headers = self.read_headers().await?;
        let length = headers
            .get(http::header::CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse().ok());
        let mut body = vec![0; length.ok_or_else(|| invalid("no length"))?];
        self.stream.read_exact(&mut body).await?;
        Ok(Some(CallAnswer {
            status,
            headers,
            body: Bytes::from(body),
        }))
    }

    async fn read_headers(&mut self) -> io::Result<HeaderMap> {
        let mut headers = HeaderMap::new();
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(headers);
            }
            let (name, value) = line.split_once(':').ok_or_else(|| invalid(line))?;
            let name = HeaderName::try_from(name).map_err(|_| invalid(line))?;
            let value = HeaderValue::try_from(value.trim()).map_err(|_| invalid(line))?;
            headers.append(name, value);
        }
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}
