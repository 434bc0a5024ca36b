//! Queue of the requests that wait for a free slot of their pool.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{AccountKey, PriorityClass};

/// A class with waiters receives a slot at the latest when it has been passed over this many times, unless other
/// classes are overdue as well.
pub const MAX_TIMES_PASSED_OVER: u32 = 10;

const CLASS_COUNT: usize = 4;

/// Returns the maximum time that a request of the class waits in the queue.
#[must_use]
pub const fn max_queue_wait(class: PriorityClass) -> Duration {
    match class {
        PriorityClass::Urgent => Duration::from_secs(5),
        PriorityClass::Standard => Duration::from_secs(2),
        PriorityClass::Preview => Duration::from_millis(500),
        PriorityClass::Overnight => Duration::from_secs(30),
    }
}

/// The client account of a waiter; `None` on a route that is open to all.
pub type WaiterAccount = Option<AccountKey>;

/// Identifies one waiter of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTicket {
    class: PriorityClass,
    account: WaiterAccount,
    number: u64,
}

/// The result of adding a request to the queue.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// The request was added to the queue.
    Queued {
        /// Identifies the waiter when it is removed.
        ticket: WaitTicket,
        /// The time at which the wait ends.
        until: MonotonicTime,
        /// The waiter that was removed for the new one; `None` if the queue was not full.
        shed: Option<T>,
    },
    /// The queue is full and no waiter ranks below the request.
    Refused(T),
}

#[derive(Debug)]
struct Waiter<T> {
    number: u64,
    until: MonotonicTime,
    item: T,
}

/// The waiters of one account within a class, oldest first.
#[derive(Debug)]
struct AccountQueue<T> {
    account: WaiterAccount,
    waiters: VecDeque<Waiter<T>>,
}

/// The accounts of one class with waiters, in the order in which they are served.
#[derive(Debug)]
struct ClassQueue<T> {
    accounts: VecDeque<AccountQueue<T>>,
    passed_over: u32,
}

/// Requests that wait for a slot, by class and, within a class, round robin by client account.
///
/// A new generation of the configuration may renumber the keys of accounts. This changes only the order of the requests
/// that are in the queue at that time.
#[derive(Debug)]
pub struct WaitQueue<T> {
    classes: [ClassQueue<T>; CLASS_COUNT],
    capacity: usize,
    len: usize,
    next_number: u64,
}

impl<T> WaitQueue<T> {
    /// Creates an empty queue for at most `capacity` waiters.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            classes: std::array::from_fn(|_| ClassQueue {
                accounts: VecDeque::new(),
                passed_over: 0,
            }),
            capacity,
            len: 0,
            next_number: 0,
        }
    }

    /// Adds a waiter, which waits for the maximum time of its class and not beyond its deadline.
    ///
    /// If the queue is full, a waiter of the least urgent class is removed: the newest one of the account with the most
    /// waiters, so that one account cannot fill the queue for the others.
    pub fn push(
        &mut self,
        now: MonotonicTime,
        class: PriorityClass,
        account: WaiterAccount,
        deadline: MonotonicTime,
        item: T,
    ) -> PushOutcome<T> {
        let mut shed = None;
        if self.len >= self.capacity {
            match self.shed_for(class, account) {
                Some(waiter) => shed = Some(waiter),
                None => return PushOutcome::Refused(item),
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        let until = deadline.min(now + max_queue_wait(class));
        self.classes[class as usize].push(
            account,
            Waiter {
                number,
                until,
                item,
            },
        );
        self.len += 1;
        let ticket = WaitTicket {
            class,
            account,
            number,
        };
        PushOutcome::Queued {
            ticket,
            until,
            shed,
        }
    }

    /// Removes and returns the waiter that receives the next slot.
    ///
    /// Waiters whose wait has ended are passed to `on_expired` and receive no slot.
    pub fn pop(&mut self, now: MonotonicTime, mut on_expired: impl FnMut(T)) -> Option<T> {
        let mut expired = 0;
        let mut record_expired = |item| {
            expired += 1;
            on_expired(item);
        };
        let mut served = None;
        while let Some(class) = self.next_class() {
            served = self.classes[class].pop(now, &mut record_expired);
            if served.is_some() {
                self.record_served(class);
                break;
            }
        }
        self.len -= expired + usize::from(served.is_some());
        served
    }

    /// Removes a waiter that no longer waits. Returns `None` if it has already left the queue.
    pub fn remove(&mut self, ticket: WaitTicket) -> Option<T> {
        let item = self.classes[ticket.class as usize].remove(ticket)?;
        self.len -= 1;
        Some(item)
    }

    /// Removes and returns the waiters whose wait has ended.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<T> {
        let mut expired = Vec::new();
        for class in &mut self.classes {
            class.expire(now, &mut expired);
        }
        self.len -= expired.len();
        expired
    }

    /// Returns the number of waiters.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the class to serve: the one that was passed over most often if it is overdue, or else the most urgent
    /// one.
    fn next_class(&self) -> Option<usize> {
        let waiting = || (0..CLASS_COUNT).filter(|class| !self.classes[*class].accounts.is_empty());
        let overdue = waiting()
            .filter(|class| self.classes[*class].passed_over >= MAX_TIMES_PASSED_OVER)
            .max_by_key(|class| self.classes[*class].passed_over);
        overdue.or_else(|| waiting().next())
    }

    fn record_served(&mut self, served_class: usize) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            if index == served_class || class.accounts.is_empty() {
                class.passed_over = 0;
            } else {
                class.passed_over += 1;
            }
        }
    }

    /// Evicts a waiter in favour of a new one of `class` and `account`. Returns `None` if no waiter ranks below
    /// it.
    fn shed_for(&mut self, class: PriorityClass, account: WaiterAccount) -> Option<T> {
        let least_urgent = (0..CLASS_COUNT)
            .rev()
            .find(|index| !self.classes[*index].accounts.is_empty())?;
        let own_class = class as usize;
        if least_urgent < own_class {
            return None;
        }
        let queue = &mut self.classes[least_urgent];
        if least_urgent == own_class && queue.max_account_len() <= queue.account_len(account) + 1 {
            return None;
        }
        let item = queue.shed_newest()?;
        self.len -= 1;
        Some(item)
    }
}

