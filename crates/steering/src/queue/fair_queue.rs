//! Fair queue of the requests that wait for an upstream of one pool.
//!
//! Load pattern: callers compete for too little room. A heavy account or a kind at several times its usual rate would
//! fill a queue that is ordered by arrival. Requests in time go before late ones, urgent ranks before others, and within
//! a rank the accounts share the slots by virtual time, in proportion to their weights.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::queue::account_queues::{FairState, QueuedRequest, Turn, WaitingRequest};
use crate::queue::competing_requests::{CompetingRequests, UpstreamSet};
use crate::queue::rank_shares::RankShares;

/// Waiting requests are shed from this multiple of the time that they may still wait on. Turns come in bunches, because
/// runs that begin together end together.
const SHED_WAIT_FACTOR: f64 = 2.0;

/// Position of a request in the queue, by which it is removed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueTicket {
    request: QueuedRequest,
    turn: Turn,
}

/// Waiting requests by class; see the module.
#[derive(Debug)]
pub struct FairQueue<W> {
    state: Mutex<FairState<W>>,
    /// Number of waiting requests, including those that try to get a slot, so that requests need no lock while none
    /// waits.
    waiting: AtomicUsize,
    /// How often each rank is served.
    pub shares: RankShares,
}

/// What waits at one instance.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct QueueSummary {
    /// Number of waiting requests by rank, in the order of ranks.
    pub waiting: Vec<(u32, u32)>,
    /// The longest time for which one of them has waited.
    pub oldest_wait: Duration,
    /// The upstreams for which they wait.
    pub competing: CompetingRequests,
}

impl<W> Default for FairQueue<W> {
    fn default() -> Self {
        Self {
            state: Mutex::new(FairState::default()),
            waiting: AtomicUsize::new(0),
            shares: RankShares::default(),
        }
    }
}

impl<W> FairQueue<W> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Begins the wait of a request, behind the earlier ones of its account that are as urgent. A caller that returns
    /// after a refusal goes before new ones.
    pub fn begin_wait(&self, request: QueuedRequest) -> QueueTicket {
        let mut state = self.lock();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        state.last_sequence += 1;
        QueueTicket {
            request,
            turn: Turn {
                is_new: !request.is_returned,
                sequence: state.last_sequence,
            },
        }
    }

    /// Adds a waiting request, also again after a turn that it could not use.
    pub fn insert(&self, ticket: &QueueTicket, waker: W) {
        let mut state = self.lock();
        let request = ticket.request;
        state.insert(ticket.turn, WaitingRequest { request, waker });
    }

    /// Ends the wait of a request, and removes it if it is still in the queue.
    pub fn end_wait(&self, ticket: &QueueTicket) {
        let mut state = self.lock();
        let account = state.account(&ticket.request);
        account.requests.remove(&ticket.turn);
        if self.waiting.fetch_sub(1, Ordering::Relaxed) == 1 {
            // Shares apply only while requests compete.
            state.classes.clear();
        }
    }

    /// Returns whether a request may look for a slot before the waiting ones: none of them would have its turn before.
    #[must_use]
    pub fn is_next(&self, request: &QueuedRequest) -> bool {
        self.is_empty() || self.count_ahead(request) < 1.0
    }

    /// Returns how many requests that compete with a new one of this kind get their turn before it, as seen from its
    /// account: of each other account no more than its share in the same time.
    #[must_use]
    pub fn count_ahead(&self, request: &QueuedRequest) -> f64 {
        let state = self.lock();
        let turn = Turn {
            is_new: !request.is_returned,
            sequence: u64::MAX,
        };
        state.count_ahead(request, turn, &self.shares)
    }

    /// Returns how many waiting requests are expected to take an upstream in `set`.
    #[must_use]
    pub fn competing(&self, set: &UpstreamSet) -> f64 {
        if self.is_empty() {
            return 0.0;
        }
        let state = self.lock();
        let competing = state.requests();
        competing
            .map(|waiting| set.overlap(&waiting.request.suitable))
            .sum()
    }

    /// Removes up to `count` requests in their order. They try to get a slot, and are inserted again if they find none.
    pub fn pop(&self, count: usize) -> Vec<W> {
        self.pop_where(count, |_| true)
    }

    /// Removes up to `count` requests that the upstream with this short hash suits, in their order.
    pub fn pop_suited(&self, upstream: u32, count: usize) -> Vec<W> {
        self.pop_where(count, |request| request.suitable.contains(upstream))
    }

    fn pop_where(&self, count: usize, suits: impl Fn(&QueuedRequest) -> bool) -> Vec<W> {
        let mut state = self.lock();
        let mut given = HashMap::new();
        let popped = (0..count).map_while(|_| state.pop(&self.shares, &mut given, &suits));
        popped.collect()
    }

    /// Counts a request that got a slot and, while others wait, charges its account.
    pub fn count_served(&self, request: &QueuedRequest) {
        self.shares.count_served(request.class.rank);
        if !self.is_empty() {
            self.lock().charge(request);
        }
    }

    /// Sheds the requests whose turn is expected long after they stop to wait, and returns their wakers. `turns_per_s` is
    /// the rate at which a request like the given one gets a slot here.
    pub fn shed(&self, turns_per_s: impl Fn(&QueuedRequest) -> f64, now: MonotonicTime) -> Vec<W> {
        let mut state = self.lock();
        let mut removed = Vec::new();
        // From the last one on, because the others move up when it is removed.
        for (request, turn) in state.last_to_first() {
            let ahead = state.count_ahead(&request, turn, &self.shares);
            let time_left = request.until.since(now).as_secs_f64();
            if ahead > turns_per_s(&request) * time_left * SHED_WAIT_FACTOR {
                let requests = &mut state.account(&request).requests;
                removed.extend(requests.remove(&turn).map(|waiting| waiting.waker));
            }
        }
        removed
    }

    /// Returns what waits.
    #[must_use]
    pub fn summary(&self, now: MonotonicTime) -> QueueSummary {
        if self.is_empty() {
            return QueueSummary::default();
        }
        let state = self.lock();
        let mut waiting: BTreeMap<u32, u32> = BTreeMap::new();
        let mut oldest_wait = Duration::ZERO;
        let mut competing = CompetingRequests::default();
        for entry in state.requests() {
            competing.add(&entry.request.suitable);
            *waiting.entry(entry.request.class.rank).or_default() += 1;
            oldest_wait = oldest_wait.max(now.since(entry.request.since));
        }
        QueueSummary {
            waiting: waiting.into_iter().collect(),
            oldest_wait,
            competing,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FairState<W>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
