//! Runs the loan ledgers of a fleet in one thread. Messages arrive immediately and are never lost.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    Incarnation, LedgerOutput, LedgerSettings, LoanLedger, LoanPeer, LoanPolicy, LoanRequest,
    OutgoingMessage, RateAmount, RateHandle, RateLimitKey, split_rate,
};

use crate::random_sequence::RandomSequence;
use crate::sample_fleet::DOMAIN_COUNT;

/// Ledger settings with the loan policy and request budget of the daemon.
pub(crate) const LEDGER_SETTINGS: LedgerSettings = LedgerSettings {
    policy: LoanPolicy::AHEAD_OF_DEMAND,
    requests_per_s: 200,
    longest_deadline: Duration::from_secs(10),
};
const TICK_MS: u64 = 10;

/// Time before messages are counted, in which the demand estimates converge.
const WARM_UP_MS: u64 = 3_000;

/// Rate tokens that a request takes, in thousandths of a token.
const REQUEST_COST_MILLI_TOKENS: i64 = 1_000;

/// Percentage of the requests of an account that always arrive at the same instance.
const SKEW_PERCENT: usize = 80;

/// Offered load in percent of the rate of an account.
const LOAD_PERCENT: u64 = 60;

/// Fleet with unevenly distributed demand.
#[derive(Debug, Clone, Copy)]
pub struct ExchangePlan {
    /// Number of instances, each with a seat.
    pub instances: usize,
    /// Number of client accounts. Most requests of account `i` arrive at instance `i` modulo the number of instances.
    pub accounts: usize,
    /// Rate limit of each account in requests per second.
    pub rate_per_s: i64,
    /// Time in which messages are counted, in seconds.
    pub counted_s: u64,
}

/// Numbers of messages and requests in the counted time of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExchangeCounts {
    /// Loan requests of all instances, including renewals.
    pub loan_requests: u64,
    /// Answers to loan requests, including those that grant nothing.
    pub grants: u64,
    /// Returns of loans.
    pub returns: u64,
    /// Messages that the instance with the most messages sent or received.
    pub busiest_messages: u64,
    /// Requests for which the instance had a token.
    pub admitted: u64,
    /// Requests for which the instance had no token. In a daemon they would queue.
    pub without_token: u64,
}

impl ExchangeCounts {
    /// Returns the number of messages of all kinds.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.loan_requests + self.grants + self.returns
    }
}

struct LedgerFleet {
    ledgers: Vec<LoanLedger>,
    handles: Vec<Vec<RateHandle>>,
    message_counts: Vec<u64>,
    counts: ExchangeCounts,
}

/// Runs the ledgers of a fleet and counts their messages.
///
/// # Panics
///
/// Panics if a ledger sends a message to an instance that is not in the fleet.
#[must_use]
pub fn run_exchange(plan: ExchangePlan) -> ExchangeCounts {
    let mut fleet = LedgerFleet::new(plan);
    let mut random = RandomSequence(7);
    // Requests of each account that are due, in units of 1/100,000 of a request (percent times milliseconds).
    let mut due = 0;
    let end_ms = WARM_UP_MS + plan.counted_s * 1_000;
    for now_ms in (0..end_ms).step_by(10) {
        if now_ms == WARM_UP_MS {
            fleet.counts = ExchangeCounts::default();
            fleet.message_counts.fill(0);
        }
        due += plan.rate_per_s.unsigned_abs() * LOAD_PERCENT * TICK_MS;
        let requests = due / 100_000;
        due %= 100_000;
        for account in 0..plan.accounts {
            for _ in 0..requests {
                let is_skewed = random.below(100) < SKEW_PERCENT;
                let elsewhere = random.below(plan.instances);
                let instance = if is_skewed {
                    account % plan.instances
                } else {
                    elsewhere
                };
                fleet.request(instance, account);
            }
        }
        fleet.tick(MonotonicTime::from_millis(1_000 + now_ms));
    }
    fleet.counts.busiest_messages = fleet.message_counts.iter().copied().max().unwrap_or(0);
    fleet.counts
}

impl LedgerFleet {
    fn new(plan: ExchangePlan) -> Self {
        let start = MonotonicTime::from_millis(1_000);
        let total = RateAmount {
            rate: plan.rate_per_s * REQUEST_COST_MILLI_TOKENS,
            burst: plan.rate_per_s * REQUEST_COST_MILLI_TOKENS / 2,
        };
        let shares: Vec<Vec<RateAmount>> = (0..plan.accounts)
            .map(|account| split_rate(total, plan.instances, &format!("account-{account}")))
            .collect();
        let mut ledgers = Vec::new();
        let mut handles = Vec::new();
        for instance in 0..plan.instances {
            let mut ledger = LoanLedger::new(LEDGER_SETTINGS, start);
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
            message_counts: vec![0; plan.instances],
            counts: ExchangeCounts::default(),
        }
    }

    fn request(&mut self, instance: usize, account: usize) {
        let handle = &self.handles[instance][account];
        if handle.bucket.try_take(REQUEST_COST_MILLI_TOKENS) {
            self.counts.admitted += 1;
        } else {
            handle.shortages.record();
            self.counts.without_token += 1;
        }
    }

    fn tick(&mut self, now: MonotonicTime) {
        for instance in 0..self.ledgers.len() {
            let LedgerOutput { requests, returns } = self.ledgers[instance].tick(now);
            for loan_request in requests {
                self.deliver_loan_request(instance, loan_request, now);
            }
            for loan_return in returns {
                let lender = index_of(loan_return.to);
                self.counts.returns += 1;
                self.count_messages(instance, lender, 1);
                self.ledgers[lender].handle_return(
                    incarnation_of(instance),
                    loan_return.message,
                    now,
                );
            }
        }
    }

    fn deliver_loan_request(
        &mut self,
        borrower: usize,
        loan_request: OutgoingMessage<LoanRequest>,
        now: MonotonicTime,
    ) {
        let lender = index_of(loan_request.to);
        self.counts.loan_requests += 1;
        self.count_messages(borrower, lender, 1);
        let grant = self.ledgers[lender].answer_request(
            incarnation_of(borrower),
            loan_request.message,
            now,
        );
        if let Some(grant) = grant {
            self.counts.grants += 1;
            self.count_messages(borrower, lender, 1);
            self.ledgers[borrower].handle_grant(loan_request.to, grant, now);
        }
    }

    fn count_messages(&mut self, one: usize, other: usize, messages: u64) {
        self.message_counts[one] += messages;
        self.message_counts[other] += messages;
    }
}

fn lenders_of(instance: usize, instances: usize) -> Vec<LoanPeer> {
    (0..instances)
        .filter(|peer| *peer != instance)
        .map(|peer| LoanPeer {
            incarnation: incarnation_of(peer),
            is_near: peer % DOMAIN_COUNT == instance % DOMAIN_COUNT,
        })
        .collect()
}

fn incarnation_of(instance: usize) -> Incarnation {
    Incarnation(instance as u64)
}

fn index_of(incarnation: Incarnation) -> usize {
    usize::try_from(incarnation.0).expect("an instance of the fleet")
}
