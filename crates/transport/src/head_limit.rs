//! A limit on the bytes that are read from an upstream before the head of its response is complete.
//!
//! The HTTP library limits the length of one head, but skips interim responses (1xx) without limit, and it reads as long
//! as bytes arrive. An upstream that sends them without end would occupy the thread of the request beyond its deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The longest head of a response in bytes, with the interim responses before it.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
const UNLIMITED: usize = usize::MAX;

/// The number of bytes that a connection may still read. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct ReadAllowance {
    bytes: Arc<AtomicUsize>,
}

impl Default for ReadAllowance {
    fn default() -> Self {
        Self {
            bytes: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }
}

impl ReadAllowance {
    /// Limits the bytes that are read from now on to those of a head.
    pub(crate) fn limit_to_head(&self) {
        self.bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit.
    pub(crate) fn lift(&self) {
        self.bytes.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns whether the limit is reached.
    pub(crate) fn is_used_up(&self) -> bool {
        self.bytes.load(Ordering::Relaxed) == 0
    }
}

/// A stream that reads no more than its allowance.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> LimitedStream<S> {
    pub(crate) fn new(stream: S, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes = self.allowance.bytes.load(Ordering::Relaxed);
        if bytes == 0 {
            // The body may follow a head that used the allowance up: the owner then lifts the limit and polls again.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if bytes == UNLIMITED {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let size = buffer.remaining().min(bytes);
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut limited);
        let read = limited.filled().len();
        buffer.advance(read);
        self.allowance.bytes.store(bytes - read, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
