//! Lets other requests run while the frames of a body arrive faster than they are handled.
//!
//! Load pattern: a peer sends a body without end in chunks of a byte. One read of the connection holds thousands of
//! frames, so a task that takes frames as long as one is ready would hold its thread for tenths of a second.

use std::task::{Context, Poll};

/// Frames that a task takes before it lets others run. They take less than a tenth of a millisecond.
const MAX_FRAMES_PER_TURN: u32 = 64;

/// The frames that were taken from a body since its task last waited.
#[derive(Debug, Default)]
pub(crate) struct FrameTurn {
    frames: u32,
}

impl FrameTurn {
    /// Polls for the next frame with `poll_frame`, unless the task has taken [`MAX_FRAMES_PER_TURN`] frames in a row.
    /// It is then woken at once, behind the other tasks.
    pub(crate) fn poll<F>(
        &mut self,
        context: &mut Context<'_>,
        poll_frame: impl FnOnce(&mut Context<'_>) -> Poll<F>,
    ) -> Poll<F> {
        if self.frames >= MAX_FRAMES_PER_TURN {
            self.frames = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let frame = poll_frame(context);
        self.frames = if frame.is_ready() { self.frames + 1 } else { 0 };
        frame
    }

    /// Polls for one more frame of this turn. Returns `None` if the turn is over or no frame is ready.
    pub(crate) fn poll_further<F>(
        &mut self,
        context: &mut Context<'_>,
        poll_frame: impl FnOnce(&mut Context<'_>) -> Poll<F>,
    ) -> Option<F> {
        if self.frames >= MAX_FRAMES_PER_TURN {
            return None;
        }
        match poll_frame(context) {
            Poll::Ready(frame) => {
                self.frames += 1;
                Some(frame)
            }
            Poll::Pending => None,
        }
    }
}
