//! Drives the ledgers of a fleet in one thread, with messages that arrive at once and are never lost.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    Incarnation, LedgerOutput, LedgerSettings, LoanLedger, LoanPeer, LoanPolicy, LoanRequest,
    OutgoingMessage, RateAmount, RateHandle, RateLimitKey, split_rate,
};

use crate::random_sequence::RandomSequence;
use crate::sample_fleet::DOMAINS;

/// The policy, budget and tick of the daemon.
pub(crate) const SETTINGS: LedgerSettings = LedgerSettings {
    policy: LoanPolicy::AHEAD_OF_DEMAND,
    requests_per_s: 200,
    longest_deadline: Duration::from_secs(10),
};
const TICK_MS: u64 = 10;

/// Time before counting starts, in which the estimates of demand settle.
const WARM_MS: u64 = 3_000;

/// Milli-tokens of one request.
const REQUEST_COST: i64 = 1_000;

/// The part of an account's requests that arrives at one instance, in percent.
const SKEW_PERCENT: usize = 80;

/// Offered load as a part of an account's rate, in percent.
const LOAD_PERCENT: u64 = 60;

/// A fleet under skewed demand.
#[derive(Debug, Clone, Copy)]
pub struct ExchangePlan {
    /// Instances, each with a seat.
    pub instances: usize,
    /// Client accounts. The demand of account `i` is greatest at instance `i` modulo the instances.
    pub accounts: usize,
    /// The rate of each account in requests per second.
    pub rate_per_s: i64,
    /// The time in which messages are counted, in seconds.
    pub counted_s: u64,
}

/// The messages of a run after it settled.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExchangeCounts {
    /// Asks of all instances, renewals included.
    pub asks: u64,
    /// Grants, also those of nothing.
    pub grants: u64,
    /// Returns.
    pub returns: u64,
    /// Messages that the busiest instance sent or received.
    pub busiest: u64,
    /// Requests that found a token.
    pub admitted: u64,
    /// Requests that found none; they would have waited.
    pub short: u64,
}

impl ExchangeCounts {
    /// Returns all messages.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.asks + self.grants + self.returns
    }
}

struct LedgerFleet {
    ledgers: Vec<LoanLedger>,
    handles: Vec<Vec<RateHandle>>,
    touched: Vec<u64>,
    counts: ExchangeCounts,
}

/// Runs a fleet and counts its messages.
///
/// # Panics
///
/// Panics if a ledger addresses an instance that is not in the fleet.
#[must_use]
pub fn run_exchange(plan: ExchangePlan) -> ExchangeCounts {
    let mut fleet = LedgerFleet::new(plan);
    let mut random = RandomSequence(7);
    let mut due = 0;
    let end_ms = WARM_MS + plan.counted_s * 1_000;
    for now_ms in (0..end_ms).step_by(10) {
        if now_ms == WARM_MS {
            fleet.counts = ExchangeCounts::default();
            fleet.touched.fill(0);
        }
        due += plan.rate_per_s.unsigned_abs() * LOAD_PERCENT * TICK_MS;
        let requests = due / 100_000;
        due %= 100_000;
        for account in 0..plan.accounts {
            for _ in 0..requests {
                let is_skewed = random.below(100) < SKEW_PERCENT;
                let elsewhere = random.below(plan.instances);
                let place = if is_skewed {
                    account % plan.instances
                } else {
                    elsewhere
                };
                fleet.request(place, account);
            }
        }
        fleet.tick(MonotonicTime::from_millis(1_000 + now_ms));
    }
    fleet.counts.busiest = fleet.touched.iter().copied().max().unwrap_or(0);
    fleet.counts
}

impl LedgerFleet {
    fn new(plan: ExchangePlan) -> Self {
        let start = MonotonicTime::from_millis(1_000);
        let total = RateAmount {
            rate: plan.rate_per_s * REQUEST_COST,
            burst: plan.rate_per_s * REQUEST_COST / 2,
        };
        let shares: Vec<Vec<RateAmount>> = (0..plan.accounts)
            .map(|account| split_rate(total, plan.instances, &format!("account-{account}")))
            .collect();
        let mut ledgers = Vec::new();
        let mut handles = Vec::new();
        for instance in 0..plan.instances {
            let mut ledger = LoanLedger::new(SETTINGS, start);
            let keys: Vec<RateLimitKey> = shares
                .iter()
                .map(|shares| {
                    let key = ledger.add_rate_limit(start);
                    ledger.set_rate_share(key, total, shares[instance]);
                    key
                })
                .collect();
            ledger.set_rate_lenders(lenders_of(instance, plan.instances));
            ledger.activate_claimed_seat(None);
            handles.push(keys.iter().map(|key| ledger.rate_handle(*key)).collect());
            ledgers.push(ledger);
        }
        Self {
            ledgers,
            handles,
            touched: vec![0; plan.instances],
            counts: ExchangeCounts::default(),
        }
    }

    fn request(&mut self, instance: usize, account: usize) {
        let handle = &self.handles[instance][account];
        if handle.bucket.try_take(REQUEST_COST) {
            self.counts.admitted += 1;
        } else {
            handle.shortages.record();
            self.counts.short += 1;
        }
    }

    fn tick(&mut self, now: MonotonicTime) {
        for instance in 0..self.ledgers.len() {
            let LedgerOutput { requests, returns } = self.ledgers[instance].tick(now);
            for ask in requests {
                self.deliver_ask(instance, ask, now);
            }
            for end in returns {
                let lender = index_of(end.to);
                self.counts.returns += 1;
                self.touch(instance, lender, 1);
                self.ledgers[lender].handle_return(incarnation_of(instance), end.message, now);
            }
        }
    }

    fn deliver_ask(
        &mut self,
        borrower: usize,
        ask: OutgoingMessage<LoanRequest>,
        now: MonotonicTime,
    ) {
        let lender = index_of(ask.to);
        self.counts.asks += 1;
        self.touch(borrower, lender, 1);
        let grant = self.ledgers[lender].answer_request(incarnation_of(borrower), ask.message, now);
        if let Some(grant) = grant {
            self.counts.grants += 1;
            self.touch(borrower, lender, 1);
            self.ledgers[borrower].handle_grant(ask.to, grant, now);
        }
    }

    fn touch(&mut self, one: usize, other: usize, messages: u64) {
        self.touched[one] += messages;
        self.touched[other] += messages;
    }
}

fn lenders_of(instance: usize, instances: usize) -> Vec<LoanPeer> {
    (0..instances)
        .filter(|peer| *peer != instance)
        .map(|peer| LoanPeer {
            incarnation: incarnation_of(peer),
            is_near: peer % DOMAINS == instance % DOMAINS,
        })
        .collect()
}

fn incarnation_of(instance: usize) -> Incarnation {
    Incarnation(instance as u64)
}

fn index_of(incarnation: Incarnation) -> usize {
    usize::try_from(incarnation.0).expect("an instance of the fleet")
}
