//! The requests that wait for one pool, by class and account, and the order of their turns.
//!
//! Virtual time needs no rounds of its own: requests leave in any order, because callers leave and slots suit some
//! requests only, and an account is charged at the moment that one of its requests gets its turn.

use std::collections::{BTreeMap, HashMap};

use coltsfootkeel_counters::MonotonicTime;

use crate::queue::competing_requests::UpstreamSet;
use crate::queue::rank_shares::RankShares;

/// Turns from which on the share of an account or a class is known.
const MIN_OBSERVED_TURNS: f64 = 8.0;

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
    /// The upstreams that suit the request.
    pub suitable: UpstreamSet,
}

/// Order of the requests of one account in one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    pub(super) is_new: bool,
    pub(super) sequence: u64,
}

/// Slots that go to the requests of an account or a class while some of them wait.
#[derive(Debug, Default)]
struct TurnShare {
    own: f64,
    /// Slots that went to all requests before.
    all_before: f64,
}

impl TurnShare {
    fn begin(&mut self, all: f64) {
        *self = Self {
            own: 0.0,
            all_before: all,
        };
    }

    /// Returns the slots for each one of these requests, from what all got since some of them wait. Requests that come
    /// later and go first are part of it.
    fn turns_per_own(&self, all: f64) -> f64 {
        let since = all - self.all_before;
        if since < MIN_OBSERVED_TURNS {
            return 1.0;
        }
        since / self.own.max(1.0)
    }
}

/// All waiting requests of a pool.
#[derive(Debug)]
pub(super) struct FairState<W> {
    pub(super) classes: BTreeMap<RequestClass, ClassQueue<W>>,
    pub(super) last_sequence: u64,
    /// Slots that requests got while others waited.
    served: f64,
}

#[derive(Debug)]
pub(super) struct ClassQueue<W> {
    accounts: BTreeMap<u64, AccountQueue<W>>,
    /// Virtual time of the waiting account that has used least.
    time: f64,
    share: TurnShare,
}

#[derive(Debug)]
pub(super) struct AccountQueue<W> {
    weight: f64,
    /// Virtual time up to which the account has used its share.
    used_until: f64,
    pub(super) requests: BTreeMap<Turn, WaitingRequest<W>>,
    share: TurnShare,
}

#[derive(Debug)]
pub(super) struct WaitingRequest<W> {
    pub(super) request: QueuedRequest,
    pub(super) waker: W,
}

impl<W> Default for FairState<W> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            last_sequence: 0,
            served: 0.0,
        }
    }
}

impl<W> FairState<W> {
    /// Returns all requests.
    pub(super) fn requests(&self) -> impl Iterator<Item = &WaitingRequest<W>> {
        let accounts = self
            .classes
            .values()
            .flat_map(|class| class.accounts.values());
        accounts.flat_map(|account| account.requests.values())
    }

    /// Returns the queue of an account in a class. An account that has not waited begins at the present virtual time, so
    /// it has no credit from the time before.
    pub(super) fn account(&mut self, request: &QueuedRequest) -> &mut AccountQueue<W> {
        let class = self.classes.entry(request.class).or_insert(ClassQueue {
            accounts: BTreeMap::new(),
            time: 0.0,
            share: TurnShare::default(),
        });
        let time = class.time;
        let account = class
            .accounts
            .entry(request.account)
            .or_insert(AccountQueue {
                weight: request.weight,
                used_until: time,
                requests: BTreeMap::new(),
                share: TurnShare::default(),
            });
        account.weight = request.weight;
        account.used_until = account.used_until.max(time);
        account
    }

    /// Adds a waiting request.
    pub(super) fn insert(&mut self, turn: Turn, waiting: WaitingRequest<W>) {
        let request = waiting.request;
        let served = self.served;
        let is_first = self
            .classes
            .get(&request.class)
            .is_none_or(ClassQueue::is_empty);
        let account = self.account(&request);
        if account.requests.is_empty() {
            account.share.begin(served);
        }
        account.requests.insert(turn, waiting);
        if is_first && let Some(queue) = self.classes.get_mut(&request.class) {
            queue.share.begin(served);
        }
    }

