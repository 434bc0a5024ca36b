//! The ledger of one instance: how much of each distributed limit it may use, from its base shares,
//! the loans it has granted and the loans it has borrowed.

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

/// Settings that are constant for the lifetime of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerSettings {
    /// Decides when loans are requested and how large they are.
    pub policy: LoanPolicy,
    /// The maximum number of loan requests sent per second, renewals included.
    pub requests_per_s: u32,
    /// The longest request deadline of the fleet, used for an upstream that has no deadline of its
    /// own.
    pub longest_deadline: Duration,
}

/// The parts of a rate limit that request threads access.
#[derive(Debug, Clone)]
pub struct RateHandle {
    /// The token bucket.
    pub bucket: Arc<RateBucket>,
    /// Incremented by each request that found too few tokens.
    pub shortages: Arc<ShortageCounter>,
}

/// The parts of a slot limit that request threads access.
#[derive(Debug, Clone)]
pub struct SlotHandle {
    /// The counter of used slots.
    pub counter: Arc<SlotCounter>,
    /// Incremented by each request that found no free slot.
    pub shortages: Arc<ShortageCounter>,
}

/// A message that the daemon must send, with its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingMessage<T> {
    /// The process that receives the message.
    pub to: Incarnation,
    /// The message.
    pub message: T,
}

/// The messages that the daemon must send after a tick.
#[derive(Debug, Default)]
pub struct LedgerOutput {
    /// Requests for new loans and renewals.
    pub requests: Vec<OutgoingMessage<LoanRequest>>,
    /// Returns of loans before their expiry.
    pub returns: Vec<OutgoingMessage<LoanReturn>>,
}

/// Whether the instance may use the shares of its seat.
#[derive(Debug, Clone, Copy)]
enum SeatState {
    /// The instance has no seat, or must not use the one it has. The grace period applies again
    /// when the use of the seat is resumed.
    Closed(GracePeriod),
    /// The instance uses the shares of its seat as soon as the grace period of each limit is over.
    Open(GracePeriod),
}

/// How long the shares of a claimed seat stay unused, so that loans and requests of the former
/// holder end first.
#[derive(Debug, Clone, Copy)]
struct GracePeriod {
    /// When the former holder stopped; `None` if there was no former holder.
    idle_since: Option<MonotonicTime>,
    /// Whether the former holder released the seat while none of its slots was lent or in use.
    is_settled: bool,
}

impl GracePeriod {
    /// Returns whether anything that lasts at most `length` and began before the former holder
    /// stopped has ended.
    fn has_passed(self, length: Duration, now: MonotonicTime) -> bool {
        self.idle_since
            .is_none_or(|idle| now >= idle + with_drift_margin(length))
    }
}

