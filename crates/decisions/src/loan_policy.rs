//! Policies that decide how much of a limit an instance requests from others, and how much of its
//! own share it keeps.

use crate::loan_terms::RateAmount;
use crate::share_split::MILLI_PER_TOKEN;

/// The demand for one rate limit and its current quota, as the input of a policy.
#[derive(Debug, Clone, Copy)]
pub struct DemandView {
    /// Recent demand in milli-tokens per second, refused requests included.
    pub demand: i64,
    /// Requests that found too few tokens since the last loan request.
    pub shortages: u32,
    /// The rate and burst that the instance may use now: its share with loans added and subtracted.
    pub held: RateAmount,
    /// The total limit, over all seats.
    pub total: RateAmount,
}

/// The demand for the slots of one upstream and their number, as the input of a policy.
#[derive(Debug, Clone, Copy)]
pub struct SlotDemandView {
    /// Recent peak of slots in use.
    pub peak: u32,
    /// Requests that found no free slot since the last loan request.
    pub shortages: u32,
    /// The slots that the instance may use now.
    pub held: u32,
    /// All slots of the upstream, over all seats.
    pub total: u32,
}

/// A policy for loan requests. Its functions return how much the instance should hold.
#[derive(Debug, Clone, Copy)]
pub struct LoanPolicy {
    /// The name of the policy in printed measurements.
    pub name: &'static str,
    /// Returns the target rate and burst.
    pub rate_target: fn(&DemandView) -> RateAmount,
    /// Returns the target number of slots.
    pub slot_target: fn(&SlotDemandView) -> u32,
}

impl LoanPolicy {
    /// Fixed equal shares: never requests a loan.
    pub const FIXED: Self = Self {
        name: "fixed equal shares",
        rate_target: |view| view.held,
        slot_target: |view| view.held,
    };

    /// Requests a loan after a request found too few tokens or slots, and keeps what the demand
    /// uses.
    pub const ON_DEMAND: Self = Self {
        name: "on demand",
        rate_target: |view| {
            let wanted = burst_for(view, view.demand.saturating_mul(5) / 4);
            if view.shortages > 0 {
                wanted
            } else {
                wanted.at_most(view.held)
            }
        },
        slot_target: |view| {
            let wanted = view.peak.saturating_add(view.shortages).min(view.total);
            if view.shortages > 0 {
                wanted
            } else {
                wanted.min(view.held)
            }
        },
    };

    /// Requests a loan when demand exceeds 70% of what is held.
    pub const AHEAD_OF_DEMAND: Self = Self {
        name: "ahead of demand",
        rate_target: |view| burst_for(view, view.demand.saturating_mul(10) / 7),
        slot_target: |view| {
            let expected = view.peak.saturating_add(view.shortages);
            let wanted = u64::from(expected) * 10 / 7;
            u32::try_from(wanted).unwrap_or(u32::MAX).min(view.total)
        },
    };

    /// Requests a loan when demand exceeds 90% of what is held, which leaves more to other
    /// instances when the limit is almost exhausted.
    pub const CLOSE_TO_DEMAND: Self = Self {
        name: "close to demand",
        rate_target: |view| burst_for(view, view.demand.saturating_mul(11) / 10),
        slot_target: |view| view.peak.saturating_add(view.shortages).min(view.total),
    };
}

/// Returns `rate` with its burst: in proportion to the rate, enough for the requests that found the
/// bucket empty, and at least one token where there is demand.
fn burst_for(view: &DemandView, rate: i64) -> RateAmount {
    let rate = rate.clamp(0, view.total.rate);
    // A decaying estimate never reaches zero, so a rate below 1/256 of the total counts as none: a
    // token held for it would be missing elsewhere. A request that just found the bucket empty
    // needs its token however low the demand is.
    if view.shortages == 0 && rate * 256 <= view.total.rate {
        return RateAmount::default();
    }
    let proportional = i128::from(view.total.burst) * i128::from(rate);
    let proportional = proportional / i128::from(view.total.rate.max(1));
    let proportional = i64::try_from(proportional).unwrap_or(i64::MAX);
    let for_shortages = i64::from(view.shortages) * MILLI_PER_TOKEN;
    let burst = proportional.max(for_shortages).max(MILLI_PER_TOKEN);
    RateAmount {
        rate,
        burst: burst.min(view.total.burst),
    }
}

/// An idle lender keeps this fraction (1/64) of its share, so that its first request does not wait
/// for a loan.
const IDLE_RESERVE_DIVISOR: i64 = 64;

/// Returns the amount of the base share `base` that its holder keeps for its own `demand`.
///
/// The holder keeps 10% more than its demand. While the holder is idle, a share of less than two
/// tokens is lent completely, because a fraction of a token admits no request.
pub(crate) fn reserve(base: RateAmount, demand: i64) -> RateAmount {
    let is_idle = demand.saturating_mul(IDLE_RESERVE_DIVISOR) <= base.rate;
    if is_idle && base.burst < 2 * MILLI_PER_TOKEN {
        return RateAmount::default();
    }
    if is_idle {
        return RateAmount {
            rate: base.rate / IDLE_RESERVE_DIVISOR,
            burst: base.burst / IDLE_RESERVE_DIVISOR,
        };
    }
    let rate = demand.saturating_mul(11) / 10;
    let burst = i128::from(base.burst) * i128::from(rate) / i128::from(base.rate.max(1));
    RateAmount {
        rate,
        burst: i64::try_from(burst)
            .unwrap_or(i64::MAX)
            .max(MILLI_PER_TOKEN),
    }
}
