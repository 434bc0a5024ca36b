//! Requests that wait for a slot of their pool.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{AccountKey, PriorityClass};

/// A class with waiters gets a slot at the latest when it was passed over this many times, unless
/// other classes are overdue as well.
pub const PASSED_OVER_MOST: u32 = 10;

const CLASSES: usize = 4;

/// Returns the longest wait of a class.
#[must_use]
pub const fn longest_wait(class: PriorityClass) -> Duration {
    match class {
        PriorityClass::Urgent => Duration::from_secs(5),
        PriorityClass::Standard => Duration::from_secs(2),
        PriorityClass::Preview => Duration::from_millis(500),
        PriorityClass::Overnight => Duration::from_secs(30),
    }
}

/// The account a waiter belongs to; nothing on a route open to all.
pub type WaiterAccount = Option<AccountKey>;

/// Addresses one waiter of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTicket {
    class: PriorityClass,
    account: WaiterAccount,
    number: u64,
}

/// What became of a request that was to wait.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued {
        /// Its ticket.
        ticket: WaitTicket,
        /// When its wait ends.
        until: MonotonicTime,
        /// The waiter that gave way to it.
        shed: Option<T>,
    },
    /// The queue is full of requests that go before it.
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
struct AccountLane<T> {
    account: WaiterAccount,
    waiters: VecDeque<Waiter<T>>,
}

/// The accounts of one class, in the order in which they are served next.
#[derive(Debug)]
struct ClassLanes<T> {
    lanes: VecDeque<AccountLane<T>>,
    passed_over: u32,
}

/// Requests that wait for a slot, by class and round robin by client account within a class.
///
/// The keys of accounts may be renumbered by a new generation. That changes only the order among
/// requests that wait at that moment.
#[derive(Debug)]
pub struct WaitQueue<T> {
    classes: [ClassLanes<T>; CLASSES],
    capacity: usize,
    len: usize,
    next_number: u64,
}

impl<T> WaitQueue<T> {
    /// Makes an empty queue for at most `capacity` waiters.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            classes: std::array::from_fn(|_| ClassLanes {
                lanes: VecDeque::new(),
                passed_over: 0,
            }),
            capacity,
            len: 0,
            next_number: 0,
        }
    }

    /// Adds a waiter that waits for as long as its class permits, and not beyond its deadline.
    ///
    /// If the queue is full, the least urgent class gives way. Within it, the account with the most
    /// waiters loses its newest one, so that one account cannot fill the queue for the others.
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
            match self.make_room(class, account) {
                Some(waiter) => shed = Some(waiter),
                None => return PushOutcome::Refused(item),
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        let until = deadline.min(now + longest_wait(class));
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

    /// Removes and returns the waiter that gets the next slot.
    ///
    /// Waiters whose wait has ended are passed to `on_expired` and get no slot.
    pub fn pop(&mut self, now: MonotonicTime, mut on_expired: impl FnMut(T)) -> Option<T> {
        let mut ended = 0;
        let mut note_ended = |item| {
            ended += 1;
            on_expired(item);
        };
        let mut served = None;
        while let Some(class) = self.next_class() {
            served = self.classes[class].pop(now, &mut note_ended);
            if served.is_some() {
                self.note_served(class);
                break;
            }
        }
        self.len -= ended + usize::from(served.is_some());
        served
    }

    /// Removes a waiter that no longer waits. Returns nothing if it has left the queue already.
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

    /// Tells whether nobody waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the class to serve: the one passed over most if it is overdue, or the most urgent.
    fn next_class(&self) -> Option<usize> {
        let waiting = || (0..CLASSES).filter(|class| !self.classes[*class].lanes.is_empty());
        let overdue = waiting()
            .filter(|class| self.classes[*class].passed_over >= PASSED_OVER_MOST)
            .max_by_key(|class| self.classes[*class].passed_over);
        overdue.or_else(|| waiting().next())
    }

    fn note_served(&mut self, served: usize) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            if index == served || class.lanes.is_empty() {
                class.passed_over = 0;
            } else {
                class.passed_over += 1;
            }
        }
    }

    /// Removes the waiter that gives way to a new one of `class` and `account`, if there is one.
    fn make_room(&mut self, class: PriorityClass, account: WaiterAccount) -> Option<T> {
        let least_urgent = (0..CLASSES)
            .rev()
            .find(|index| !self.classes[*index].lanes.is_empty())?;
        let own = class as usize;
        if least_urgent < own {
            return None;
        }
        let lanes = &mut self.classes[least_urgent];
        if least_urgent == own && lanes.longest() <= lanes.length_of(account) + 1 {
            return None;
        }
        let item = lanes.shed()?;
        self.len -= 1;
        Some(item)
    }
}

impl<T> ClassLanes<T> {
    fn push(&mut self, account: WaiterAccount, waiter: Waiter<T>) {
        match self.lanes.iter_mut().find(|lane| lane.account == account) {
            Some(lane) => lane.waiters.push_back(waiter),
            None => self.lanes.push_back(AccountLane {
                account,
                waiters: VecDeque::from([waiter]),
            }),
        }
    }

    /// Removes the oldest waiter of the account at the front, which then goes to the back.
    ///
    /// A waiter whose wait has ended does not cost its account the turn.
    fn pop(&mut self, now: MonotonicTime, on_expired: &mut impl FnMut(T)) -> Option<T> {
        while let Some(mut lane) = self.lanes.pop_front() {
            while let Some(waiter) = lane.waiters.pop_front() {
                if now >= waiter.until {
                    on_expired(waiter.item);
                    continue;
                }
                if !lane.waiters.is_empty() {
                    self.lanes.push_back(lane);
                }
                return Some(waiter.item);
            }
        }
        None
    }

    fn remove(&mut self, ticket: WaitTicket) -> Option<T> {
        let place = self
            .lanes
            .iter()
            .position(|lane| lane.account == ticket.account)?;
        let waiters = &mut self.lanes[place].waiters;
        let index = waiters
            .iter()
            .position(|waiter| waiter.number == ticket.number)?;
        let waiter = waiters.remove(index)?;
        self.drop_empty_lanes();
        Some(waiter.item)
    }

    fn expire(&mut self, now: MonotonicTime, expired: &mut Vec<T>) {
        for lane in &mut self.lanes {
            let (ended, waiting): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut lane.waiters)
                .into_iter()
                .partition(|waiter| now >= waiter.until);
            lane.waiters = waiting;
            expired.extend(ended.into_iter().map(|waiter| waiter.item));
        }
        self.drop_empty_lanes();
    }

    fn drop_empty_lanes(&mut self) {
        self.lanes.retain(|lane| !lane.waiters.is_empty());
    }

    fn longest(&self) -> usize {
        self.lanes
            .iter()
            .map(|lane| lane.waiters.len())
            .max()
            .unwrap_or(0)
    }

    fn length_of(&self, account: WaiterAccount) -> usize {
        self.lanes
            .iter()
            .find(|lane| lane.account == account)
            .map_or(0, |lane| lane.waiters.len())
    }

    /// Removes the newest waiter of the account with the most waiters.
    fn shed(&mut self) -> Option<T> {
        let lane = self.lanes.iter_mut().max_by_key(|lane| {
            let newest = lane.waiters.back().map(|waiter| waiter.number);
            (lane.waiters.len(), newest)
        })?;
        let waiter = lane.waiters.pop_back()?;
        self.drop_empty_lanes();
        Some(waiter.item)
    }
}