    /// Returns the class whose request gets the next turn: the first one, unless a less urgent rank is owed one. A rank
    /// that is served less often than the owed one goes before it, so that urgent kinds are not served less. Only
    /// requests that `suits` accepts count.
    fn next_class(
        &self,
        shares: &RankShares,
        suits: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<RequestClass> {
        let waiting = || {
            let classes = self.classes.iter();
            classes
                .filter(|(_, queue)| queue.requests().any(&suits))
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
        let is_served_least = |owed: &RequestClass| {
            let frequency = shares.frequency(owed.rank);
            waiting()
                .filter(|class| class.rank < owed.rank)
                .all(|class| shares.frequency(class.rank) >= frequency)
        };
        Some(owed.filter(is_served_least).unwrap_or(first))
    }

    /// Removes the next request that `suits` accepts. `given` holds the virtual time that accounts get by the requests
    /// popped at once.
    pub(super) fn pop(
        &mut self,
        shares: &RankShares,
        given: &mut HashMap<(RequestClass, u64), f64>,
        suits: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<W> {
        let class = self.next_class(shares, &suits)?;
        let queue = self.classes.get_mut(&class)?;
        let time = queue.time;
        let order = |hash: u64, account: &AccountQueue<W>| {
            account.order(time) + given.get(&(class, hash)).copied().unwrap_or_default()
        };
        let waiting = queue.accounts.iter_mut();
        let (hash, next) = waiting
            .filter(|(_, account)| account.waiting().any(&suits))
            .min_by(|a, b| order(*a.0, a.1).total_cmp(&order(*b.0, b.1)))?;
        *given.entry((class, *hash)).or_default() += 1.0 / next.weight;
        let mut requests = next.requests.iter();
        let (turn, _) = requests.find(|(_, waiting)| suits(&waiting.request))?;
        let turn = *turn;
        next.requests.remove(&turn).map(|waiting| waiting.waker)
    }

    /// Charges an account for a slot, and advances the virtual time to that of the waiting account that has used least.
    pub(super) fn charge(&mut self, request: &QueuedRequest) {
        let account = self.account(request);
        account.used_until += 1.0 / account.weight;
        account.share.own += 1.0;
        self.served += 1.0;
        if let Some(queue) = self.classes.get_mut(&request.class) {
            queue.share.own += 1.0;
            let accounts = queue.accounts.values();
            let waiting = accounts.filter(|account| !account.requests.is_empty());
            let least = waiting.map(|account| account.used_until);
            queue.time = least
                .min_by(f64::total_cmp)
                .unwrap_or(queue.time)
                .max(queue.time);
        }
    }

    /// Returns how many requests that compete with a new one have their turn before it, as seen from its account: of
    /// each other account no more than its share in the same time. Requests that come later and go first are estimated
    /// from the share of the turns that the account and the class had so far.
    pub(super) fn count_ahead(
        &self,
        request: &QueuedRequest,
        turn: Turn,
        shares: &RankShares,
    ) -> f64 {
        let is_owed = shares.is_owed(request.class.rank);
        let before = |class: &RequestClass| *class < request.class && !is_owed;
        let classes = self.classes.iter().filter(|(class, _)| before(class));
        let competing = |other: &QueuedRequest| request.suitable.overlap(&other.suitable);
        let urgent = classes.flat_map(|(_, queue)| queue.requests());
        let urgent: f64 = urgent.map(competing).sum();
        let Some(queue) = self.classes.get(&request.class) else {
            return urgent;
        };
        let own = queue.accounts.get(&request.account);
        let own_requests = own.into_iter().flat_map(|own| own.requests.range(..turn));
        let own_ahead: f64 = own_requests
            .map(|(_, waiting)| competing(&waiting.request))
            .sum();
        let own_begin = own.map_or(queue.time, |own| own.used_until.max(queue.time));
        // The virtual time at which the request gets its turn.
        let turn_at = own_begin + own_ahead / request.weight;
        let others = queue
            .accounts
            .iter()
            .filter(|(account, _)| **account != request.account);
        let others = others.map(|(_, other)| {
            let most: f64 = other.waiting().map(competing).sum();
            other.turns_until(turn_at, queue.time).min(most)
        });
        let in_class = own_ahead + others.sum::<f64>();
        let by_account = own.map_or(0.0, |own| own_ahead * own.share.turns_per_own(self.served));
        let by_class = in_class * queue.share.turns_per_own(self.served);
        (urgent + in_class).max(by_account).max(by_class)
    }

    /// Returns the waiting requests from the last class and turn to the first.
    pub(super) fn last_to_first(&self) -> Vec<(QueuedRequest, Turn)> {
        let accounts = self
            .classes
            .values()
            .flat_map(|class| class.accounts.values());
        let waiting = accounts.flat_map(|account| account.requests.iter());
        let mut waiting: Vec<(QueuedRequest, Turn)> = waiting
            .map(|(turn, waiting)| (waiting.request, *turn))
            .collect();
        waiting.sort_unstable_by_key(|(request, turn)| std::cmp::Reverse((request.class, *turn)));
        waiting
    }
}

impl<W> ClassQueue<W> {
    fn is_empty(&self) -> bool {
        self.requests().next().is_none()
    }

    fn requests(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.accounts.values().flat_map(AccountQueue::waiting)
    }
}

impl<W> AccountQueue<W> {
    fn waiting(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.requests.values().map(|waiting| &waiting.request)
    }

    fn order(&self, time: f64) -> f64 {
        self.used_until.max(time)
    }

    /// Returns how many turns the account has before the virtual time `until`.
    fn turns_until(&self, until: f64, time: f64) -> f64 {
        let turns = (until - self.order(time)) * self.weight;
        turns.ceil().max(0.0)
    }
}
