//! What one instance may spend of each limit: base shares, loans given and loans taken.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket, SlotCounter};
use coltsfootkeel_model::Arena;

use crate::demand_estimate::ShortageCounter;
use crate::duplicate_filter::DuplicateFilter;
use crate::lender_history::LoanPeer;
use crate::limit_keys::{RateLimitKey, SlotLimitKey};
use crate::loan_policy::LoanPolicy;
use crate::loan_terms::{
    Incarnation, LOAN_LIFETIME, LoanRequest, LoanReturn, RateAmount, SPEND_LEASE, with_drift_margin,
};
use crate::pending_requests::PendingRequests;
use crate::rate_limit::RateLimit;
use crate::slot_limit::SlotLimit;

/// What does not change while a ledger lives.
#[derive(Debug, Clone, Copy)]
pub struct LedgerSettings {
    /// When to ask.
    pub policy: LoanPolicy,
    /// The most asks sent per second, renewals included.
    pub requests_per_s: u32,
    /// The longest deadline of any request on an upstream for which no own one is set.
    pub longest_deadline: Duration,
}

/// What request threads use of a rate limit.
#[derive(Debug, Clone)]
pub struct RateHandle {
    /// The tokens.
    pub bucket: Arc<RateBucket>,
    /// To be incremented by a request that found too few.
    pub shortages: Arc<ShortageCounter>,
}

/// What request threads use of a slot limit.
#[derive(Debug, Clone)]
pub struct SlotHandle {
    /// The slots.
    pub counter: Arc<SlotCounter>,
    /// To be incremented by a request that found none.
    pub shortages: Arc<ShortageCounter>,
}

/// A message that the daemon must send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingMessage<T> {
    /// The receiver.
    pub to: Incarnation,
    /// The message.
    pub message: T,
}

/// The messages that follow from a tick.
#[derive(Debug, Default)]
pub struct LedgerOutput {
    /// Asks for loans and renewals.
    pub requests: Vec<OutgoingMessage<LoanRequest>>,
    /// Early ends of loans.
    pub returns: Vec<OutgoingMessage<LoanReturn>>,
}

/// What the seat allows.
#[derive(Debug, Clone, Copy)]
enum SeatState {
    /// The instance has no seat, or must not use the one it has. The grace holds for a reopened seat.
    Closed(GracePeriod),
    /// The instance uses the shares of its seat as far as they do not grace.
    Open(GracePeriod),
}

/// How long the shares of a claimed seat grace.
#[derive(Debug, Clone, Copy)]
struct GracePeriod {
    /// Since when the former holder did nothing; nothing if there was none.
    idle_since: Option<MonotonicTime>,
    /// Whether no request on the former holder's slots was running any more.
    is_settled: bool,
}

impl GracePeriod {
    /// Tells whether what lived for `length` when the former holder stopped has ended.
    fn is_over(self, length: Duration, now: MonotonicTime) -> bool {
        self.idle_since
            .is_none_or(|idle| now >= idle + with_drift_margin(length))
    }
}

/// Owns the limits of one instance. Only the control thread calls it.
///
/// Every call must be given a time that was read after the message it handles had arrived.
#[derive(Debug)]
pub struct LoanLedger {
    pub(crate) settings: LedgerSettings,
    pub(crate) rates: Arena<RateLimitKey, RateLimit>,
    pub(crate) slots: Arena<SlotLimitKey, SlotLimit>,
    seat: SeatState,
    pub(crate) rate_lenders: Vec<LoanPeer>,
    pub(crate) pending_requests: PendingRequests,
    pub(crate) duplicate_filter: DuplicateFilter,
    ticked_at: MonotonicTime,
}

impl LoanLedger {
    /// Makes a ledger without limits and without a seat.
    #[must_use]
    pub fn new(settings: LedgerSettings, now: MonotonicTime) -> Self {
        Self {
            settings,
            rates: Arena::new(),
            slots: Arena::new(),
            seat: SeatState::Closed(GracePeriod {
                idle_since: None,
                is_settled: false,
            }),
            rate_lenders: Vec::new(),
            pending_requests: PendingRequests::new(settings.requests_per_s, now),
            duplicate_filter: DuplicateFilter::default(),
            ticked_at: now,
        }
    }

    /// Adds a rate limit without a share.
    pub fn add_rate_limit(&mut self, now: MonotonicTime) -> RateLimitKey {
        self.rates.push(RateLimit::new(now))
    }

    /// Adds a slot limit without a share.
    pub fn add_slot_limit(&mut self, now: MonotonicTime) -> SlotLimitKey {
        self.slots.push(SlotLimit::new(now))
    }

    /// Returns what request threads use of a rate limit.
    #[must_use]
    pub fn rate_handle(&self, key: RateLimitKey) -> RateHandle {
        RateHandle {
            bucket: self.rates[key].bucket(),
            shortages: self.rates[key].shortage_counter(),
        }
    }

    /// Returns what request threads use of a slot limit.
    #[must_use]
    pub fn slot_handle(&self, key: SlotLimitKey) -> SlotHandle {
        SlotHandle {
            counter: self.slots[key].counter(),
            shortages: self.slots[key].shortage_counter(),
        }
    }

