//! Fair queue of the requests that wait for an upstream of one pool.
//!
//! Load pattern: callers compete for too little room. A heavy account or a kind at several times its usual rate would
//! fill a queue that is ordered by arrival. Requests in time go before late ones, urgent ranks before others, and within
//! a rank the accounts share the slots by virtual time, in proportion to their weights. Virtual time needs no rounds of
//! its own: requests leave the queue in any order, because callers leave and slots suit some requests only, and an
//! account is charged at the moment that one of its requests gets its turn.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::queue::rank_shares::RankShares;

/// Requests that are served together: those in time before late ones, then by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestClass {
    /// Whether even a warm upstream cannot answer within the objective.
    pub is_late: bool,
    /// Rank of the request; zero is the most urgent.
    pub rank: u32,
}

/// A request with what decides its turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedRequest {
    /// The class of the request.
    pub class: RequestClass,
    /// Hash of the name of its client account; zero without an account.
    pub account: u64,
    /// Weight of the account; larger than zero.
    pub weight: f64,
    /// Whether the caller returned after a refusal.
    pub is_returned: bool,
    /// When the request began to wait.
    pub since: MonotonicTime,
    /// When the request stops to wait.
    pub until: MonotonicTime,
}

/// Position of a request in the queue, by which it is removed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueTicket {
    request: QueuedRequest,
    turn: Turn,
}

/// Order of the requests of one account in one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    is_new: bool,
    sequence: u64,
}

/// Waiting requests by class; see the module.
#[derive(Debug)]
pub struct FairQueue<W> {
    state: Mutex<FairState<W>>,
    /// Number of waiting requests, including those that try to get a slot, so that requests need no lock while none waits.
    waiting: AtomicUsize,
    /// How often each rank is served.
    pub shares: RankShares,
}

#[derive(Debug)]
struct FairState<W> {
    classes: BTreeMap<RequestClass, ClassQueue<W>>,
    last_sequence: u64,
}

#[derive(Debug)]
struct ClassQueue<W> {
    accounts: HashMap<u64, AccountQueue<W>>,
    /// Virtual time of the waiting account that has used least.
    time: f64,
}

#[derive(Debug)]
struct AccountQueue<W> {
    weight: f64,
    /// Virtual time up to which the account has used its share.
    used_until: f64,
    requests: BTreeMap<Turn, WaitingRequest<W>>,
}

#[derive(Debug)]
struct WaitingRequest<W> {
    request: QueuedRequest,
    waker: W,
}

/// What waits at one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QueueSummary {
    /// Number of waiting requests by rank, in the order of ranks.
    pub waiting: Vec<(u32, u32)>,
    /// The longest time for which one of them has waited.
    pub oldest_wait: Duration,
}

