//! When an instance asks for loans and what it lends.

use crate::loan_terms::RateAmount;
use crate::share_split::MILLI_PER_TOKEN;

/// What is known about the demand for one rate limit.
#[derive(Debug, Clone, Copy)]
pub struct DemandView {
    /// Recent demand in milli-tokens per second, refused requests included.
    pub demand: i64,
    /// Requests that found the bucket short since the last ask.
    pub shortages: u32,
    /// What the instance holds now.
    pub held: RateAmount,
    /// The whole limit.
    pub total: RateAmount,
}

/// What is known about the demand for the slots of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct SlotDemandView {
    /// Recent peak of slots in use.
    pub peak: u32,
    /// Requests that found no free slot since the last ask.
    pub shortages: u32,
    /// The slots the instance holds now.
    pub held: u32,
    /// All slots of the upstream.
    pub total: u32,
}

/// A rule for asking. The functions return what the instance would like to hold.
#[derive(Debug, Clone, Copy)]
pub struct LoanPolicy {
    /// Name in reports.
    pub name: &'static str,
    /// The rate and burst to aim for.
    pub rate_target: fn(&DemandView) -> RateAmount,
    /// The number of slots to aim for.
    pub slot_target: fn(&SlotDemandView) -> u32,
}

impl LoanPolicy {
    /// Fixed equal shares: never asks.
    pub const FIXED: Self = Self {
        name: "fixed equal shares",
        rate_target: |view| view.held,
        slot_target: |view| view.held,
    };

    /// Asks when a request found the bucket short, and keeps what demand uses.
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

    /// Asks when demand passes 70% of what is held.
    pub const AHEAD_OF_DEMAND: Self = Self {
        name: "ahead of demand",
        rate_target: |view| burst_for(view, view.demand.saturating_mul(10) / 7),
        slot_target: |view| {
            let expected = view.peak.saturating_add(view.shortages);
            let wanted = u64::from(expected) * 10 / 7;
            u32::try_from(wanted).unwrap_or(u32::MAX).min(view.total)
        },
    };

    /// Asks when demand passes 90% of what is held, which leaves more to others when the whole limit
    /// is nearly used.
    pub const CLOSE_TO_DEMAND: Self = Self {
        name: "close to demand",
        rate_target: |view| burst_for(view, view.demand.saturating_mul(11) / 10),
        slot_target: |view| view.peak.saturating_add(view.shortages).min(view.total),
    };
}

/// Completes a wanted rate with its burst: in proportion, enough for the requests that found the
/// bucket short, and at least one token where there is demand.
fn burst_for(view: &DemandView, rate: i64) -> RateAmount {
    let rate = rate.clamp(0, view.total.rate);
    // A decaying estimate never reaches zero soon; a token held for it would be missing elsewhere. A
    // request that just found the bucket short needs its token however low the demand is.
    if view.shortages == 0 && rate * 256 <= view.total.rate {
        return RateAmount::default();
    }
    let proportional = i128::from(view.total.burst) * i128::from(rate);
    let proportional = proportional / i128::from(view.total.rate.max(1));
    let proportional = i64::try_from(proportional).unwrap_or(i64::MAX);
    let short = i64::from(view.shortages) * MILLI_PER_TOKEN;
    let burst = proportional.max(short).max(MILLI_PER_TOKEN);
    RateAmount {
        rate,
        burst: burst.min(view.total.burst),
    }
}

/// A lender without demand keeps one part in this many of its share, so that its first request does
/// not wait for a loan.
const IDLE_RESERVE_DIVISOR: i64 = 64;

/// Returns what a holder of the base share `base` keeps for its own `demand`.
///
/// It keeps a tenth more than its demand. A share of less than two tokens is lent whole while its
/// holder is idle, because a fraction of a token is of no use to the holder.
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