/// Distributes the limits of the fleet without a central server: accounts for the share of each
/// limit that one instance may use.
///
/// An instance may use the base share of its seat, minus the loans it has granted, plus the loans
/// it has borrowed. Only the control thread calls the ledger.
///
/// Each call must be given a time that was read after the message it handles had arrived.
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
    /// Creates a ledger without limits and without a seat.
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

    /// Adds a rate limit with a share of zero.
    pub fn add_rate_limit(&mut self, now: MonotonicTime) -> RateLimitKey {
        self.rates.push(RateLimit::new(now))
    }

    /// Adds a slot limit with a share of zero.
    pub fn add_slot_limit(&mut self, now: MonotonicTime) -> SlotLimitKey {
        self.slots.push(SlotLimit::new(now))
    }

    /// Returns the bucket and the counter of a rate limit, for request threads.
    #[must_use]
    pub fn rate_handle(&self, key: RateLimitKey) -> RateHandle {
        RateHandle {
            bucket: self.rates[key].bucket(),
            shortages: self.rates[key].shortage_counter(),
        }
    }

    /// Returns the counters of a slot limit, for request threads.
    #[must_use]
    pub fn slot_handle(&self, key: SlotLimitKey) -> SlotHandle {
        SlotHandle {
            counter: self.slots[key].counter(),
            shortages: self.slots[key].shortage_counter(),
        }
    }

    /// Sets the total of a rate limit and the share of this instance's seat. Takes effect on the
    /// next tick.
    pub fn set_rate_share(&mut self, key: RateLimitKey, total: RateAmount, share: RateAmount) {
        self.rates[key].set_share(total, share);
    }

    /// Sets the number of slots of an upstream and the share of this instance's seat. Takes effect
    /// on the next tick.
    pub fn set_slot_share(&mut self, key: SlotLimitKey, total: u32, share: u32) {
        self.slots[key].set_share(total, share);
    }

    /// Sets the longest deadline of a request on an upstream, which bounds how long its slots are
    /// missing when a borrower is cut off. The deadline is never lowered, because requests with the
    /// longer one may still run.
    pub fn set_slot_deadline(&mut self, key: SlotLimitKey, longest: Duration) {
        let known = self.slots[key].deadline.unwrap_or_default();
        self.slots[key].deadline = Some(known.max(longest));
    }

    /// Sets the instances from which loans of any rate limit are requested.
    pub fn set_rate_lenders(&mut self, peers: Vec<LoanPeer>) {
        self.rate_lenders = peers;
    }

    /// Sets the instances from which slots of an upstream are requested.
    pub fn set_slot_lenders(&mut self, key: SlotLimitKey, peers: Vec<LoanPeer>) {
        self.slots[key].lenders = peers;
    }

    /// Starts to use the shares of a seat that this instance has claimed. The former holder stopped
    /// by `idle_since`; `None` if there was no former holder.
    ///
    /// Loans that the former holder granted may still be in use and its requests may still run, so
    /// each share is used only after these must have ended. Buckets start empty.
    pub fn activate_claimed_seat(&mut self, idle_since: Option<MonotonicTime>) {
        self.seat = SeatState::Open(GracePeriod {
            idle_since,
            is_settled: false,
        });
    }

    /// Starts to use the shares of a seat that its former holder released at `released` while none
    /// of its slots was lent or in use. Only the shares of rate limits stay unused for the grace
    /// period.
    pub fn activate_settled_seat(&mut self, released: MonotonicTime) {
        self.seat = SeatState::Open(GracePeriod {
            idle_since: Some(released),
            is_settled: true,
        });
    }

    /// Returns whether slots of this seat are lent or in use. A seat that is released while neither
    /// is the case counts as settled.
    #[must_use]
    pub fn has_lent_or_used_slots(&self) -> bool {
        self.slots.iter().any(|(_, limit)| limit.is_lent())
    }

    /// Stops using the shares of the seat, because the seat is lost or must be confirmed.
    pub fn suspend_seat(&mut self, now: MonotonicTime) {
        if let SeatState::Open(grace) = self.seat {
            self.seat = SeatState::Closed(grace);
        }
        self.use_shares(now);
    }

    /// Uses the shares again after the seat has been confirmed.
    pub fn resume_seat(&mut self) {
        if let SeatState::Closed(grace) = self.seat {
            self.seat = SeatState::Open(grace);
        }
    }

    /// Advances all limits to `now` and returns the messages to send.
    ///
    /// The daemon checks its seat before this call, and afterwards renews its `TimeLease` by
    /// [`SPEND_LEASE`] from the same `now`: a loan is dropped at the tick whose lease would outlast
    /// it.
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
        let grace_period = match self.seat {
            SeatState::Closed(_) => None,
            SeatState::Open(grace) => Some(grace),
        };
        let is_usable = |length| grace_period.is_some_and(|grace| grace.has_passed(length, now));
        let rates_open = is_usable(LOAN_LIFETIME);
        for key in self.rates.keys() {
            self.rates[key].use_share(rates_open, now);
        }
        for key in self.slots.keys() {
            let slots_open = grace_period.is_some_and(|grace| grace.is_settled)
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

    /// Returns whether the last tick is less than one [`SPEND_LEASE`] old. After a longer gap the
    /// seat may be lost, so nothing may be lent until the daemon has checked the seat and called
    /// [`tick`](Self::tick).
    pub(crate) fn is_ticking(&self, now: MonotonicTime) -> bool {
        now.since(self.ticked_at) < SPEND_LEASE
    }
}
