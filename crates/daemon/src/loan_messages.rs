//! Messages about loans, to and from the types of decisions.

use std::time::Duration;

use coltsfootkeel_decisions::{
    LoanAmount, LoanGrant as GrantedLoan, LoanRequest as RequestedLoan, LoanReturn as ReturnedLoan,
    RateAmount,
};
use coltsfootkeel_protocol::{LimitKind, LoanGrant, LoanRequest, LoanReturn};

use crate::limit_registry::{LimitName, LimitRegistry};

/// Makes the message of an request. Returns nothing if the limit has no name.
#[must_use]
pub fn encode_request(request: &RequestedLoan, registry: &LimitRegistry) -> Option<LoanRequest> {
    let limit = registry.name(request.limit)?;
    let (amount, burst) = split_amount(request.amount);
    Some(LoanRequest {
        loan: request.request_id,
        line: request.loan_id,
        kind: limit.kind.into(),
        name: limit.name.clone(),
        amount,
        burst,
        life_ms: u64::try_from(request.lifetime.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Reads an request. Returns nothing if this instance does not know the limit.
#[must_use]
pub fn decode_request(message: &LoanRequest, registry: &LimitRegistry) -> Option<RequestedLoan> {
    let kind = LimitKind::try_from(message.kind).ok()?;
    Some(RequestedLoan {
        request_id: message.loan,
        loan_id: message.line,
        limit: registry.key(&LimitName::new(kind, &message.name))?,
        amount: join_amount(kind, message.amount, message.burst)?,
        lifetime: Duration::from_millis(message.life_ms),
    })
}

/// Makes the message of a grant.
#[must_use]
pub fn encode_grant(grant: &GrantedLoan, kind: i32) -> LoanGrant {
    let (amount, burst) = split_amount(grant.amount);
    LoanGrant {
        loan: grant.request_id,
        kind,
        amount,
        burst,
        tokens: grant.tokens,
    }
}

/// Reads a grant.
#[must_use]
pub fn decode_grant(message: &LoanGrant) -> Option<GrantedLoan> {
    let kind = LimitKind::try_from(message.kind).ok()?;
    Some(GrantedLoan {
        request_id: message.loan,
        amount: join_amount(kind, message.amount, message.burst)?,
        tokens: message.tokens,
    })
}

/// Makes the message of a return. Returns nothing if the limit has no name.
#[must_use]
pub fn encode_return(loan_return: &ReturnedLoan, registry: &LimitRegistry) -> Option<LoanReturn> {
    let limit = registry.name(loan_return.limit)?;
    Some(LoanReturn {
        line: loan_return.loan_id,
        kind: limit.kind.into(),
        name: limit.name.clone(),
        tokens: loan_return.tokens,
    })
}

/// Reads a return. Returns nothing if this instance does not know the limit.
#[must_use]
pub fn decode_return(message: &LoanReturn, registry: &LimitRegistry) -> Option<ReturnedLoan> {
    let kind = LimitKind::try_from(message.kind).ok()?;
    Some(ReturnedLoan {
        loan_id: message.line,
        limit: registry.key(&LimitName::new(kind, &message.name))?,
        tokens: message.tokens,
    })
}

fn split_amount(amount: LoanAmount) -> (i64, i64) {
    match amount {
        LoanAmount::Rate(RateAmount { rate, burst }) => (rate, burst),
        LoanAmount::Slots(slots) => (i64::from(slots), 0),
    }
}

fn join_amount(kind: LimitKind, amount: i64, burst: i64) -> Option<LoanAmount> {
    if amount < 0 || burst < 0 {
        return None;
    }
    match kind {
        LimitKind::AccountRate | LimitKind::ShiftRate => Some(LoanAmount::Rate(RateAmount {
            rate: amount,
            burst,
        })),
        LimitKind::UpstreamSlots => u32::try_from(amount).ok().map(LoanAmount::Slots),
    }
}
