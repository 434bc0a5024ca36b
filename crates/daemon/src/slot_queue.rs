//! Requests of one pool that wait for a slot.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{PushOutcome, UpstreamHandle, WaitQueue, WaiterAccount};
use coltsfootkeel_model::WorkClass;
use tokio::sync::oneshot;

/// The most requests that wait in one pool.
const MAX_WAITERS: usize = 512;

/// Why a waiting request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitFailure {
    /// Its wait ended.
    Expired,
    /// It gave way to a more urgent request.
    Shed,
}

type WaiterSender = oneshot::Sender<Result<(), WaitFailure>>;

/// The queue of one pool. Only requests that must wait, and those that end while others wait, take its lock.
#[derive(Debug)]
pub struct SlotQueue {
    waiting: AtomicUsize,
    queue: Mutex<WaitQueue<WaiterSender>>,
}

impl SlotQueue {
    /// Makes an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            waiting: AtomicUsize::new(0),
            queue: Mutex::new(WaitQueue::new(MAX_WAITERS)),
        }
    }

    /// Tells whether a request waits, so that a new one must queue behind it.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        self.waiting.load(Ordering::Acquire) > 0
    }

    /// Waits until a slot may be free.
    ///
    /// # Errors
    ///
    /// Returns why the request got no slot.
    pub async fn wait(
        &self,
        now: MonotonicTime,
        class: WorkClass,
        account: WaiterAccount,
        deadline: MonotonicTime,
    ) -> Result<(), WaitFailure> {
        let (sender, receiver) = oneshot::channel();
        let outcome = {
            let mut queue = self.lock();
            let outcome = queue.push(now, class, account, deadline, sender);
            self.publish(&queue);
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
            wait: self,
            ticket: Some(ticket),
        };
        let answer = tokio::time::timeout(until.since(now), receiver).await;
        match answer {
            Ok(Ok(answer)) => {
                guard.left_queue();
                answer
            }
            Ok(Err(_)) | Err(_) => Err(WaitFailure::Expired),
        }
    }

    /// Wakes the next waiter if there is one.
    pub fn wake(&self, now: MonotonicTime) {
        if !self.has_waiters() {
            return;
        }
        let mut queue = self.lock();
        let expire = |waiter: WaiterSender| {
            let _ = waiter.send(Err(WaitFailure::Expired));
        };
        while let Some(waiter) = queue.pop(now, expire) {
            // A waiter whose caller has left does not use up the slot.
            if waiter.send(Ok(())).is_ok() {
                break;
            }
        }
        self.publish(&queue);
    }

    fn publish(&self, queue: &WaitQueue<WaiterSender>) {
        self.waiting.store(queue.len(), Ordering::Release);
    }

    fn lock(&self) -> MutexGuard<'_, WaitQueue<WaiterSender>> {
        // The queue is consistent between two calls, so a panic of another holder does not spoil it.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SlotQueue {
    fn default() -> Self {
        Self::new()
    }
}

/// Removes a waiter that stops waiting.
struct TicketGuard<'a> {
    wait: &'a SlotQueue,
    ticket: Option<coltsfootkeel_decisions::WaitTicket>,
}

impl TicketGuard<'_> {
    fn left_queue(mut self) {
        self.ticket = None;
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let mut queue = self.wait.lock();
            queue.remove(ticket);
            self.wait.publish(&queue);
        }
    }
}

/// A slot that a request holds. Dropped, it is free again and the next waiter is woken.
#[derive(Debug)]
pub struct SlotGuard {
    lane: UpstreamHandle,
    wait: Arc<SlotQueue>,
    clock: coltsfootkeel_transport::ProcessClock,
}

impl SlotGuard {
    /// Takes over a slot of `lane` that was just taken.
    #[must_use]
    pub fn new(
        lane: UpstreamHandle,
        wait: Arc<SlotQueue>,
        clock: coltsfootkeel_transport::ProcessClock,
    ) -> Self {
        Self { lane, wait, clock }
    }

    /// Returns the upstream's slots and health.
    #[must_use]
    pub fn lane(&self) -> &UpstreamHandle {
        &self.lane
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.lane.slots.put_back();
        self.wait.wake(self.clock.now());
    }
}
