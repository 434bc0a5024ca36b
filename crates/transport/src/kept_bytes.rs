//! Bytes of bodies that are kept, counted in a budget of the process.
//!
//! Load pattern: many requests at the same time whose answers or bodies are long, or have no end. Each may be kept
//! whole, so that the request can be sent again, but all of them together must fit the memory of the process. What does
//! not fit is forwarded while it arrives.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use coltsfootkeel_counters::ByteBudget;
use http_body::Body as HttpBody;

use crate::frame_turns::FrameTurn;

/// Bytes that stay counted in a budget until the last reference to them is dropped.
#[derive(Debug)]
struct KeptBytes {
    bytes: Vec<u8>,
    taken: u64,
    budget: Arc<ByteBudget>,
}

impl KeptBytes {
    fn new(budget: Arc<ByteBudget>) -> Self {
        Self {
            bytes: Vec::new(),
            taken: 0,
            budget,
        }
    }

    /// Appends `data`. Returns `false` and appends nothing if the budget has no room for it.
    fn try_extend(&mut self, data: &[u8]) -> bool {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.max(self.bytes.capacity() * 2);
            let increase = capacity as u64 - self.taken;
            if !self.budget.try_take(increase) {
                return false;
            }
            self.taken += increase;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.budget.give_back(self.taken);
    }
}

/// The beginning of a body, or all of it.
#[derive(Debug)]
pub struct BodyStart {
    /// The bytes that are kept.
    pub kept: Bytes,
    /// Bytes that were read after them and are not kept.
    pub next: Bytes,
    /// Whether the body was read to its end.
    pub is_complete: bool,
}

impl BodyStart {
    /// Reads a body to its end, or until `max_bytes` are kept or the budget has no room for more.
    ///
    /// # Errors
    ///
    /// Returns the error of the body if it cannot be read.
    pub async fn read<B>(
        body: &mut B,
        max_bytes: usize,
        budget: &Arc<ByteBudget>,
    ) -> Result<Self, B::Error>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let mut kept = KeptBytes::new(Arc::clone(budget));
        let mut next = Bytes::new();
        let mut is_complete = false;
        let mut turn = FrameTurn::default();
        while next.is_empty() && kept.bytes.len() < max_bytes {
            let frame = poll_fn(|context| {
                turn.poll(context, |context| Pin::new(&mut *body).poll_frame(context))
            });
            let Some(frame) = frame.await else {
                is_complete = true;
                break;
            };
            // Trailers are dropped: they may not be forwarded unless both sides have agreed on them.
            if let Ok(data) = frame?.into_data()
                && !kept.try_extend(&data)
            {
                next = data;
            }
        }
        is_complete |= next.is_empty() && body.is_end_stream();
        Ok(Self {
            kept: kept.freeze(),
            next,
            is_complete,
        })
    }
}
