//! Joins the small frames of a body that are ready at the same time.
//!
//! Load pattern: a peer sends a body in chunks of a byte. Each frame that is forwarded alone costs a chunk header and a
//! part of a system call.

use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};

use crate::frame_turns::FrameTurn;

/// The length from which a frame is forwarded as it is, because copying it costs more than it saves.
const MIN_UNJOINED_BYTES: usize = 4 * 1024;
/// The greatest length of a joined frame.
const MAX_JOINED_BYTES: usize = 16 * 1024;

/// What a poll of a body yields.
type NextFrame<E> = Option<Result<Frame<Bytes>, E>>;

/// A frame that was polled and cannot be joined to the ones before it.
#[derive(Debug)]
struct HeldFrame<E>(NextFrame<E>);

/// Yields the frames of a body, with small ones joined as long as the next one is ready.
#[derive(Debug)]
pub(crate) struct FrameJoiner<E> {
    turn: FrameTurn,
    /// In a box, because a frame may hold trailers and is seldom held.
    held: Option<Box<HeldFrame<E>>>,
}

impl<E> Default for FrameJoiner<E> {
    fn default() -> Self {
        Self {
            turn: FrameTurn::default(),
            held: None,
        }
    }
}

impl<E> FrameJoiner<E> {
    /// Polls for the next frame with `poll_frame`, and takes further frames that are ready within the turn of the task.
    pub(crate) fn poll(
        &mut self,
        context: &mut Context<'_>,
        mut poll_frame: impl FnMut(&mut Context<'_>) -> Poll<NextFrame<E>>,
    ) -> Poll<NextFrame<E>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(held.0);
        }
        let first = match small_data(ready!(self.turn.poll(context, &mut poll_frame))) {
            Ok(data) => data,
            Err(other) => return Poll::Ready(other),
        };
        let Some(second) = self.poll_joinable(first.len(), context, &mut poll_frame) else {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        };
        let mut joined = BytesMut::with_capacity(first.len() + second.len());
        joined.extend_from_slice(&first);
        joined.extend_from_slice(&second);
        while let Some(data) = self.poll_joinable(joined.len(), context, &mut poll_frame) {
            joined.extend_from_slice(&data);
        }
        Poll::Ready(Some(Ok(Frame::data(joined.freeze()))))
    }

    /// Returns the data of the next frame if it is ready and fits behind `joined_length` bytes. Holds any other frame.
    fn poll_joinable(
        &mut self,
        joined_length: usize,
        context: &mut Context<'_>,
        poll_frame: impl FnMut(&mut Context<'_>) -> Poll<NextFrame<E>>,
    ) -> Option<Bytes> {
        if self.held.is_some() {
            return None;
        }
        match small_data(self.turn.poll_further(context, poll_frame)?) {
            Ok(data) if joined_length + data.len() <= MAX_JOINED_BYTES => return Some(data),
            Ok(data) => self.hold(Some(Ok(Frame::data(data)))),
            Err(other) => self.hold(other),
        }
        None
    }

    fn hold(&mut self, next: NextFrame<E>) {
        self.held = Some(Box::new(HeldFrame(next)));
    }

    /// Returns whether a frame other than the end of the body is held.
    pub(crate) fn holds_frame(&self) -> bool {
        self.held.as_ref().is_some_and(|held| held.0.is_some())
    }

    /// Returns the number of bytes that are held.
    pub(crate) fn held_length(&self) -> usize {
        let frame = self.held.as_ref().and_then(|held| held.0.as_ref());
        let data = frame.and_then(|result| result.as_ref().ok()?.data_ref());
        data.map_or(0, Bytes::len)
    }
}

/// Returns the data of a frame that is short enough to be joined.
fn small_data<E>(next: NextFrame<E>) -> Result<Bytes, NextFrame<E>> {
    match next {
        Some(Ok(frame)) if is_small_data(&frame) => {
            frame.into_data().map_err(|frame| Some(Ok(frame)))
        }
        other => Err(other),
    }
}

fn is_small_data(frame: &Frame<Bytes>) -> bool {
    let data = frame.data_ref();
    data.is_some_and(|data| data.len() < MIN_UNJOINED_BYTES)
}

/// Returns the size hint of a body that begins with `length` more bytes than `rest`.
pub(crate) fn lengthened(rest: SizeHint, length: usize) -> SizeHint {
    let length = length as u64;
    let mut hint = SizeHint::new();
    hint.set_lower(rest.lower() + length);
    if let Some(upper) = rest.upper() {
        hint.set_upper(upper + length);
    }
    hint
}
