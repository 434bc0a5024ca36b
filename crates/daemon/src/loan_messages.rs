//! Conversion of loan messages to and from the types of the loan ledger.

use std::time::Duration;

use coltsfootkeel_decisions::{
    LoanAmount, LoanGrant as GrantedLoan, LoanRequest as RequestedLoan, LoanReturn as ReturnedLoan,
    RateAmount,
};
use coltsfootkeel_protocol::{LimitKind, LoanGrant, LoanRequest, LoanReturn};

use crate::limit_registry::{LimitName, LimitRegistry};

/// Returns the message for a loan request, or `None` if the limit is not registered.
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

/// Returns the loan request in a message, or `None` if it is malformed or this instance does not have the limit.
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

/// Returns the message for a grant. `kind` is copied from the message of the request.
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

/// Returns the grant in a message, or `None` if it is malformed.
#[must_use]
pub fn decode_grant(message: &LoanGrant) -> Option<GrantedLoan> {
    let kind = LimitKind::try_from(message.kind).ok()?;
    Some(GrantedLoan {
        request_id: message.loan,
        amount: join_amount(kind, message.amount, message.burst)?,
        tokens: message.tokens,
    })
}

/// Returns the message for the return of a loan, or `None` if the limit is not registered.
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

/// Returns the loan return in a message, or `None` if it is malformed or this instance does not have the limit.
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
