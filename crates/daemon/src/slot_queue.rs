//! Queue of the requests of one pool that wait for a free slot.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{PushOutcome, UpstreamHandle, WaitQueue, WaiterAccount};
use coltsfootkeel_model::PriorityClass;
use tokio::sync::oneshot;

/// The maximum number of requests that wait in one pool.
const MAX_WAITERS: usize = 512;

/// The reason why a waiting request received no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitFailure {
    /// The maximum time in the queue or the deadline of the request has passed.
    Expired,
    /// The queue was full: the request was removed in favour of another one or not accepted.
    Shed,
}

type WaiterSender = oneshot::Sender<Result<(), WaitFailure>>;

/// The wait queue of one pool. The lock is taken only by requests that wait and by requests that end while others wait.
#[derive(Debug)]
pub struct SlotQueue {
    /// A copy of the queue's length that is read without the lock.
    waiter_count: AtomicUsize,
    queue: Mutex<WaitQueue<WaiterSender>>,
}

impl SlotQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            waiter_count: AtomicUsize::new(0),
            queue: Mutex::new(WaitQueue::new(MAX_WAITERS)),
        }
    }

    /// Returns whether a request is waiting, in which case a new request must queue behind it.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        self.waiter_count.load(Ordering::Acquire) > 0
    }

    /// Waits until a slot may be free. The request must still take the slot, and another request may take it first.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request leaves the queue without a slot.
    pub async fn wait(
        &self,
        now: MonotonicTime,
        class: PriorityClass,
        account: WaiterAccount,
        deadline: MonotonicTime,
    ) -> Result<(), WaitFailure> {
        let (sender, receiver) = oneshot::channel();
        let outcome = {
            let mut queue = self.lock();
            let outcome = queue.push(now, class, account, deadline, sender);
            self.publish_length(&queue);
            outcome
        };
        let (ticket, until) = match outcome {
            PushOutcome::Refused(_) => return Err(WaitFailure::Shed),
            PushOutcome::Queued {
                ticket,
                until,
                shed,
            } => {
                if let Some(shed) = shed {
                    let _ = shed.send(Err(WaitFailure::Shed));
                }
                (ticket, until)
            }
        };
        let guard = TicketGuard {
            queue: self,
            ticket: Some(ticket),
        };
        let result = tokio::time::timeout(until.since(now), receiver).await;
        match result {
            Ok(Ok(result)) => {
                guard.disarm();
                result
            }
            Ok(Err(_)) | Err(_) => Err(WaitFailure::Expired),
        }
    }

    /// Wakes the next waiter, if there is one.
    pub fn wake(&self, now: MonotonicTime) {
        if !self.has_waiters() {
            return;
        }
        let mut queue = self.lock();
        let expire = |waiter: WaiterSender| {
            let _ = waiter.send(Err(WaitFailure::Expired));
        };
        while let Some(waiter) = queue.pop(now, expire) {
            // Sending fails if the waiter's request was cancelled; the slot then goes to the next waiter.
            if waiter.send(Ok(())).is_ok() {
                break;
            }
        }
        self.publish_length(&queue);
    }

    fn publish_length(&self, queue: &WaitQueue<WaiterSender>) {
        self.waiter_count.store(queue.len(), Ordering::Release);
    }

    fn lock(&self) -> MutexGuard<'_, WaitQueue<WaiterSender>> {
        // The queue is consistent between calls, so it can still be used after a thread panicked while holding the
        // lock.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SlotQueue {
    fn default() -> Self {
        Self::new()
    }
}

/// Removes a waiter from the queue when its request stops waiting, for example because the caller has disconnected.
struct TicketGuard<'a> {
    queue: &'a SlotQueue,
    ticket: Option<coltsfootkeel_decisions::WaitTicket>,
}

impl TicketGuard<'_> {
    fn disarm(mut self) {
        self.ticket = None;
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let mut queue = self.queue.lock();
            queue.remove(ticket);
            self.queue.publish_length(&queue);
        }
    }
}

/// A slot that a request holds. Dropping the guard releases the slot and wakes the next waiter.
#[derive(Debug)]
pub struct SlotGuard {
    handle: UpstreamHandle,
    queue: Arc<SlotQueue>,
    clock: coltsfootkeel_transport::ProcessClock,
}

impl SlotGuard {
    /// Creates the guard of a slot that has already been taken from `handle`. `queue` is the queue of the upstream's
    /// pool.
    #[must_use]
    pub fn new(
        handle: UpstreamHandle,
        queue: Arc<SlotQueue>,
        clock: coltsfootkeel_transport::ProcessClock,
    ) -> Self {
        Self {
            handle,
            queue,
            clock,
        }
    }

    /// Returns the handle with the slots and the health of the upstream.
    #[must_use]
    pub fn handle(&self) -> &UpstreamHandle {
        &self.handle
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.handle.slots.release();
        self.queue.wake(self.clock.now());
    }
}