    /// Sets a rate limit's total and the share of this instance's seat, from the next tick on.
    pub fn set_rate_share(&mut self, key: RateLimitKey, total: RateAmount, share: RateAmount) {
        self.rates[key].set_share(total, share);
    }

    /// Sets an upstream's slots and the share of this instance's seat, from the next tick on.
    pub fn set_slot_share(&mut self, key: SlotLimitKey, total: u32, share: u32) {
        self.slots[key].set_share(total, share);
    }

    /// Sets the longest deadline of a request on an upstream, which bounds how long its slots are missing when a
    /// borrower is cut off. It is never lowered: requests with the longer one may still run.
    pub fn set_slot_deadline(&mut self, key: SlotLimitKey, longest: Duration) {
        let known = self.slots[key].deadline.unwrap_or_default();
        self.slots[key].deadline = Some(known.max(longest));
    }

    /// Sets the instances to ask for a loan of a rate.
    pub fn set_rate_lenders(&mut self, peers: Vec<LoanPeer>) {
        self.rate_lenders = peers;
    }

    /// Sets the instances to ask for slots of an upstream.
    pub fn set_slot_lenders(&mut self, key: SlotLimitKey, peers: Vec<LoanPeer>) {
        self.slots[key].lenders = peers;
    }

    /// Uses the shares of a seat that this instance claimed. Its former holder, if there was one, did
    /// nothing after `idle_since`.
    ///
    /// Loans that the former holder gave may still be in use, and its requests may still run, so
    /// each share is used only when these must have ended. Buckets start empty.
    pub fn activate_claimed_seat(&mut self, idle_since: Option<MonotonicTime>) {
        self.seat = SeatState::Open(GracePeriod {
            idle_since,
            is_settled: false,
        });
    }

    /// Uses the shares of a seat that its former holder released at `released` while none of its slots was lent or in use,
    /// so that only the shares of rates grace.
    pub fn activate_settled_seat(&mut self, released: MonotonicTime) {
        self.seat = SeatState::Open(GracePeriod {
            idle_since: Some(released),
            is_settled: true,
        });
    }

    /// Tells whether slots of this seat are lent. A seat that is released while none are lent and no request runs here is
    /// settled.
    #[must_use]
    pub fn has_lent_slots(&self) -> bool {
        self.slots.iter().any(|(_, limit)| limit.is_lent())
    }

    /// Stops using the shares of the seat, because it is lost or must be confirmed.
    pub fn suspend_seat(&mut self, now: MonotonicTime) {
        if let SeatState::Open(grace) = self.seat {
            self.seat = SeatState::Closed(grace);
        }
        self.use_shares(now);
    }

    /// Uses the shares again after the seat was confirmed.
    pub fn resume_seat(&mut self) {
        if let SeatState::Closed(grace) = self.seat {
            self.seat = SeatState::Open(grace);
        }
    }

    /// Brings all limits to `now` and returns the messages to send.
    ///
    /// The daemon checks its seat before it calls this, and renews its `TimeLease` by
    /// [`SPEND_LEASE`] from the same `now` afterwards: a loan is dropped at the tick whose lease would
    /// outlast it.
    pub fn tick(&mut self, now: MonotonicTime) -> LedgerOutput {
        self.ticked_at = now;
        self.pending_requests.advance(now);
        self.duplicate_filter.advance(now);
        self.use_shares(now);
        let mut output = LedgerOutput::default();
        for key in self.rates.keys() {
            self.return_rate(key, &mut output, now);
            self.renew_rate(key, &mut output, now);
        }
        for key in self.slots.keys() {
            self.return_slots(key, &mut output, now);
            self.renew_slots(key, &mut output, now);
        }
        for key in self.rates.keys() {
            self.request_rate(key, &mut output, now);
        }
        for key in self.slots.keys() {
            self.request_slots(key, &mut output, now);
        }
        output
    }

    fn use_shares(&mut self, now: MonotonicTime) {
        let open = match self.seat {
            SeatState::Closed(_) => None,
            SeatState::Open(grace) => Some(grace),
        };
        let is_usable = |length| open.is_some_and(|grace| grace.is_over(length, now));
        let rates_open = is_usable(LOAN_LIFETIME);
        for key in self.rates.keys() {
            self.rates[key].use_share(rates_open, now);
        }
        for key in self.slots.keys() {
            let slots_open = open.is_some_and(|grace| grace.is_settled)
                || is_usable(LOAN_LIFETIME + self.slot_deadline(key));
            self.slots[key].use_share(slots_open, now);
        }
    }

    /// Returns the longest time for which a request holds a slot of an upstream.
    pub(crate) fn slot_deadline(&self, key: SlotLimitKey) -> Duration {
        self.slots[key]
            .deadline
            .unwrap_or(self.settings.longest_deadline)
    }

    /// Tells whether ticks come in time. After a gap the seat may be lost, so nothing may be lent
    /// until the daemon has checked it and ticked_at.
    pub(crate) fn is_ticking(&self, now: MonotonicTime) -> bool {
        now.since(self.ticked_at) < SPEND_LEASE
    }
}