impl<W> Default for FairQueue<W> {
    fn default() -> Self {
        Self {
            state: Mutex::new(FairState {
                classes: BTreeMap::new(),
                last_sequence: 0,
            }),
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

    /// Begins the wait of a request, behind the earlier ones of its account that are as urgent. A caller that returns after
    /// a refusal goes before new ones.
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
        let account = state.account(&request);
        let waiting = WaitingRequest { request, waker };
        account.requests.insert(ticket.turn, waiting);
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

    /// Returns how many requests get their turn before a new one of this kind, as seen from its account: of each other
    /// account no more than its share in the same time.
    #[must_use]
    pub fn count_ahead(&self, request: &QueuedRequest) -> f64 {
        let state = self.lock();
        let turn = Turn {
            is_new: !request.is_returned,
            sequence: u64::MAX,
        };
        state.count_ahead(request, turn, &self.shares)
    }

    /// Removes up to `count` requests in their order. They try to get a slot, and are inserted again if they find none.
    pub fn pop(&self, count: usize) -> Vec<W> {
        let mut state = self.lock();
        let mut given = HashMap::new();
        let popped = (0..count).map_while(|_| state.pop(&self.shares, &mut given));
        popped.collect()
    }

    /// Counts a request that got a slot and, while others wait, charges its account.
    pub fn count_served(&self, request: &QueuedRequest) {
        self.shares.count_served(request.class.rank);
        if !self.is_empty() {
            self.lock().charge(request);
        }
    }

    /// Removes the requests that cannot have their turn before they stop to wait, if one turn comes in every
    /// `turn_time`, and returns their wakers.
    pub fn remove_hopeless(&self, turn_time: Duration, now: MonotonicTime) -> Vec<W> {
        let mut state = self.lock();
        let mut removed = Vec::new();
        // The requests behind a removed one move up, so they are judged anew one by one.
        while let Some((request, turn)) = state.first_hopeless(turn_time, now, &self.shares) {
            let requests = &mut state.account(&request).requests;
            removed.extend(requests.remove(&turn).map(|waiting| waiting.waker));
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
        for entry in state.requests() {
            *waiting.entry(entry.request.class.rank).or_default() += 1;
            oldest_wait = oldest_wait.max(now.since(entry.request.since));
        }
        QueueSummary {
            waiting: waiting.into_iter().collect(),
            oldest_wait,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FairState<W>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<W> FairState<W> {
    fn requests(&self) -> impl Iterator<Item = &WaitingRequest<W>> {
        let accounts = self
            .classes
            .values()
            .flat_map(|class| class.accounts.values());
        accounts.flat_map(|account| account.requests.values())
    }

    /// Returns the queue of an account in a class. An account that has not waited begins at the present virtual time, so
    /// it has no credit from the time before.
    fn account(&mut self, request: &QueuedRequest) -> &mut AccountQueue<W> {
        let class = self.classes.entry(request.class).or_insert(ClassQueue {
            accounts: HashMap::new(),
            time: 0.0,
        });
        let time = class.time;
        let account = class
            .accounts
            .entry(request.account)
            .or_insert(AccountQueue {
                weight: request.weight,
                used_until: time,
                requests: BTreeMap::new(),
            });
        account.weight = request.weight;
        account.used_until = account.used_until.max(time);
        account
    }

    /// Returns the class whose request gets the next turn: the first one, unless a less urgent rank is owed one. A rank
    /// that is served less often than the owed one goes before it, so that urgent kinds are not served less.
    fn next_class(&self, shares: &RankShares) -> Option<RequestClass> {
        let waiting = || {
            let classes = self.classes.iter();
            classes
                .filter(|(_, queue)| queue.len() > 0)
                .map(|(class, _)| *class)
        };
        let first = waiting().next()?;
        let owed = waiting()
            .filter(|class| class.rank > first.rank && shares.is_owed(class.rank))
            .min_by(|a, b| {
                shares
                    .frequency(a.rank)
                    .total_cmp(&shares.frequency(b.rank))
            });
        let is_less = |owed: &RequestClass| {
            let urgent = waiting().filter(|class| class.rank < owed.rank);
            let frequency = shares.frequency(owed.rank);
            urgent
                .into_iter()
                .all(|class| shares.frequency(class.rank) >= frequency)
        };
        Some(owed.filter(is_less).unwrap_or(first))
    }

    /// Removes the next request. `given` holds the virtual time that accounts get by the requests popped at once.
    fn pop(
        &mut self,
        shares: &RankShares,
        given: &mut HashMap<(RequestClass, u64), f64>,
    ) -> Option<W> {
        let class = self.next_class(shares)?;
        let queue = self.classes.get_mut(&class)?;
        let time = queue.time;
        let order = |hash: u64, account: &AccountQueue<W>| {
            account.order(time) + given.get(&(class, hash)).copied().unwrap_or_default()
        };
        let waiting = queue.accounts.iter_mut();
        let (hash, next) = waiting
            .filter(|(_, account)| !account.requests.is_empty())
            .min_by(|a, b| order(*a.0, a.1).total_cmp(&order(*b.0, b.1)))?;
        *given.entry((class, *hash)).or_default() += 1.0 / next.weight;
        let (_, waiting) = next.requests.pop_first()?;
        Some(waiting.waker)
    }

    /// Charges an account for a slot, and advances the virtual time to that of the waiting account that has used least.
    fn charge(&mut self, request: &QueuedRequest) {
        let account = self.account(request);
        account.used_until += 1.0 / account.weight;
        if let Some(queue) = self.classes.get_mut(&request.class) {
            let accounts = queue.accounts.values();
            let waiting = accounts.filter(|account| !account.requests.is_empty());
            let least = waiting.map(|account| account.used_until);
            queue.time = least
                .min_by(f64::total_cmp)
                .unwrap_or(queue.time)
                .max(queue.time);
        }
    }

    fn count_ahead(&self, request: &QueuedRequest, turn: Turn, shares: &RankShares) -> f64 {
        let is_owed = shares.is_owed(request.class.rank);
        let before = |class: &RequestClass| *class < request.class && !is_owed;
        let classes = self.classes.iter().filter(|(class, _)| before(class));
        let urgent: usize = classes.map(|(_, queue)| queue.len()).sum();
        let Some(queue) = self.classes.get(&request.class) else {
            return as_f64(urgent);
        };
        let own = queue.accounts.get(&request.account);
        let own_ahead = own.map_or(0, |own| own.requests.range(..turn).count());
        let own_begin = own.map_or(queue.time, |own| own.used_until.max(queue.time));
        // The virtual time at which the request gets its turn.
        let turn_at = own_begin + as_f64(own_ahead) / request.weight;
        let others = queue
            .accounts
            .iter()
            .filter(|(account, _)| **account != request.account);
        let others = others.map(|(_, other)| other.turns_until(turn_at, queue.time));
        as_f64(urgent) + as_f64(own_ahead) + others.sum::<f64>()
    }

    fn first_hopeless(
        &self,
        turn_time: Duration,
        now: MonotonicTime,
        shares: &RankShares,
    ) -> Option<(QueuedRequest, Turn)> {
        let accounts = self
            .classes
            .values()
            .flat_map(|class| class.accounts.values());
        let waiting = accounts.flat_map(|account| account.requests.iter());
        let mut waiting = waiting.map(|(turn, waiting)| (waiting.request, *turn));
        waiting.find(|(request, turn)| {
            let ahead = self.count_ahead(request, *turn, shares);
            turn_time.mul_f64(ahead) > request.until.since(now)
        })
    }
}

impl<W> ClassQueue<W> {
    fn len(&self) -> usize {
        let accounts = self.accounts.values();
        accounts.map(|account| account.requests.len()).sum()
    }
}

impl<W> AccountQueue<W> {
    fn order(&self, time: f64) -> f64 {
        self.used_until.max(time)
    }

    /// Returns how many waiting requests of the account have their turn before the virtual time `until`.
    fn turns_until(&self, until: f64, time: f64) -> f64 {
        let turns = (until - self.order(time)) * self.weight;
        turns.ceil().clamp(0.0, as_f64(self.requests.len()))
    }
}

#[expect(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}
