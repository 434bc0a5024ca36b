//! Messages about loans, to and from the types of decisions.

use std::time::Duration;

use coltsfootkeel_decisions::{
    LoanAmount, LoanGrant as GrantedLoan, LoanRequest as RequestedLoan, LoanReturn as ReturnedLoan,
    RateAmount,
};
use coltsfootkeel_protocol::{LimitKind, LoanGrant, LoanRequest, LoanReturn};

use crate::limit_book::{LimitBook, LimitName};

/// Makes the message of an ask. Returns nothing if the limit has no name.
#[must_use]
pub fn ask_message(ask: &RequestedLoan, book: &LimitBook) -> Option<LoanRequest> {
    let limit = book.name(ask.limit)?;
    let (amount, burst) = split_amount(ask.amount);
    Some(LoanRequest {
        loan: ask.request_id,
        line: ask.loan_id,
        kind: limit.kind.into(),
        name: limit.name.clone(),
        amount,
        burst,
        life_ms: u64::try_from(ask.lifetime.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Reads an ask. Returns nothing if this instance does not know the limit.
#[must_use]
pub fn read_ask(message: &LoanRequest, book: &LimitBook) -> Option<RequestedLoan> {
    let kind = LimitKind::try_from(message.kind).ok()?;
    Some(RequestedLoan {
        request_id: message.loan,
        loan_id: message.line,
        limit: book.key(&LimitName::new(kind, &message.name))?,
        amount: join_amount(kind, message.amount, message.burst)?,
        lifetime: Duration::from_millis(message.life_ms),
    })
}

/// Makes the message of a grant.
#[must_use]
pub fn grant_message(grant: &GrantedLoan, kind: i32) -> LoanGrant {
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
pub fn read_grant(message: &LoanGrant) -> Option<GrantedLoan> {
    let kind = LimitKind::try_from(message.kind).ok()?;
    Some(GrantedLoan {
        request_id: message.loan,
        amount: join_amount(kind, message.amount, message.burst)?,
        tokens: message.tokens,
    })
}

/// Makes the message of a return. Returns nothing if the limit has no name.
#[must_use]
pub fn return_message(end: &ReturnedLoan, book: &LimitBook) -> Option<LoanReturn> {
    let limit = book.name(end.limit)?;
    Some(LoanReturn {
        line: end.loan_id,
        kind: limit.kind.into(),
        name: limit.name.clone(),
        tokens: end.tokens,
    })
}

/// Reads a return. Returns nothing if this instance does not know the limit.
#[must_use]
pub fn read_return(message: &LoanReturn, book: &LimitBook) -> Option<ReturnedLoan> {
    let kind = LimitKind::try_from(message.kind).ok()?;
    Some(ReturnedLoan {
        loan_id: message.line,
        limit: book.key(&LimitName::new(kind, &message.name))?,
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
