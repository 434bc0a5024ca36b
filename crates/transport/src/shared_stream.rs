//! The stream of a caller's connection, which the HTTP library and the task of the connection share.
//!
//! Load pattern: a caller sends further requests before the first one is answered, and then leaves. The HTTP library reads
//! nothing while such bytes wait, so it does not notice the end of the connection and would run all of them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A stream and the state of its input. Clones share both.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream {
    stream: Arc<TcpStream>,
    input: Arc<InputState>,
}

/// What the reader of a stream has received.
#[derive(Debug, Default)]
struct InputState {
    is_awaiting_bytes: AtomicBool,
    has_received: AtomicBool,
    is_within_head: AtomicBool,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            input: Arc::default(),
        }
    }

    /// Forgets that the reader waits for bytes, before it is polled again.
    pub(crate) fn clear_awaiting_bytes(&self) {
        self.input.is_awaiting_bytes.store(false, Ordering::Relaxed);
    }

    /// Returns whether the reader waits for bytes, so that it is also told of the end of the connection.
    pub(crate) fn is_awaiting_bytes(&self) -> bool {
        self.input.is_awaiting_bytes.load(Ordering::Relaxed)
    }

    /// Records that the bytes received so far belong to requests whose heads are complete.
    pub(crate) fn end_head(&self) {
        self.input.is_within_head.store(false, Ordering::Relaxed);
    }

    /// Returns whether a part of the next request was received, and its head is not complete.
    pub(crate) fn is_within_head(&self) -> bool {
        self.input.is_within_head.load(Ordering::Relaxed)
    }

    /// Returns whether any byte was received.
    pub(crate) fn has_received(&self) -> bool {
        self.input.has_received.load(Ordering::Relaxed)
    }

    /// Returns whether the peer has closed or reset the connection, also if bytes from before are still unread.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        let readiness = std::pin::pin!(self.stream.ready(Interest::READABLE));
        match readiness.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(readiness)) => readiness.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Returns the stream if no other clone is left.
    pub(crate) fn into_inner(self) -> Option<TcpStream> {
        Arc::into_inner(self.stream)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let Poll::Ready(readable) = self.stream.poll_read_ready(context) else {
                self.input.is_awaiting_bytes.store(true, Ordering::Relaxed);
                return Poll::Pending;
            };
            readable?;
            match self.stream.try_read_buf(buffer) {
                Ok(count) => {
                    if count > 0 {
                        self.input.has_received.store(true, Ordering::Relaxed);
                        self.input.is_within_head.store(true, Ordering::Relaxed);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: the task of the connection ends the stream, and then discards what the peer still sends.
    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
