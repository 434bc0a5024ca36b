//! Conversion of messages about idempotency keys to and from the types of the replay memory.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_decisions::{
    IdempotencyKey, ReplayDecision, ReplayEnd, ReplayTicket, RequestDigest,
};
use coltsfootkeel_protocol::{ReplayBegin, ReplayFinish, ReplayOutcome, ReplayVerdict};

use crate::stored_answer::StoredAnswer;

/// Returns the message that requests the owner's permission to run a request whose deadline passes after `remaining`.
#[must_use]
pub fn encode_begin(
    account: &str,
    key: &IdempotencyKey,
    digest: RequestDigest,
    remaining: Duration,
) -> ReplayBegin {
    ReplayBegin {
        account: account.to_string(),
        key: key.as_str().to_string(),
        request_digest: digest.0,
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the message with the owner's decision on whether a request may run.
#[must_use]
pub fn encode_verdict(decision: &ReplayDecision<StoredAnswer>) -> ReplayVerdict {
    let mut verdict = ReplayVerdict::default();
    let outcome = match decision {
        ReplayDecision::Run(ticket) => {
            verdict.ticket_incarnation = ticket.incarnation;
            verdict.ticket_number = ticket.number;
            ReplayOutcome::Run
        }
        ReplayDecision::InProgress => ReplayOutcome::InProgress,
        ReplayDecision::Unknown => ReplayOutcome::Unknown,
        ReplayDecision::Answered(answer) => {
            verdict.status = u32::from(answer.status.as_u16());
            verdict.headers = answer.message_headers();
            verdict.body = answer.body.to_vec();
            ReplayOutcome::Answered
        }
        ReplayDecision::AnswerNotKept => ReplayOutcome::AnswerNotKept,
        ReplayDecision::Mismatch => ReplayOutcome::Mismatch,
        ReplayDecision::Full => ReplayOutcome::Full,
        ReplayDecision::HandedOver => ReplayOutcome::HandedOver,
    };
    verdict.set_outcome(outcome);
    verdict
}

/// Returns the decision in the answer of the owner. An outcome that this version does not support counts as unknown.
#[must_use]
pub fn decode_verdict(verdict: ReplayVerdict) -> ReplayDecision<StoredAnswer> {
    let Ok(outcome) = ReplayOutcome::try_from(verdict.outcome) else {
        return ReplayDecision::Unknown;
    };
    match outcome {
        ReplayOutcome::Run => ReplayDecision::Run(ReplayTicket {
            incarnation: verdict.ticket_incarnation,
            number: verdict.ticket_number,
        }),
        ReplayOutcome::InProgress => ReplayDecision::InProgress,
        ReplayOutcome::Unknown => ReplayDecision::Unknown,
        ReplayOutcome::Answered => {
            let answer = StoredAnswer::from_message(verdict.status, &verdict.headers, verdict.body);
            answer.map_or(ReplayDecision::AnswerNotKept, |answer| {
                ReplayDecision::Answered(Arc::new(answer))
            })
        }
        ReplayOutcome::AnswerNotKept => ReplayDecision::AnswerNotKept,
        ReplayOutcome::Mismatch => ReplayDecision::Mismatch,
        ReplayOutcome::Full => ReplayDecision::Full,
        ReplayOutcome::HandedOver => ReplayDecision::HandedOver,
    }
}

/// Returns the message that reports to the owner how a request ended.
#[must_use]
pub fn encode_finish(
    account: &str,
    key: &IdempotencyKey,
    ticket: ReplayTicket,
    end: &ReplayEnd<StoredAnswer>,
) -> ReplayFinish {
    let mut finish = ReplayFinish {
        account: account.to_string(),
        key: key.as_str().to_string(),
        ticket_incarnation: ticket.incarnation,
        ticket_number: ticket.number,
        ..ReplayFinish::default()
    };
    let outcome = match end {
        // In a report, `Run` means that the request did not run and that the next one with the key may.
        ReplayEnd::NotRun => ReplayOutcome::Run,
        ReplayEnd::Unknown => ReplayOutcome::Unknown,
        ReplayEnd::AnswerNotKept => ReplayOutcome::AnswerNotKept,
        ReplayEnd::Answered { answer, .. } => {
            finish.status = u32::from(answer.status.as_u16());
            finish.headers = answer.message_headers();
            finish.body = answer.body.to_vec();
            ReplayOutcome::Answered
        }
    };
    finish.set_outcome(outcome);
    finish
}

/// Returns the ticket and the end of the request in a report. An outcome that this version does not support counts as
/// unknown.
#[must_use]
pub fn decode_finish(finish: ReplayFinish) -> (ReplayTicket, ReplayEnd<StoredAnswer>) {
    let ticket = ReplayTicket {
        incarnation: finish.ticket_incarnation,
        number: finish.ticket_number,
    };
    let end = match ReplayOutcome::try_from(finish.outcome) {
        Ok(ReplayOutcome::Run) => ReplayEnd::NotRun,
        Ok(ReplayOutcome::AnswerNotKept) => ReplayEnd::AnswerNotKept,
        Ok(ReplayOutcome::Answered) => {
            let answer = StoredAnswer::from_message(finish.status, &finish.headers, finish.body);
            answer.map_or(ReplayEnd::AnswerNotKept, |answer| ReplayEnd::Answered {
                bytes: answer.size(),
                answer: Arc::new(answer),
            })
        }
        _ => ReplayEnd::Unknown,
    };
    (ticket, end)
}
