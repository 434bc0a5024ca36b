//! The stream of a caller's connection, which the HTTP library and the task of the connection share.
//!
//! Load pattern: a caller sends further requests before the first one is answered, and then leaves. The HTTP library reads
//! nothing while such bytes wait, so it does not notice the end of the connection and would run all of them.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::read_ahead::{ReadAhead, ReadAheadLimits, ReadStep};

/// A stream and the state of its input. Clones share both.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream {
    stream: Arc<TcpStream>,
    input: Arc<InputState>,
    /// The requests that were received before their turn; `None` if the service starts none early.
    read_ahead: Option<Arc<Mutex<ReadAhead>>>,
}

/// What the reader of a stream has received.
#[derive(Debug, Default)]
struct InputState {
    is_awaiting_bytes: AtomicBool,
    has_received: AtomicBool,
    is_within_head: AtomicBool,
}

impl SharedStream {
    pub(crate) fn new(stream: TcpStream, limits: Option<ReadAheadLimits>) -> Self {
        Self {
            stream: Arc::new(stream),
            input: Arc::default(),
            read_ahead: limits.map(|limits| Arc::new(Mutex::new(ReadAhead::new(limits)))),
        }
    }

    /// Returns the requests that were received before their turn. Only the task of the connection uses them.
    pub(crate) fn read_ahead(&self) -> Option<MutexGuard<'_, ReadAhead>> {
        let read_ahead = self.read_ahead.as_ref()?;
        Some(read_ahead.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether a request was started whose turn has not come.
    pub(crate) fn has_started_early(&self) -> bool {
        self.read_ahead()
            .is_some_and(|read_ahead| read_ahead.started() > 0)
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

impl SharedStream {
    fn poll_socket(
        &self,
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
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Keeps what arrives while the HTTP library waits for an answer. Returns as soon as the peer has ended its
    /// direction.
    fn poll_ahead(
        &self,
        read_ahead: &mut ReadAhead,
        max_bytes: usize,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut room = max_bytes;
        while room > 0 {
            let mut scratch = buffer.take(room);
            if self.poll_socket(context, &mut scratch)?.is_pending() {
                break;
            }
            let received = scratch.filled();
            if received.is_empty() {
                return Poll::Ready(Ok(()));
            }
            room -= received.len();
            read_ahead.keep(received);
        }
        read_ahead.set_reader(context.waker());
        Poll::Pending
    }

    fn record_received(&self) {
        self.input.has_received.store(true, Ordering::Relaxed);
        self.input.is_within_head.store(true, Ordering::Relaxed);
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let previous_length = buffer.filled().len();
        let mut read_ahead = self.read_ahead();
        let step = match read_ahead.as_mut() {
            Some(read_ahead) => read_ahead.deliver(buffer),
            None => ReadStep::Direct,
        };
        match (step, read_ahead.as_mut()) {
            (ReadStep::KeepUpTo(max_bytes), Some(read_ahead)) => {
                return self.poll_ahead(read_ahead, max_bytes, context, buffer);
            }
            (ReadStep::Delivered, _) => {}
            _ => ready!(self.poll_socket(context, buffer))?,
        }
        if buffer.filled().len() > previous_length {
            self.record_received();
        }
        if let Some(read_ahead) = read_ahead.as_mut() {
            read_ahead.record_direct_read(buffer, previous_length);
        }
        Poll::Ready(Ok(()))
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