impl<T> ClassQueue<T> {
    fn push(&mut self, account: WaiterAccount, waiter: Waiter<T>) {
        match self
            .accounts
            .iter_mut()
            .find(|queue| queue.account == account)
        {
            Some(queue) => queue.waiters.push_back(waiter),
            None => self.accounts.push_back(AccountQueue {
                account,
                waiters: VecDeque::from([waiter]),
            }),
        }
    }

    /// Removes the oldest waiter of the account at the front, which then moves to the back.
    ///
    /// Waiters whose wait has ended are skipped, so that their account does not lose its place in the order.
    fn pop(&mut self, now: MonotonicTime, on_expired: &mut impl FnMut(T)) -> Option<T> {
        while let Some(mut queue) = self.accounts.pop_front() {
            while let Some(waiter) = queue.waiters.pop_front() {
                if now >= waiter.until {
                    on_expired(waiter.item);
                    continue;
                }
                if !queue.waiters.is_empty() {
                    self.accounts.push_back(queue);
                }
                return Some(waiter.item);
            }
        }
        None
    }

    fn remove(&mut self, ticket: WaitTicket) -> Option<T> {
        let account_index = self
            .accounts
            .iter()
            .position(|queue| queue.account == ticket.account)?;
        let waiters = &mut self.accounts[account_index].waiters;
        let index = waiters
            .iter()
            .position(|waiter| waiter.number == ticket.number)?;
        let waiter = waiters.remove(index)?;
        self.remove_empty_accounts();
        Some(waiter.item)
    }

    fn expire(&mut self, now: MonotonicTime, expired: &mut Vec<T>) {
        for queue in &mut self.accounts {
            let (ended, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut queue.waiters)
                .into_iter()
                .partition(|waiter| now >= waiter.until);
            queue.waiters = waiting;
            expired.extend(ended.into_iter().map(|waiter| waiter.item));
        }
        self.remove_empty_accounts();
    }

    fn remove_empty_accounts(&mut self) {
        self.accounts.retain(|queue| !queue.waiters.is_empty());
    }

    fn max_account_len(&self) -> usize {
        self.accounts
            .iter()
            .map(|queue| queue.waiters.len())
            .max()
            .unwrap_or(0)
    }

    fn account_len(&self, account: WaiterAccount) -> usize {
        self.accounts
            .iter()
            .find(|queue| queue.account == account)
            .map_or(0, |queue| queue.waiters.len())
    }

    /// Removes the newest waiter of the account with the most waiters.
    fn shed_newest(&mut self) -> Option<T> {
        let queue = self.accounts.iter_mut().max_by_key(|queue| {
            let newest = queue.waiters.back().map(|waiter| waiter.number);
            (queue.waiters.len(), newest)
        })?;
        let waiter = queue.waiters.pop_back()?;
        self.remove_empty_accounts();
        Some(waiter.item)
    }
}
